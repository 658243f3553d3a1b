package shardowner

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
	"peridotpitch/internal/lessor"
	"peridotpitch/internal/messenger"
	"peridotpitch/internal/recorder"
	"peridotpitch/internal/scheduler"
	"peridotpitch/internal/storer"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"
)

// Settings configures an Owner and cannot change after New.
type Settings struct {
	Host          string // name of this entry host
	FailureDomain string
	Incarnation   string // identifies this process; unique for each process of the host
	Store         storer.Store
	Workers       commander.WorkerClient
	Random        *rand.Rand
	Logger        *slog.Logger
	// Record is called with every decision record; it may be nil.
	Record func(recorder.Record)
	// NewPlacer returns the placer for a shard; nil selects placer.New.
	NewPlacer func(shard string) scheduler.Placer
}

// NotOwnerError reports that this host does not own the shard. Owner is the shard's last
// known owner, or empty.
type NotOwnerError struct {
	Shard string
	Owner string
}

func (e *NotOwnerError) Error() string {
	return fmt.Sprintf("shard %s is owned by %q, not by this host", e.Shard, e.Owner)
}

// ShardStatus is the state of a shard according to this host. The fields from Epoch on are
// set only if this host owns the shard.
type ShardStatus struct {
	Shard                    string
	Owner                    string
	Epoch                    uint64
	PlacingUntil             time.Time // end of the lease for placing tasks: the owner may place and start tasks until then
	RunningUntil             time.Time // end of the lease for running tasks: the owner may keep tasks running until then
	Workers                  int
	WorkersThatAcceptedEpoch int // workers that have accepted this host's epoch
	Jobs                     map[scheduler.JobState]int
	StoreAvailable           bool // whether the last journal write succeeded
}

// API lists the methods of an Owner that an entry host calls.
type API interface {
	// Configure puts a configuration into effect.
	Configure(c *configurator.Configuration)
	// SetLeaving sets the complete list of leaving workers.
	SetLeaving(workers []string)
	// Claims returns the owned shards, which the next heartbeat reports. With the report, this
	// host requests promises from the other hosts not to claim the shards.
	Claims() []messenger.ShardClaim
	// RecordPromises records the promises in an answer to a heartbeat sent at sentAt.
	RecordPromises(sentAt time.Time, a messenger.HeartbeatAnswer)
	// AnswerClaims returns the promises that this host can give to the sender of a heartbeat:
	// for the TTL of the requested kind of lease, not to claim the sender's shards
	// (LeasePlacing) or import their jobs (LeaseRunning).
	AnswerClaims(h messenger.Heartbeat) []messenger.Promise
	// HomeShard returns the shard ("domain/shard") that jobs of this name are submitted to.
	HomeShard(job string) string
	// Owner returns the last known owner of the shard, or "".
	Owner(shard string) string
	// Submit and Cancel act on jobs of the shards owned here. They return *NotOwnerError
	// or the error of ctx.
	Submit(ctx context.Context, spec scheduler.JobSpec) (messenger.JobAnswer, error)
	Cancel(ctx context.Context, name string) (messenger.JobAnswer, error)
	// List returns the jobs of the shards owned here.
	List(m messenger.ListRequest) []scheduler.JobStatus
	// Endpoints returns the service instances of the shards owned here.
	Endpoints() []messenger.Endpoint
	// Shards returns the state of all configured shards, sorted by name.
	Shards() []ShardStatus
	// Release releases the owned shards by a write of their journals, so that their
	// successors need not wait for the leases to end.
	Release(ctx context.Context) error
}

var _ API = (*Owner)(nil)

const (
	// callTimeout bounds one call to the store or a worker.
	callTimeout = time.Second
	// workerCallConcurrency is the number of goroutines that call workers. A worker has at
	// most one outstanding poll and one outstanding message with commands. Calls therefore
	// wait for a goroutine only if at least 32 workers answer slowly at the same time.
	workerCallConcurrency = 64
	// workerCallQueueCapacity is the number of calls that can wait for a goroutine. Further
	// calls are dropped.
	workerCallQueueCapacity = 4096
	// claimInterval is the time between checks for shards that can be claimed.
	claimInterval = 200 * time.Millisecond
	// claimDelayPerRank is how much longer each further possible successor of a shard waits
	// before it claims the shard, so that normally only the first one calls the store.
	claimDelayPerRank = 300 * time.Millisecond
	// reportedOwnerMaxAge is how long a host counts as the owner of a shard after a
	// heartbeat that reported it as the owner.
	reportedOwnerMaxAge = 5 * time.Second
)

// Owner claims shards and runs the ones that this host owns. To claim a shard is to become its
// owner by a write of the journal. Owner is safe for concurrent use.
type Owner struct {
	settings    Settings
	startedAt   time.Time
	context     context.Context
	group       *errgroup.Group
	workerCalls chan func(context.Context)
	closeMutex  sync.Mutex
	stopped     bool // set when the Owner stops: no further goroutine may start

	mutex   sync.Mutex
	random  *rand.Rand
	config  *configurator.Configuration
	leaving map[string]bool
	// placingSuccessor holds this host's promises not to claim shards of its own failure
	// domain, and determines when it may claim them. runningSuccessor does the same for imports
	// of jobs from the domains whose configured successor is this host's domain. Both are nil
	// before the first configuration.
	placingSuccessor *lessor.Successor
	runningSuccessor *lessor.Successor
	placingTTL       time.Duration // TTL of the lease for placing tasks
	runningTTL       time.Duration // TTL of the lease for running tasks
	shards           map[string]*ownedShard
	journals         map[string]*cachedJournal
	reportedOwners   map[string]reportedOwner
	released         bool // set by Release: no further claims
}

// cachedJournal is the latest version of a shard's journal that this host has read.
type cachedJournal struct {
	journal                 scheduler.Journal
	revision                uint64
	undecodable             bool // the stored value cannot be decoded
	claimOrImportInProgress bool // a claim of the shard or an import of its jobs is in progress
}

// reportedOwner is a host that reported itself as the owner of a shard in a heartbeat.
type reportedOwner struct {
	host string
	at   time.Time
}

// New starts an Owner, which claims no shard before Configure. The returned function
// stops it and waits for its goroutines.
func New(s Settings) (*Owner, func(), error) {
	if s.Host == "" || s.FailureDomain == "" || s.Incarnation == "" || s.Store == nil || s.Workers == nil || s.Random == nil {
		return nil, nil, errors.New("shardowner: Host, FailureDomain, Incarnation, Store, Workers and Random are required")
	}
	if s.Logger == nil {
		s.Logger = slog.New(slog.DiscardHandler)
	}
	if s.Record == nil {
		s.Record = func(recorder.Record) {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	p := &Owner{
		settings: s, startedAt: time.Now(), context: ctx, group: group, random: s.Random,
		workerCalls: make(chan func(context.Context), workerCallQueueCapacity),
		leaving:     make(map[string]bool), shards: make(map[string]*ownedShard),
		journals: make(map[string]*cachedJournal), reportedOwners: make(map[string]reportedOwner),
	}
	for range workerCallConcurrency {
		p.background(p.runWorkerCalls)
	}
	p.background(p.watchOwnDomain)
	p.background(p.pollPredecessors)
	p.background(p.claimLoop)
	p.background(p.renewOrphanedInstances)
	return p, func() {
		p.closeMutex.Lock()
		p.stopped = true
		p.closeMutex.Unlock()
		cancel()
		_ = group.Wait() // the functions return no error
	}, nil
}

// background runs f in a goroutine, with a context that ends when the Owner stops.
func (p *Owner) background(f func(ctx context.Context)) {
	p.closeMutex.Lock()
	defer p.closeMutex.Unlock()
	if p.stopped {
		return
	}
	p.group.Go(func() error {
		f(p.context)
		return nil
	})
}

// runWorkerCalls executes queued calls to workers until the Owner stops.
func (p *Owner) runWorkerCalls(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-p.workerCalls:
			f(ctx)
		}
	}
}

// sleep waits for d and reports whether ctx was still active at the end.
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

// randomDuration returns a random duration in [low, high).
func (p *Owner) randomDuration(low, high time.Duration) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return low + time.Duration(p.random.Int64N(int64(high-low)))
}

// Configure puts a configuration into effect. The lease TTLs of the first configuration
// stay in effect until the process restarts: if hosts used different TTLs, an owner and its
// successor could act on a shard at the same time.
func (p *Owner) Configure(c *configurator.Configuration) {
	p.mutex.Lock()
	if p.placingSuccessor == nil {
		p.placingTTL = cmp.Or(c.Policy.OwnershipTTL, configurator.DefaultOwnershipTTL)
		p.runningTTL = cmp.Or(c.Policy.JobRecoveryDelay, configurator.DefaultJobRecoveryDelay)
		p.placingSuccessor = lessor.NewSuccessor(p.placingTTL, p.startedAt)
		p.runningSuccessor = lessor.NewSuccessor(p.runningTTL, p.startedAt)
	}
	p.config = c
	owned, leaving := p.sortedShardsLocked(), p.leaving
	p.mutex.Unlock()
	for _, o := range owned {
		o.step(scheduler.ConfigurationChanged{Configuration: c})
		for w := range leaving { // the configuration may have added a leaving worker
			o.step(scheduler.WorkerLeaving{Worker: w, Leaving: true})
		}
		o.setSuccessors(p.successors(c))
	}
}

// sortedShardsLocked returns the owned shards, sorted by name. The caller holds mutex.
func (p *Owner) sortedShardsLocked() []*ownedShard {
	owned := make([]*ownedShard, 0, len(p.shards))
	for _, o := range p.shards {
		owned = append(owned, o)
	}
	slices.SortFunc(owned, func(a, b *ownedShard) int { return cmp.Compare(a.name, b.name) })
	return owned
}

// ownedShards returns the owned shards, sorted by name.
func (p *Owner) ownedShards() []*ownedShard {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.sortedShardsLocked()
}

// ownedShard returns the named shard, or nil if this host does not own it.
func (p *Owner) ownedShard(shard string) *ownedShard {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.shards[shard]
}

// successors returns the hosts that may claim a shard of this failure domain (placing) and
// those that may import its jobs (running).
func (p *Owner) successors(c *configurator.Configuration) (placing, running []string) {
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

// SetLeaving sets the complete list of leaving workers.
func (p *Owner) SetLeaving(workers []string) {
	p.mutex.Lock()
	before := p.leaving
	p.leaving = make(map[string]bool, len(workers))
	for _, w := range workers {
		p.leaving[w] = true
	}
	now := p.leaving
	owned := p.sortedShardsLocked()
	p.mutex.Unlock()
	for _, o := range owned {
		for w := range before {
			if !now[w] {
				o.step(scheduler.WorkerLeaving{Worker: w})
			}
		}
		for w := range now {
			o.step(scheduler.WorkerLeaving{Worker: w, Leaving: true})
		}
	}
}

// Claims returns the owned shards. The next heartbeat requests promises from the other hosts
// not to claim them.
func (p *Owner) Claims() []messenger.ShardClaim {
	var cs []messenger.ShardClaim
	for _, o := range p.ownedShards() {
		cs = append(cs, messenger.ShardClaim{
			Shard: o.name, Epoch: o.epoch,
			Kinds: []messenger.LeaseKind{messenger.LeasePlacing, messenger.LeaseRunning},
		})
	}
	return cs
}

// RecordPromises records the promises in an answer to a heartbeat that was sent at sentAt.
func (p *Owner) RecordPromises(sentAt time.Time, a messenger.HeartbeatAnswer) {
	for _, m := range a.Promises {
		if o := p.ownedShard(m.Shard); o != nil && o.epoch == m.Epoch {
			o.recordPromise(a.Host, m.Kind, sentAt)
		}
	}
}

// AnswerClaims returns the promises that this host can give to the sender of a heartbeat: for
// the TTL of the requested kind of lease, not to claim the sender's shards (LeasePlacing) or
// import their jobs (LeaseRunning).
func (p *Owner) AnswerClaims(m messenger.Heartbeat) []messenger.Promise {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := time.Now()
	var ps []messenger.Promise
	for _, c := range m.Claims {
		p.reportedOwners[c.Shard] = reportedOwner{m.Host, now}
		if p.placingSuccessor == nil || p.shards[c.Shard] != nil {
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

// successorFor returns the Successor with which this host decides on claims of a failure
// domain's shards (LeasePlacing) or on imports of their jobs (LeaseRunning). It returns nil if
// this host may not claim or import them.
func (p *Owner) successorFor(domain string, k messenger.LeaseKind) *lessor.Successor {
	switch {
	case k == messenger.LeasePlacing && domain == p.settings.FailureDomain:
		return p.placingSuccessor
	case k == messenger.LeaseRunning && slices.Contains(predecessors(p.config, p.settings.FailureDomain), domain):
		return p.runningSuccessor
	}
	return nil
}

// predecessors returns the failure domains whose configured successor is the given domain. If
// a predecessor stops responding, the hosts of the given domain import its jobs.
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

// shardNames returns the sorted names of the configured shards of a failure domain or, if
// domain is "", of all failure domains.
func shardNames(c *configurator.Configuration, domain string) []string {
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

// rendezvous chooses a candidate for key by rendezvous hashing.
func rendezvous(key string, candidates []string) string {
	best, weight := "", uint64(0)
	for _, c := range candidates {
		if w := xxhash.Sum64String(c + "\x00" + key); best == "" || w > weight {
			best, weight = c, w
		}
	}
	return best
}

// HomeShard returns the shard ("domain/shard") that jobs of this name are submitted to, or
// "" before the first configuration.
func (p *Owner) HomeShard(job string) string {
	p.mutex.Lock()
	c := p.config
	p.mutex.Unlock()
	if c == nil {
		return ""
	}
	return rendezvous(job, shardNames(c, ""))
}

// Owner returns the last known owner of the shard, or "".
func (p *Owner) Owner(shard string) string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.shards[shard] != nil {
		return p.settings.Host
	}
	if o, ok := p.reportedOwners[shard]; ok && time.Since(o.at) < reportedOwnerMaxAge {
		return o.host
	}
	// If the journal names this host, an earlier process of it owned the shard.
	if k := p.journals[shard]; k != nil && k.journal.Owner != p.settings.Host {
		return k.journal.Owner
	}
	return ""
}

// Submit submits a job to its home shard and waits until the shard accepts or rejects it.
// An accepted job is in the stored journal.
func (p *Owner) Submit(ctx context.Context, spec scheduler.JobSpec) (messenger.JobAnswer, error) {
	shard := p.HomeShard(spec.Name)
	o := p.ownedShard(shard)
	if o == nil {
		return messenger.JobAnswer{}, &NotOwnerError{Shard: shard, Owner: p.Owner(shard)}
	}
	return o.awaitAnswer(ctx, func(request uint64) scheduler.Event {
		return scheduler.JobSubmitted{Request: request, Spec: spec}
	})
}

// Cancel cancels a job and waits until the stored journal holds the cancellation. If the job
// was imported, it is in another shard than its home shard.
func (p *Owner) Cancel(ctx context.Context, name string) (messenger.JobAnswer, error) {
	shard := p.HomeShard(name)
	o := p.ownedShard(shard)
	for _, s := range p.ownedShards() {
		if _, ok := s.job(name); ok {
			o = s
		}
	}
	if o == nil {
		return messenger.JobAnswer{}, &NotOwnerError{Shard: shard, Owner: p.Owner(shard)}
	}
	return o.awaitAnswer(ctx, func(request uint64) scheduler.Event {
		return scheduler.CancellationRequested{Request: request, Name: name}
	})
}

// List returns the jobs of the shards owned here.
func (p *Owner) List(m messenger.ListRequest) []scheduler.JobStatus {
	var js []scheduler.JobStatus
	for _, o := range p.ownedShards() {
		if m.Name == "" {
			js = append(js, o.jobs()...)
		} else if j, ok := o.job(m.Name); ok {
			js = append(js, j)
		}
	}
	if m.Limit > 0 && len(js) > m.Limit {
		js = js[:m.Limit]
	}
	return js
}

// Endpoints returns the service instances of the shards owned here.
func (p *Owner) Endpoints() []messenger.Endpoint {
	p.mutex.Lock()
	c := p.config
	p.mutex.Unlock()
	var es []messenger.Endpoint
	for _, o := range p.ownedShards() {
		for _, e := range o.publishedEndpoints() {
			m := messenger.Endpoint{
				Instance: e.Instance, Service: e.Service, FailureDomain: p.settings.FailureDomain, Worker: e.Worker,
				Shard: o.name, Address: e.Address.String(), Draining: e.Draining, Slowdown: e.Slowdown,
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
func (p *Owner) Shards() []ShardStatus {
	p.mutex.Lock()
	c := p.config
	p.mutex.Unlock()
	if c == nil {
		return nil
	}
	var ss []ShardStatus
	for _, name := range shardNames(c, "") {
		s := ShardStatus{Shard: name, Owner: p.Owner(name)}
		if o := p.ownedShard(name); o != nil {
			o.fillStatus(&s)
		}
		ss = append(ss, s)
	}
	return ss
}

// Release releases the owned shards by a write of their journals, so that their successors
// need not wait for the leases to end. This process claims no shard afterwards.
func (p *Owner) Release(ctx context.Context) error {
	p.mutex.Lock()
	p.released = true
	p.mutex.Unlock()
	for _, o := range p.ownedShards() {
		o.step(scheduler.ReleaseRequested{})
	}
	for len(p.ownedShards()) > 0 {
		if !sleep(ctx, scheduler.TickInterval) {
			return ctx.Err()
		}
	}
	return nil
}
