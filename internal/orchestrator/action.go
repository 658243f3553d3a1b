package orchestrator

import "time"

// Action is something that the caller of Step must do. The types of this file
// implement it.
type Action interface{ action() }

// StartRun starts a run. The answer comes back as StartAnswered.
type StartRun struct {
	Worker   string
	Task     string
	Run      int
	Spec     string
	Deadline time.Duration // on the worker's clock
	Saved    string
	Ticket   string
}

// StopRun stops a run. The answer comes back as StopAnswered.
type StopRun struct {
	Worker string
	Task   string
	Run    int
}

// PaceRun sets the share of its speed that a run may use. The answer comes back as
// PaceAnswered.
type PaceRun struct {
	Worker  string
	Task    string
	Run     int
	Percent int
}

// WatchWorker starts to look at a worker, or changes its address.
type WatchWorker struct{ Worker WorkerEntry }

// ForgetWorker ends the looks at a worker.
type ForgetWorker struct{ ID string }

// AskAdvice asks the outside policy which of the workers may run a step. The answer
// comes back as Advised.
type AskAdvice struct {
	Step    string
	Workers []string
}

// WriteSoon says that NextBatch has something that callers wait for.
type WriteSoon struct{}

// StepDown says that a newer leader exists.
type StepDown struct{ Reason string }

// Note is a decision for the log and for explain.
type Note struct {
	Event   string // a name from Events
	Job     string
	Queue   string // of a finished job
	Task    string
	Run     int
	Worker  string
	Outcome string
	Reason  string
	Age     time.Duration // of the figures that decided
	Figures string        // the figures, as key=value pairs
}

func (StartRun) action()     {}
func (StopRun) action()      {}
func (PaceRun) action()      {}
func (WatchWorker) action()  {}
func (ForgetWorker) action() {}
func (AskAdvice) action()    {}
func (WriteSoon) action()    {}
func (StepDown) action()     {}
func (Note) action()         {}
