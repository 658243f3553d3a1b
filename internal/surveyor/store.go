package surveyor

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
	"peridotpitch/internal/proprietor"
	"peridotpitch/internal/scheduler"
	"peridotpitch/internal/storer"
)

// callCount counts store calls of one kind.
type callCount struct {
	Calls int
	Bytes int64 // of the values written or read
}

// countingStore counts calls by kind and by the first part of the key.
type countingStore struct {
	storer.Store
	mutex  sync.Mutex
	counts map[string]callCount
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

func (s *countingStore) snapshot() map[string]callCount {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return maps.Clone(s.counts)
}

func size(es []storer.Entry) (n int) {
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
	s.count("list", prefix, size(es))
	return es, revision, err
}

func (s *countingStore) CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte) (bool, uint64, error) {
	s.count("write", key, len(value))
	return s.Store.CompareAndSwap(ctx, key, expect, value)
}

func (s *countingStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (storer.Events, error) {
	e, err := s.Store.Watch(ctx, prefix, after, wait)
	s.count("watch", prefix, size(e.Events))
	return e, err
}

// Calls are the store calls of the entry hosts of one failure domain. Idle and Starting
// are per second.
type Calls struct {
	Hosts, Shards, Rate  int // Rate: starts per second of each shard
	Started              int // jobs accepted while Starting was counted
	Claim                map[string]callCount
	Idle, Starting       map[string]rates
	IdleWrites           float64 // of journals, per shard and second
	StartWrites          float64
	IdleReads            float64 // watches and lists, per host and second
	ReadPerWrite         float64 // bytes of journals that one host reads for each byte written
	ReadPerStart         float64 // the same while jobs start
	JournalsOwned        int
	RecordsCallsPerShard float64 // per second while jobs end
}

type rates struct{ Calls, Bytes float64 }

// Spans of a run. Claims need one ownership TTL and their stagger.
const (
	claimSpan = 8 * time.Second
	idleSpan  = 10 * time.Second
	startSpan = 6 * time.Second
)

// storeCalls runs the proprietors of one failure domain against the store stand-in and
// counts their calls, while nothing starts and while jobs start at a rate. It takes 24 s
// of the clock of package time, which is virtual inside a synctest bubble.
func storeCalls(ctx context.Context, hosts, shards, rate int, seed uint64) (Calls, error) {
	const workers = 4 // of each shard
	out := Calls{Hosts: hosts, Shards: shards, Rate: rate}
	c := configuration(shape{domains: 2, hosts: hosts, workers: shards * workers, shards: shards, services: 1, instances: shards, teams: 1})
	store := &countingStore{Store: emulator.NewStore(emulator.StoreOptions{}), counts: make(map[string]callCount)}
	workersOf := make(emulator.Fleet)
	for i, w := range c.Workers {
		workersOf[w.Address] = emulator.NewMachine(emulator.MachineOptions{Name: w.Name, Capacity: w.Capacity, Seed: seed + uint64(i)})
	}
	var ps []*proprietor.Proprietor
	for i, h := range c.EntryHosts {
		if h.FailureDomain != domain {
			continue
		}
		p, stop, err := proprietor.New(proprietor.Settings{
			Host: h.Name, FailureDomain: domain, Incarnation: h.Name + "-1", Store: store, Workers: workersOf,
			Random: rand.New(rand.NewPCG(seed, uint64(i))),
		})
		if err != nil {
			return out, err
		}
		defer stop()
		p.Configure(c)
		ps = append(ps, p)
	}
	if err := wait(ctx, claimSpan); err != nil {
		return out, err
	}
	for _, p := range ps {
		out.JournalsOwned += len(p.Claims())
	}
	out.Claim = store.snapshot()
	if err := wait(ctx, idleSpan); err != nil {
		return out, err
	}
	idle := store.snapshot()
	out.Idle = between(out.Claim, idle, idleSpan)
	if err := out.start(ctx, ps, shards, rate); err != nil {
		return out, err
	}
	out.Starting = between(idle, store.snapshot(), startSpan)
	out.IdleWrites = out.Idle["write shards"].Calls / float64(shards)
	out.StartWrites = out.Starting["write shards"].Calls / float64(shards)
	out.IdleReads = (out.Idle["watch shards"].Calls + out.Idle["list shards"].Calls) / float64(hosts)
	out.ReadPerWrite = out.Idle["watch shards"].Bytes / float64(hosts) / max(1, out.Idle["write shards"].Bytes)
	out.ReadPerStart = out.Starting["watch shards"].Bytes / float64(hosts) / max(1, out.Starting["write shards"].Bytes)
	out.RecordsCallsPerShard = (out.Starting["write records"].Calls + out.Starting["get records"].Calls) / float64(shards)
	return out, nil
}

// start submits jobs at the rate for startSpan.
func (c *Calls) start(ctx context.Context, ps []*proprietor.Proprietor, shards, rate int) error {
	const step = 100 * time.Millisecond
	var g errgroup.Group
	var mutex sync.Mutex
	n := 0
	for i := range int(startSpan / step) {
		for due := (i + 1) * rate * shards * int(step) / int(time.Second); n < due; n++ {
			name := homeName(ps[0], n)
			g.Go(func() error {
				if submit(ctx, ps, name) {
					mutex.Lock()
					c.Started++
					mutex.Unlock()
				}
				return nil
			})
		}
		if err := wait(ctx, step); err != nil {
			return err
		}
	}
	return g.Wait()
}

// homeName returns the name of a job whose home shard is in the first failure domain.
func homeName(p *proprietor.Proprietor, n int) string {
	for k := 0; ; k++ {
		if name := fmt.Sprintf("%s-%d", jobName(n), k); strings.HasPrefix(p.HomeShard(name), domain+"/") {
			return name
		}
	}
}

// submit asks each host, of which one owns the job's home shard.
func submit(ctx context.Context, ps []*proprietor.Proprietor, name string) bool {
	for _, p := range ps {
		a, err := p.Submit(ctx, scheduler.JobSpec{Name: name, Class: className(1), Declared: jobSize, Duration: time.Second})
		if err == nil {
			return a.Accepted
		}
	}
	return false
}

func between(a, b map[string]callCount, span time.Duration) map[string]rates {
	out := make(map[string]rates)
	for k, v := range b {
		out[k] = rates{float64(v.Calls-a[k].Calls) / span.Seconds(), float64(v.Bytes-a[k].Bytes) / span.Seconds()}
	}
	return out
}

func wait(ctx context.Context, d time.Duration) error {
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

// stores runs the proprietors at several sizes, all at the same time: only calls are
// counted.
func (s survey) stores(ctx context.Context) ([]Series, error) {
	type run struct{ hosts, shards, rate int }
	runs := []run{{2, 1, 2}, {2, 2, 10}, {2, 4, 20}, {3, 4, 20}, {4, 4, 20}}
	results := make([]Calls, len(runs))
	g, ctx := errgroup.WithContext(ctx)
	for i, r := range runs {
		g.Go(func() (err error) {
			results[i], err = storeCalls(ctx, r.hosts, r.shards, r.rate, s.seed)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	pick := func(name, per, counted string, indexes []int, size, count func(Calls) float64) Series {
		out := Series{Name: name, Per: per, Counted: counted}
		for _, i := range indexes {
			out.Samples = append(out.Samples, Sample{Size: size(results[i]), Count: count(results[i])})
		}
		return out
	}
	shards := func(c Calls) float64 { return float64(c.Shards) }
	hosts := func(c Calls) float64 { return float64(c.Hosts) }
	reads := func(c Calls) float64 { return c.IdleReads * float64(c.Hosts) }
	return []Series{
		pick(callsIdleByShards+": writes", "shards", "writes per second", []int{0, 1, 2}, shards, func(c Calls) float64 { return c.IdleWrites * float64(c.Shards) }),
		pick(callsIdleByShards+": reads", "shards", "reads per second", []int{0, 1, 2}, shards, reads),
		pick(callsIdleByHosts+": reads", "entry hosts", "reads per second", []int{2, 3, 4}, hosts, reads),
		pick(callsByStarts, "starts per second", "writes per second", []int{0, 1, 2}, func(c Calls) float64 { return float64(c.Rate) }, func(c Calls) float64 { return c.StartWrites }),
		pick(callsByStarts+": records of ended jobs", "starts per second", "calls per second", []int{0, 1, 2}, func(c Calls) float64 { return float64(c.Rate) }, func(c Calls) float64 { return c.RecordsCallsPerShard }),
		pick(readBytesByHosts, "entry hosts", "bytes read per byte written", []int{2, 3, 4}, hosts, func(c Calls) float64 { return c.ReadPerWrite * float64(c.Hosts) }),
		pick(readBytesByHosts+", while jobs start", "entry hosts", "bytes read per byte written", []int{2, 3, 4}, hosts, func(c Calls) float64 { return c.ReadPerStart * float64(c.Hosts) }),
		pick(claimCallsByShards, "shards", "calls", []int{0, 1, 2}, shards, func(c Calls) float64 {
			n := 0
			for _, v := range c.Claim {
				n += v.Calls
			}
			return float64(n)
		}),
	}, nil
}
