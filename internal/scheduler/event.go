package scheduler

import (
	"time"

	"peridotpitch/internal/commander"
	"peridotpitch/internal/configurator"
)

// Event is something that happened to a shard. Times are the caller's.
type Event interface{ event() }

// ConfigurationChanged puts a configuration into effect.
type ConfigurationChanged struct{ Configuration *configurator.Configuration }

// Claimed starts ownership: the journal that the claim wrote, and the value of the
// shard's records key, which may be empty.
type Claimed struct {
	Journal Journal
	Records []byte
}

// TenureChanged tells until when the owner may act.
type TenureChanged struct {
	Placing time.Time
	Running time.Time
	// EarlierEnds is when the running tenure of every earlier owner has ended for
	// certain; the zero time means that it is not known yet.
	EarlierEnds time.Time
}

// SuccessorsChanged names the hosts that may claim the shard. They are written to the
// journal with the next change.
type SuccessorsChanged struct{ Placing, Running []string }

// JobSubmitted asks for a job to be run. The answer is an AnswerSubmission with the
// same Request.
type JobSubmitted struct {
	Request uint64
	Spec    JobSpec
}

// CancellationAsked asks for a job to be ended. The answer is an AnswerSubmission with the
// same Request.
type CancellationAsked struct {
	Request uint64
	Name    string
}

// JobsImported adds the jobs of a journal that was moved to this shard. The answer is
// an AnswerImport once they are in this shard's journal.
type JobsImported struct {
	From string // moved shard
	Jobs []JobEntry
}

// WorkerFenced is a worker's acceptance of the owner's epoch.
type WorkerFenced struct {
	Worker             string
	Epoch              uint64
	Report             commander.Report
	SentAt, ReceivedAt time.Time
}

// ReportArrived is a worker's answer to AskReport.
type ReportArrived struct {
	Worker             string
	Report             commander.Report
	SentAt, ReceivedAt time.Time
}

// WorkerSilent says that SendFence or AskReport got no answer.
type WorkerSilent struct {
	Worker string
	Reason string
}

// WorkerRejected says that the worker has accepted a higher epoch.
type WorkerRejected struct {
	Worker string
	Epoch  uint64
}

// CommandsAnswered is the outcome of a SendCommands. Unreachable means that the
// commands may have taken effect; NotSent that they did not leave this host.
type CommandsAnswered struct {
	Worker      string
	Results     []commander.Result
	Unreachable bool
	NotSent     bool
}

// JournalWritten says that the store holds the journal of the given sequence.
type JournalWritten struct{ Sequence uint64 }

// JournalFailed says that the write did not take effect. The next one is sent after
// Retry.
type JournalFailed struct {
	Sequence uint64
	Retry    time.Duration
	Reason   string
}

// JournalUnknown says that the answer to the write was lost. The caller reads the
// journal back and then reports JournalWritten, JournalFailed or JournalLost.
type JournalUnknown struct{ Sequence uint64 }

// JournalLost says that another owner has written the journal. The shard does nothing
// any more.
type JournalLost struct{ Owner string }

// RecordsWritten is the outcome of a WriteRecords.
type RecordsWritten struct{ Done bool }

// HostLeaving says whether a worker is leaving.
type HostLeaving struct {
	Worker  string
	Leaving bool
}

// Released asks for the shard to be given up in writing, for a planned stop.
type Released struct{}

// Tick makes the shard act on the time that has passed. It is sent every TickInterval.
type Tick struct{}

func (ConfigurationChanged) event() {}
func (Claimed) event()              {}
func (TenureChanged) event()        {}
func (SuccessorsChanged) event()    {}
func (JobSubmitted) event()         {}
func (CancellationAsked) event()    {}
func (JobsImported) event()         {}
func (WorkerFenced) event()         {}
func (ReportArrived) event()        {}
func (WorkerSilent) event()         {}
func (WorkerRejected) event()       {}
func (CommandsAnswered) event()     {}
func (JournalWritten) event()       {}
func (JournalFailed) event()        {}
func (JournalUnknown) event()       {}
func (JournalLost) event()          {}
func (RecordsWritten) event()       {}
func (HostLeaving) event()          {}
func (Released) event()             {}
func (Tick) event()                 {}
