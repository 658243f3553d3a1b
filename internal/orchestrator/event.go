package orchestrator

import (
	"net/netip"
	"time"
)

// Event is an input of the state machine. The types of this file implement it.
type Event interface{ event() }

// Inherited is the state that an earlier leader left in the store. No task starts before this
// event.
type Inherited struct {
	Jobs     []InheritedJob
	Finished []Record // jobs in a final state
	// EarlyCancels are the requests to cancel jobs that are not in the store.
	EarlyCancels []CancelRequested
	Roster       Roster
	Statistics   WorkloadStatistics
	HandedOff    bool // the earlier leader stopped sending commands before it wrote its last records
}

// InheritedJob is a job in the store.
type InheritedJob struct {
	Job       Job
	Revision  uint64
	Record    *Record // nil: none was written
	Cancelled bool
}

// JobAccepted reports that a job is in the store.
type JobAccepted struct {
	Job      Job
	Revision uint64
}

// CancelRequested reports that the request to cancel a job is in the store.
type CancelRequested struct {
	ID       string
	Revision uint64    // of the request in the store; 0: unknown
	StoredAt time.Time // by the clock of the host that has stored it; zero: unknown
	Source   CancelSource
}

// CancelSource is how a leader has learned of a request to cancel a job.
type CancelSource string

// Values of CancelSource.
const (
	CancelNotice    CancelSource = "notice"    // from the host that has stored it
	CancelWatched   CancelSource = "watched"   // as a change in the store
	CancelListed    CancelSource = "listed"    // with all inputs, because the store has dropped its history
	CancelInherited CancelSource = "inherited" // with the state that earlier leaders stored
)

// WorkerEntry is a worker as the platform's discovery lists it.
type WorkerEntry struct {
	ID            string
	Service       string
	Address       netip.AddrPort
	FailureDomain string
	Rack          string
	Labels        []string
	Capacity      Resources
	Draining      bool
	Warmup        time.Duration // how much longer the worker is slow after its start; 0: not slow
	WrittenBy     int64         // incarnation of the process that wrote the entry, see PollAnswered; 0: not known
}

// WorkersListed reports the complete list of workers.
type WorkersListed struct {
	Workers []WorkerEntry
	SentAt  time.Time // when the list was requested
}

// WorkersWatched reports that all changes of workers' entries before SentAt have been reported.
type WorkersWatched struct{ SentAt time.Time }

// WorkerListed reports a new or changed entry of a worker.
type WorkerListed struct{ Worker WorkerEntry }

// WorkerUnlisted reports that a worker's entry has been removed.
type WorkerUnlisted struct{ ID string }

// EvacuationsListed reports the complete list of the failure domains that operators evacuate.
type EvacuationsListed struct{ FailureDomains []string }

// RunningRun is a run that a worker lists as running.
type RunningRun struct {
	Task    string
	Run     int
	Saved   string // reference to the last checkpoint
	Percent int    // progress; of a long-running task 100 once it is ready
	Figure  int    // tail latency in ms of a task with a latency target, else millicores in use; 0: unknown
}

// EndCause is how a run ended.
type EndCause string

// Values of EndCause.
const (
	EndDone           EndCause = "done"
	EndFailed         EndCause = "failed"
	EndStopped        EndCause = "stopped"
	EndExpired        EndCause = "lapsed" // its lease ended
	EndGangBroken     EndCause = "broken" // another member of its gang has ended
	EndGangIncomplete EndCause = "alone"  // the other members of its gang have not started
)

// EndedRun is a run that a worker lists as ended.
type EndedRun struct {
	Number int // number of the end; increases within one incarnation of the worker
	Task   string
	Run    int
	How    EndCause
	Saved  string
}

// PollAnswered is a worker's answer to a poll.
type PollAnswered struct {
	Worker         string
	Incarnation    int64         // identifies the worker's process
	Clock          time.Duration // the worker's clock
	SentAt         time.Time
	ReceivedAt     time.Time
	Running        []RunningRun
	Ended          []EndedRun
	DrainRemaining time.Duration // how long a draining worker still serves; 0: unknown
}

// PollFailed reports that a poll got no usable answer.
type PollFailed struct {
	Worker   string
	Replaced bool   // another worker answers at the address: this one has ended
	Fenced   bool   // the worker has accepted a higher fence
	Fence    uint64 // of the poll
}

// StartOutcome is a worker's answer to a start.
type StartOutcome string

// Values of StartOutcome.
const (
	StartAccepted   StartOutcome = "accepted"
	StartFenced     StartOutcome = "fenced"    // the worker has accepted a higher fence
	StartSuperseded StartOutcome = "old"       // the run was stopped or has ended on the worker
	StartExpired    StartOutcome = "late"      // the lease had ended when the start arrived
	StartNoCapacity StartOutcome = "no room"   // the worker has too little free capacity
	StartNoTicket   StartOutcome = "no ticket" // the outside policy's ticket is missing or no longer valid
	StartUnhealthy  StartOutcome = "unhealthy" // the worker is unhealthy and has not started the run
	StartInvalid    StartOutcome = "invalid"
	StartReplaced   StartOutcome = "replaced"   // another worker answers at the address
	StartNotSent    StartOutcome = "not sent"   // the start has not left this host
	StartDeferred   StartOutcome = "deferred"   // the start has not left this host, which lacks the connections to send any
	StartUnanswered StartOutcome = "unanswered" // the run may have started, or may start later
)

// StartAnswered reports the outcome of a StartRun.
type StartAnswered struct {
	Worker      string
	Incarnation int64  // the worker's process that the start was meant for
	Fence       uint64 // of the start
	Task        string
	Run         int
	Outcome     StartOutcome
	Clock       time.Duration // the worker's clock; 0: not in the answer
	SentAt      time.Time
	ReceivedAt  time.Time
}

// StopAnswered reports the outcome of a StopRun.
type StopAnswered struct {
	Worker      string
	Incarnation int64  // the worker's process that the stop was meant for
	Fence       uint64 // of the stop
	Task        string
	Run         int
	Answered    bool
	Fenced      bool
}

// ThrottleAnswered reports the outcome of a ThrottleRun.
type ThrottleAnswered struct {
	Worker      string
	Incarnation int64 // the worker's process that the limit was meant for
	Task        string
	Run         int
	Percent     int
	Answered    bool
}

// Confirmed reports that the leadership was confirmed: no other leader had been elected at
// SentAt.
type Confirmed struct {
	SentAt   time.Time
	Revision uint64 // of the write that confirmed it; it is below the epochs of later leaders. 0: not known
}

// Written reports that a batch from NextBatch is in the store.
type Written struct{ Batch Batch }

// AdviceAnswered is the outside policy's answer to a RequestAdvice.
type AdviceAnswered struct {
	Step       string // as in the request
	Asked      []string
	Tickets    map[string]string // by worker; workers without one are not allowed
	Valid      time.Duration     // of the tickets, from the answer on
	AnsweredAt time.Time         // when the answer arrived
	Failed     bool              // no answer
}

// HandOver ends this leadership. From then on the leader sends no commands, and its records
// name the workers of all runs.
type HandOver struct{}

// Tick is sent at short intervals, for the work that depends only on time.
type Tick struct {
	// WallOffset is how far the time of day, to which schedules refer, is ahead of the time
	// of events.
	WallOffset time.Duration
	// Lag is how late the leader is: its events wait that long until they are applied.
	Lag time.Duration
}

func (Inherited) event()         {}
func (JobAccepted) event()       {}
func (CancelRequested) event()   {}
func (WorkersListed) event()     {}
func (WorkerListed) event()      {}
func (WorkersWatched) event()    {}
func (WorkerUnlisted) event()    {}
func (EvacuationsListed) event() {}
func (PollAnswered) event()      {}
func (PollFailed) event()        {}
func (StartAnswered) event()     {}
func (StopAnswered) event()      {}
func (ThrottleAnswered) event()  {}
func (Confirmed) event()         {}
func (Written) event()           {}
func (AdviceAnswered) event()    {}
func (HandOver) event()          {}
func (Tick) event()              {}
