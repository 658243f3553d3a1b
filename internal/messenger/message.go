package messenger

import (
	"context"
	"time"

	"peridotpitch/internal/configurator"
	"peridotpitch/internal/scheduler"
)

// MaxMessageBytes is the maximum size of an encoded message.
const MaxMessageBytes = 4 << 20

// LeaseKind distinguishes the two ownership leases of a shard.
type LeaseKind string

// Kinds of ownership leases.
const (
	LeasePlacing LeaseKind = "placing" // the owner may place and start tasks
	LeaseRunning LeaseKind = "running" // the owner may keep tasks running
)

// Identity describes the sender of a heartbeat or of its answer.
type Identity struct {
	Host          string
	FailureDomain string
	Incarnation   string        // unique for each process
	RunningFor    time.Duration // age of the process
	Generation    uint64        // of the configuration in effect
	InEffectFor   time.Duration // time since the host adopted that configuration
	Leaving       bool
	Drained       bool         // the host has answered all its requests and takes no more
	NoticeDigest  uint64       // hash of the notices with Leaving set; hosts with equal digests send no notices
	Notices       []HostNotice // notices about leaving hosts that the sender holds
}

// NoticeSource is the origin of a HostNotice.
type NoticeSource string

// Notice sources.
const (
	SourcePlatform NoticeSource = "platform"
	SourceOperator NoticeSource = "operator"
	SourceHost     NoticeSource = "host" // the host itself
)

// HostNotice states whether a host is leaving, according to one source. Of two notices
// for the same host and source, the one with the higher Version takes precedence; at equal
// versions, the one with Leaving set.
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
	Kinds []LeaseKind // leases for which the sender requests a Promise
}

// SlotDemand is the number of slots of an instance that the sender uses and wants.
type SlotDemand struct {
	Instance string
	InUse    int
	Wanted   int
}

// Promise states that the answering host will not claim the shard during the TTL of the
// ownership lease of this kind. The TTL counts from the time at which the heartbeat was sent.
type Promise struct {
	Shard string
	Epoch uint64
	Kind  LeaseKind
}

// SlotGrant permits the host that sent the heartbeat to use slots of an instance's pool
// for a limited time.
type SlotGrant struct {
	Instance string
	Slots    int
	For      time.Duration // from the time at which the heartbeat was sent
	Epoch    uint64
}

// Endpoint is a service instance that accepts requests.
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
	// HoldFor is how long requests of an earlier process of the host that sent the
	// heartbeat may still run at backend servers, if that process ended with requests in
	// flight.
	HoldFor   time.Duration
	Promises  []Promise
	Grants    []SlotGrant
	Endpoints []Endpoint // of the shards that the answering host owns; empty for a host in another failure domain
	// Free is the number of free slots by service. Hosts in other failure domains use it
	// to choose the host to which they forward a request.
	Free map[string]int
}

// ForwardRequest carries one caller's request to another failure domain's entry host.
type ForwardRequest struct {
	Request    string // request identity
	Service    string
	Path       string
	Method     string
	Tenant     string
	Class      string
	Repeatable bool
	Timeout    time.Duration // remaining time
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

// ListRequest selects jobs: the one with the name if Name is set, otherwise all jobs of
// the shards that the host owns.
type ListRequest struct {
	Name  string
	Limit int
}

// ExplainAnswer holds decision records, each as a line of text.
type ExplainAnswer struct {
	Host    string
	Records []string
}

// Peer calls methods of one other entry host. An error of type *NotSentError means that
// the message did not leave this host. After any other error the peer may have received it.
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

// Handler serves calls of other entry hosts.
type Handler interface {
	Peer
}
