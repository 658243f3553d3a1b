package orchestrator

import "time"

// Action is an instruction to the caller of Orchestrator.Apply. The types of this file
// implement it.
type Action interface{ action() }

// StartRun starts a run. The answer comes back as StartAnswered.
type StartRun struct {
	Worker        string
	Incarnation   int64  // the worker's process that the start is meant for
	Fence         uint64 // see worker.fence
	FailureDomain string // of the worker
	Task          string
	Run           int
	Spec          string
	LeaseEnd      time.Duration // on the worker's clock
	Saved         string        // checkpoint to start from; empty: none
	Ticket        string        // of the outside policy; empty: none
}

// StopRun stops a run. The answer comes back as StopAnswered.
type StopRun struct {
	Worker      string
	Incarnation int64 // the worker's process that the stop is meant for
	Fence       uint64
	Task        string
	Run         int
}

// ThrottleRun sets the speed limit of a run, in percent of its full speed. The answer comes
// back as ThrottleAnswered.
type ThrottleRun struct {
	Worker      string
	Incarnation int64 // the worker's process that the limit is meant for
	Fence       uint64
	Task        string
	Run         int
	Percent     int
}

// StartPolling starts polling a worker, or changes its address.
type StartPolling struct {
	Worker   WorkerEntry
	Recorded bool // the record of an unfinished job names a run on the worker
}

// StopPolling stops polling a worker.
type StopPolling struct{ ID string }

// RequestAdvice asks the outside policy which of the workers may run a step. The answer comes back as AdviceAnswered, and there is no other
// request before.
type RequestAdvice struct {
	Step    string
	Workers []string
	Timeout time.Duration // for the answer
}

// WriteSoon requests a write of NextBatch without delay, because callers wait for it.
type WriteSoon struct{}

// RemoveCancel removes a request to cancel a job that has not come within the retention from the store, unless the request has
// changed or its job has come since.
type RemoveCancel struct {
	ID       string
	Revision uint64 // of the request
}

// StepDown ends the leadership, because a later leader exists.
type StepDown struct{ Reason string }

// Note is a decision or an observation, for the log and the explain command.
type Note struct {
	Event   string // one of Events
	Job     string
	Queue   string // of a finished job
	Task    string
	Run     int
	Worker  string
	Outcome string
	Reason  string
	Age     time.Duration // of the figures on which the decision is based, or of the run or job
	Figures string        // figures on which the decision is based, as key=value pairs
}

func (StartRun) action()      {}
func (StopRun) action()       {}
func (ThrottleRun) action()   {}
func (StartPolling) action()  {}
func (StopPolling) action()   {}
func (RequestAdvice) action() {}
func (WriteSoon) action()     {}
func (RemoveCancel) action()  {}
func (StepDown) action()      {}
func (Note) action()          {}
