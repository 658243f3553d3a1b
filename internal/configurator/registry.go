package configurator

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

// Upper bounds of values. They are meant to catch mistakes such as a wrong unit, not to
// exclude real systems.
const (
	maxCores             = 1024
	maxMemoryBytes       = 64e12
	maxAccelerators      = 64
	maxQuotaCores        = 1e6 // quotas are larger because they cover many workers
	maxQuotaMemoryBytes  = 1e16
	maxQuotaAccelerators = 100000
	maxSlots             = 1024
	maxConnections       = 65536
	maxInstances         = 10000 // of one service in one failure domain
	maxShare             = 1000  // of a team
	maxWeight            = 1000  // of a measure
	maxAttempts          = 100
)

// Bounds of the resources of one host or task, and of a team's quota.
var (
	minResources = Resources{Cores: 0.001, Memory: 1e6}
	maxResources = Resources{Cores: maxCores, Memory: maxMemoryBytes, Accelerators: maxAccelerators}
	maxQuota     = Resources{Cores: maxQuotaCores, Memory: maxQuotaMemoryBytes, Accelerators: maxQuotaAccelerators}
)

// Docs returns the documentation of every kind of section, in the order in which Print
// writes them.
func Docs() []SectionDoc {
	return []SectionDoc{
		generationTable.Doc(), measuresTable.Doc(), policyTable.Doc(), failureDomainTable.Doc(), entryHostTable.Doc(),
		workerTable.Doc(), serviceTable.Doc(), jobClassTable.Doc(), teamTable.Doc(),
	}
}

var generationTable = Table[Configuration]{
	Kind: "Configuration", Required: true, Meaning: "identity of this text",
	Keys: []Key[Configuration]{
		IntegerKey(KeyDoc{Name: "Generation", Required: true, Meaning: "number of this configuration, Replaces + 1"},
			1, uint64(1<<62), func(c *Configuration) *uint64 { return &c.Generation }),
		IntegerKey(KeyDoc{Name: "Replaces", Required: true, Meaning: "generation that must be in effect when this one is applied, 0 for the first"},
			0, uint64(1<<62), func(c *Configuration) *uint64 { return &c.Replaces }),
		NameKey(KeyDoc{Name: "Firm", Required: true, Meaning: "name of the firm, shown to operators"},
			func(c *Configuration) *string { return &c.Firm }),
	},
}

var measuresTable = Table[Measures]{
	Kind: "Measures", Required: true, Meaning: "weights of the measures, at least one above 0",
	Keys: []Key[Measures]{
		NumberKey(KeyDoc{Name: "Latency", Required: true, Meaning: "weight of the services' tail latency"},
			0, maxWeight, func(m *Measures) *float64 { return &m.Latency }),
		NumberKey(KeyDoc{Name: "Evictions", Required: true, Meaning: "weight of avoiding evictions"},
			0, maxWeight, func(m *Measures) *float64 { return &m.Evictions }),
		NumberKey(KeyDoc{Name: "Throughput", Required: true, Meaning: "weight of batch throughput"},
			0, maxWeight, func(m *Measures) *float64 { return &m.Throughput }),
	},
}

var policyTable = Table[Policy]{
	Kind: "Policy", Meaning: "rules of decisions; the defaults suit both firms",
	Keys: []Key[Policy]{
		EnumKey(KeyDoc{Name: "Routing", Default: string(RoutingAdaptive), Meaning: "choice of an instance; all but the default are baselines for comparison"},
			func(p *Policy) *RoutingPolicy { return &p.Routing }, RoutingAdaptive, RoutingRoundRobin, RoutingLeastRequests),
		EnumKey(KeyDoc{Name: "Placement", Default: string(PlacementInterference), Meaning: "choice of a worker; all but the default are baselines for comparison"},
			func(p *Policy) *PlacementPolicy { return &p.Placement }, PlacementInterference, PlacementFirstFit, PlacementBestFit),
		EnumKey(KeyDoc{Name: "Limits", Default: string(LimitFair), Meaning: "admission of requests; all but the default are baselines for comparison"},
			func(p *Policy) *LimitPolicy { return &p.Limits }, LimitFair, LimitFixed),
		EnumKey(KeyDoc{Name: "Retries", Default: string(RetryBudget), Meaning: "retries of repeatable requests; all but the default are baselines for comparison"},
			func(p *Policy) *RetryPolicy { return &p.Retries }, RetryBudget, RetryImmediate3),
		DurationKey(KeyDoc{Name: "OwnershipTtl", Unit: "Go duration", Default: formatDuration(DefaultOwnershipTTL), Meaning: "time without signs of life after which another entry host of the failure domain takes over a shard"},
			time.Second, 30*time.Second, func(p *Policy) *time.Duration { return &p.OwnershipTTL }),
		DurationKey(KeyDoc{Name: "JobRecoveryDelay", Unit: "Go duration", Default: formatDuration(DefaultJobRecoveryDelay), Meaning: "time after which the successor failure domain resumes the jobs of an unresponsive one"},
			minJobRecoveryDelay, time.Hour, func(p *Policy) *time.Duration { return &p.JobRecoveryDelay }),
		DurationKey(KeyDoc{Name: "MaxRequestTimeout", Unit: "Go duration", Default: formatDuration(DefaultMaxRequestTimeout), Meaning: "longest time that a caller may allow a request"},
			100*time.Millisecond, 30*time.Second, func(p *Policy) *time.Duration { return &p.MaxRequestTimeout }),
	},
}

const failureDomainAllowed = "name of a FailureDomain section"

var failureDomainTable = Table[FailureDomain]{
	Kind: "FailureDomain", Named: true, Required: true, Meaning: "hosts that fail or are partitioned together",
	Keys: []Key[FailureDomain]{
		NameKey(KeyDoc{Name: "Region", Required: true, Meaning: "region of the failure domain"},
			func(d *FailureDomain) *string { return &d.Region }),
		NameKey(KeyDoc{Name: "Successor", Allowed: "name of another FailureDomain section", Meaning: "failure domain that resumes this one's jobs after JobRecoveryDelay; absent: none"},
			func(d *FailureDomain) *string { return &d.Successor }),
	},
}

var entryHostTable = Table[EntryHost]{
	Kind: "EntryHost", Named: true, Required: true, Meaning: "host that runs peridotpitch; each failure domain has at least one",
	Keys: []Key[EntryHost]{
		NameKey(KeyDoc{Name: "FailureDomain", Required: true, Allowed: failureDomainAllowed, Meaning: "failure domain of the host"},
			func(h *EntryHost) *string { return &h.FailureDomain }),
		AddressKey(KeyDoc{Name: "Address", Required: true, Meaning: "address for messages between entry hosts"},
			false, func(h *EntryHost) *netip.AddrPort { return &h.Address }),
	},
}

var workerTable = Table[Worker]{
	Kind: "Worker", Named: true, Meaning: "host that runs tasks",
	Keys: append([]Key[Worker]{
		NameKey(KeyDoc{Name: "FailureDomain", Required: true, Allowed: failureDomainAllowed, Meaning: "failure domain of the host"},
			func(w *Worker) *string { return &w.FailureDomain }),
		NameKey(KeyDoc{Name: "Rack", Required: true, Meaning: "rack, unique within the failure domain"},
			func(w *Worker) *string { return &w.Rack }),
		NameKey(KeyDoc{Name: "Shard", Required: true, Meaning: "shard within the failure domain; its workers have one owner"},
			func(w *Worker) *string { return &w.Shard }),
		AddressKey(KeyDoc{Name: "Address", Required: true, Meaning: "address of the worker's agent"},
			false, func(w *Worker) *netip.AddrPort { return &w.Address }),
	}, resourceKeys("capacity", minResources, maxResources, func(w *Worker) *Resources { return &w.Capacity })...),
}

var serviceTable = Table[Service]{
	Kind: "Service", Named: true, Meaning: "latency-critical service",
	Keys: slices.Concat([]Key[Service]{
		NameKey(KeyDoc{Name: "Class", Required: true, Meaning: "interference class of the instances"},
			func(s *Service) *string { return &s.Class }),
		instancesKey,
	}, resourceKeys("size of one instance", minResources, maxResources, func(s *Service) *Resources { return &s.Size }), []Key[Service]{
		IntegerKey(KeyDoc{Name: "Slots", Unit: "requests", Default: "8", Meaning: "requests that an instance runs at once; at least the number of entry hosts of each of its failure domains"},
			1, maxSlots, func(s *Service) *int { return &s.Slots }),
		IntegerKey(KeyDoc{Name: "Connections", Unit: "connections", Default: "64", Meaning: "connections that an instance accepts, at least Slots"},
			1, maxConnections, func(s *Service) *int { return &s.Connections }),
		DurationKey(KeyDoc{Name: "LatencyTarget", Unit: "Go duration", Required: true, Meaning: "p99 latency above which the service counts as degraded, at most MaxRequestTimeout"},
			time.Millisecond, 30*time.Second, func(s *Service) *time.Duration { return &s.LatencyTarget }),
	}),
}

var jobClassTable = Table[JobClass]{
	Kind: "JobClass", Named: true, Meaning: "batch jobs of one kind; also their interference class",
	Keys: slices.Concat([]Key[JobClass]{
		BooleanKey(KeyDoc{Name: "Urgent", Default: "false", Meaning: "jobs start before others"},
			func(j *JobClass) *bool { return &j.Urgent }),
	}, resourceKeys("declared size unless a job states its own", minResources, maxResources, func(j *JobClass) *Resources { return &j.Size }), []Key[JobClass]{
		IntegerKey(KeyDoc{Name: "MaxAttempts", Unit: "runs", Default: "5", Meaning: "failed runs after which a job is given up"},
			1, maxAttempts, func(j *JobClass) *int { return &j.MaxAttempts }),
	}),
}

var teamTable = Table[Team]{
	Kind: "Team", Named: true, Meaning: "tenant",
	Keys: append(resourceKeys("quota of placed batch tasks", Resources{}, maxQuota, func(t *Team) *Resources { return &t.Quota }),
		NumberKey(KeyDoc{Name: "Share", Default: "1", Meaning: "weight in fair queueing of requests"},
			0.001, maxShare, func(t *Team) *float64 { return &t.Share })),
}

// resourceKeys returns the keys for an amount of resources from lo to hi.
func resourceKeys[T any](meaning string, lo, hi Resources, field func(*T) *Resources) []Key[T] {
	return []Key[T]{
		NumberKey(KeyDoc{Name: "Cores", Unit: "cores", Required: true, Meaning: meaning},
			lo.Cores, hi.Cores, func(t *T) *float64 { return &field(t).Cores }),
		SizeKey(KeyDoc{Name: "Memory", Required: true, Meaning: meaning},
			lo.Memory, hi.Memory, func(t *T) *int64 { return &field(t).Memory }),
		IntegerKey(KeyDoc{Name: "Accelerators", Unit: "accelerators", Default: "0", Meaning: meaning},
			lo.Accelerators, hi.Accelerators, func(t *T) *int { return &field(t).Accelerators }),
	}
}

var instancesKey = Key[Service]{
	Name: "Instances", Unit: "instances", Required: true,
	Allowed: fmt.Sprintf("failure domains with counts from 0 to %d, for example: Sampaloc:17, San Pablo:16", maxInstances),
	Meaning: "wanted instances by failure domain",
	Set:     setInstances,
	Get: func(s *Service) string {
		var parts []string
		for _, d := range slices.Sorted(maps.Keys(s.Instances)) {
			parts = append(parts, fmt.Sprintf("%s:%d", d, s.Instances[d]))
		}
		return strings.Join(parts, ", ")
	},
}

func setInstances(s *Service, text string) error {
	instances := map[string]int{}
	for p := range strings.SplitSeq(text, ",") {
		name, count, _ := strings.Cut(p, ":")
		name = strings.Trim(name, " \t")
		n, err := strconv.ParseUint(strings.Trim(count, " \t"), 10, 31)
		if err != nil || n > maxInstances || !namePattern.MatchString(name) {
			return notAccepted(text)
		}
		if _, ok := instances[name]; ok {
			return merry.Errorf("failure domain %q is listed twice", name, merry.NoCaptureStack())
		}
		instances[name] = int(n)
	}
	s.Instances = instances
	return nil
}
