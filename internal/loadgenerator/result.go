package loadgenerator

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Outcome is the outcome of one request from its caller's view.
type Outcome string

// Outcomes. The protocol defines the first three.
const (
	Answered   Outcome = "answered"
	NotRun     Outcome = "not-run"
	Unknown    Outcome = "unknown"
	Rejected   Outcome = "rejected"   // status 400 to 413 without an outcome
	Failed     Outcome = "failed"     // connection error; the request may have run
	NotSent    Outcome = "not-sent"   // the connection could not be opened
	Surplus    Outcome = "surplus"    // not sent, because MaxInFlight requests were in flight
	Malformed  Outcome = "malformed"  // status and outcome of the answer violate the protocol
	Mismatched Outcome = "mismatched" // answered, but truncated, damaged or another request's answer
)

// Record is one request and its outcome.
type Record struct {
	Token      string
	Request    string // identity assigned by the entry host
	Class      string
	Service    string
	Repeatable bool
	Outcome    Outcome
	Reason     string
	Latency    time.Duration
}

const (
	// maxHistogramLatency is the upper end of the histograms; requests time out after 30 s.
	maxHistogramLatency = time.Minute
	// histogramSignificantDigits is the number of decimal digits that the histograms keep,
	// which means an error of 0.1%.
	histogramSignificantDigits = 3
	maxProblems                = 20
)

// Result holds the outcomes of a run. Its methods may be called during the run.
type Result struct {
	mu             sync.Mutex // guards all fields below
	started        time.Time
	duration       time.Duration
	records        []Record
	histograms     map[string]*hdrhistogram.Histogram // answered requests by class
	tokenByRequest map[string]string                  // caller's token by request identity
	problems       []string
	jobs           JobCounts
}

// JobCounts counts submissions, and the jobs by their latest state.
type JobCounts struct {
	Submitted int // submissions that an entry host accepted
	Refused   int // answered with an error
	Unknown   int // no answer
	Finished  int
	Failed    int
	Open      int // neither finished nor failed at the end of the run
	Evictions int
	Took      time.Duration // from the first submission until all jobs have ended or JobOptions.Wait has passed
}

func newResult() *Result {
	return &Result{started: time.Now(), histograms: make(map[string]*hdrhistogram.Histogram), tokenByRequest: make(map[string]string)}
}

func (r *Result) add(rec Record, problem error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records = append(r.records, rec)
	if problem != nil && len(r.problems) < maxProblems {
		r.problems = append(r.problems, fmt.Sprintf("request %s (token %s): %v", rec.Request, rec.Token, problem))
	}
	if rec.Request != "" {
		if t, ok := r.tokenByRequest[rec.Request]; ok {
			r.problems = append(r.problems, fmt.Sprintf("requests %s and %s have the same identity %s", t, rec.Token, rec.Request))
		}
		r.tokenByRequest[rec.Request] = rec.Token
	}
	if rec.Outcome != Answered {
		return
	}
	h := r.histograms[rec.Class]
	if h == nil {
		h = hdrhistogram.New(1, maxHistogramLatency.Microseconds(), histogramSignificantDigits)
		r.histograms[rec.Class] = h
	}
	if err := h.RecordValue(min(rec.Latency, maxHistogramLatency).Microseconds()); err != nil {
		r.problems = append(r.problems, err.Error())
	}
}

// Records returns all requests that have ended so far.
func (r *Result) Records() []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.records)
}

// Jobs returns the counts of jobs.
func (r *Result) Jobs() JobCounts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.jobs
}

// Count returns the number of requests with this outcome.
func (r *Result) Count(o Outcome) int {
	n := 0
	for _, rec := range r.Records() {
		if rec.Outcome == o {
			n++
		}
	}
	return n
}

// Quantile returns the q-quantile of the latency of a class's answered requests; q is
// between 0 and 1.
func (r *Result) Quantile(class string, q float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.histograms[class]
	if h == nil {
		return 0
	}
	return time.Duration(h.ValueAtQuantile(100*q)) * time.Microsecond
}

// Problems describes wrong answers (at most maxProblems), duplicate request identities and
// latencies that could not be recorded.
func (r *Result) Problems() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.problems)
}

// Violations compares the outcomes with how often the request of each token ran. It
// describes each request that ran although its outcome is not-run, that ran more than once
// although it is not repeatable, or that was answered but did not run. The last check
// requires complete counts: the counts of a killed backend server are lost.
func (r *Result) Violations(ran map[string]int, complete bool) []string {
	var out []string
	for _, rec := range r.Records() {
		n := ran[rec.Token]
		switch {
		case rec.Outcome == NotRun && n > 0:
			out = append(out, fmt.Sprintf("request %s has the outcome not-run (%s) but ran %d times", rec.Request, rec.Reason, n))
		case !rec.Repeatable && n > 1:
			out = append(out, fmt.Sprintf("request %s is not repeatable but ran %d times", rec.Request, n))
		case complete && rec.Outcome == Answered && n == 0:
			out = append(out, fmt.Sprintf("request %s was answered but did not run", rec.Request))
		}
	}
	return out
}

// Print writes the result as text.
func (r *Result) Print(w io.Writer) error {
	byClass := make(map[string]map[Outcome]int)
	for _, rec := range r.Records() {
		if byClass[rec.Class] == nil {
			byClass[rec.Class] = make(map[Outcome]int)
		}
		byClass[rec.Class][rec.Outcome]++
	}
	for _, class := range slices.Sorted(maps.Keys(byClass)) {
		line := fmt.Sprintf("class %s:", class)
		for _, o := range slices.Sorted(maps.Keys(byClass[class])) {
			line += fmt.Sprintf(" %s %d,", o, byClass[class][o])
		}
		line += fmt.Sprintf(" p50 %s, p99 %s, p99.9 %s", r.Quantile(class, 0.5), r.Quantile(class, 0.99), r.Quantile(class, 0.999))
		if _, err := fmt.Fprintln(w, line); err != nil {
			return err
		}
	}
	r.mu.Lock()
	j, took, answered, problems := r.jobs, r.duration, 0, slices.Clone(r.problems)
	r.mu.Unlock()
	answered = r.Count(Answered)
	if took > 0 {
		if _, err := fmt.Fprintf(w, "requests: %d answered in %s, %.0f per second\n", answered, took.Round(time.Millisecond), float64(answered)/took.Seconds()); err != nil {
			return err
		}
	}
	if j != (JobCounts{}) {
		perSecond := 0.0
		if j.Took > 0 {
			perSecond = float64(j.Finished) / j.Took.Seconds()
		}
		if _, err := fmt.Fprintf(w, "jobs: accepted %d, refused %d, unknown %d, finished %d, failed %d, open %d, evictions %d, %.1f finished per second\n",
			j.Submitted, j.Refused, j.Unknown, j.Finished, j.Failed, j.Open, j.Evictions, perSecond); err != nil {
			return err
		}
	}
	for _, p := range problems {
		if _, err := fmt.Fprintln(w, "problem:", p); err != nil {
			return err
		}
	}
	return nil
}
