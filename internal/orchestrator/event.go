package orchestrator

import (
	"net/netip"
	"time"
)

// Event is something that the leader has learnt. The types of this file implement it.
type Event interface{ event() }

// Inherited is the state that an earlier leader left in the store. It comes first.
type Inherited struct {
	Jobs      []InheritedJob
	Finished  []Record // jobs in a final state
	Roster    Roster
	Learnt    Experience
	HandedOff bool // the earlier leader stopped sending before it wrote its last records
}

// InheritedJob is an unfinished job of the store.
type InheritedJob struct {
	Job       Job
	Revision  uint64
	Record    *Record // nil: none was written
	Cancelled bool
}

// JobAccepted says that a job stands in the store.
type JobAccepted struct {
	Job      Job
	Revision uint64
}

// CancelRequested says that the request to cancel a job stands in the store.
type CancelRequested struct{ ID string }

// WorkerEntry is a worker as the platform's discovery lists it.
type WorkerEntry struct {
	ID       string
	Service  string
	Address  netip.AddrPort
	Zone     string
	Rack     string
	Labels   []string
	Room     Resources
	Draining bool
	Warmup   time.Duration // how much longer the worker is slow after its start
}

// WorkersListed is the complete list of workers.
type WorkersListed struct{ Workers []WorkerEntry }

// WorkerListed is a new or changed worker.
type WorkerListed struct{ Worker WorkerEntry }

// WorkerUnlisted says that a worker's entry has gone.
type WorkerUnlisted struct{ ID string }

// RunningRow is a run that a worker lists as running.
type RunningRow struct {
	Task    string
	Run     int
	Saved   string
	Percent int // of its work; of a long-running task 100 when it is at work
	Figure  int // tail latency in ms of a task with a latency target, else millicores in use; 0: unknown
}

// EndHow says how a run ended.
type EndHow string

// How runs end.
const (
	EndDone    EndHow = "done"
	EndFailed  EndHow = "failed"
	EndStopped EndHow = "stopped"
	EndLapsed  EndHow = "lapsed" // its lease ended
	EndBroken  EndHow = "broken" // another member of its gang ended
	EndAlone   EndHow = "alone"  // the other members of its gang did not come
)

// EndedRow is a run that a worker lists as ended.
type EndedRow struct {
	Number int // of the end, rising for one incarnation of the worker
	Task   string
	Run    int
	How    EndHow
	Saved  string
}

// LookAnswered is a worker's answer to a look.
type LookAnswered struct {
	Worker     string
	Born       int64 // identifies the incarnation
	Clock      time.Duration
	SentAt     time.Time
	ReceivedAt time.Time
	Running    []RunningRow
	Ended      []EndedRow
	DrainLeft  time.Duration // how long a draining worker still serves; 0: unknown
}

// LookFailed says that a look got no usable answer.
type LookFailed struct {
	Worker   string
	Replaced bool // another worker answers at the address: this one has ended
	Fenced   bool // the worker knows a newer leader
}

// StartOutcome is a worker's answer to a start.
type StartOutcome string

// Outcomes of starts.
const (
	StartAccepted  StartOutcome = "accepted"
	StartFenced    StartOutcome = "fenced"    // the worker knows a newer leader
	StartOld       StartOutcome = "old"       // the run was stopped or has ended there
	StartLate      StartOutcome = "late"      // the lease had ended on arrival
	StartNoRoom    StartOutcome = "no room"   // does not fit
	StartNoTicket  StartOutcome = "no ticket" // the policy's ticket is missing or stale
	StartUnhealthy StartOutcome = "unhealthy" // the worker did nothing
	StartInvalid   StartOutcome = "invalid"
	StartReplaced  StartOutcome = "replaced"   // another worker answers at the address
	StartNotSent   StartOutcome = "not sent"   // nothing left this host
	StartUnknown   StartOutcome = "unanswered" // it may have started, or may start later
)

// StartAnswered is the outcome of a StartRun.
type StartAnswered struct {
	Worker  string
	Task    string
	Run     int
	Outcome StartOutcome
}

// StopAnswered is the outcome of a StopRun.
type StopAnswered struct {
	Worker   string
	Task     string
	Run      int
	Answered bool
	Fenced   bool
}

// PaceAnswered is the outcome of a PaceRun.
type PaceAnswered struct {
	Worker   string
	Task     string
	Run      int
	Percent  int
	Answered bool
}

// Confirmed says that at SentAt no other leader had been elected.
type Confirmed struct{ SentAt time.Time }

// Written says that a batch that NextBatch returned stands in the store.
type Written struct{ Batch Batch }

// Advised is the outside policy's answer on a step: the tickets by worker.
type Advised struct {
	Step    string // as in the request
	Asked   []string
	Tickets map[string]string
	Valid   time.Duration
	Failed  bool // no answer
}

// HandOver says that this leader stops. From then on it gives no orders, and its
// records name the worker of each run.
type HandOver struct{}

// Tick lets time pass.
type Tick struct {
	// WallOffset is how far the time of day, which schedules refer to, is ahead of the
	// time of events.
	WallOffset time.Duration
}

func (Inherited) event()       {}
func (JobAccepted) event()     {}
func (CancelRequested) event() {}
func (WorkersListed) event()   {}
func (WorkerListed) event()    {}
func (WorkerUnlisted) event()  {}
func (LookAnswered) event()    {}
func (LookFailed) event()      {}
func (StartAnswered) event()   {}
func (StopAnswered) event()    {}
func (PaceAnswered) event()    {}
func (Confirmed) event()       {}
func (Written) event()         {}
func (Advised) event()         {}
func (HandOver) event()        {}
func (Tick) event()            {}
