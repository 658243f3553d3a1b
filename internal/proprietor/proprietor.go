package proprietor

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"peridotpitch/internal/commander"
	"peridotpitch/internal/configurator"
	"peridotpitch/internal/keeper"
	"peridotpitch/internal/messenger"
	"peridotpitch/internal/recorder"
	"peridotpitch/internal/scheduler"
	"peridotpitch/internal/storer"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"
)

// Settings are the fixed parameters of a Proprietor.
type Settings struct {
	Host          string // name of this entry host
	FailureDomain string
	Incarnation   string // unique for each process
	Store         storer.Store
	Workers       commander.Workers
	Random        *rand.Rand
	Logger        *slog.Logger
	// Record is called for every decision; it may be nil.
	Record func(recorder.Record)
	// NewPlacer makes the placer of a shard; nil is placer.New.
	NewPlacer func(shard string) scheduler.Placer
}

// NotOwnerError says that this host does not own the shard. Owner is the host that is
// believed to own it, or empty.
type NotOwnerError struct {
	Shard string
	Owner string
}

func (e *NotOwnerError) Error() string {
	return fmt.Sprintf("shard %s is owned by %q, not by this host", e.Shard, e.Owner)
}

// ShardStatus describes a shard as this host knows it.
type ShardStatus struct {
	Shard          string
	Owner          string
	Epoch          uint64
	Placing        time.Time // end of the placing tenure, if owned here
	Running        time.Time // end of the running tenure, if owned here
	Workers        int
	WorkersFenced  int
	Jobs           map[scheduler.JobState]int
	StoreAvailable bool
}

// API is what an entry host uses of a Proprietor.
type API interface {
	// Configure puts a configuration into effect.
	Configure(c *configurator.Configuration)
	// SetLeaving names all workers that are leaving.
	SetLeaving(workers []string)
	// Claims returns what the next heartbeat asks promises for.
	Claims() []messenger.ShardClaim
	// Answered takes the promises of an answer to a heartbeat sent at sentAt.
	Answered(sentAt time.Time, a messenger.HeartbeatAnswer)
	// Promise answers the claims of a heartbeat.
	Promise(h messenger.Heartbeat) []messenger.Promise
	// HomeShard returns the shard ("domain/shard") that lists the named job.
	HomeShard(job string) string
	// Owner returns the host that is believed to own the shard, or "".
	Owner(shard string) string
	// Submit, Cancel and Job act on jobs of the shards owned here. Errors are
	// *NotOwnerError and those of ctx.
	Submit(ctx context.Context, spec scheduler.JobSpec) (messenger.JobAnswer, error)
	Cancel(ctx context.Context, name string) (messenger.JobAnswer, error)
	// List returns the jobs of the shards owned here.
	List(m messenger.ListRequest) []scheduler.JobStatus
	// Endpoints returns the instances of the shards owned here.
	Endpoints() []messenger.Endpoint
	// Shards returns the state of all shards, sorted by name.
	Shards() []ShardStatus
	// Release gives up all owned shards in writing, so that successors need not wait.
	Release(ctx context.Context) error
}

var _ API = (*Proprietor)(nil)

const (
	// callTimeout bounds one call to the store or a worker.
	callTimeout = time.Second
	// poolSize is the number of goroutines that talk to workers. Each worker has at
	// most one request of each kind outstanding, so that 64 suffice for a failure
	// domain whose workers all answer at callTimeout.
	poolSize  = 64
	queueSize = 4096
	// claimEvery is how often shards are checked for a claim.
	claimEvery = 200 * time.Millisecond
	// claimStagger separates the claims of the possible successors of one shard, so
	// that normally only the first one calls the store.
	claimStagger = 300 * time.Millisecond
	// ownerFresh is the age up to which an owner's claim in a heartbeat is believed.
	ownerFresh = 5 * time.Second
)

// Proprietor owns shards.
type Proprietor struct {
	settings Settings
	start    time.Time
	context  context.Context
	group    *errgroup.Group
	pool     chan func(context.Context)
	closing  sync.Mutex
	closed   bool // no goroutine is started any more

	mutex    sync.Mutex
	random   *rand.Rand
	config   *configurator.Configuration
	leaving  map[string]bool
	placing  *keeper.Successor // nil before the first configuration
	running  *keeper.Successor
	ttl      time.Duration // of the placing tenure
	recovery time.Duration // TTL of the running tenure
	holdings map[string]*holding
	known    map[string]*knownShard
	heard    map[string]heardOwner
	stopping bool // claims nothing any more
}

// knownShard is what was last read of a shard's journal.
type knownShard struct {
	journal  scheduler.Journal
	revision uint64
	rejected bool // the value cannot be decoded
	busy     bool // a claim or an import is under way
}

type heardOwner struct {
	host string
	at   time.Time
}

// New starts a Proprietor that owns nothing before Configure. The returned function
// stops it and waits for its goroutines.
func New(s Settings) (*Proprietor, func(), error) {
	if s.Host == "" || s.FailureDomain == "" || s.Incarnation == "" || s.Store == nil || s.Workers == nil || s.Random == nil {
		return nil, nil, errors.New("proprietor: Host, FailureDomain, Incarnation, Store, Workers and Random are required")
	}
	if s.Logger == nil {
		s.Logger = slog.New(slog.DiscardHandler)
	}
	if s.Record == nil {
		s.Record = func(recorder.Record) {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	p := &Proprietor{
		settings: s, start: time.Now(), context: ctx, group: group, random: s.Random,
		pool:    make(chan func(context.Context), queueSize),
		leaving: make(map[string]bool), holdings: make(map[string]*holding),
		known: make(map[string]*knownShard), heard: make(map[string]heardOwner),
	}
	for range poolSize {
		p.background(p.serve)
	}
	p.background(p.watchOwnDomain)
	p.background(p.watchPredecessors)
	p.background(p.claimLoop)
	p.background(p.renewOrphans)
	return p, func() {
		p.closing.Lock()
		p.closed = true
		p.closing.Unlock()
		cancel()
		_ = group.Wait() // the functions return no error
	}, nil
}

// background runs f until the Proprietor stops.
func (p *Proprietor) background(f func(ctx context.Context)) {
	p.closing.Lock()
	defer p.closing.Unlock()
	if p.closed {
		return
	}
	p.group.Go(func() error {
		f(p.context)
		return nil
	})
}

// serve is one goroutine of the pool.
func (p *Proprietor) serve(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-p.pool:
			f(ctx)
		}
	}
}

// sleep waits for d and reports whether the Proprietor still runs.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// between returns a random duration in [low, high).
func (p *Proprietor) between(low, high time.Duration) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return low + time.Duration(p.random.Int64N(int64(high-low)))
}

// Configure puts a configuration into effect. The TTLs of the first one stay in effect
// until the process restarts: an owner and a successor that disagree on a TTL could
// both act.
func (p *Proprietor) Configure(c *configurator.Configuration) {
	p.mutex.Lock()
	if p.placing == nil {
		p.ttl = cmp.Or(c.Policy.OwnershipTTL, configurator.DefaultOwnershipTTL)
		p.recovery = cmp.Or(c.Policy.JobRecoveryDelay, configurator.DefaultJobRecoveryDelay)
		p.placing = keeper.NewSuccessor(p.ttl, p.start)
		p.running = keeper.NewSuccessor(p.recovery, p.start)
	}
	p.config = c
	hs, leaving := p.sortedHoldings(), p.leaving
	p.mutex.Unlock()
	for _, h := range hs {
		h.step(scheduler.ConfigurationChanged{Configuration: c})
		for w := range leaving { // it may be a worker that the configuration added
			h.step(scheduler.HostLeaving{Worker: w, Leaving: true})
		}
		h.setSuccessors(p.successors(c))
	}
}

// sortedHoldings requires mutex.
func (p *Proprietor) sortedHoldings() []*holding {
	hs := make([]*holding, 0, len(p.holdings))
	for _, h := range p.holdings {
		hs = append(hs, h)
	}
	slices.SortFunc(hs, func(a, b *holding) int { return cmp.Compare(a.name, b.name) })
	return hs
}

// owned returns the holdings, sorted by name.
func (p *Proprietor) owned() []*holding {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.sortedHoldings()
}

func (p *Proprietor) holding(shard string) *holding {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.holdings[shard]
}

// successors returns the hosts that may take over a shard of this failure domain.
func (p *Proprietor) successors(c *configurator.Configuration) (placing, running []string) {
	next := ""
	for _, d := range c.FailureDomains {
		if d.Name == p.settings.FailureDomain {
			next = d.Successor
		}
	}
	for _, h := range c.EntryHosts {
		switch {
		case h.FailureDomain == p.settings.FailureDomain && h.Name != p.settings.Host:
			placing = append(placing, h.Name)
		case next != "" && h.FailureDomain == next && next != p.settings.FailureDomain:
			running = append(running, h.Name)
		}
	}
	slices.Sort(placing)
	slices.Sort(running)
	return placing, running
}

// SetLeaving names all workers that are leaving.
func (p *Proprietor) SetLeaving(workers []string) {
	p.mutex.Lock()
	before := p.leaving
	p.leaving = make(map[string]bool, len(workers))
	for _, w := range workers {
		p.leaving[w] = true
	}
	now := p.leaving
	hs := p.sortedHoldings()
	p.mutex.Unlock()
	for _, h := range hs {
		for w := range before {
			if !now[w] {
				h.step(scheduler.HostLeaving{Worker: w})
			}
		}
		for w := range now {
			h.step(scheduler.HostLeaving{Worker: w, Leaving: true})
		}
	}
}

// Claims returns what the next heartbeat asks promises for.
func (p *Proprietor) Claims() []messenger.ShardClaim {
	var cs []messenger.ShardClaim
	for _, h := range p.owned() {
		cs = append(cs, messenger.ShardClaim{
			Shard: h.name, Epoch: h.epoch,
			Kinds: []messenger.TenureKind{messenger.TenurePlacing, messenger.TenureRunning},
		})
	}
	return cs
}

// Answered takes the promises of an answer to a heartbeat that was sent at sentAt.
func (p *Proprietor) Answered(sentAt time.Time, a messenger.HeartbeatAnswer) {
	for _, m := range a.Promises {
		if h := p.holding(m.Shard); h != nil && h.epoch == m.Epoch {
			h.promised(a.Host, m.Kind, sentAt)
		}
	}
}

// Promise answers the claims of a heartbeat.
func (p *Proprietor) Promise(m messenger.Heartbeat) []messenger.Promise {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := time.Now()
	var ps []messenger.Promise
	for _, c := range m.Claims {
		p.heard[c.Shard] = heardOwner{m.Host, now}
		if p.placing == nil || p.holdings[c.Shard] != nil {
			continue
		}
		for _, k := range c.Kinds {
			if s := p.successorFor(domainOf(c.Shard), k); s != nil && s.Promise(c.Shard, c.Epoch, now) {
				ps = append(ps, messenger.Promise{Shard: c.Shard, Epoch: c.Epoch, Kind: k})
			}
		}
	}
	return ps
}

// successorFor returns the rules that bind this host for shards of a failure domain,
// or nil if it is no possible successor there.
func (p *Proprietor) successorFor(domain string, k messenger.TenureKind) *keeper.Successor {
	switch {
	case k == messenger.TenurePlacing && domain == p.settings.FailureDomain:
		return p.placing
	case k == messenger.TenureRunning && slices.Contains(predecessors(p.config, p.settings.FailureDomain), domain):
		return p.running
	}
	return nil
}

// predecessors returns the failure domains whose jobs this one takes over.
func predecessors(c *configurator.Configuration, domain string) []string {
	var ds []string
	for _, d := range c.FailureDomains {
		if d.Successor == domain && d.Name != domain {
			ds = append(ds, d.Name)
		}
	}
	return ds
}

func domainOf(shard string) string {
	domain, _, _ := strings.Cut(shard, "/")
	return domain
}

// shardsOf returns the configured shards, of one failure domain or ("") of all, sorted.
func shardsOf(c *configurator.Configuration, domain string) []string {
	seen := make(map[string]bool)
	var names []string
	for _, w := range c.Workers {
		name := w.FailureDomain + "/" + w.Shard
		if (domain == "" || w.FailureDomain == domain) && !seen[name] {
			seen[name] = true
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// rendezvous returns the candidate with the highest hash of itself and key.
func rendezvous(key string, candidates []string) string {
	best, weight := "", uint64(0)
	for _, c := range candidates {
		if w := xxhash.Sum64String(c + "\x00" + key); best == "" || w > weight {
			best, weight = c, w
		}
	}
	return best
}

// HomeShard returns the shard ("domain/shard") that lists the named job, or "" without
// a configuration.
func (p *Proprietor) HomeShard(job string) string {
	p.mutex.Lock()
	c := p.config
	p.mutex.Unlock()
	if c == nil {
		return ""
	}
	return rendezvous(job, shardsOf(c, ""))
}

// Owner returns the host that is believed to own the shard, or "".
func (p *Proprietor) Owner(shard string) string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.holdings[shard] != nil {
		return p.settings.Host
	}
	if o, ok := p.heard[shard]; ok && time.Since(o.at) < ownerFresh {
		return o.host
	}
	if k := p.known[shard]; k != nil && k.journal.Owner != p.settings.Host {
		return k.journal.Owner
	}
	return ""
}

// Submit asks for a job to be run and waits until the journal lists it.
func (p *Proprietor) Submit(ctx context.Context, spec scheduler.JobSpec) (messenger.JobAnswer, error) {
	shard := p.HomeShard(spec.Name)
	h := p.holding(shard)
	if h == nil {
		return messenger.JobAnswer{}, &NotOwnerError{Shard: shard, Owner: p.Owner(shard)}
	}
	return h.ask(ctx, func(request uint64) scheduler.Event {
		return scheduler.JobSubmitted{Request: request, Spec: spec}
	})
}

// Cancel asks for a job to be ended and waits until the journal says so. The job may
// have been taken over from its home shard.
func (p *Proprietor) Cancel(ctx context.Context, name string) (messenger.JobAnswer, error) {
	shard := p.HomeShard(name)
	h := p.holding(shard)
	for _, o := range p.owned() {
		if _, ok := o.job(name); ok {
			h = o
		}
	}
	if h == nil {
		return messenger.JobAnswer{}, &NotOwnerError{Shard: shard, Owner: p.Owner(shard)}
	}
	return h.ask(ctx, func(request uint64) scheduler.Event {
		return scheduler.CancellationAsked{Request: request, Name: name}
	})
}

// List returns the jobs of the shards owned here.
func (p *Proprietor) List(m messenger.ListRequest) []scheduler.JobStatus {
	var js []scheduler.JobStatus
	for _, h := range p.owned() {
		if m.Name == "" {
			js = append(js, h.jobs()...)
		} else if j, ok := h.job(m.Name); ok {
			js = append(js, j)
		}
	}
	if m.Limit > 0 && len(js) > m.Limit {
		js = js[:m.Limit]
	}
	return js
}

// Endpoints returns the instances of the shards owned here.
func (p *Proprietor) Endpoints() []messenger.Endpoint {
	p.mutex.Lock()
	c := p.config
	p.mutex.Unlock()
	var es []messenger.Endpoint
	for _, h := range p.owned() {
		for _, e := range h.published() {
			m := messenger.Endpoint{
				Instance: e.Instance, Service: e.Service, FailureDomain: p.settings.FailureDomain, Worker: e.Worker,
				Shard: h.name, Address: e.Address.String(), Draining: e.Draining, Slowdown: e.Slowdown,
			}
			for _, v := range c.Services {
				if v.Name == e.Service {
					m.Slots, m.Connections = v.Slots, v.Connections
				}
			}
			es = append(es, m)
		}
	}
	return es
}

// Shards returns the state of all configured shards, sorted by name.
func (p *Proprietor) Shards() []ShardStatus {
	p.mutex.Lock()
	c := p.config
	p.mutex.Unlock()
	if c == nil {
		return nil
	}
	var ss []ShardStatus
	for _, name := range shardsOf(c, "") {
		s := ShardStatus{Shard: name, Owner: p.Owner(name)}
		if h := p.holding(name); h != nil {
			h.describe(&s)
		}
		ss = append(ss, s)
	}
	return ss
}

// Release gives up all owned shards in writing, so that successors need not wait for
// the end of the tenure. This process claims nothing afterwards.
func (p *Proprietor) Release(ctx context.Context) error {
	p.mutex.Lock()
	p.stopping = true
	p.mutex.Unlock()
	for _, h := range p.owned() {
		h.step(scheduler.Released{})
	}
	for len(p.owned()) > 0 {
		if !sleep(ctx, scheduler.TickInterval) {
			return ctx.Err()
		}
	}
	return nil
}
