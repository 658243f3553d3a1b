package messenger

import (
	"context"
	"time"

	"peridotpitch/internal/configurator"
	"peridotpitch/internal/scheduler"
)

// MaxMessageSize bounds the encoded size of a message, in bytes.
const MaxMessageSize = 4 << 20

// TenureKind tells the two tenures of a shard apart.
type TenureKind string

// Tenure kinds.
const (
	TenurePlacing TenureKind = "placing"
	TenureRunning TenureKind = "running"
)

// Identity is what each heartbeat says about its sender.
type Identity struct {
	Host          string
	FailureDomain string
	Incarnation   string        // unique for each process
	RunningFor    time.Duration // age of the process
	Generation    uint64        // of the configuration in effect
	InEffectFor   time.Duration
	Leaving       bool
	Drained       bool         // the host has answered all its requests and takes no more
	NoticeDigest  uint64       // of the notices that say leaving; hosts with equal digests exchange none
	Notices       []HostNotice // what the sender knows of leaving hosts
}

// NoticeSource says who gave a HostNotice.
type NoticeSource string

// Notice sources.
const (
	SourcePlatform NoticeSource = "platform"
	SourceOperator NoticeSource = "operator"
	SourceHost     NoticeSource = "host" // the host itself
)

// HostNotice says whether a host is leaving, by one source. Of two notices with the
// same host and source the one with the higher Version holds; at equal versions the
// one that says leaving.
type HostNotice struct {
	Host    string
	Source  NoticeSource
	Leaving bool
	Version uint64
}

// ShardClaim names a shard ("domain/shard") that the sender owns.
type ShardClaim struct {
	Shard string
	Epoch uint64
	Kinds []TenureKind // tenures for which a promise is asked
}

// SlotDemand is what the sender uses and wants of an instance.
type SlotDemand struct {
	Instance string
	InUse    int
	Wanted   int
}

// Promise says that the answering host will not claim the shard for the tenure's TTL.
type Promise struct {
	Shard string
	Epoch uint64
	Kind  TenureKind
}

// SlotGrant lends pool slots of an instance to the asking host.
type SlotGrant struct {
	Instance string
	Slots    int
	For      time.Duration // counted from when the heartbeat was sent
	Epoch    uint64
}

// Endpoint is a service instance that can take requests.
type Endpoint struct {
	Instance      string
	Service       string
	FailureDomain string
	Worker        string
	Shard         string
	Address       string // ip:port
	Slots         int
	Connections   int
	Draining      bool
	Slowdown      float64 // last measured interference slowdown; 0 if unknown
}

// Heartbeat is sent periodically to each other entry host.
type Heartbeat struct {
	Identity
	Sequence uint64 // increases with each heartbeat of an incarnation
	Claims   []ShardClaim
	Demand   []SlotDemand
}

// HeartbeatAnswer answers a Heartbeat.
type HeartbeatAnswer struct {
	Identity
	// HoldFor is how long requests of an earlier process of the asking host may still
	// run at backend servers: it died with requests in flight.
	HoldFor   time.Duration
	Promises  []Promise
	Grants    []SlotGrant
	Endpoints []Endpoint // of the shards that the answering host owns; only within a failure domain
	// Free is the number of free slots by service; other failure domains forward by it.
	Free map[string]int
}

// ForwardRequest carries one caller's request to another failure domain's entry host.
type ForwardRequest struct {
	Request    string // identity
	Service    string
	Path       string
	Method     string
	Tenant     string
	Class      string
	Repeatable bool
	Timeout    time.Duration // time left
	Headers    map[string]string
	Body       []byte
}

// ForwardAnswer is the final outcome of a forwarded request.
type ForwardAnswer struct {
	Request    string
	Outcome    string // answered, not-run or unknown
	Reason     string
	RetryAfter time.Duration
	Status     int
	Headers    map[string]string
	Body       []byte
}

// JobAnswer answers a submission or cancellation.
type JobAnswer struct {
	Accepted bool
	Reason   string
	Status   scheduler.JobStatus
}

// ListRequest selects jobs: by name if Name is set, else all of the host's shards.
type ListRequest struct {
	Name  string
	Limit int
}

// ExplainAnswer holds decision records as lines of text.
type ExplainAnswer struct {
	Host    string
	Records []string
}

// Peer sends messages to one other entry host. An error of type *NotSentError means
// that the message did not leave this host; any other error that it may have arrived.
type Peer interface {
	Exchange(ctx context.Context, m Heartbeat) (HeartbeatAnswer, error)
	Forward(ctx context.Context, m ForwardRequest) (ForwardAnswer, error)
	SubmitJob(ctx context.Context, m scheduler.JobSpec) (JobAnswer, error)
	CancelJob(ctx context.Context, name string) (JobAnswer, error)
	ListJobs(ctx context.Context, m ListRequest) ([]scheduler.JobStatus, error)
	FetchConfiguration(ctx context.Context) (configurator.Record, error)
	Explain(ctx context.Context, id string) (ExplainAnswer, error)
	Drain(ctx context.Context, host string, undo bool) error
}

// Handler serves the messages of other entry hosts. Its methods mirror Peer.
type Handler interface {
	Peer
}
