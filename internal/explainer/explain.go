package explainer

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"peridotpitch/internal/orchestrator"
)

// NotFoundError reports that no log line names a job, task or worker.
type NotFoundError struct{ ID string }

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("no line names %s: check the ID, and that the logs are of the host that the caller reached and of the leader", e.ID)
}

// concerns reports whether a line names the job, task or worker id, or a task of the job.
func concerns(l Line, id string) bool {
	task := l.Value("Task")
	return l.Value("Job") == id || l.Value("Worker") == id || task == id || strings.HasPrefix(task, id+".")
}

// clusterEvents affect all jobs: changes of the leader, of the configuration in effect and of
// the store's availability, and gaps in the log.
var clusterEvents = []string{
	"ElectionWon", "Leading", "HandedOver", "StepAside", "StepDown", "LeadershipEnded",
	"ConfigurationApplied", "StoreLost", "StoreRegained", "LogDropped",
}

// workerEvents change a worker's state, or the speed limit of best-effort tasks on it.
var workerEvents = []string{
	orchestrator.EventWorkerLost, orchestrator.EventWorkerReached, orchestrator.EventWorkerQuarantined, orchestrator.EventThrottle,
}

// Explain writes the lines about a job, a task or a worker in order of time, and a summary of
// a job that has ended. Between the first and the last of these lines, it adds lines with
// cluster events, and lines with events of workers on which the job has a run at that time. It
// marks added lines with "*".
func (lg *Log) Explain(w io.Writer, id string) error {
	first := slices.IndexFunc(lg.Lines, func(l Line) bool { return concerns(l, id) })
	if first < 0 {
		return &NotFoundError{ID: id}
	}
	last := first
	for i, l := range lg.Lines {
		if concerns(l, id) {
			last = i
		}
	}
	start := lg.Lines[first].Time
	runsByWorker := make(map[string]map[string]bool)
	for _, l := range lg.Lines[first : last+1] {
		mark := " "
		switch {
		case concerns(l, id):
			trackRuns(runsByWorker, l)
		case slices.Contains(clusterEvents, l.Event), slices.Contains(workerEvents, l.Event) && len(runsByWorker[l.Value("Worker")]) > 0:
			mark = "*"
		default:
			continue
		}
		if _, err := fmt.Fprintf(w, "%9s %s %s\n", "+"+l.Time.Sub(start).Round(time.Millisecond).String(), mark, l); err != nil {
			return err
		}
	}
	for _, s := range lg.summarizeJobs(func(job string) bool { return job == id }) {
		if _, err := fmt.Fprintf(w, "%s\n", s); err != nil {
			return err
		}
	}
	return nil
}

// trackRuns updates the runs of a job on each worker with a line about the job.
func trackRuns(runsByWorker map[string]map[string]bool, l Line) {
	worker, run := l.Value("Worker"), l.Value("Task")+"/"+l.Value("Run")
	if worker == "" {
		return
	}
	switch l.Event {
	case orchestrator.EventStart, orchestrator.EventAdopt, orchestrator.EventCopy:
		if runsByWorker[worker] == nil {
			runsByWorker[worker] = make(map[string]bool)
		}
		runsByWorker[worker][run] = true
	case orchestrator.EventEnd, orchestrator.EventRunLost, orchestrator.EventStartRefused:
		delete(runsByWorker[worker], run)
	}
}
