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
	WarmUp   time.Duration // simulated before measuring starts, to fill the fleet; 0 is DefaultWarmUp
}

// Result is what one run measured. Latencies include requests that were dropped, refused or
// lost, with the request timeout as their latency.
type Result struct {
	P50, P99, P999 time.Duration // of the first service, "quotes"
	Answered       int
	NotRun         int
	Unknown        int
	Retries        int
	Goodput        float64 // answers in time per second, all services
	Evictions      int     // by decisions and by hosts out of memory
	Killed         int     // of these, by hosts out of memory
	Lost           int     // tasks of lost or leaving hosts
	Finished       int     // jobs
	Never          int
	Throttles      int
	Throughput     float64 // core hours of useful batch work
	UrgentStart    time.Duration
	Broken         map[int]int    // by guarantee
	Example        map[int]string // first case of each
}

type world struct {
	loop
	firm     Firm
	policies Policies
	seed     uint64
	start    time.Time
	warm     time.Time // measuring starts
	end      time.Time
	truth    truth
	result   Result
	latency  *hdrhistogram.Histogram

	hosts   []*host
	shards  []*shard
	entries []*entry
	rates   []float64 // requests per second by service
	base    []float64

	instances []*instance
	byName    map[string]*instance
	open      map[int]*request // without a final outcome, by number
	storeUp   bool
	held      []func() // submissions made while the store was down
	bursting  bool
	declare   float64 // true size over declared size of jobs
	jobs      []*job
	names     int
	requests  int

	arrivalRnd, serviceRnd, jobRnd, reportRnd, faultRnd *rand.Rand
}

// DefaultWarmUp suffices to fill the fleet and to learn interference.
const DefaultWarmUp = 2 * time.Minute

// Run simulates one configuration.
func Run(c Config) Result {
	w := &world{
		firm: c.Firm, policies: c.Policies, seed: c.Seed,
		byName: map[string]*instance{}, open: map[int]*request{},
		start: time.Unix(1_800_000_000, 0), storeUp: true, declare: 1,
		latency:    hdrhistogram.New(1, int64(10*requestTimeout/time.Microsecond), 3),
		arrivalRnd: source(c.Seed, streamArrivals), serviceRnd: source(c.Seed, streamService),
		jobRnd: source(c.Seed, streamJobs), reportRnd: source(c.Seed, streamReports), faultRnd: source(c.Seed, streamFaults),
	}
	if c.WarmUp <= 0 {
		c.WarmUp = DefaultWarmUp
	}
	w.now = w.start
	w.warm = w.start.Add(c.WarmUp)
	w.end = w.warm.Add(c.Length)
	w.truth = newTruth(c.Firm.Services, source(c.Seed, streamTruth))
	w.result.Broken, w.result.Example = map[int]int{}, map[int]string{}
	w.build()
	c.Scenario.prepare(w)
	w.startLoad()
	w.after(c.WarmUp, func() { c.Scenario.disturb(w, c.Length) })
	w.run(w.end)
	w.result.P50 = w.quantile(50)
	w.result.P99 = w.quantile(99)
	w.result.P999 = w.quantile(99.9)
	w.result.Goodput /= c.Length.Seconds()
	return w.result
}

func (w *world) quantile(q float64) time.Duration {
	return time.Duration(w.latency.ValueAtQuantile(q)) * time.Microsecond
}

func (w *world) measuring() bool { return !w.now.Before(w.warm) }

func (w *world) count(n *int) {
	if w.measuring() {
		*n++
	}
}

// broken counts a violated guarantee. Violations count from the start of the run.
func (w *world) broken(guarantee int, example string) {
	if w.result.Broken[guarantee]++; w.result.Broken[guarantee] == 1 {
		w.result.Example[guarantee] = fmt.Sprintf("at %s: %s", w.now.Sub(w.warm), example)
	}
}

func (w *world) urgentStarted(d time.Duration) {
	if w.measuring() {
		w.result.UrgentStart = max(w.result.UrgentStart, d)
	}
}

func hash(s string) uint64 { return xxhash.Sum64String(s) }

// share returns how many of n things the i-th of m holders gets.
func share(n, m, i int) int { return n*(i+1)/m - n*i/m }

func (w *world) build() {
	domains := len(w.firm.Domains)
	for d, name := range w.firm.Domains {
		s := newShard(w, d)
		w.shards = append(w.shards, s)
		for i := range share(w.firm.Workers, domains, d) {
			h := &host{
				name: fmt.Sprintf("%s-w%d", name, i), rack: fmt.Sprintf("%s-r%d", name, i/rackSize),
				domain: d, capacity: w.firm.Capacity, alive: true,
			}
			w.hosts = append(w.hosts, h)
			s.add(h)
		}
		for i := range share(w.firm.EntryHosts, domains, d) {
			w.entries = append(w.entries, newEntry(w, d, fmt.Sprintf("%s-e%d", name, i)))
		}
	}
	w.buildServices()
	for i, h := range w.hosts {
		phase := reportInterval * time.Duration(i) / time.Duration(len(w.hosts))
		w.after(phase, func() { w.every(reportInterval, func() { w.report(h) }) })
	}
	w.every(tickInterval, w.tick)
	w.every(tickInterval, w.toggleBursts)
	for _, s := range w.shards {
		w.every(placeInterval, s.place)
		w.every(reportInterval, s.relieve)
	}
	w.every(heartbeat, w.exchange)
}

// buildServices creates one instance for each worker, 60% of them of the first service.
func (w *world) buildServices() {
	for d := range w.firm.Domains {
		n := share(w.firm.Workers, len(w.firm.Domains), d)
		for i := range n {
			service := 0
			if i >= n*6/10 {
				service = 1
			}
			w.newInstance(d, service)
		}
	}
}

// startLoad starts the arrivals of requests and jobs.
func (w *world) startLoad() {
	w.rates = slices.Clone(w.base)
	for i := range w.rates {
		w.after(unreadyInstance+5*time.Second, func() { w.nextRequest(i) })
	}
	for d := range w.firm.Domains {
		rnd := rand.New(rand.NewPCG(w.jobRnd.Uint64(), w.jobRnd.Uint64()))
		n := share(w.firm.Workers, len(w.firm.Domains), d)
		free := w.firm.Capacity.Cores - w.firm.Instance.Cores
		interval := meanCores * meanWork / (free * float64(n) * jobPressure)
		w.nextJob(d, rnd, interval)
		for range int(float64(n) * free / meanCores) {
			w.submit(d, rnd) // fills the fleet at the start
		}
	}
}

// Jobs. The pressure keeps a few jobs waiting, so that throughput is bounded by the
// policies and not by the supply.
const (
	jobPressure = 1.3
	meanCores   = 7.0 / 3
	meanWork    = 150.0 // seconds
	urgentShare = 0.03
)

func (w *world) nextJob(domain int, rnd *rand.Rand, interval float64) {
	w.after(time.Duration(rnd.ExpFloat64()*interval*float64(time.Second)), func() {
		w.submit(domain, rnd)
		w.nextJob(domain, rnd, interval)
	})
}

func (w *world) submit(domain int, rnd *rand.Rand) {
	w.names++
	cores := float64(int(1) << rnd.IntN(3))
	j := &job{
		Task: placer.Task{
			Name: fmt.Sprintf("%s-j%d", w.firm.Domains[domain], w.names), Class: batchClasses[rnd.IntN(len(batchClasses))],
			Kind: placer.KindBatch, Urgent: rnd.Float64() < urgentShare,
			Declared: configurator.Resources{Cores: cores, Memory: int64(cores * (1 + 2*rnd.Float64()) * gib)},
		},
		work: meanWork * (0.5 + rnd.Float64()),
	}
	usage := lognormal(rnd, 0.75, 0.35) * w.declare
	j.demand = configurator.Resources{Cores: cores * usage, Memory: int64(float64(j.Declared.Memory) * min(usage, 4))}
	accept := func() {
		j.asked = w.now
		w.jobs = append(w.jobs, j)
		w.enqueue(domain, j)
	}
	if !w.storeUp {
		w.held = append(w.held, accept)
		return
	}
	accept()
}

// enqueue makes a job pending in a shard, or in the next one that runs batch work.
func (w *world) enqueue(domain int, j *job) {
	for range w.shards {
		if w.shards[domain].up {
			break
		}
		domain = (domain + 1) % len(w.shards)
	}
	j.Attempt++
	s := w.shards[domain]
	s.pending = append(s.pending, &task{Task: j.Task, job: j, demand: j.demand})
}

// lose ends a host at once.
func (w *world) lose(h *host) {
	if !h.alive {
		return
	}
	h.alive = false
	tasks := slices.Clone(h.tasks)
	for _, t := range tasks {
		if t.instance != nil {
			w.crash(t.instance)
		}
	}
	delay := lossDetection
	if !w.shards[h.domain].up {
		delay = recoveryDelay
	}
	w.after(delay, func() { w.shards[h.domain].lost(h, tasks) })
}

func (w *world) restore(h *host) {
	h.alive, h.tasks, h.leaving = true, nil, time.Time{}
	v := w.shards[h.domain].worker(h.name)
	v.Leaving = false
	w.shards[h.domain].touch(v)
}

// loseDomain ends all hosts of a failure domain. Its jobs resume in the next one.
func (w *world) loseDomain(d int) {
	s := w.shards[d]
	s.up = false
	for _, e := range w.entries {
		if e.domain == d {
			e.crash()
		}
	}
	for _, h := range w.hosts {
		if h.domain == d {
			w.lose(h)
		}
	}
	w.after(recoveryDelay, func() { s.handOver() })
}

func (w *world) restoreDomain(d int) {
	w.shards[d].up = true
	for _, e := range w.entries {
		if e.domain == d {
			e.restart()
		}
	}
	for _, h := range w.hosts {
		if h.domain == d {
			w.restore(h)
		}
	}
}

// handOver moves the pending jobs to another shard. Instances stay.
func (s *shard) handOver() {
	pending := s.pending
	s.pending = nil
	for _, t := range pending {
		switch {
		case t.instance != nil:
			s.pending = append(s.pending, t)
		case !t.job.over:
			s.w.enqueue(s.domain, t.job)
		}
	}
}

// partition cuts a failure domain off: its instances serve on; its batch tasks stop when
// the running tenure has ended, and resume elsewhere.
func (w *world) partition(d int) {
	s := w.shards[d]
	w.after(recoveryDelay, func() {
		s.up = false
		for _, h := range s.hosts {
			for _, t := range slices.Clone(h.tasks) {
				if t.job != nil {
					w.endTask(h, t, endLost)
				}
			}
		}
		s.handOver()
	})
}

// replace drains a host, takes it away and brings it back empty.
func (w *world) replace(h *host, away time.Duration) {
	if !h.alive {
		return
	}
	h.leaving = w.now
	s := w.shards[h.domain]
	// A task that was on its way when the notice arrived is drained as well.
	for d := hostListLag; d < drainTime; d += time.Second {
		w.after(d, func() {
			v := s.worker(h.name)
			v.Leaving = true
			s.touch(v)
			for _, t := range slices.Clone(h.tasks) {
				w.stop(h, t, endDrained)
			}
		})
	}
	w.after(drainTime, func() {
		for _, t := range slices.Clone(h.tasks) {
			if t.instance != nil && t.instance.busy > 0 {
				w.broken(8, fmt.Sprintf("%s stopped with %d requests in flight", t.Name, t.instance.busy))
			}
		}
		w.lose(h)
		w.after(away, func() { w.restore(h) })
	})
}

// Times of planned replacement.
const (
	hostListLag = 2 * time.Second
	drainTime   = 20 * time.Second
)

// cancelJobs cancels a share of all live jobs at once.
func (w *world) cancelJobs(share float64) {
	for _, j := range w.jobs {
		if j.over || float64(hash(j.Name)%1000) >= 1000*share {
			continue
		}
		j.over = true
		for _, s := range w.shards {
			if t := s.tasks[j.Name]; t != nil && t.job == j {
				for _, h := range s.hosts {
					if slices.Contains(h.tasks, t) {
						w.stop(h, t, endCanceled)
					}
				}
			}
		}
	}
}
