package evaluator

import (
	"time"

	"peridotpitch/internal/configurator"
)

// Firm is a customer's deployment, as in section 1 of the design page.
type Firm struct {
	Name       string
	Measures   configurator.Measures
	Workers    int
	Capacity   configurator.Resources // of a worker
	Domains    []string               // failure domains
	EntryHosts int
	Instance   configurator.Resources // declared size of a service instance
	Services   []string
}

// Sizes that are the same for both firms.
const (
	workersPerRack         = 8
	slotsPerInstance       = 8
	connectionsPerInstance = 64
	gib                    = 1 << 30
)

// Firms returns the two firms that the product is built for.
func Firms() []Firm {
	return []Firm{
		{
			Name: "dimasalang", Measures: configurator.Measures{Latency: 5, Evictions: 3, Throughput: 1},
			Workers: 50, Capacity: configurator.Resources{Cores: 32, Memory: 125 * gib},
			Domains: []string{"sampaloc", "malolos", "san-pablo"}, EntryHosts: 7,
			Instance: configurator.Resources{Cores: 4, Memory: 8 * gib}, Services: []string{"quotes", "tracking"},
		},
		{
			Name: "vitosha", Measures: configurator.Measures{Latency: 5, Evictions: 1, Throughput: 3},
			Workers: 65, Capacity: configurator.Resources{Cores: 16, Memory: 60 * gib},
			Domains: []string{"plovdiv-1", "plovdiv-2", "stara-zagora", "haskovo"}, EntryHosts: 8,
			Instance: configurator.Resources{Cores: 3, Memory: 6 * gib}, Services: []string{"quotes", "orders"},
		},
	}
}

// Scaled returns the firm with a share of its workers and entry hosts, for short runs. Each
// failure domain keeps at least three workers and one entry host.
func (f Firm) Scaled(share float64) Firm {
	f.Workers = max(3*len(f.Domains), int(share*float64(f.Workers)))
	f.EntryHosts = max(len(f.Domains), int(share*float64(f.EntryHosts)))
	return f
}

// Policies is a named set of policies.
type Policies struct {
	Name      string
	Routing   configurator.RoutingPolicy
	Placement configurator.PlacementPolicy
	Limits    configurator.LimitPolicy
	Retries   configurator.RetryPolicy
}

// ProductPolicies is the set of policies that the product uses by default.
var ProductPolicies = Policies{"product", configurator.RoutingAdaptive, configurator.PlacementInterference, configurator.LimitFair, configurator.RetryBudget}

// BaselinePolicies returns all combinations of the baseline routing and placement policies, each
// with fixed limits and three immediate retries.
func BaselinePolicies() []Policies {
	const limits, retries = configurator.LimitFixed, configurator.RetryImmediate3
	return []Policies{
		{"round-robin+first-fit", configurator.RoutingRoundRobin, configurator.PlacementFirstFit, limits, retries},
		{"round-robin+best-fit", configurator.RoutingRoundRobin, configurator.PlacementBestFit, limits, retries},
		{"least-requests+first-fit", configurator.RoutingLeastRequests, configurator.PlacementFirstFit, limits, retries},
		{"least-requests+best-fit", configurator.RoutingLeastRequests, configurator.PlacementBestFit, limits, retries},
	}
}

// Times of requests.
const (
	meanServiceTime  = 160 * time.Millisecond // without interference and queueing
	requestTimeout   = 5 * time.Second
	networkRoundTrip = time.Millisecond // between entry host and instance
)

// Times and limits of workers and their control.
const (
	tickInterval               = time.Second             // between two updates of the workers' tasks
	reportInterval             = time.Second             // between two reports of a worker
	placementInterval          = 500 * time.Millisecond  // between two placement passes over pending tasks
	startDelay                 = 300 * time.Millisecond  // from a decision to its command's arrival, including the journal write
	checkpointDuration         = 1500 * time.Millisecond // of a checkpoint before a stop
	checkpointInterval         = time.Minute             // between two periodic checkpoints of a job
	lossDetectionDelay         = 20 * time.Second        // from a worker's crash until its tasks count as lost
	domainRecoveryDelay        = 60 * time.Second        // from the loss of a failure domain until its jobs resume elsewhere
	instanceStartTime          = 2 * time.Second         // from the start of an instance until it accepts requests
	leavingNoticeDelay         = 5 * time.Second         // from the notice until no task may start on the leaving worker (guarantee 7)
	minReportLag               = 500 * time.Millisecond  // from measurement to arrival of a report
	maxReportLag               = 2 * time.Second         // from measurement to arrival of a report
	maxFailedPlacementsPerPass = 40                      // failed placements after which a shard's pass ends
	taskFailureDelay           = time.Second             // from start to failure of a task on a worker that fails all tasks
)
