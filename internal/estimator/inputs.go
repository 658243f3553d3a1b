package estimator

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"time"

	"peridotpitch/internal/commander"
	"peridotpitch/internal/configurator"
	"peridotpitch/internal/messenger"
	"peridotpitch/internal/scheduler"
)

// Deployment is the size and load of a deployment.
type Deployment struct {
	Workers, Accelerators   int
	Batch, Instances        int     // running tasks
	Teams, Services         int     // Services: an assumption, see DeploymentInTwoYears
	Domains                 int     // failure domains
	JobsPerDay, StartsPeak  float64 // StartsPeak per second
	ConfigurationsPerDay    float64
	RestartedHosts          int     // distinct hosts restarted since the entry hosts started
	ShardWorkers            int     // largest number of workers in a shard
	RequestsPerHost         float64 // requests per second at each entry host
	RoutingDecisionsPerHost float64 // decision records per second of refusals, retries and forwards
}

// PlannedDeployment is the deployment in two years, of section 1.6 of the design page. The section
// states no numbers of services, requests and operators' calls. The assumptions are 20 services,
// 1,000 requests per second at each entry host, of which 1% are refused or retried, and one
// list of all jobs per minute at each host. With 380 restarts per day, nearly all 990 workers
// have restarted after a week.
func PlannedDeployment() Deployment {
	return Deployment{
		Workers: 990, Accelerators: 1100, Batch: 16000, Instances: 3100, Teams: 200, Services: 20, Domains: 6,
		JobsPerDay: 19000, StartsPeak: 500, ConfigurationsPerDay: 410, RestartedHosts: 990, ShardWorkers: 50,
		RequestsPerHost: 1000, RoutingDecisionsPerHost: 10,
	}
}

const (
	firstDomain    = "Plovdiv-1"
	gigabyte       = 1_000_000_000
	jobClassCount  = 12
	workersPerRack = 8
	hostPort       = 7100
	workerPort     = 7200
)

// startTime is the time at which all measurements begin.
var startTime = time.Date(2026, time.December, 3, 12, 0, 0, 0, time.UTC)

func workerName(i int) string { return fmt.Sprintf("plovdiv-worker-%03d", i) }

func jobName(i int) string { return fmt.Sprintf("die-plan-2026-12-03-%05d", i) }

func serviceName(i int) string { return fmt.Sprintf("quotes-%02d", i) }

func instanceName(i, services int) string {
	return fmt.Sprintf("%s/%s/%d", serviceName(i%services), firstDomain, i/services)
}

func className(i int) string { return fmt.Sprintf("drawing-%02d", i%jobClassCount) }

func teamName(i int) string { return fmt.Sprintf("mill-team-%03d", i) }

func hostName(i int) string { return fmt.Sprintf("plovdiv-entry-%d", i) }

func address(network byte, i int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, network, byte(i / 250), byte(i%250 + 1)}), port)
}

// configurationSize holds the numbers of objects in a generated configuration.
type configurationSize struct {
	domains, hosts, workers, shards    int // hosts, workers, shards of each failure domain
	services, instances, teams         int // instances of each failure domain, over all services
	batchPerWorker, instancesPerWorker int
}

// configuration returns a valid configuration whose first failure domain is firstDomain.
func configuration(s configurationSize) *configurator.Configuration {
	c := &configurator.Configuration{
		Generation: 1, Firm: "Vitosha Telsoft OOD", Measures: configurator.Measures{Latency: 10, Throughput: 3, Evictions: 1},
		Policy: configurator.Policy{
			Routing: configurator.RoutingAdaptive, Placement: configurator.PlacementInterference, Limits: configurator.LimitFair,
			Retries: configurator.RetryBudget, OwnershipTTL: configurator.DefaultOwnershipTTL,
			JobRecoveryDelay: configurator.DefaultJobRecoveryDelay, MaxRequestTimeout: configurator.DefaultMaxRequestTimeout,
		},
	}
	for d := range s.domains {
		name, next := domainName(d), domainName((d+1)%s.domains)
		if s.domains == 1 {
			next = ""
		}
		c.FailureDomains = append(c.FailureDomains, configurator.FailureDomain{Name: name, Region: "South", Successor: next})
		for i := range s.hosts {
			n := d*s.hosts + i
			c.EntryHosts = append(c.EntryHosts, configurator.EntryHost{Name: hostName(n), FailureDomain: name, Address: address(0, n, hostPort)})
		}
		for i := range s.workers {
			n := d*s.workers + i
			c.Workers = append(c.Workers, configurator.Worker{
				Name: workerName(n), FailureDomain: name, Rack: fmt.Sprintf("rack-%03d", n/workersPerRack),
				Shard: strconv.Itoa(i % max(1, s.shards)), Address: address(1, n, workerPort), Capacity: workerCapacity(n),
			})
		}
	}
	for i := range s.services {
		v := configurator.Service{
			Name: serviceName(i), Class: "quotes", Instances: map[string]int{}, Slots: 8, Connections: 64,
			Size: configurator.Resources{Cores: 1, Memory: gigabyte}, LatencyTarget: 250 * time.Millisecond,
		}
		for d := range s.domains {
			v.Instances[domainName(d)] = s.instances / s.services
			if i < s.instances%s.services {
				v.Instances[domainName(d)]++
			}
		}
		c.Services = append(c.Services, v)
	}
	for i := range jobClassCount {
		c.JobClasses = append(c.JobClasses, configurator.JobClass{Name: className(i), Urgent: i == 0, Size: jobSize, MaxAttempts: 3})
	}
	for i := range s.teams {
		c.Teams = append(c.Teams, configurator.Team{Name: teamName(i), Share: 1, Quota: configurator.Resources{Cores: 4000, Memory: 16000 * gigabyte}})
	}
	return c
}

// jobSize is the declared size of the measured jobs. With 16 of them and 3 instances a worker
// has free capacity for starts.
var jobSize = configurator.Resources{Cores: 0.5, Memory: gigabyte}

// workerCapacity returns the capacity of a worker. Every ninth worker has two accelerators, the
// others one: 1,100 on 990 workers.
func workerCapacity(i int) configurator.Resources {
	r := configurator.Resources{Cores: 32, Memory: 125 * gigabyte, Accelerators: 1}
	if i%9 == 0 {
		r.Accelerators++
	}
	return r
}

func domainName(d int) string {
	if d == 0 {
		return firstDomain
	}
	return fmt.Sprintf("Domain-%d", d)
}

// journal returns the journal of a shard with running jobs and instances.
func journal(jobs, instances, workers int) scheduler.Journal {
	j := scheduler.Journal{
		Version: scheduler.JournalVersion, Shard: firstDomain + "/0", Owner: hostName(0), Epoch: 2, Renewal: 86400, Writer: hostName(0) + "-5f3759df", Sequence: 172800,
		Successors: []string{hostName(1), hostName(2), hostName(3)}, RunningSuccessors: []string{hostName(4), hostName(5)},
	}
	for i := range jobs {
		w := workerName(i % workers)
		j.Jobs = append(j.Jobs, scheduler.JobEntry{
			Spec:  scheduler.JobSpec{Name: jobName(i), Class: className(i), Team: teamName(i % 20), Declared: jobSize, Duration: time.Hour},
			State: scheduler.JobRunning, Worker: w, Attempt: 1, Checkpoint: fmt.Sprintf("checkpoint-%d", i),
			Submitted: startTime, Started: startTime.Add(123456789), Decision: "placed on " + w + " by rule LeastInterference",
		})
	}
	for i := range instances {
		j.Instances = append(j.Instances, scheduler.InstanceEntry{
			Task: instanceName(i, 1), Service: serviceName(0), Index: i, Attempt: 1, Worker: workerName(i % workers),
		})
	}
	return j
}

// taskReport describes a running task.
func taskReport(name, class string, kind commander.TaskKind, random *rand.Rand) commander.TaskReport {
	t := commander.TaskReport{
		Task: name, Attempt: 1, Kind: kind, Class: class, State: commander.TaskRunning, Declared: jobSize,
		Used:     configurator.Resources{Cores: 0.4 * random.Float64(), Memory: gigabyte/2 + random.Int64N(gigabyte/4)},
		Slowdown: 1 + random.Float64()/4, LeaseEnd: time.Hour, Checkpoint: "checkpoint-12",
	}
	if kind == commander.KindService {
		t.Declared, t.Service, t.Address, t.Checkpoint = configurator.Resources{Cores: 1, Memory: gigabyte}, serviceName(0), address(1, 1, workerPort).String(), ""
	}
	return t
}

// report returns a worker's report with running batch tasks.
func report(tasks int, random *rand.Rand) commander.Report {
	r := commander.Report{Worker: workerName(1), Incarnation: "1-5f3759df", Clock: 123456789012, MeasuredAt: 122956789012, Epoch: 2, Capacity: workerCapacity(1)}
	for i := range tasks {
		r.Tasks = append(r.Tasks, taskReport(jobName(i), className(i), commander.KindBatch, random))
	}
	return r
}

func identity(notices int) messenger.Identity {
	id := messenger.Identity{Host: hostName(1), FailureDomain: firstDomain, Incarnation: hostName(1) + "-5f3759df", Generation: 299300, InEffectFor: time.Hour}
	for i := range notices {
		id.Notices = append(id.Notices, messenger.HostNotice{Host: workerName(i), Source: messenger.SourcePlatform, Leaving: true, Version: 1765})
	}
	return id
}

// heartbeat returns a heartbeat within a failure domain, with claims of the sender's shards
// and its slot demand for the receiver's instances.
func heartbeat(shards, instances, notices int) messenger.Heartbeat {
	m := messenger.Heartbeat{Identity: identity(notices)}
	for i := range shards {
		m.Claims = append(m.Claims, messenger.ShardClaim{Shard: fmt.Sprintf("%s/%d", firstDomain, i), Epoch: 12, Kinds: []messenger.LeaseKind{messenger.LeasePlacing, messenger.LeaseRunning}})
	}
	for i := range instances {
		m.Demand = append(m.Demand, messenger.SlotDemand{Instance: instanceName(i, 20), InUse: 2, Wanted: 3})
	}
	return m
}

func endpoints(instances, services int) []messenger.Endpoint {
	var es []messenger.Endpoint
	for i := range instances {
		es = append(es, messenger.Endpoint{
			Instance: instanceName(i, services), Service: serviceName(i % services), FailureDomain: firstDomain, Worker: workerName(i), Shard: firstDomain + "/0",
			Address: address(1, i, workerPort).String(), Slots: 8, Connections: 64, Slowdown: 1.125,
		})
	}
	return es
}
