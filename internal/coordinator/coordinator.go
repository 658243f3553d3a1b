package coordinator

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"peridotpitch/internal/messenger"
	"peridotpitch/internal/orchestrator"
	"peridotpitch/internal/storer"
	"peridotpitch/internal/timekeeper"
)

const (
	// maxReadyStoreSilence is how long the store may not have served a call before this
	// host reports itself as not ready. The load balancer needs two failed checks, a
	// second apart, before it also stops sending requests.
	maxReadyStoreSilence = 1500 * time.Millisecond
	// storeProbeSilence is how long the store may not have served a call before this host makes
	// a small one. It is longer than a watch of the configuration, and shorter than
	// maxReadyStoreSilence by one pingInterval and the answer.
	storeProbeSilence = 1100 * time.Millisecond
	// shutdownGracePeriod is how long a leaving host continues to serve requests after it
	// reports itself as not ready. The period covers two checks of the load balancer, a second
	// apart, and some slack.
	shutdownGracePeriod = 2500 * time.Millisecond
)

// Dependencies are the external dependencies of a Coordinator.
type Dependencies struct {
	Store   storer.TransactionalStore
	Workers WorkerClient
	Decoder Decoder
	Keys    StoreKeys
	// Program is the version of the program, which the status shows.
	Program string
	// UnknownSettings is the number of sections and keys of the settings file that the program does not know.
	UnknownSettings int
}

// Coordinator runs one entry host and, while it is elected, the leader.
type Coordinator struct {
	settings  Settings
	deps      Dependencies
	store     storer.TransactionalStore // deps.Store, which also reports each call's result to recordStoreResult
	log       *slog.Logger
	metrics   *metrics
	processID string // identifies this process in the store and to other hosts
	jitter    func(time.Duration) time.Duration
	// dialHost connects to another entry host; nil: over TCP. Tests set it.
	dialHost  func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	startedAt time.Time // timekeeper time at which the process started

	config            atomic.Pointer[Configuration]
	otherHostsVersion atomic.Uint64 // newest version of the configuration that another host has told
	// leadersVersionUsed is the newest version by which the leader has routed a request of this host, so that no later
	// one is handled by an older version.
	leadersVersionUsed atomic.Uint64
	leaving            atomic.Bool

	pauses        pauseDetector
	configAskedAt atomic.Int64 // timekeeper time at which the last answered read or watch of the configuration was sent, Unix ns
	// configCheckedAt is the last timekeeper time at which the version in effect is known to have been the newest, Unix ns; 0: none.
	configCheckedAt atomic.Int64
	configCall      atomic.Pointer[configurationCallInFlight] // the last call of syncConfiguration; nil: none yet
	// transferredAt is the timekeeper time at which a long transfer of the configuration last ended or stalled, Unix ns.
	transferredAt    atomic.Int64
	lastStoreSuccess atomic.Int64 // timekeeper time of the last served call, Unix ns
	storeUnavailable atomic.Bool
	probingStore     atomic.Bool
	checkingTerm     atomic.Bool
	// campaignPausedUntil is the timekeeper time until which this host does not campaign, Unix ns.
	campaignPausedUntil atomic.Int64
	// yieldedEarlyAt is the timekeeper time of the last early hand-over, Unix ns; see yieldTo.
	yieldedEarlyAt atomic.Int64
	leaderPending  atomic.Pointer[pendingCounts] // from the leader's last answer to a ping; nil: none yet
	lastLeaderPing atomic.Pointer[leaderPing]    // the leader's last answer to a ping; nil: none yet
	// leaderPingInterval is the interval, in ns, at which the leader asks to be pinged, from its last answer.
	leaderPingInterval atomic.Int64
	knownHosts         atomic.Int64  // number of hosts, from the leader's last answer that has it; 0: unknown
	forwardSlots       chan struct{} // holds one element for each submission that is being forwarded
	servedSlots        chan struct{} // holds one element for each forwarded submission that this host stores as leader
	routeSlots         chan struct{} // holds one element for each question for a queue that is in flight to the leader
	recentForwards     recentCounter // submissions sent to the leader
	returns            returnCounter
	admission          admission
	unknownCancels     *rate.Limiter // requests to cancel unknown jobs that this host may store
	invalidWorkerKeys  keySet        // of worker entries that could not be decoded

	mu         sync.Mutex  // guards the fields below
	term       term        // newest term that this host has read or written
	termKnown  bool        // false until term is set
	leadership *leadership // nil while this host is not the leader
	clients    map[netip.AddrPort]*messenger.Client
	closeFuncs []func()
}

// New returns an entry host. Run starts it.
func New(s Settings, p Dependencies, log *slog.Logger) *Coordinator {
	processID := fmt.Sprintf("%s/%x", s.Name, rand.Uint64())
	c := &Coordinator{
		settings: s, deps: p, log: log, metrics: newMetrics(), processID: processID, startedAt: timekeeper.Now(),
		jitter:  func(d time.Duration) time.Duration { return rand.N(d + 1) },
		clients: make(map[netip.AddrPort]*messenger.Client), forwardSlots: make(chan struct{}, maxForwardedSubmissions),
		routeSlots: make(chan struct{}, maxRouteQuestions), servedSlots: make(chan struct{}, maxServedSubmissions), unknownCancels: rate.NewLimiter(unknownCancelRate, 1),
	}
	c.store = observedStore{TransactionalStore: p.Store, onResult: c.recordStoreResult}
	c.metrics.registerConfigurationAge(c.timeSinceConfigurationCheck)
	return c
}

var _ JobService = (*Coordinator)(nil)

// Run serves until ctx is done, then hands over the leadership if this host has it.
func (c *Coordinator) Run(ctx context.Context) error {
	l, err := net.Listen("tcp", c.settings.MessageAddress.String())
	if err != nil {
		return fmt.Errorf("listen for other entry hosts: %w", err)
	}
	_, closeServer := messenger.NewMethodServer(l, c.peerMethods(), c.log)
	defer closeServer()
	defer c.closeClients()
	c.log.Info("Start", "Host", c.settings.Name, "FailureDomain", c.settings.FailureDomain, "Process", c.processID,
		"CallerAddress", c.settings.CallerAddress.String(), "MessageAddress", c.settings.MessageAddress.String(),
		"Program", c.deps.Program, "DisabledMechanisms", c.settings.DisabledMechanisms.String())
	group, groupCtx := errgroup.WithContext(context.WithoutCancel(ctx))
	groupCtx, cancel := context.WithCancel(groupCtx)
	defer cancel()
	group.Go(func() error { c.syncConfiguration(groupCtx); return nil })
	group.Go(func() error { c.monitorLeader(groupCtx); return nil })
	group.Go(func() error { c.pauses.run(groupCtx, c.logResume); return nil })
	group.Go(func() error { return c.metrics.serve(groupCtx, c.settings.MetricsAddress, c.handleStatus) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
			c.shutDown(groupCtx)
		case <-groupCtx.Done():
		}
		cancel()
		return nil
	})
	err = group.Wait()
	c.log.Info("Stop", "Host", c.settings.Name)
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// shutDown hands over the leadership and keeps serving until the load balancer has had time
// to send requests to other hosts.
func (c *Coordinator) shutDown(ctx context.Context) {
	c.log.Info("Leaving", "Host", c.settings.Name, "Reason", "shutdown requested")
	c.leaving.Store(true)
	deadline := time.Now().Add(min(shutdownGracePeriod, c.settings.DrainTimeout/2))
	if ld := c.currentLeadership(); ld != nil {
		ld.handOver(ctx, ld.hosts.preferredSuccessor(c.hostStatus(), timekeeper.Now()))
	}
	sleep(ctx, time.Until(deadline))
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func (c *Coordinator) currentLeadership() *leadership {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leadership
}

// Ready implements JobService.
func (c *Coordinator) Ready() bool {
	return !c.leaving.Load() && c.Configured() && c.timeSinceStoreSuccess() < maxReadyStoreSilence && c.routesRequests()
}

// Leaving implements JobService.
func (c *Coordinator) Leaving() bool { return c.leaving.Load() }

// CountPanic implements JobService.
func (c *Coordinator) CountPanic() { c.metrics.panics.Inc() }

// Configured implements JobService.
func (c *Coordinator) Configured() bool {
	return c.config.Load() != nil && !c.pausedSinceConfiguration()
}

// logResume logs the end of a pause of this process.
func (c *Coordinator) logResume(pause time.Duration) {
	c.log.Warn("Resumed", "Pause", pause.Round(time.Millisecond).String(), "Version", c.configVersion(),
		"Outcome", "requests are refused until the store has confirmed the configuration")
}

// maxLoggedPath is the longest path of a request in a log line, in bytes.
const maxLoggedPath = 200

// timeSinceStoreSuccess returns the time since the store last served a call of this host.
func (c *Coordinator) timeSinceStoreSuccess() time.Duration {
	return timekeeper.Now().Sub(time.Unix(0, c.lastStoreSuccess.Load()))
}

// probeStore reads the term in the background if the store has served no call for
// storeProbeSilence. A call that brings a large configuration over a slow link takes longer, and
// would otherwise look like a store that does not answer. If the last call failed, probeStore does
// nothing, because syncConfiguration repeats its calls until one is served, unless one of these lasts.
func (c *Coordinator) probeStore(ctx context.Context) {
	if c.timeSinceStoreSuccess() < storeProbeSilence || c.storeUnavailable.Load() && !c.longConfigurationCall() || !c.probingStore.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer c.probingStore.Store(false)
		if _, err := c.readTerm(ctx); err != nil {
			c.log.Debug("StoreProbeFailed", "Cause", err.Error())
		}
	}()
}

// longConfigurationCall reports whether a call that may bring the configuration has been in flight for storeProbeSilence.
func (c *Coordinator) longConfigurationCall() bool {
	call := c.configCall.Load()
	return call != nil && timekeeper.Now().Sub(call.sent) >= storeProbeSilence
}

// recordStoreResult updates the store's availability from the result of a call. Conflicts
// count as served calls. An answer that stalls says nothing: the store may answer small calls, or none any more, as the next
// call or probe shows.
func (c *Coordinator) recordStoreResult(err error) {
	var unavailable *storer.UnavailableError
	var unknown *storer.UnknownOutcomeError
	if errors.As(err, &unavailable) || errors.As(err, &unknown) {
		c.metrics.storeFailures.Inc()
		if unavailable != nil && unavailable.Incomplete {
			return
		}
		if !c.storeUnavailable.Swap(true) {
			c.log.Warn("StoreLost", "Cause", err.Error())
		}
		return
	}
	var limited *storer.RateLimitedError
	if errors.As(err, &limited) {
		// A rate-limited call does not count as served. Otherwise a host whose calls are all
		// refused would stay ready, and leader, until the leases of its runs expire.
		c.metrics.storeFailures.Inc()
		return
	}
	c.lastStoreSuccess.Store(timekeeper.Now().UnixNano())
	if c.storeUnavailable.Swap(false) {
		c.log.Info("StoreRegained")
	}
}

// client returns the client for another entry host and creates it on first use.
func (c *Coordinator) client(address netip.AddrPort) *messenger.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.clients[address]
	if m == nil {
		var clean func()
		o := messenger.Options{DialTimeout: pingTimeout, Dial: c.dialHost}
		if c.settings.Forwarding {
			// Forwarded submissions don't keep pings waiting for a connection.
			o.MaxConcurrentForwards = messenger.DefaultMaxConcurrentForwards + maxForwardedSubmissions
		}
		m, clean = messenger.NewClient(address, o)
		c.clients[address] = m
		c.closeFuncs = append(c.closeFuncs, clean)
	}
	return m
}

func (c *Coordinator) closeClients() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, f := range c.closeFuncs {
		f()
	}
	c.closeFuncs = nil
}

// orchestratorSettings returns the orchestrator's settings for term t. confirmed is the time
// at which the election was sent to the store, and elected the time at which the store's
// answer confirmed it.
func (c *Coordinator) orchestratorSettings(t term, confirmed, elected time.Time) orchestrator.Settings {
	return orchestrator.Settings{
		Epoch: t.Revision, ElectedAt: elected, ConfirmedAt: confirmed, BoundsSince: t.BoundsSince,
		Lease: min(runLeaseDuration, c.settings.MaxLease), LeaderLease: leaderLeaseDuration, MaxLease: c.settings.MaxLease,
		Retention: c.settings.StatusRetention, RemoteSlowdown: c.settings.FarFactor, Disabled: c.settings.DisabledMechanisms,
		Clock: timekeeper.Now,
	}
}
