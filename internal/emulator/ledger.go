package emulator

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"peridotpitch/internal/commander"
)

// Run is one execution of a task on a machine. Times are of the wall clock, so that the
// runs of several processes of one host can be compared.
type Run struct {
	Task      string
	Attempt   int
	Kind      commander.TaskKind
	Worker    string
	Started   time.Time
	Ended     time.Time // zero while it runs
	State     commander.TaskState
	FromWork  time.Duration // work done before this run, from the checkpoint
	ToWork    time.Duration // work done at its end
	SavedWork string        // last complete checkpoint at its end
}

// Ledger records all runs on the machines that share it.
type Ledger struct {
	mu       sync.Mutex // guards all fields and what runs point to
	runs     []*Run
	machines []*Machine
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{} }

func (l *Ledger) register(m *Machine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.machines = append(l.machines, m)
}

func (l *Ledger) started(worker string, c commander.Command, from time.Duration, at time.Time) *Run {
	r := &Run{Task: c.Task, Attempt: c.Attempt, Kind: c.Kind, Worker: worker, Started: at, FromWork: from}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
	return r
}

func (l *Ledger) ended(r *Run, state commander.TaskState, work time.Duration, saved string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.Ended, r.State, r.ToWork, r.SavedWork = at, state, work, saved
}

// Runs brings the machines up to the present and returns a copy of all runs so far.
func (l *Ledger) Runs() []Run {
	l.mu.Lock()
	machines := slices.Clone(l.machines)
	l.mu.Unlock()
	for _, m := range machines {
		m.Advance() // takes the machine's lock, which comes before the ledger's
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	rs := make([]Run, 0, len(l.runs))
	for _, r := range l.runs {
		rs = append(rs, *r)
	}
	return rs
}

// Violations returns in words each case in which the runs break a guarantee: a batch
// task in two places at once, an attempt run twice, or a finished task run again.
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
			out = append(out, compareRuns(rs[:i], rs[i], now)...)
		}
	}
	slices.SortFunc(out, cmp.Compare[string])
	return out
}

// compareRuns checks r against the runs of the same task that started before it.
func compareRuns(before []Run, r Run, now time.Time) []string {
	var out []string
	for _, b := range before {
		end := b.Ended
		if end.IsZero() {
			end = now
		}
		if r.Started.Before(end) {
			out = append(out, fmt.Sprintf("task %s ran in two places: attempt %d on %s until %s, attempt %d on %s from %s",
				r.Task, b.Attempt, b.Worker, end.Format(time.StampMilli), r.Attempt, r.Worker, r.Started.Format(time.StampMilli)))
		}
		if b.Attempt == r.Attempt {
			out = append(out, fmt.Sprintf("attempt %d of task %s ran on %s and on %s", r.Attempt, r.Task, b.Worker, r.Worker))
		}
		if b.State == commander.TaskFinished {
			out = append(out, fmt.Sprintf("task %s ran again on %s after it had finished on %s", r.Task, r.Worker, b.Worker))
		}
	}
	return out
}
