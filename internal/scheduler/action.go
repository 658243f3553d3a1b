package scheduler

import (
	"net/netip"
	"time"

	"peridotpitch/internal/commander"
	"peridotpitch/internal/placer"
	"peridotpitch/internal/recorder"
)

// Action is something that the caller does for a shard.
type Action interface{ action() }

// WriteJournal asks for a compare-and-swap of the shard's journal. At most one is
// outstanding.
type WriteJournal struct {
	Value    []byte
	Writer   string
	Sequence uint64
}

// WriteRecords asks for the shard's records of ended jobs to be written.
type WriteRecords struct{ Value []byte }

// SendFence asks for a worker to be fenced.
type SendFence struct {
	Worker  string
	Address netip.AddrPort
	Epoch   uint64
}

// SendCommands asks for commands to be sent to a worker. The caller checks right
// before sending that Until has not passed, and reports NotSent otherwise.
type SendCommands struct {
	Worker   string
	Address  netip.AddrPort
	Epoch    uint64
	Commands []commander.Command
	Until    time.Time
}

// AskReport asks for a worker's inventory.
type AskReport struct {
	Worker  string
	Address netip.AddrPort
}

// AnswerSubmission answers a JobSubmitted or CancellationAsked. If Accepted is false and
// Unknown is set, the change may be in the journal: a repetition with the same name is
// safe.
type AnswerSubmission struct {
	Request  uint64
	Accepted bool
	Unknown  bool
	Reason   string
	Status   JobStatus
}

// AnswerImport says that the jobs of a moved shard are in this shard's journal.
type AnswerImport struct{ From string }

// PublishEndpoints replaces the endpoints of the shard's service instances.
type PublishEndpoints struct{ Endpoints []Endpoint }

// Endpoint is a service instance that can take requests.
type Endpoint struct {
	Instance string
	Service  string
	Worker   string
	Address  netip.AddrPort
	Draining bool
	Slowdown float64 // last measured interference slowdown, 0 if unknown
}

// Record is a decision to be logged and kept for explain.
type Record struct {
	Time       time.Time
	ID         string // job, task or worker
	Kind       recorder.Kind
	Rule       string
	Cause      string
	Worker     string
	Candidates []placer.Candidate
}

func (WriteJournal) action()     {}
func (WriteRecords) action()     {}
func (SendFence) action()        {}
func (SendCommands) action()     {}
func (AskReport) action()        {}
func (AnswerSubmission) action() {}
func (AnswerImport) action()     {}
func (PublishEndpoints) action() {}
func (Record) action()           {}
