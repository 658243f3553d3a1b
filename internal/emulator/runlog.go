package emulator

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"peridotpitch/internal/commander"
)

// Run is one execution of a task on a machine. Its times are wall-clock times, so that
// runs recorded by several processes on one host can be compared.
type Run struct {
	Task      string
	Attempt   int
	Kind      commander.TaskKind
	Worker    string
	Started   time.Time
	Ended     time.Time // zero while it runs
	State     commander.TaskState
	FromWork  time.Duration // work of earlier runs, restored from the checkpoint
	ToWork    time.Duration // work done when the run ended, including FromWork
	SavedWork string        // content of the last complete checkpoint when the run ended
}

// RunLog records the runs of all machines that share it.
type RunLog struct {
	mu       sync.Mutex // guards all fields and the elements of runs
	runs     []*Run
	machines []*Machine
}

// NewRunLog returns an empty run log.
func NewRunLog() *RunLog { return &RunLog{} }

func (l *RunLog) register(m *Machine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.machines = append(l.machines, m)
}

func (l *RunLog) recordStart(worker string, c commander.Command, fromWork time.Duration, at time.Time) *Run {
	r := &Run{Task: c.Task, Attempt: c.Attempt, Kind: c.Kind, Worker: worker, Started: at, FromWork: fromWork}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
	return r
}

func (l *RunLog) recordEnd(r *Run, state commander.TaskState, work time.Duration, checkpoint string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.Ended, r.State, r.ToWork, r.SavedWork = at, state, work, checkpoint
}

// Runs advances the machines to the current time and returns a copy of all runs so far.
func (l *RunLog) Runs() []Run {
	l.mu.Lock()
	machines := slices.Clone(l.machines)
	l.mu.Unlock()
	for _, m := range machines {
		m.Advance() // locks the machine, which must not happen while l.mu is held
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	rs := make([]Run, 0, len(l.runs))
	for _, r := range l.runs {
		rs = append(rs, *r)
	}
	return rs
}

// Violations describes each case in which the runs violate a guarantee: a batch task that
// runs twice at the same time, an attempt that runs twice, or a finished task that runs
// again.
func Violations(runs []Run, now time.Time) []string {
	byTask := make(map[string][]Run)
	for _, r := range runs {
		if r.Kind == commander.KindBatch {
			byTask[r.Task] = append(byTask[r.Task], r)
		}
	}
	var out []string
	for _, rs := range byTask {
		slices.SortFunc(rs, func(a, b Run) int { return a.Started.Compare(b.Started) })
		for i := 1; i < len(rs); i++ {
			out = append(out, checkRun(rs[:i], rs[i], now)...)
		}
	}
	slices.SortFunc(out, cmp.Compare[string])
	return out
}

// checkRun returns the violations of r, given the earlier runs of the same task.
func checkRun(earlier []Run, r Run, now time.Time) []string {
	var out []string
	for _, e := range earlier {
		end := e.Ended
		if end.IsZero() {
			end = now
		}
		if r.Started.Before(end) {
			out = append(out, fmt.Sprintf("task %s ran twice at the same time: attempt %d on %s until %s, attempt %d on %s from %s",
				r.Task, e.Attempt, e.Worker, end.Format(time.StampMilli), r.Attempt, r.Worker, r.Started.Format(time.StampMilli)))
		}
		if e.Attempt == r.Attempt {
			out = append(out, fmt.Sprintf("attempt %d of task %s ran twice: on %s and on %s", r.Attempt, r.Task, e.Worker, r.Worker))
		}
		if e.State == commander.TaskFinished {
			out = append(out, fmt.Sprintf("task %s ran again on %s after it had finished on %s", r.Task, r.Worker, e.Worker))
		}
	}
	return out
}
