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

// jobSummary summarizes one job, from its first JobAdded line to its final state.
type jobSummary struct {
	queue, outcome   string
	late             bool
	addedAt, endedAt time.Time

	// The time from addedAt to endedAt is divided into time in which no task runs, in which
	// some tasks run while others are ready and wait for a worker, and in which tasks run
	// and none is known to wait (runningTime). The log names a waiting task only when it starts, with the
	// time that it has waited; a task that never starts is not counted as waiting.
	noRunTime, partlyWaitingTime, runningTime time.Duration

	runs, done, failed, stopped, lost int
	usefulRunTime                     time.Duration // of runs that ended with outcome done
	wastedRunTime                     time.Duration // of all other ended runs
}

func (s *jobSummary) String() string {
	return fmt.Sprintf("%s after %s: no run %s, some tasks waiting %s, all running %s; %d runs: %d done, %d failed, %d stopped, %d lost",
		s.outcome, s.endedAt.Sub(s.addedAt).Round(time.Millisecond), s.noRunTime.Round(time.Millisecond), s.partlyWaitingTime.Round(time.Millisecond),
		s.runningTime.Round(time.Millisecond), s.runs, s.done, s.failed, s.stopped, s.lost)
}

// interval is the time in which a task ran, or waited for a worker.
type interval struct{ from, to time.Time }

// jobBuilder builds the summary of one job from its log lines.
type jobBuilder struct {
	jobSummary
	openRuns      map[string]time.Time // start times of the runs that have not ended, by task and run
	runIntervals  []interval
	waitIntervals []interval
}

// summarizeJobs returns the summaries of the jobs whose IDs satisfy wanted, and whose
// addition and final state are in the log.
func (lg *Log) summarizeJobs(wanted func(id string) bool) []*jobSummary {
	builders := make(map[string]*jobBuilder)
	var ids []string
	for _, l := range lg.Lines {
		id := l.Value("Job")
		if id == "" || !wanted(id) {
			continue
		}
		b := builders[id]
		if b == nil {
			if l.Event != orchestrator.EventJobAdded {
				continue
			}
			b = &jobBuilder{openRuns: make(map[string]time.Time)}
			b.addedAt = l.Time
			builders[id] = b
			ids = append(ids, id)
		}
		b.addLine(l)
	}
	var summaries []*jobSummary
	for _, id := range ids {
		if b := builders[id]; b.outcome != "" {
			b.splitTime()
			summaries = append(summaries, &b.jobSummary)
		}
	}
	return summaries
}

// addLine updates the summary with a line about the job.
func (b *jobBuilder) addLine(l Line) {
	run := l.Value("Task") + "/" + l.Value("Run")
	switch l.Event {
	case orchestrator.EventJobAdded:
		if queue := l.Value("Queue"); queue != "" {
			b.queue = queue
		}
	case orchestrator.EventStart:
		b.runs++
		b.openRuns[run] = l.Time
		if waited, err := time.ParseDuration(inputValue(l, "Waited")); err == nil {
			b.waitIntervals = append(b.waitIntervals, interval{l.Time.Add(-waited), l.Time})
		}
	case orchestrator.EventAdopt:
		if _, known := b.openRuns[run]; !known {
			b.runs++
			b.openRuns[run] = l.Time
		}
	case orchestrator.EventEnd, orchestrator.EventRunLost, orchestrator.EventStartRefused:
		b.endRun(run, l)
	case orchestrator.EventJobFinished:
		b.outcome, b.endedAt, b.late = l.Value("Outcome"), l.Time, inputValue(l, "Late") == "true"
	}
}

func (b *jobBuilder) endRun(run string, l Line) {
	from, known := b.openRuns[run]
	if !known {
		return
	}
	delete(b.openRuns, run)
	b.jobSummary.countEnd(l, l.Time.Sub(from))
	b.runIntervals = append(b.runIntervals, interval{from, l.Time})
}

func (s *jobSummary) countEnd(l Line, took time.Duration) {
	switch {
	case l.Event == orchestrator.EventEnd && l.Value("Outcome") == string(orchestrator.EndDone):
		s.done++
		s.usefulRunTime += took
		return
	case l.Event == orchestrator.EventEnd && l.Value("Outcome") == string(orchestrator.EndFailed):
		s.failed++
	case l.Event == orchestrator.EventEnd:
		s.stopped++
	default: // lost, or refused at the start
		s.lost++
	}
	s.wastedRunTime += took
}

// inputValue returns the value of key in a line's field Inputs, which holds key=value pairs.
// The result is empty if the field does not have the key.
func inputValue(l Line, key string) string {
	for _, word := range strings.Fields(l.Value("Inputs")) {
		if k, v, ok := strings.Cut(word, "="); ok && k == key {
			return v
		}
	}
	return ""
}

// splitTime divides the time from the job's addition to its end into noRunTime,
// partlyWaitingTime and allRunningTime.
func (b *jobBuilder) splitTime() {
	for run, from := range b.openRuns { // runs whose end is not in the log count as running until the job's end
		b.runIntervals = append(b.runIntervals, interval{from, b.endedAt})
		delete(b.openRuns, run)
	}
	boundaries := []time.Time{b.addedAt, b.endedAt}
	for _, i := range slices.Concat(b.runIntervals, b.waitIntervals) {
		boundaries = append(boundaries, i.from, i.to)
	}
	slices.SortFunc(boundaries, time.Time.Compare)
	for i := 1; i < len(boundaries); i++ {
		from, to := boundaries[i-1], boundaries[i]
		if from.Before(b.addedAt) || to.After(b.endedAt) {
			continue
		}
		switch {
		case !anyCovers(b.runIntervals, from, to):
			b.noRunTime += to.Sub(from)
		case anyCovers(b.waitIntervals, from, to):
			b.partlyWaitingTime += to.Sub(from)
		default:
			b.runningTime += to.Sub(from)
		}
	}
}

// anyCovers reports whether one of the intervals contains all time between from and to.
func anyCovers(intervals []interval, from, to time.Time) bool {
	return slices.ContainsFunc(intervals, func(i interval) bool { return !i.from.After(from) && !i.to.Before(to) })
}

// Breakdown writes a table with a row for each queue: its ended jobs by outcome, the mean
// time of a job in seconds and its parts, its runs by outcome, and the share of run time
// that was wasted.
func (lg *Log) Breakdown(w io.Writer) error {
	queues := make(map[string][]*jobSummary)
	for _, s := range lg.summarizeJobs(func(string) bool { return true }) {
		queues[s.queue] = append(queues[s.queue], s)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	header := []string{"QUEUE", "JOBS", "TIMELY", "LATE", "FAILED", "CANCELLED", "TIME", "NO RUN", "PARTLY", "RUNNING", "RUNS", "DONE", "FAILED", "STOPPED", "LOST", "WASTED"}
	if _, err := fmt.Fprintln(t, strings.Join(header, "\t")); err != nil {
		return err
	}
	for _, queue := range slices.Sorted(maps.Keys(queues)) {
		if _, err := fmt.Fprintln(t, strings.Join(tableRow(queue, queues[queue]), "\t")); err != nil {
			return err
		}
	}
	return t.Flush()
}

func tableRow(queue string, summaries []*jobSummary) []string {
	var timely, late, failed, cancelled int
	var sum jobSummary
	var jobTime time.Duration // from addition to end
	for _, s := range summaries {
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
		jobTime += s.endedAt.Sub(s.addedAt)
		sum.noRunTime += s.noRunTime
		sum.partlyWaitingTime += s.partlyWaitingTime
		sum.runningTime += s.runningTime
		sum.runs += s.runs
		sum.done += s.done
		sum.failed += s.failed
		sum.stopped += s.stopped
		sum.lost += s.lost
		sum.usefulRunTime += s.usefulRunTime
		sum.wastedRunTime += s.wastedRunTime
	}
	n := len(summaries)
	mean := func(d time.Duration) string { return fmt.Sprintf("%.2f", d.Seconds()/float64(n)) }
	wasted := "-"
	if runTime := sum.usefulRunTime + sum.wastedRunTime; runTime > 0 {
		wasted = fmt.Sprintf("%.0f%%", 100*sum.wastedRunTime.Seconds()/runTime.Seconds())
	}
	cells := []string{queue}
	for _, k := range []int{n, timely, late, failed, cancelled} {
		cells = append(cells, strconv.Itoa(k))
	}
	cells = append(cells, mean(jobTime), mean(sum.noRunTime), mean(sum.partlyWaitingTime), mean(sum.runningTime))
	for _, k := range []int{sum.runs, sum.done, sum.failed, sum.stopped, sum.lost} {
		cells = append(cells, strconv.Itoa(k))
	}
	return append(cells, wasted)
}
