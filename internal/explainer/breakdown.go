package explainer

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"peridotpitch/internal/orchestrator"
)

// span is the life of one job, from when it was known to a leader to its final state.
type span struct {
	queue, outcome string
	late           bool
	added, ended   time.Time

	// Parts of the time between: a moment counts as running if all begun and ready tasks
	// run, as partly if some wait for a worker beside others that run, and as waiting if
	// none runs. Ready tasks are known only once they have started, so that a moment
	// counts as partly if a task starts later than it could have.
	waiting, partly, running time.Duration

	runs, done, failed, stopped, lost int
	ran                               time.Duration // of runs that ended well
	wasted                            time.Duration // of other runs
}

func (s *span) String() string {
	return fmt.Sprintf("%s after %s: no run %s, some tasks waiting %s, all running %s; %d runs: %d done, %d failed, %d stopped, %d lost",
		s.outcome, s.ended.Sub(s.added).Round(time.Millisecond), s.waiting.Round(time.Millisecond), s.partly.Round(time.Millisecond),
		s.running.Round(time.Millisecond), s.runs, s.done, s.failed, s.stopped, s.lost)
}

// interval is a stretch of a job's life in which a task ran, or waited for a worker.
type interval struct{ from, to time.Time }

// history is what the lines tell of one job while they are read.
type history struct {
	span
	begun map[string]time.Time // starts of runs that have not ended
	ran   []interval
	waits []interval
}

// spans returns the jobs that satisfy a condition and whose final state is in the log.
func (g *Log) spans(wanted func(id string) bool) []*span {
	all := make(map[string]*history)
	var ids []string
	for _, l := range g.Lines {
		id := l.Value("Job")
		if id == "" || !wanted(id) {
			continue
		}
		h := all[id]
		if h == nil {
			if l.Event != orchestrator.EventJobAdded {
				continue
			}
			h = &history{begun: make(map[string]time.Time)}
			h.added = l.At
			all[id] = h
			ids = append(ids, id)
		}
		h.take(l)
	}
	var ss []*span
	for _, id := range ids {
		if h := all[id]; h.outcome != "" {
			h.divide()
			ss = append(ss, &h.span)
		}
	}
	return ss
}

// take adds a line to the history.
func (h *history) take(l Line) {
	run := l.Value("Task") + "/" + l.Value("Run")
	switch l.Event {
	case orchestrator.EventJobAdded:
		if queue := l.Value("Queue"); queue != "" {
			h.queue = queue
		}
	case orchestrator.EventStart:
		h.runs++
		h.begun[run] = l.At
		if waited, err := time.ParseDuration(input(l, "Waited")); err == nil {
			h.waits = append(h.waits, interval{l.At.Add(-waited), l.At})
		}
	case orchestrator.EventAdopt:
		if _, known := h.begun[run]; !known {
			h.runs++
			h.begun[run] = l.At
		}
	case orchestrator.EventEnd, orchestrator.EventRunLost, orchestrator.EventStartRefused:
		h.end(run, l)
	case orchestrator.EventJobFinished:
		h.outcome, h.ended, h.late = l.Value("Outcome"), l.At, input(l, "Late") == "true"
	}
}

func (h *history) end(run string, l Line) {
	from, known := h.begun[run]
	if !known {
		return
	}
	delete(h.begun, run)
	h.span.end(l, l.At.Sub(from))
	h.ran = append(h.ran, interval{from, l.At})
}

func (s *span) end(l Line, took time.Duration) {
	switch {
	case l.Event == orchestrator.EventEnd && l.Value("Outcome") == string(orchestrator.EndDone):
		s.done++
		s.ran += took
		return
	case l.Event == orchestrator.EventEnd && l.Value("Outcome") == string(orchestrator.EndFailed):
		s.failed++
	case l.Event == orchestrator.EventEnd:
		s.stopped++
	default:
		s.lost++
	}
	s.wasted += took
}

// input returns one of the figures in a line's Inputs.
func input(l Line, key string) string {
	for _, word := range strings.Fields(l.Value("Inputs")) {
		if k, v, ok := strings.Cut(word, "="); ok && k == key {
			return v
		}
	}
	return ""
}

// divide splits the job's life into its parts.
func (h *history) divide() {
	for run, from := range h.begun { // ended by the job's end, unseen
		h.ran = append(h.ran, interval{from, h.ended})
		delete(h.begun, run)
	}
	cuts := []time.Time{h.added, h.ended}
	for _, i := range slices.Concat(h.ran, h.waits) {
		cuts = append(cuts, i.from, i.to)
	}
	slices.SortFunc(cuts, time.Time.Compare)
	for i := 1; i < len(cuts); i++ {
		from, to := cuts[i-1], cuts[i]
		if from.Before(h.added) || to.After(h.ended) {
			continue
		}
		switch {
		case !covers(h.ran, from, to):
			h.waiting += to.Sub(from)
		case covers(h.waits, from, to):
			h.partly += to.Sub(from)
		default:
			h.running += to.Sub(from)
		}
	}
}

func covers(is []interval, from, to time.Time) bool {
	return slices.ContainsFunc(is, func(i interval) bool { return !i.from.After(from) && !i.to.Before(to) })
}

// Breakdown writes for each queue how its finished jobs fared and where their time went,
// as means in seconds.
func (g *Log) Breakdown(w io.Writer) error {
	queues := make(map[string][]*span)
	for _, s := range g.spans(func(string) bool { return true }) {
		queues[s.queue] = append(queues[s.queue], s)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	head := []string{"QUEUE", "JOBS", "TIMELY", "LATE", "FAILED", "CANCELLED", "TIME", "NO RUN", "PARTLY", "RUNNING", "RUNS", "DONE", "FAILED", "STOPPED", "LOST", "WASTED"}
	if _, err := fmt.Fprintln(t, strings.Join(head, "\t")); err != nil {
		return err
	}
	for _, queue := range slices.Sorted(maps.Keys(queues)) {
		if _, err := fmt.Fprintln(t, strings.Join(row(queue, queues[queue]), "\t")); err != nil {
			return err
		}
	}
	return t.Flush()
}

func row(queue string, ss []*span) []string {
	var timely, late, failed, cancelled int
	var sum span
	var life time.Duration
	for _, s := range ss {
		switch orchestrator.State(s.outcome) {
		case orchestrator.StateSucceeded:
			if s.late {
				late++
			} else {
				timely++
			}
		case orchestrator.StateFailed:
			failed++
		case orchestrator.StateCancelled:
			cancelled++
		}
		life += s.ended.Sub(s.added)
		sum.waiting += s.waiting
		sum.partly += s.partly
		sum.running += s.running
		sum.runs += s.runs
		sum.done += s.done
		sum.failed += s.failed
		sum.stopped += s.stopped
		sum.lost += s.lost
		sum.ran += s.ran
		sum.wasted += s.wasted
	}
	n := len(ss)
	mean := func(d time.Duration) string { return fmt.Sprintf("%.2f", d.Seconds()/float64(n)) }
	share := "-"
	if total := sum.ran + sum.wasted; total > 0 {
		share = fmt.Sprintf("%.0f%%", 100*sum.wasted.Seconds()/total.Seconds())
	}
	cells := []string{queue}
	for _, k := range []int{n, timely, late, failed, cancelled} {
		cells = append(cells, strconv.Itoa(k))
	}
	cells = append(cells, mean(life), mean(sum.waiting), mean(sum.partly), mean(sum.running))
	for _, k := range []int{sum.runs, sum.done, sum.failed, sum.stopped, sum.lost} {
		cells = append(cells, strconv.Itoa(k))
	}
	return append(cells, share)
}
