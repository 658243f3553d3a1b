package explainer

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"peridotpitch/internal/orchestrator"
)

// NotFoundError says that no line names a job or worker.
type NotFoundError struct{ ID string }

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("no line names %s: check the ID, and that the logs are of the host that the caller reached and of the leader", e.ID)
}

// about reports whether a line names a job, one of its tasks, or a worker.
func about(l Line, id string) bool {
	task := l.Value("Task")
	return l.Value("Job") == id || l.Value("Worker") == id || task == id || strings.HasPrefix(task, id+".")
}

// hostEvents change what all jobs meet: who leads, which configuration is in force, and
// whether the store answers.
var hostEvents = []string{
	"ElectionWon", "Leading", "HandedOver", "StepAside", "StepDown", "LeadershipEnded",
	"ConfigurationApplied", "StoreLost", "StoreRegained", "LogDropped",
}

// workerEvents change what is believed of a worker.
var workerEvents = []string{
	orchestrator.EventWorkerLost, orchestrator.EventWorkerReached, orchestrator.EventWorkerAvoided, orchestrator.EventPace,
}

// Explain writes the lines about a job, a task or a worker in the order of time. Marked
// with "*" stand the lines of that time about the hosts, and about workers while a run of
// the job was there.
func (g *Log) Explain(w io.Writer, id string) error {
	first := slices.IndexFunc(g.Lines, func(l Line) bool { return about(l, id) })
	if first < 0 {
		return &NotFoundError{ID: id}
	}
	last := first
	for i, l := range g.Lines {
		if about(l, id) {
			last = i
		}
	}
	start := g.Lines[first].At
	on := make(map[string]map[string]bool) // runs of the job by worker
	for _, l := range g.Lines[first : last+1] {
		mark := " "
		switch {
		case about(l, id):
			follow(on, l)
		case slices.Contains(hostEvents, l.Event), slices.Contains(workerEvents, l.Event) && len(on[l.Value("Worker")]) > 0:
			mark = "*"
		default:
			continue
		}
		if _, err := fmt.Fprintf(w, "%9s %s %s\n", "+"+l.At.Sub(start).Round(time.Millisecond).String(), mark, l); err != nil {
			return err
		}
	}
	for _, s := range g.spans(func(job string) bool { return job == id }) {
		if _, err := fmt.Fprintf(w, "%s\n", s); err != nil {
			return err
		}
	}
	return nil
}

// follow keeps account of the workers on which a job has runs.
func follow(on map[string]map[string]bool, l Line) {
	worker, run := l.Value("Worker"), l.Value("Task")+"/"+l.Value("Run")
	if worker == "" {
		return
	}
	switch l.Event {
	case orchestrator.EventStart, orchestrator.EventAdopt, orchestrator.EventCopy:
		if on[worker] == nil {
			on[worker] = make(map[string]bool)
		}
		on[worker][run] = true
	case orchestrator.EventEnd, orchestrator.EventRunLost, orchestrator.EventStartRefused:
		delete(on[worker], run)
	}
}
