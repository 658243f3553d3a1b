package configurator

import (
	"net/netip"
	"time"
)

// Resources is an amount of cores, memory and accelerators.
type Resources struct {
	Cores        float64
	Memory       int64 // bytes
	Accelerators int
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.Cores + o.Cores, r.Memory + o.Memory, r.Accelerators + o.Accelerators}
}

// Sub returns r minus o. Fields may become negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.Cores - o.Cores, r.Memory - o.Memory, r.Accelerators - o.Accelerators}
}

// coreTolerance allows for the rounding error in sums of fractional cores.
const coreTolerance = 1e-9

// Fits reports whether r is at most o in every dimension.
func (r Resources) Fits(o Resources) bool {
	return r.Cores <= o.Cores+coreTolerance && r.Memory <= o.Memory && r.Accelerators <= o.Accelerators
}

// Max returns the larger value of r and o in each dimension.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.Cores, o.Cores), max(r.Memory, o.Memory), max(r.Accelerators, o.Accelerators)}
}

// Measures holds the operators' weights of the three measures, each at least 0.
type Measures struct {
	Latency    float64
	Evictions  float64
	Throughput float64
}

// RoutingPolicy names the rule that chooses an instance for a request.
type RoutingPolicy string

// Routing policies. RoundRobin and LeastRequests are baselines for comparison.
const (
	RoutingAdaptive      RoutingPolicy = "Adaptive"
	RoutingRoundRobin    RoutingPolicy = "RoundRobin"
	RoutingLeastRequests RoutingPolicy = "LeastRequests"
)

// PlacementPolicy names the rule that chooses a worker for a task.
type PlacementPolicy string

// Placement policies. FirstFit and BestFit are baselines for comparison.
const (
	PlacementInterference PlacementPolicy = "Interference"
	PlacementFirstFit     PlacementPolicy = "FirstFit"
	PlacementBestFit      PlacementPolicy = "BestFit"
)

// LimitPolicy names the rule that admits requests.
type LimitPolicy string

// Limit policies. Fixed is a baseline for comparison.
const (
	LimitFair  LimitPolicy = "Fair"
	LimitFixed LimitPolicy = "Fixed"
)

// RetryPolicy names the rule that allows a retry of a repeatable request.
type RetryPolicy string

// Retry policies. Immediate3 (three immediate retries) is a baseline for comparison.
const (
	RetryBudget     RetryPolicy = "Budget"
	RetryImmediate3 RetryPolicy = "Immediate3"
)

// Policy selects the rules for routing, placement, admission and retries, and their time
// limits.
type Policy struct {
	Routing           RoutingPolicy
	Placement         PlacementPolicy
	Limits            LimitPolicy
	Retries           RetryPolicy
	OwnershipTTL      time.Duration // key OwnershipTtl in the INI text
	JobRecoveryDelay  time.Duration
	MaxRequestTimeout time.Duration
}

// Defaults of Policy.
const (
	DefaultOwnershipTTL      = 3 * time.Second
	DefaultJobRecoveryDelay  = 60 * time.Second
	DefaultMaxRequestTimeout = 30 * time.Second
)

// minJobRecoveryDelay is three times the time after which the scheduler treats a worker
// that does not answer as lost (5 s). The scheduler starts no batch task if its ownership
// lease for running tasks ends within those 5 s. With a recovery delay of 5 s it would
// therefore never start one.
const minJobRecoveryDelay = 15 * time.Second

// FailureDomain is a set of hosts that fail or are partitioned together.
type FailureDomain struct {
	Name      string
	Region    string
	Successor string // failure domain that resumes this one's jobs after JobRecoveryDelay
}

// EntryHost is a host that runs peridotpitch.
type EntryHost struct {
	Name          string
	FailureDomain string
	Address       netip.AddrPort // for messages between entry hosts
}

// Worker is a host that runs tasks.
type Worker struct {
	Name          string
	FailureDomain string
	Rack          string
	Shard         string // shard within the failure domain
	Address       netip.AddrPort
	Capacity      Resources
}

// Service is a latency-critical service.
type Service struct {
	Name          string
	Class         string         // interference class
	Instances     map[string]int // wanted instances by failure domain
	Size          Resources      // of one instance
	Slots         int            // requests that an instance runs at once
	Connections   int            // connections that an instance accepts
	LatencyTarget time.Duration  // p99 above which the service counts as degraded
}

// JobClass describes batch jobs of one kind.
type JobClass struct {
	Name        string
	Urgent      bool
	Size        Resources // size of a job that does not declare one
	MaxAttempts int       // failed runs after which a job is not retried
}

// Team is a tenant with a quota of batch capacity and a share of request capacity.
type Team struct {
	Name  string
	Quota Resources // limit for the total size of its placed batch tasks
	Share float64   // weight in fair queueing of requests, above 0
}

// Configuration is one generation of the operators' configuration. Slices are sorted
// by name.
type Configuration struct {
	Generation     uint64
	Replaces       uint64 // generation that must be in effect when this one is applied
	Firm           string
	Measures       Measures
	Policy         Policy
	FailureDomains []FailureDomain
	EntryHosts     []EntryHost
	Workers        []Worker
	Services       []Service
	JobClasses     []JobClass
	Teams          []Team
}

// Record is the value of the store's key config/current and of config/history/<generation>.
type Record struct {
	Generation uint64
	Text       string
	Signature  []byte
	Key        string // name of the signing key
	AppliedBy  string
	AppliedAt  time.Time
	Writer     string // identity of the entry host process that wrote the record
	Sequence   uint64
}
