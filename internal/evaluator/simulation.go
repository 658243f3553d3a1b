package evaluator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cespare/xxhash/v2"

	"peridotpitch/internal/configurator"
	"peridotpitch/internal/placer"
)

// Config selects one run.
type Config struct {
	Firm     Firm
	Scenario Scenario
	Policies Policies
	Seed     uint64
	Length   time.Duration // of the measured part, in virtual time
	WarmUp   time.Duration // virtual time before the measured part; 0 means DefaultWarmUp
}

// Result holds the measurements of one run. Requests without an answer count in the latencies
// with the request timeout as their latency.
type Result struct {
	P50, P99, P999   time.Duration // latencies of the first service, "quotes"
	Answered         int
	NotRun           int
	Unknown          int
	Retries          int
	Goodput          float64        // answers in time per second, all services
	Evictions        int            // by the placer and by workers out of memory
	OutOfMemoryKills int            // the part of Evictions by workers out of memory
	Lost             int            // runs that ended with lost or leaving workers
	Finished         int            // jobs
	Unschedulable    int            // tasks that no worker can run
	Throttles        int            // throttle commands
	Throughput       float64        // core hours of useful batch work
	UrgentStart      time.Duration  // longest time from submission to start of an urgent job
	Violations       map[int]int    // violations by guarantee
	FirstViolation   map[int]string // first violation by guarantee
}

// simulation is the state of one run.
type simulation struct {
	eventLoop
	firm         Firm
	policies     Policies
	seed         uint64
	start        time.Time
	measureFrom  time.Time // end of the warm-up
	end          time.Time
	interference interferenceModel
	result       Result
	latency      *hdrhistogram.Histogram

	workers      []*worker
	shards       []*shard
	entryHosts   []*entryHost
	requestRates []float64 // requests per second by service
	baseRates    []float64 // requestRates without a scenario's changes

	instances           []*instance
	instancesByName     map[string]*instance
	unfinishedRequests  map[int]*request // requests without a final outcome, by number
	storeAvailable      bool
	deferredSubmissions []func() // made while the store was unavailable
	bursting            bool     // noisy tasks have bursts
	usagePerDeclared    float64  // factor on the usage of jobs
	jobs                []*job
	jobCount            int
	requestCount        int

	arrivalRnd, serviceRnd, jobRnd, reportRnd, faultRnd *rand.Rand
}

// DefaultWarmUp is long enough for jobs to fill the workers and for the placer to estimate
// interference.
const DefaultWarmUp = 2 * time.Minute

// Run simulates one configuration and returns its measurements.
func Run(c Config) Result {
	sm := &simulation{
		firm: c.Firm, policies: c.Policies, seed: c.Seed,
		instancesByName: map[string]*instance{}, unfinishedRequests: map[int]*request{},
		start: time.Unix(1_800_000_000, 0), storeAvailable: true, usagePerDeclared: 1,
		latency:    hdrhistogram.New(1, int64(10*requestTimeout/time.Microsecond), 3),
		arrivalRnd: newRandom(c.Seed, streamArrivals), serviceRnd: newRandom(c.Seed, streamService),
		jobRnd: newRandom(c.Seed, streamJobs), reportRnd: newRandom(c.Seed, streamReports), faultRnd: newRandom(c.Seed, streamFaults),
	}
	if c.WarmUp <= 0 {
		c.WarmUp = DefaultWarmUp
	}
	sm.now = sm.start
	sm.measureFrom = sm.start.Add(c.WarmUp)
	sm.end = sm.measureFrom.Add(c.Length)
	sm.interference = newInterferenceModel(c.Firm.Services, newRandom(c.Seed, streamInterference))
	sm.result.Violations, sm.result.FirstViolation = map[int]int{}, map[int]string{}
	sm.buildCluster()
	c.Scenario.setUp(sm)
	sm.startLoad()
	sm.after(c.WarmUp, func() { c.Scenario.injectFaults(sm, c.Length) })
	sm.run(sm.end)
	sm.result.P50 = sm.latencyPercentile(50)
	sm.result.P99 = sm.latencyPercentile(99)
	sm.result.P999 = sm.latencyPercentile(99.9)
	sm.result.Goodput /= c.Length.Seconds()
	return sm.result
}

func (sm *simulation) latencyPercentile(q float64) time.Duration {
	return time.Duration(sm.latency.ValueAtQuantile(q)) * time.Microsecond
}

func (sm *simulation) measuring() bool { return !sm.now.Before(sm.measureFrom) }

func (sm *simulation) countMeasured(n *int) {
	if sm.measuring() {
		*n++
	}
}

// recordViolation counts a violation of a guarantee. It counts during the warm-up as well.
func (sm *simulation) recordViolation(guarantee int, example string) {
	if sm.result.Violations[guarantee]++; sm.result.Violations[guarantee] == 1 {
		sm.result.FirstViolation[guarantee] = fmt.Sprintf("at %s: %s", sm.now.Sub(sm.measureFrom), example)
	}
}

func (sm *simulation) recordUrgentStart(d time.Duration) {
	if sm.measuring() {
		sm.result.UrgentStart = max(sm.result.UrgentStart, d)
	}
}

func hash(s string) uint64 { return xxhash.Sum64String(s) }

// evenShare returns the size of the i-th part when n is divided into m nearly equal parts.
func evenShare(n, m, i int) int { return n*(i+1)/m - n*i/m }

func (sm *simulation) buildCluster() {
	domains := len(sm.firm.Domains)
	for d, name := range sm.firm.Domains {
		s := newShard(sm, d)
		sm.shards = append(sm.shards, s)
		for i := range evenShare(sm.firm.Workers, domains, d) {
			w := &worker{
				name: fmt.Sprintf("%s-w%d", name, i), rack: fmt.Sprintf("%s-r%d", name, i/workersPerRack),
				domain: d, capacity: sm.firm.Capacity, alive: true,
			}
			sm.workers = append(sm.workers, w)
			s.add(w)
		}
		for i := range evenShare(sm.firm.EntryHosts, domains, d) {
			sm.entryHosts = append(sm.entryHosts, newEntryHost(sm, d, fmt.Sprintf("%s-e%d", name, i)))
		}
	}
	sm.addInstances()
	for i, w := range sm.workers {
		phase := reportInterval * time.Duration(i) / time.Duration(len(sm.workers))
		sm.after(phase, func() { sm.every(reportInterval, func() { sm.sendReport(w) }) })
	}
	sm.every(tickInterval, sm.advanceWorkers)
	sm.every(tickInterval, sm.updateBursts)
	for _, s := range sm.shards {
		sm.every(placementInterval, s.placePending)
		sm.every(reportInterval, s.mitigate)
	}
	sm.every(heartbeatInterval, sm.exchangeHeartbeats)
}

// addInstances adds one instance per worker, 60% of them of the first service.
func (sm *simulation) addInstances() {
	for d := range sm.firm.Domains {
		n := evenShare(sm.firm.Workers, len(sm.firm.Domains), d)
		for i := range n {
			service := 0
			if i >= n*6/10 {
				service = 1
			}
			sm.addInstance(d, service)
		}
	}
}

// startLoad starts the arrivals of requests and jobs, and submits jobs that fill the workers.
func (sm *simulation) startLoad() {
	sm.requestRates = slices.Clone(sm.baseRates)
	for i := range sm.requestRates {
		sm.after(instanceStartTime+5*time.Second, func() { sm.scheduleRequests(i) })
	}
	for d := range sm.firm.Domains {
		rnd := rand.New(rand.NewPCG(sm.jobRnd.Uint64(), sm.jobRnd.Uint64()))
		n := evenShare(sm.firm.Workers, len(sm.firm.Domains), d)
		free := sm.firm.Capacity.Cores - sm.firm.Instance.Cores
		interval := meanJobCores * meanJobSeconds / (free * float64(n) * jobLoadFactor)
		sm.scheduleJobs(d, rnd, interval)
		for range int(float64(n) * free / meanJobCores) {
			sm.submitJob(d, rnd)
		}
	}
}

// Parameters of the submitted jobs.
const (
	// jobLoadFactor is the submitted work as a multiple of the free cores. It is above 1 so
	// that jobs always wait and the policies, not the submissions, limit the throughput.
	jobLoadFactor  = 1.3
	meanJobCores   = 7.0 / 3 // of jobs with 1, 2 or 4 cores
	meanJobSeconds = 150.0   // run time without interference
	urgentJobShare = 0.03
)

func (sm *simulation) scheduleJobs(domain int, rnd *rand.Rand, interval float64) {
	sm.after(time.Duration(rnd.ExpFloat64()*interval*float64(time.Second)), func() {
		sm.submitJob(domain, rnd)
		sm.scheduleJobs(domain, rnd, interval)
	})
}

func (sm *simulation) submitJob(domain int, rnd *rand.Rand) {
	sm.jobCount++
	cores := float64(int(1) << rnd.IntN(3))
	j := &job{
		Task: placer.Task{
			Name: fmt.Sprintf("%s-j%d", sm.firm.Domains[domain], sm.jobCount), Class: batchClasses[rnd.IntN(len(batchClasses))],
			Kind: placer.KindBatch, Urgent: rnd.Float64() < urgentJobShare,
			Declared: configurator.Resources{Cores: cores, Memory: int64(cores * (1 + 2*rnd.Float64()) * gib)},
		},
		workSeconds: meanJobSeconds * (0.5 + rnd.Float64()),
	}
	usage := lognormal(rnd, 0.75, 0.35) * sm.usagePerDeclared
	j.usage = configurator.Resources{Cores: cores * usage, Memory: int64(float64(j.Declared.Memory) * min(usage, 4))}
	accept := func() {
		j.submittedAt = sm.now
		sm.jobs = append(sm.jobs, j)
		sm.enqueue(domain, j)
	}
	if !sm.storeAvailable {
		sm.deferredSubmissions = append(sm.deferredSubmissions, accept)
		return
	}
	accept()
}

// enqueue makes a job pending in the shard of a failure domain, or in the next available
// shard.
func (sm *simulation) enqueue(domain int, j *job) {
	for range sm.shards {
		if sm.shards[domain].available {
			break
		}
		domain = (domain + 1) % len(sm.shards)
	}
	j.Attempt++
	s := sm.shards[domain]
	s.pending = append(s.pending, &task{Task: j.Task, job: j, usage: j.usage})
}

// crashWorker ends a worker without draining.
func (sm *simulation) crashWorker(w *worker) {
	if !w.alive {
		return
	}
	w.alive = false
	tasks := slices.Clone(w.tasks)
	for _, t := range tasks {
		if t.instance != nil {
			sm.crashInstance(t.instance)
		}
	}
	delay := lossDetectionDelay
	if !sm.shards[w.domain].available {
		delay = domainRecoveryDelay
	}
	sm.after(delay, func() { sm.shards[w.domain].removeLostTasks(w, tasks) })
}

// restoreWorker brings a worker back without tasks.
func (sm *simulation) restoreWorker(w *worker) {
	w.alive, w.tasks, w.leavingSince = true, nil, time.Time{}
	v := sm.shards[w.domain].viewOf(w.name)
	v.Leaving = false
	sm.shards[w.domain].bumpVersion(v)
}

// crashDomain crashes all hosts of a failure domain. Its jobs resume in the next available
// failure domain.
func (sm *simulation) crashDomain(d int) {
	s := sm.shards[d]
	s.available = false
	for _, e := range sm.entryHosts {
		if e.domain == d {
			e.crash()
		}
	}
	for _, w := range sm.workers {
		if w.domain == d {
			sm.crashWorker(w)
		}
	}
	sm.after(domainRecoveryDelay, func() { s.moveJobs() })
}

func (sm *simulation) restoreDomain(d int) {
	sm.shards[d].available = true
	for _, e := range sm.entryHosts {
		if e.domain == d {
			e.restart()
		}
	}
	for _, w := range sm.workers {
		if w.domain == d {
			sm.restoreWorker(w)
		}
	}
}

// moveJobs moves the pending jobs to another shard. Pending instances stay.
func (s *shard) moveJobs() {
	pending := s.pending
	s.pending = nil
	for _, t := range pending {
		switch {
		case t.instance != nil:
			s.pending = append(s.pending, t)
		case !t.job.ended:
			s.sim.enqueue(s.domain, t.job)
		}
	}
}

// partitionDomain disconnects a failure domain. Its instances continue to serve requests. Its
// batch tasks stop when the lease for running tasks has ended, and resume elsewhere.
func (sm *simulation) partitionDomain(d int) {
	s := sm.shards[d]
	sm.after(domainRecoveryDelay, func() {
		s.available = false
		for _, w := range s.workers {
			for _, t := range slices.Clone(w.tasks) {
				if t.job != nil {
					sm.endTask(w, t, endWorkerLost)
				}
			}
		}
		s.moveJobs()
	})
}

// replaceWorker drains a worker, removes it and brings it back empty.
func (sm *simulation) replaceWorker(w *worker, away time.Duration) {
	if !w.alive {
		return
	}
	w.leavingSince = sm.now
	s := sm.shards[w.domain]
	// The stop is repeated, because tasks whose start command was under way when the notice
	// arrived must be drained as well.
	for d := hostListDelay; d < drainDuration; d += time.Second {
		sm.after(d, func() {
			v := s.viewOf(w.name)
			v.Leaving = true
			s.bumpVersion(v)
			for _, t := range slices.Clone(w.tasks) {
				sm.stopTask(w, t, endWorkerLeaving)
			}
		})
	}
	sm.after(drainDuration, func() {
		for _, t := range slices.Clone(w.tasks) {
			if t.instance != nil && t.instance.inFlight > 0 {
				sm.recordViolation(8, fmt.Sprintf("%s stopped with %d requests in flight", t.Name, t.instance.inFlight))
			}
		}
		sm.crashWorker(w)
		sm.after(away, func() { sm.restoreWorker(w) })
	})
}

// Times of planned replacements.
const (
	hostListDelay = 2 * time.Second  // from the notice until the shard reads it from the platform's host list
	drainDuration = 20 * time.Second // from the notice to the removal
)

// cancelJobs cancels a share of the jobs that have not ended, all at once.
func (sm *simulation) cancelJobs(share float64) {
	for _, j := range sm.jobs {
		if j.ended || float64(hash(j.Name)%1000) >= 1000*share {
			continue
		}
		j.ended = true
		for _, s := range sm.shards {
			if t := s.tasks[j.Name]; t != nil && t.job == j {
				for _, w := range s.workers {
					if slices.Contains(w.tasks, t) {
						sm.stopTask(w, t, endCanceled)
					}
				}
			}
		}
	}
}
