package server

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	crand "crypto/rand"

	"github.com/ansel1/merry/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"golang.org/x/sync/errgroup"

	"peridotpitch/internal/administrator"
	"peridotpitch/internal/commander"
	"peridotpitch/internal/configurator"
	"peridotpitch/internal/dispatcher"
	"peridotpitch/internal/forwarder"
	"peridotpitch/internal/limiter"
	"peridotpitch/internal/loader"
	"peridotpitch/internal/messenger"
	"peridotpitch/internal/publisher"
	"peridotpitch/internal/receiver"
	"peridotpitch/internal/recorder"
	"peridotpitch/internal/registrar"
	"peridotpitch/internal/router"
	"peridotpitch/internal/shardowner"
	"peridotpitch/internal/storer"
)

const (
	// hostListInterval is the mean interval between reads of the platform's host list. At
	// 2 s, eight entry hosts use 4 of the store's 2,000 reads per second, and a leaving host
	// is detected within about 2 s.
	hostListInterval = 2 * time.Second
	// refreshInterval is the interval at which the components of this process exchange
	// endpoints, slot grants and leaving hosts.
	refreshInterval = 250 * time.Millisecond
	// balancerDelay is how long a leaving host continues to accept requests. Within this
	// time the load balancer's readiness check fails and the balancer stops sending requests.
	balancerDelay = 3 * time.Second
	// releaseTimeout limits the handover of shards. A longer timeout than twice the ownership
	// TTL has no use, because a successor then claims the shards without a handover.
	releaseTimeout = 2 * configurator.DefaultOwnershipTTL
	// startupSuspension is how long a new process uses no slots. Within two heartbeats and a
	// connection setup a peer reports whether requests of an earlier process of this host
	// may still run.
	startupSuspension = 2 * time.Second
)

// host is one running entry host.
type host struct {
	settings    loader.Settings
	version     string
	incarnation string
	started     time.Time
	log         *slog.Logger
	registry    *prometheus.Registry

	store      storer.Store
	members    *registrar.Registrar
	records    *recorder.Recorder
	follower   *publisher.Follower
	publisher  *publisher.Publisher
	owner      *shardowner.Owner
	dispatcher *dispatcher.Dispatcher
	forwarder  *forwarder.Forwarder
	peers      *peerTable
	endpoints  *endpointTable
	grants     *granter

	configuration       atomic.Pointer[activeConfiguration]
	leaving             atomic.Bool
	drained             atomic.Bool
	slotsSuspendedUntil atomic.Int64 // Unix time in nanoseconds until which no slots are used
	storeDown           atomic.Bool
	requestCounter      atomic.Uint64
	heartbeatSequence   atomic.Uint64
}

// activeConfiguration is the configuration in effect on this host and the time at which
// it took effect.
type activeConfiguration struct {
	record    configurator.Record
	parsed    *configurator.Configuration
	adoptedAt time.Time
}

// Run runs an entry host until ctx ends and then shuts it down gracefully. The status
// subcommand shows version.
func Run(ctx context.Context, s loader.Settings, version string) error {
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: s.LogLevel})).With("Host", s.Name)
	h, cleanup, err := newHost(s, version, log)
	if err != nil {
		return err
	}
	defer cleanup()
	return h.run(ctx)
}

// newHost creates the components of an entry host without starting them. The returned
// function closes them in reverse order.
func newHost(s loader.Settings, version string, log *slog.Logger) (*host, func(), error) {
	var closers []func()
	cleanup := func() {
		for i := len(closers) - 1; i >= 0; i-- {
			closers[i]()
		}
	}
	h := &host{
		settings: s, version: version, incarnation: newIncarnation(), started: time.Now(), log: log,
		registry: prometheus.NewRegistry(), members: registrar.New(),
		endpoints: newEndpointTable(), grants: newGranter(s.Name),
	}
	h.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))

	store, closeStore := storer.NewClient(s.StoreAddress, storer.Options{Timeout: s.Limits.StoreTimeout})
	closers = append(closers, closeStore)
	h.store = &storeMonitor{Store: store, down: &h.storeDown}
	workers, closeWorkers := commander.NewClient(commander.Options{})
	closers = append(closers, closeWorkers)

	records, closeRecords, err := recorder.New(recorder.Options{MaxRecords: s.Limits.MaxDecisionRecords}, log, h.registry)
	if err != nil {
		cleanup()
		return nil, nil, merry.Prepend(err, "decision records")
	}
	closers = append(closers, closeRecords)
	h.records = records
	h.peers = newPeerTable(s, log)
	closers = append(closers, h.peers.closeAll)
	h.publisher = publisher.NewPublisher(h.store, s.OperatorKeys, h.incarnation, time.Now)

	owner, closeOwner, err := shardowner.New(shardowner.Settings{
		Host: s.Name, FailureDomain: s.FailureDomain, Incarnation: h.incarnation,
		Store: h.store, Workers: workers, Random: newRandom(), Logger: log, Record: h.recordScheduling,
	})
	if err != nil {
		cleanup()
		return nil, nil, merry.Prepend(err, "shard ownership")
	}
	closers = append(closers, closeOwner)
	h.owner = owner

	var closeForwarder func()
	h.forwarder, closeForwarder = forwarder.New()
	closers = append(closers, closeForwarder)
	var closeDispatcher func()
	h.dispatcher, closeDispatcher = dispatcher.New(dispatcher.Settings{
		Router:   router.New(router.Settings{Policy: configurator.RoutingAdaptive, MaxRequestTimeout: configurator.DefaultMaxRequestTimeout}, newRandom()),
		Limiter:  limiter.New(limiter.Settings{Limits: configurator.LimitFair, Retries: configurator.RetryBudget}),
		Sender:   h.forwarder,
		Overflow: h,
		Recorder: requestRecorder{h},
	})
	closers = append(closers, closeDispatcher)
	h.suspendSlots(h.started.Add(startupSuspension))

	h.follower = publisher.NewFollower(publisher.FollowerOptions{
		Store: h.store, Keys: s.OperatorKeys, Peers: h.peers.configurationPeers,
		OnAdopted: h.adopt, Log: log, Random: newRandom(),
	})
	return h, cleanup, nil
}

// adopt puts a configuration into effect.
func (h *host) adopt(r configurator.Record, c *configurator.Configuration) {
	h.configuration.Store(&activeConfiguration{record: r, parsed: c, adoptedAt: time.Now()})
	h.peers.configure(c.EntryHosts)
	h.owner.Configure(c)
	h.dispatcher.Configure(c)
	h.refresh(time.Now())
}

// run starts the listeners and background loops, and shuts the host down when ctx ends or
// one of them fails.
func (h *host) run(ctx context.Context) error {
	listeners, err := listen(ctx, h.settings)
	if err != nil {
		return err
	}
	r, err := receiver.New(receiver.Settings{
		Handler: h.dispatcher, Ready: h.notReady, Registry: h.registry, Logger: h.log,
		NewRequestID: h.newRequestID, Services: h.serviceNames, Tenants: h.teamNames,
		MaxRequestTimeout: configurator.DefaultMaxRequestTimeout,
	})
	if err != nil {
		return merry.Prepend(err, "receiver")
	}
	messages, closeMessages := messenger.NewServer(listeners.message, peerHandler{h}, h.log)
	defer closeMessages()

	// Background loops continue while the host drains, and end last.
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	operators := administrator.NewServer(background, operatorBackend{h})
	g, background := errgroup.WithContext(background)
	g.Go(func() error { return h.follower.Run(background) })
	g.Go(func() error { return h.peers.run(background, h.sendHeartbeat) })
	g.Go(func() error { return h.pollHostList(background) })
	g.Go(func() error { return h.refreshLoop(background) })
	g.Go(func() error { return r.Serve(listeners.caller) })
	g.Go(func() error { return operators.Serve(listeners.operator) })
	g.Go(func() error {
		select {
		case <-ctx.Done():
		case <-background.Done():
		}
		err := h.shutdown(context.WithoutCancel(ctx), r, messages)
		stop()
		return errors.Join(err, operators.Shutdown())
	})
	h.log.Info("entry host started", "FailureDomain", h.settings.FailureDomain, "Incarnation", h.incarnation, "CallerAddress", h.settings.CallerAddress)
	err = g.Wait()
	h.log.Info("entry host stopped", "Error", fmt.Sprint(err))
	return err
}

// shutdown stops new requests, waits for those in flight and then releases the shards, so
// that successors need not wait until the ownership leases expire.
func (h *host) shutdown(ctx context.Context, r *receiver.Receiver, m *messenger.Server) error {
	h.leaving.Store(true)
	h.members.SetLeaving(h.settings.Name, messenger.SourceHost, true)
	h.log.Info("leaving", "BalancerDelay", balancerDelay, "DrainTimeout", h.settings.Limits.DrainTimeout)
	time.Sleep(balancerDelay)
	ctx, cancel := context.WithTimeout(ctx, h.settings.Limits.DrainTimeout)
	defer cancel()
	err := r.Shutdown(ctx)
	if err != nil {
		err = merry.Prependf(err, "requests were still in flight after %s", h.settings.Limits.DrainTimeout)
	}
	// If all requests have ended, the next process of this host may use its slots at once.
	h.drained.Store(err == nil)
	h.notifyDomainPeers(ctx)
	h.release(ctx)
	return errors.Join(err, m.Shutdown(ctx))
}

// release writes the handover of all owned shards to the store. Failure is only logged.
func (h *host) release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if err := h.owner.Release(ctx); err != nil {
		h.log.Warn("shards were not released", "Error", err)
	}
}

// notifyDomainPeers sends a heartbeat to all peers of the failure domain concurrently, so
// that they receive the new state immediately.
func (h *host) notifyDomainPeers(ctx context.Context) {
	var wg sync.WaitGroup
	for _, l := range h.peers.all() {
		if l.domain == h.settings.FailureDomain {
			wg.Go(func() { h.sendHeartbeat(ctx, l) })
		}
	}
	wg.Wait()
}

// listeners are the listeners for callers, other entry hosts and operators.
type listeners struct {
	caller, message, operator net.Listener
}

func listen(ctx context.Context, s loader.Settings) (listeners, error) {
	var l listeners
	for _, x := range []struct {
		listener *net.Listener
		address  string
	}{
		{&l.caller, s.CallerAddress.String()},
		{&l.message, s.MessageAddress.String()},
		{&l.operator, s.AdminAddress.String()},
	} {
		var lc net.ListenConfig
		var err error
		if *x.listener, err = lc.Listen(ctx, "tcp", x.address); err != nil {
			return l, merry.Prependf(err, "listen on %s", x.address)
		}
	}
	return l, nil
}

// notReady returns the reasons why this host is not ready for requests, or none if it is
// ready.
func (h *host) notReady() []string {
	var reasons []string
	if h.configuration.Load() == nil {
		reasons = append(reasons, "no configuration is in effect")
	}
	if h.leaving.Load() || h.members.Leaving(h.settings.Name) {
		reasons = append(reasons, "the host is leaving")
	}
	if time.Now().UnixNano() < h.slotsSuspendedUntil.Load() {
		reasons = append(reasons, "requests of an earlier process may still use the host's slots")
	}
	return reasons
}

// newRequestID returns the ID of the next request, unique across hosts and restarts.
func (h *host) newRequestID() string {
	return fmt.Sprintf("%s-%s-%d", h.settings.Name, h.incarnation, h.requestCounter.Add(1))
}

func (h *host) serviceNames() []string {
	a := h.configuration.Load()
	if a == nil {
		return nil
	}
	names := make([]string, 0, len(a.parsed.Services))
	for _, s := range a.parsed.Services {
		names = append(names, s.Name)
	}
	return names
}

func (h *host) teamNames() []string {
	a := h.configuration.Load()
	if a == nil {
		return nil
	}
	names := make([]string, 0, len(a.parsed.Teams))
	for _, t := range a.parsed.Teams {
		names = append(names, t.Name)
	}
	return names
}

// pollHostList reads the platform's host list periodically until ctx ends.
func (h *host) pollHostList(ctx context.Context) error {
	for {
		l, err := h.store.Hosts(ctx)
		if err != nil {
			h.log.Debug("platform's host list not read", "Error", err)
		}
		for _, name := range h.members.RecordHostList(l, time.Now()) {
			h.log.Info("host is leaving", "Leaving", name, "Source", messenger.SourcePlatform)
		}
		// The jitter spreads the reads of entry hosts that started at the same time.
		if !sleep(ctx, hostListInterval/2+rand.N(hostListInterval)) {
			return nil
		}
	}
}

// refreshLoop calls refresh periodically until ctx ends.
func (h *host) refreshLoop(ctx context.Context) error {
	for sleep(ctx, refreshInterval) {
		h.refresh(time.Now())
	}
	return nil
}

// refresh passes the current endpoints, slot grants and leaving hosts between the
// components of this process.
func (h *host) refresh(now time.Time) {
	h.owner.SetLeaving(h.members.LeavingHosts())
	shards := h.owner.Shards()
	owned := h.owner.Endpoints()
	h.endpoints.setEndpoints(owned, now)
	all := h.endpoints.all()
	a := h.configuration.Load()
	if a == nil {
		return
	}
	hosts := entryHosts(a.parsed, h.settings.FailureDomain)
	settled := a.record.Generation == 1 || time.Since(a.record.AppliedAt) > router.ShareDelay(a.parsed.Policy.MaxRequestTimeout)
	h.grants.update(shards, owned, hosts, settled, a.parsed.Policy.MaxRequestTimeout, now)
	h.dispatcher.Update(all, router.Membership{Hosts: len(hosts), Settled: settled})
	ownDemand := h.dispatcher.Demand(h.settings.Name)
	now = time.Now() // not before the demand: the router ignores grants in answer to an earlier demand
	g := h.grants.handleReport(router.DemandReport{Host: h.settings.Name, Incarnation: h.incarnation, Sequence: h.heartbeatSequence.Add(1), RunningFor: now.Sub(h.started), Demand: ownDemand}, now)
	h.dispatcher.ApplyGrants(h.settings.Name, g, now)
}

// entryHosts returns the names of the failure domain's entry hosts.
func entryHosts(c *configurator.Configuration, domain string) []string {
	var names []string
	for _, e := range c.EntryHosts {
		if e.FailureDomain == domain {
			names = append(names, e.Name)
		}
	}
	return names
}

// sleep waits for d. It returns false if ctx ends before that.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// newIncarnation returns a random identifier for this process.
func newIncarnation() string {
	var b [6]byte
	_, _ = crand.Read(b[:]) // never fails, as crypto/rand documents
	return hex.EncodeToString(b[:])
}

func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// storeMonitor records whether the last call to the store failed because the store was
// unavailable or did not answer.
type storeMonitor struct {
	storer.Store
	down *atomic.Bool
}

func (p *storeMonitor) recordAvailability(err error) {
	var unavailable *storer.UnavailableError
	var unknown *storer.UnknownOutcomeError
	p.down.Store(errors.As(err, &unavailable) || errors.As(err, &unknown))
}

func (p *storeMonitor) CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte) (bool, uint64, error) {
	ok, revision, err := p.Store.CompareAndSwap(ctx, key, expect, value)
	p.recordAvailability(err)
	return ok, revision, err
}

func (p *storeMonitor) Get(ctx context.Context, key string) (storer.Entry, error) {
	e, err := p.Store.Get(ctx, key)
	p.recordAvailability(err)
	return e, err
}

func (p *storeMonitor) Hosts(ctx context.Context) (storer.HostList, error) {
	l, err := p.Store.Hosts(ctx)
	p.recordAvailability(err)
	return l, err
}
