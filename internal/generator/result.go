package generator

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Outcome is what became of one request, as its caller saw it.
type Outcome string

// Outcomes. The first three are those of the protocol.
const (
	Answered  Outcome = "answered"
	NotRun    Outcome = "not-run"
	Unknown   Outcome = "unknown"
	Rejected  Outcome = "rejected"   // status 400 to 413 without an outcome
	Failed    Outcome = "failed"     // connection error: it may have run
	NotSent   Outcome = "not-sent"   // the connection could not be opened
	Surplus   Outcome = "surplus"    // not started: too many requests in flight
	Malformed Outcome = "malformed"  // no known outcome in the answer
	Mismatch  Outcome = "mismatched" // answered, but cut, damaged or another request's
)

// Record is one request and what became of it.
type Record struct {
	Token      string
	Request    string // identity given by the entry host
	Class      string
	Service    string
	Repeatable bool
	Outcome    Outcome
	Reason     string
	Latency    time.Duration
}

const (
	// maxLatency bounds the histograms; requests time out after 30 s.
	maxLatency = time.Minute
	// significantDigits of the histograms: an error of 0.1%.
	significantDigits = 3
	maxReasons        = 20
)

// Result is the outcome of a run. Its methods may be used while the run goes on.
type Result struct {
	mu         sync.Mutex // guards all fields
	started    time.Time
	took       time.Duration
	records    []Record
	histograms map[string]*hdrhistogram.Histogram // answered requests by class
	requests   map[string]string                  // identity to token
	problems   []string
	jobs       JobCounts
}

// JobCounts counts submissions and the last known states of jobs.
type JobCounts struct {
	Submitted int // accepted
	Refused   int // answered with an error
	Unknown   int // no answer
	Finished  int
	Failed    int
	Open      int // neither finished nor failed at the end
	Evictions int
	Took      time.Duration // from the first submission to the last end seen
}

func newResult() *Result {
	return &Result{started: time.Now(), histograms: make(map[string]*hdrhistogram.Histogram), requests: make(map[string]string)}
}

func (r *Result) add(rec Record, problem error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records = append(r.records, rec)
	if problem != nil && len(r.problems) < maxReasons {
		r.problems = append(r.problems, fmt.Sprintf("request %s (token %s): %v", rec.Request, rec.Token, problem))
	}
	if rec.Request != "" {
		if t, ok := r.requests[rec.Request]; ok {
			r.problems = append(r.problems, fmt.Sprintf("requests %s and %s have the same identity %s", t, rec.Token, rec.Request))
		}
		r.requests[rec.Request] = rec.Token
	}
	if rec.Outcome != Answered {
		return
	}
	h := r.histograms[rec.Class]
	if h == nil {
		h = hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
		r.histograms[rec.Class] = h
	}
	if err := h.RecordValue(min(rec.Latency, maxLatency).Microseconds()); err != nil {
		r.problems = append(r.problems, err.Error())
	}
}

// Records returns all requests that ended so far.
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

// Quantile returns a latency of the answered requests of a class; q is between 0 and 1.
func (r *Result) Quantile(class string, q float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.histograms[class]
	if h == nil {
		return 0
	}
	return time.Duration(h.ValueAtQuantile(100*q)) * time.Microsecond
}

// Problems returns what was wrong with answers, at most 20 of them.
func (r *Result) Problems() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.problems)
}

// Violations compares the outcomes with how often each token ran: a request that was
// said not to have run, one that may not be repeated and ran twice, and one that was
// answered without having run. The last check needs complete counts: those of a backend
// server that was killed are lost.
func (r *Result) Violations(ran map[string]int, complete bool) []string {
	var out []string
	for _, rec := range r.Records() {
		n := ran[rec.Token]
		switch {
		case rec.Outcome == NotRun && n > 0:
			out = append(out, fmt.Sprintf("request %s was said not to have run (%s) and ran %d times", rec.Request, rec.Reason, n))
		case !rec.Repeatable && n > 1:
			out = append(out, fmt.Sprintf("request %s may not be repeated and ran %d times", rec.Request, n))
		case complete && rec.Outcome == Answered && n == 0:
			out = append(out, fmt.Sprintf("request %s was answered and did not run", rec.Request))
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
	j, took, answered, problems := r.jobs, r.took, 0, slices.Clone(r.problems)
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
