package estimator

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"peridotpitch/internal/emulator"
	"peridotpitch/internal/scheduler"
	"peridotpitch/internal/shardowner"
	"peridotpitch/internal/storer"
)

// callCounts counts the store calls of one kind and area.
type callCounts struct {
	Calls int
	Bytes int64 // of the values written or read
}

// countingStore counts calls by kind and area. The area is the first part of the key.
type countingStore struct {
	storer.Store
	mutex  sync.Mutex
	counts map[string]callCounts // by kind and area, for example "write shards"
}

func (s *countingStore) count(kind, key string, bytes int) {
	area, _, _ := strings.Cut(key, "/")
	s.mutex.Lock()
	defer s.mutex.Unlock()
	c := s.counts[kind+" "+area]
	c.Calls++
	c.Bytes += int64(bytes)
	s.counts[kind+" "+area] = c
}

func (s *countingStore) snapshot() map[string]callCounts {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return maps.Clone(s.counts)
}

func totalValueBytes(es []storer.Entry) (n int) {
	for _, e := range es {
		n += len(e.Value)
	}
	return n
}

func (s *countingStore) Get(ctx context.Context, key string) (storer.Entry, error) {
	e, err := s.Store.Get(ctx, key)
	s.count("get", key, len(e.Value))
	return e, err
}

func (s *countingStore) List(ctx context.Context, prefix string) ([]storer.Entry, uint64, error) {
	es, revision, err := s.Store.List(ctx, prefix)
	s.count("list", prefix, totalValueBytes(es))
	return es, revision, err
}

func (s *countingStore) CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte) (bool, uint64, error) {
	s.count("write", key, len(value))
	return s.Store.CompareAndSwap(ctx, key, expect, value)
}

func (s *countingStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (storer.Events, error) {
	e, err := s.Store.Watch(ctx, prefix, after, wait)
	s.count("watch", prefix, totalValueBytes(e.Events))
	return e, err
}

// StoreCalls holds the store calls of the entry hosts of one failure domain.
type StoreCalls struct {
	Hosts, Shards, Rate   int                   // Rate: job starts per second of each shard
	JobsAccepted          int                   // during startDuration
	ClaimCalls            map[string]callCounts // until all shards were claimed
	IdleRates, StartRates map[string]callRates  // during idleDuration and startDuration
	IdleWritesPerShard    float64               // journal writes per second without starts
	StartWritesPerShard   float64               // journal writes per second while jobs start
	IdleReadsPerHost      float64               // watches and lists of journals per second without starts
	IdleReadRatio         float64               // journal bytes that one host reads per byte written, without starts
	StartReadRatio        float64               // journal bytes that one host reads per byte written, while jobs start
	JournalsOwned         int                   // claims of all hosts after claimDuration
	HistoryCallsPerShard  float64               // calls for the job history per second while jobs start and end
}

// callRates are calls and bytes per second.
type callRates struct{ Calls, Bytes float64 }

// Durations of the phases of countStoreCalls.
const (
	claimDuration = 8 * time.Second // more than an ownership TTL and the stagger of claims
	idleDuration  = 10 * time.Second
	startDuration = 6 * time.Second
)

// countStoreCalls runs the shard owners of one failure domain against an emulated store and
// counts their calls, first without starts and then while jobs start at a rate. It takes 24 s;
// inside a synctest bubble these are seconds of virtual time.
func countStoreCalls(ctx context.Context, hosts, shards, rate int, seed uint64) (StoreCalls, error) {
	const workers = 4 // of each shard
	out := StoreCalls{Hosts: hosts, Shards: shards, Rate: rate}
	c := configuration(configurationSize{domains: 2, hosts: hosts, workers: shards * workers, shards: shards, services: 1, instances: shards, teams: 1})
	store := &countingStore{Store: emulator.NewStore(emulator.StoreOptions{}), counts: make(map[string]callCounts)}
	workersOf := make(emulator.Fleet)
	for i, w := range c.Workers {
		workersOf[w.Address] = emulator.NewMachine(emulator.MachineOptions{Name: w.Name, Capacity: w.Capacity, Seed: seed + uint64(i)})
	}
	var ps []*shardowner.Owner
	for i, h := range c.EntryHosts {
		if h.FailureDomain != firstDomain {
			continue
		}
		p, stop, err := shardowner.New(shardowner.Settings{
			Host: h.Name, FailureDomain: firstDomain, Incarnation: h.Name + "-1", Store: store, Workers: workersOf,
			Random: rand.New(rand.NewPCG(seed, uint64(i))),
		})
		if err != nil {
			return out, err
		}
		defer stop()
		p.Configure(c)
		ps = append(ps, p)
	}
	if err := sleep(ctx, claimDuration); err != nil {
		return out, err
	}
	for _, p := range ps {
		out.JournalsOwned += len(p.Claims())
	}
	out.ClaimCalls = store.snapshot()
	if err := sleep(ctx, idleDuration); err != nil {
		return out, err
	}
	idle := store.snapshot()
	out.IdleRates = ratesBetween(out.ClaimCalls, idle, idleDuration)
	if err := out.submitJobs(ctx, ps, shards, rate); err != nil {
		return out, err
	}
	out.StartRates = ratesBetween(idle, store.snapshot(), startDuration)
	out.IdleWritesPerShard = out.IdleRates["write shards"].Calls / float64(shards)
	out.StartWritesPerShard = out.StartRates["write shards"].Calls / float64(shards)
	out.IdleReadsPerHost = (out.IdleRates["watch shards"].Calls + out.IdleRates["list shards"].Calls) / float64(hosts)
	out.IdleReadRatio = out.IdleRates["watch shards"].Bytes / float64(hosts) / max(1, out.IdleRates["write shards"].Bytes)
	out.StartReadRatio = out.StartRates["watch shards"].Bytes / float64(hosts) / max(1, out.StartRates["write shards"].Bytes)
	out.HistoryCallsPerShard = (out.StartRates["write records"].Calls + out.StartRates["get records"].Calls) / float64(shards)
	return out, nil
}

// submitJobs submits jobs at a rate per second and shard for startDuration.
func (c *StoreCalls) submitJobs(ctx context.Context, ps []*shardowner.Owner, shards, rate int) error {
	const step = 100 * time.Millisecond
	var g errgroup.Group
	var mutex sync.Mutex
	n := 0
	for i := range int(startDuration / step) {
		for due := (i + 1) * rate * shards * int(step) / int(time.Second); n < due; n++ {
			name := jobNameInFirstDomain(ps[0], n)
			g.Go(func() error {
				if submitJob(ctx, ps, name) {
					mutex.Lock()
					c.JobsAccepted++
					mutex.Unlock()
				}
				return nil
			})
		}
		if err := sleep(ctx, step); err != nil {
			return err
		}
	}
	return g.Wait()
}

// jobNameInFirstDomain returns the name of a job whose home shard is in the first failure domain.
func jobNameInFirstDomain(p *shardowner.Owner, n int) string {
	for k := 0; ; k++ {
		if name := fmt.Sprintf("%s-%d", jobName(n), k); strings.HasPrefix(p.HomeShard(name), firstDomain+"/") {
			return name
		}
	}
}

// submitJob submits a job to each host until the owner of its home shard answers, and reports
// whether it was accepted.
func submitJob(ctx context.Context, ps []*shardowner.Owner, name string) bool {
	for _, p := range ps {
		a, err := p.Submit(ctx, scheduler.JobSpec{Name: name, Class: className(1), Declared: jobSize, Duration: time.Second})
		if err == nil {
			return a.Accepted
		}
	}
	return false
}

// ratesBetween returns the rates of the calls between two snapshots.
func ratesBetween(a, b map[string]callCounts, span time.Duration) map[string]callRates {
	out := make(map[string]callRates)
	for k, v := range b {
		out[k] = callRates{float64(v.Calls-a[k].Calls) / span.Seconds(), float64(v.Bytes-a[k].Bytes) / span.Seconds()}
	}
	return out
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// Names of the series of store calls.
const (
	callsIdleByShards  = "Store calls of one failure domain with 2 entry hosts, nothing starts"
	callsIdleByHosts   = "Store calls of one failure domain with 4 shards, nothing starts"
	callsByStarts      = "Store writes of one shard while jobs start"
	readBytesByHosts   = "Journal bytes that all entry hosts of a failure domain read, for each byte written"
	claimCallsByShards = "Store calls until 2 entry hosts have claimed all shards"
)

// measureStoreCalls runs the shard owners with several numbers of hosts and shards. The runs are
// concurrent, because they count calls and measure no times.
func (s measurer) measureStoreCalls(ctx context.Context) ([]Series, error) {
	type run struct{ hosts, shards, rate int }
	runs := []run{{2, 1, 2}, {2, 2, 10}, {2, 4, 20}, {3, 4, 20}, {4, 4, 20}}
	results := make([]StoreCalls, len(runs))
	g, ctx := errgroup.WithContext(ctx)
	for i, r := range runs {
		g.Go(func() (err error) {
			results[i], err = countStoreCalls(ctx, r.hosts, r.shards, r.rate, s.seed)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	newSeries := func(name, per, counted string, indexes []int, size, count func(StoreCalls) float64) Series {
		out := Series{Name: name, Per: per, Counted: counted}
		for _, i := range indexes {
			out.Samples = append(out.Samples, Sample{Size: size(results[i]), Count: count(results[i])})
		}
		return out
	}
	shards := func(c StoreCalls) float64 { return float64(c.Shards) }
	hosts := func(c StoreCalls) float64 { return float64(c.Hosts) }
	reads := func(c StoreCalls) float64 { return c.IdleReadsPerHost * float64(c.Hosts) }
	return []Series{
		newSeries(callsIdleByShards+": writes", "shards", "writes per second", []int{0, 1, 2}, shards, func(c StoreCalls) float64 { return c.IdleWritesPerShard * float64(c.Shards) }),
		newSeries(callsIdleByShards+": reads", "shards", "reads per second", []int{0, 1, 2}, shards, reads),
		newSeries(callsIdleByHosts+": reads", "entry hosts", "reads per second", []int{2, 3, 4}, hosts, reads),
		newSeries(callsByStarts, "starts per second", "writes per second", []int{0, 1, 2}, func(c StoreCalls) float64 { return float64(c.Rate) }, func(c StoreCalls) float64 { return c.StartWritesPerShard }),
		newSeries(callsByStarts+": records of ended jobs", "starts per second", "calls per second", []int{0, 1, 2}, func(c StoreCalls) float64 { return float64(c.Rate) }, func(c StoreCalls) float64 { return c.HistoryCallsPerShard }),
		newSeries(readBytesByHosts, "entry hosts", "bytes read per byte written", []int{2, 3, 4}, hosts, func(c StoreCalls) float64 { return c.IdleReadRatio * float64(c.Hosts) }),
		newSeries(readBytesByHosts+", while jobs start", "entry hosts", "bytes read per byte written", []int{2, 3, 4}, hosts, func(c StoreCalls) float64 { return c.StartReadRatio * float64(c.Hosts) }),
		newSeries(claimCallsByShards, "shards", "calls", []int{0, 1, 2}, shards, func(c StoreCalls) float64 {
			n := 0
			for _, v := range c.ClaimCalls {
				n += v.Calls
			}
			return float64(n)
		}),
	}, nil
}
