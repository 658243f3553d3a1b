package evaluator

import (
	"time"

	"peridotpitch/internal/configurator"
)

// Firm is a deployment. See section 1 of the design page.
type Firm struct {
	Name       string
	Measures   configurator.Measures
	Workers    int
	Capacity   configurator.Resources // of a worker
	Domains    []string
	EntryHosts int
	Instance   configurator.Resources // declared size of a service instance
	Services   []string
}

// Sizes that both firms share.
const (
	rackSize = 8
	slots    = 8 // of an instance
	conns    = 64
	gib      = 1 << 30
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

// Policies is a named set of policies.
type Policies struct {
	Name      string
	Routing   configurator.RoutingPolicy
	Placement configurator.PlacementPolicy
	Limits    configurator.LimitPolicy
	Retries   configurator.RetryPolicy
}

// Product is the product's own policies.
var Product = Policies{"product", configurator.RoutingAdaptive, configurator.PlacementInterference, configurator.LimitFair, configurator.RetryBudget}

// Baselines returns the combinations of baseline policies. Each has fixed limits and three
// immediate retries.
func Baselines() []Policies {
	const limits, retries = configurator.LimitFixed, configurator.RetryImmediate3
	return []Policies{
		{"round-robin+first-fit", configurator.RoutingRoundRobin, configurator.PlacementFirstFit, limits, retries},
		{"round-robin+best-fit", configurator.RoutingRoundRobin, configurator.PlacementBestFit, limits, retries},
		{"least-requests+first-fit", configurator.RoutingLeastRequests, configurator.PlacementFirstFit, limits, retries},
		{"least-requests+best-fit", configurator.RoutingLeastRequests, configurator.PlacementBestFit, limits, retries},
	}
}

// Times of the request model.
const (
	serviceMean    = 160 * time.Millisecond // uncontended, without queueing
	requestTimeout = 5 * time.Second
	networkDelay   = time.Millisecond // caller to instance and back
)

// Times of the control model.
const (
	tickInterval     = time.Second            // of the workers' dynamics
	reportInterval   = time.Second            // between two reports of a worker
	placeInterval    = 500 * time.Millisecond // between two passes over pending jobs
	startDelay       = 300 * time.Millisecond // journal write and command
	checkpointTime   = 1500 * time.Millisecond
	checkpointEvery  = time.Minute // of a running job, by itself
	lossDetection    = 20 * time.Second
	recoveryDelay    = 60 * time.Second
	unreadyInstance  = 2 * time.Second // from start of an instance to its first request
	drainNotice      = 5 * time.Second // guarantee 7
	minReportLag     = 500 * time.Millisecond
	maxReportLag     = 2 * time.Second
	placesPerPass    = 40 // attempts to place per shard and pass
	failingTaskDelay = time.Second
)
