package scheduler

import (
	"net/netip"
	"time"

	"peridotpitch/internal/commander"
	"peridotpitch/internal/placer"
	"peridotpitch/internal/recorder"
)

// Action is an operation that the caller of Shard.Step must carry out.
type Action interface{ action() }

// WriteJournal requests a compare-and-swap of the shard's journal. At most one is
// outstanding.
type WriteJournal struct {
	Value    []byte
	Writer   string
	Sequence uint64
}

// WriteJobHistory requests a write of the shard's history of ended jobs.
type WriteJobHistory struct{ Value []byte }

// SendFence requests that the owner's epoch be sent to a worker. A worker that accepts it
// refuses the commands of earlier owners.
type SendFence struct {
	Worker  string
	Address netip.AddrPort
	Epoch   uint64
}

// SendCommands requests that commands be sent to a worker. Right before sending, the
// caller checks that Until has not passed; otherwise it sends nothing and reports
// CommandsAnswered.NotSent.
type SendCommands struct {
	Worker   string
	Address  netip.AddrPort
	Epoch    uint64
	Commands []commander.Command
	Until    time.Time
}

// RequestReport requests a worker's report, which lists its tasks.
type RequestReport struct {
	Worker  string
	Address netip.AddrPort
}

// AnswerSubmission answers a JobSubmitted or CancellationRequested. Unknown is set only if
// Accepted is false. It means that the stored journal may hold the change nevertheless; the
// caller can safely repeat the request with the same name.
type AnswerSubmission struct {
	Request  uint64
	Accepted bool
	Unknown  bool
	Reason   string
	Status   JobStatus
}

// AnswerImport reports that this shard's stored journal holds the jobs imported from the
// shard From.
type AnswerImport struct{ From string }

// PublishEndpoints replaces the endpoints of the shard's service instances.
type PublishEndpoints struct{ Endpoints []Endpoint }

// Endpoint is the address of a service instance that can take requests.
type Endpoint struct {
	Instance string
	Service  string
	Worker   string
	Address  netip.AddrPort
	Draining bool
	Slowdown float64 // last measured interference slowdown, 0 if unknown
}

// DecisionRecord is a decision to be logged and kept for the explain command.
type DecisionRecord struct {
	Time       time.Time
	ID         string // job, task or worker
	Kind       recorder.Kind
	Rule       string
	Cause      string
	Worker     string
	Candidates []placer.Candidate
}

func (WriteJournal) action()     {}
func (WriteJobHistory) action()  {}
func (SendFence) action()        {}
func (SendCommands) action()     {}
func (RequestReport) action()    {}
func (AnswerSubmission) action() {}
func (AnswerImport) action()     {}
func (PublishEndpoints) action() {}
func (DecisionRecord) action()   {}
