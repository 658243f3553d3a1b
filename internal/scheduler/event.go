package scheduler

import (
	"time"

	"peridotpitch/internal/commander"
	"peridotpitch/internal/configurator"
)

// Event is an input of Shard.Step. Times are readings of the caller's clock.
type Event interface{ event() }

// ConfigurationChanged puts a configuration into effect.
type ConfigurationChanged struct{ Configuration *configurator.Configuration }

// Claimed starts the ownership. Journal is the journal that the claim wrote. JobHistory is
// the stored history of ended jobs and may be empty.
type Claimed struct {
	Journal    Journal
	JobHistory []byte
}

// OwnershipLeaseChanged carries the ends of the ownership lease.
type OwnershipLeaseChanged struct {
	PlacingUntil time.Time // until when the owner may start, stop and evict tasks
	RunningUntil time.Time // until when the owner may extend the leases of running batch tasks
	// EarlierOwnersEndAt is the time by which every earlier owner's lease for running tasks has
	// ended; zero until it is known.
	EarlierOwnersEndAt time.Time
}

// SuccessorsChanged names the hosts that may claim the shard after this owner. The next
// journal write includes them.
type SuccessorsChanged struct{ Placing, Running []string }

// JobSubmitted submits a job. The answer is an AnswerSubmission with the same Request.
type JobSubmitted struct {
	Request uint64
	Spec    JobSpec
}

// CancellationRequested requests the cancellation of a job. The answer is an AnswerSubmission
// with the same Request.
type CancellationRequested struct {
	Request uint64
	Name    string
}

// JobsImported adds the jobs of another shard's journal to this shard. The answer is an
// AnswerImport once this shard's stored journal holds them.
type JobsImported struct {
	From string // shard whose jobs are imported
	Jobs []JobEntry
}

// WorkerEpochAccepted reports that a worker has accepted the owner's epoch.
type WorkerEpochAccepted struct {
	Worker             string
	Epoch              uint64
	Report             commander.Report
	SentAt, ReceivedAt time.Time
}

// ReportArrived carries a worker's answer to RequestReport.
type ReportArrived struct {
	Worker             string
	Report             commander.Report
	SentAt, ReceivedAt time.Time
}

// PollFailed reports that SendFence or RequestReport got no answer.
type PollFailed struct {
	Worker string
	Reason string
}

// HigherEpochAccepted reports that the worker has accepted a higher epoch.
type HigherEpochAccepted struct {
	Worker string
	Epoch  uint64
}

// CommandsAnswered is the outcome of a SendCommands. Unreachable means that no answer
// came and the commands may have taken effect; NotSent means that they did not leave this
// host.
type CommandsAnswered struct {
	Worker      string
	Results     []commander.Result
	Unreachable bool
	NotSent     bool
}

// JournalWritten reports that the store holds the journal with the given sequence number.
type JournalWritten struct{ Sequence uint64 }

// JournalFailed reports that a write did not take effect. The shard emits no further
// write before Retry has passed.
type JournalFailed struct {
	Sequence uint64
	Retry    time.Duration
	Reason   string
}

// JournalOutcomeUnknown reports that the answer to a write was lost. The caller reads the
// journal back and then reports JournalWritten, JournalFailed or JournalLost.
type JournalOutcomeUnknown struct{ Sequence uint64 }

// JournalLost reports that another owner has written the journal. From then on the shard
// only rejects submissions and cancellations.
type JournalLost struct{ Owner string }

// JobHistoryWritten is the outcome of a WriteJobHistory.
type JobHistoryWritten struct{ Done bool }

// WorkerLeaving reports whether a worker is leaving.
type WorkerLeaving struct {
	Worker  string
	Leaving bool
}

// ReleaseRequested requests that the shard release its ownership with the next journal write, for
// a planned stop of the host.
type ReleaseRequested struct{}

// Tick triggers the decisions that depend on time. The caller sends it every TickInterval.
type Tick struct{}

func (ConfigurationChanged) event()  {}
func (Claimed) event()               {}
func (OwnershipLeaseChanged) event() {}
func (SuccessorsChanged) event()     {}
func (JobSubmitted) event()          {}
func (CancellationRequested) event() {}
func (JobsImported) event()          {}
func (WorkerEpochAccepted) event()   {}
func (ReportArrived) event()         {}
func (PollFailed) event()            {}
func (HigherEpochAccepted) event()   {}
func (CommandsAnswered) event()      {}
func (JournalWritten) event()        {}
func (JournalFailed) event()         {}
func (JournalOutcomeUnknown) event() {}
func (JournalLost) event()           {}
func (JobHistoryWritten) event()     {}
func (WorkerLeaving) event()         {}
func (ReleaseRequested) event()      {}
func (Tick) event()                  {}
