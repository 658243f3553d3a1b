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

	"peridotpitch/internal/messenger"
	"peridotpitch/internal/orchestrator"
	"peridotpitch/internal/storer"
	"peridotpitch/internal/timekeeper"
)

const (
	// unreadyAfter is how long the store may be silent before callers should go to
	// other hosts. The balancer needs two missed checks of a second each on top.
	unreadyAfter = 1500 * time.Millisecond
	// leaveWait is how long a leaving host serves on after it is not ready any more, so
	// that the balancer sees it: two checks, a second apart, and some slack.
	leaveWait = 2500 * time.Millisecond
)

// Peers are the outside systems that a Coordinator talks to.
type Peers struct {
	Store   storer.Database
	Workers Workers
	Decoder Decoder
	Keys    Keys
}

// Coordinator is one entry host.
type Coordinator struct {
	settings Settings
	peers    Peers
	store    storer.Database // peers.Store, with account of its answers
	log      *slog.Logger
	metrics  *metrics
	process  string // identifies this process in the store and to other hosts
	jitter   func(time.Duration) time.Duration

	config  atomic.Pointer[Configuration]
	leaving atomic.Bool
	refetch chan struct{} // wakes the reader of the configuration

	storeSeen   atomic.Int64 // timekeeper time of the last call that the store served, Unix ns
	storeLost   atomic.Bool
	lastPending atomic.Pointer[pendingCount]
	foreign     sync.Map // keys of discovery entries that were refused

	mu      sync.Mutex // guards the fields below
	term    term       // as last read
	known   bool       // term has been read
	leader  *leader    // nil: this host does not lead
	clients map[netip.AddrPort]*messenger.Client
	cleanup []func()
}

// New returns an entry host that is not running yet.
func New(s Settings, p Peers, log *slog.Logger) *Coordinator {
	process := fmt.Sprintf("%s/%x", s.Name, rand.Uint64())
	c := &Coordinator{
		settings: s, peers: p, log: log, metrics: newMetrics(), process: process,
		jitter:  func(d time.Duration) time.Duration { return rand.N(d + 1) },
		refetch: make(chan struct{}, 1),
		clients: make(map[netip.AddrPort]*messenger.Client),
	}
	c.store = observedStore{Database: p.Store, answered: c.storeAnswered}
	return c
}

var _ Jobs = (*Coordinator)(nil)

// Run serves until ctx ends, and then hands over what it leads.
func (c *Coordinator) Run(ctx context.Context) error {
	l, err := net.Listen("tcp", c.settings.MessageAddress.String())
	if err != nil {
		return fmt.Errorf("listen for other entry hosts: %w", err)
	}
	_, closeServer := messenger.ServeMethods(l, c.methods(), c.log)
	defer closeServer()
	defer c.closeClients()
	c.log.Info("Start", "Host", c.settings.Name, "FailureDomain", c.settings.FailureDomain, "Process", c.process,
		"CallerAddress", c.settings.CallerAddress.String(), "MessageAddress", c.settings.MessageAddress.String())
	group, inner := errgroup.WithContext(context.WithoutCancel(ctx))
	inner, cancel := context.WithCancel(inner)
	defer cancel()
	group.Go(func() error { c.followConfiguration(inner); return nil })
	group.Go(func() error { c.follow(inner); return nil })
	group.Go(func() error { return c.metrics.serve(inner, c.settings.MetricsAddress) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
			c.leave(inner)
		case <-inner.Done():
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

// leave hands over and lets the balancer and callers go elsewhere.
func (c *Coordinator) leave(ctx context.Context) {
	c.log.Info("Leaving", "Host", c.settings.Name, "Reason", "asked to stop")
	c.leaving.Store(true)
	deadline := time.Now().Add(min(leaveWait, c.settings.DrainTimeout/2))
	if ld := c.leading(); ld != nil {
		ld.handOver(ctx, "")
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

func (c *Coordinator) leading() *leader {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}

// Ready implements Jobs.
func (c *Coordinator) Ready() bool {
	return !c.leaving.Load() && c.config.Load() != nil && c.storeSilence() < unreadyAfter
}

// Leaving implements Jobs.
func (c *Coordinator) Leaving() bool { return c.leaving.Load() }

// Configured implements Jobs.
func (c *Coordinator) Configured() bool { return c.config.Load() != nil }

// Route implements Jobs.
func (c *Coordinator) Route(host, path string) (Queue, string, bool) {
	return c.config.Load().route(host, path)
}

// storeSilence returns how long the store has not served a call of this host.
func (c *Coordinator) storeSilence() time.Duration {
	return timekeeper.Now().Sub(time.Unix(0, c.storeSeen.Load()))
}

// storeAnswered keeps account of the store's answers.
func (c *Coordinator) storeAnswered(err error) {
	var unavailable *storer.UnavailableError
	var unknown *storer.UnknownOutcomeError
	if errors.As(err, &unavailable) || errors.As(err, &unknown) {
		c.metrics.storeFailures.Inc()
		if !c.storeLost.Swap(true) {
			c.log.Warn("StoreLost", "Cause", err.Error())
		}
		return
	}
	var limited *storer.RateLimitedError
	if errors.As(err, &limited) {
		// It proves only that the store is there. One that refuses this host alone would
		// otherwise leave it ready, and leading, until its leases end.
		c.metrics.storeFailures.Inc()
		return
	}
	c.storeSeen.Store(timekeeper.Now().UnixNano())
	if c.storeLost.Swap(false) {
		c.log.Info("StoreRegained")
	}
}

// client returns the connection to another entry host.
func (c *Coordinator) client(address netip.AddrPort) *messenger.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.clients[address]
	if m == nil {
		var clean func()
		m, clean = messenger.NewClient(address, messenger.Options{DialTimeout: pingTimeout})
		c.clients[address] = m
		c.cleanup = append(c.cleanup, clean)
	}
	return m
}

func (c *Coordinator) closeClients() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, f := range c.cleanup {
		f()
	}
	c.cleanup = nil
}

// followConfiguration keeps the newest configuration in force. Watches go on from the
// store's revision at the last read: the configuration's own may be older than the
// history that the store keeps.
func (c *Coordinator) followConfiguration(ctx context.Context) {
	for ctx.Err() == nil {
		entries, revision, err := c.store.List(ctx, c.peers.Keys.Configuration)
		if err != nil {
			sleep(ctx, configurationRetry)
			continue
		}
		for _, e := range entries {
			if e.Key == c.peers.Keys.Configuration {
				c.applyConfiguration(e)
			}
		}
		if c.watchConfiguration(ctx, revision) != nil {
			sleep(ctx, configurationRetry)
		}
	}
}

const (
	// configurationWait is how long one watch of the configuration lasts. A connection
	// that went silent is noticed after it, and a lost event made good by the read that
	// follows, well within the two seconds that a change may take.
	configurationWait  = 1000 * time.Millisecond
	configurationRetry = 150 * time.Millisecond
)

// watchConfiguration watches once, and returns when the configuration should be read
// again, in case the watch has missed a change.
func (c *Coordinator) watchConfiguration(ctx context.Context, revision uint64) error {
	select {
	case <-c.refetch:
		return nil
	default:
	}
	es, err := c.store.Watch(ctx, c.peers.Keys.Configuration, revision, configurationWait)
	if err != nil {
		return err
	}
	for _, e := range es.Events {
		if e.Key == c.peers.Keys.Configuration && !e.Deleted {
			c.applyConfiguration(e)
		}
	}
	return nil
}

func (c *Coordinator) applyConfiguration(e storer.Entry) {
	n, err := c.peers.Decoder.Configuration(e.Value)
	if err != nil {
		c.log.Error("ConfigurationRefused", "Revision", e.Revision, "Cause", err.Error())
		return
	}
	old := c.config.Load()
	if old != nil && n.Version <= old.Version {
		return // versions rise; a delayed answer must not undo a change
	}
	c.config.Store(&n)
	c.metrics.configVersion.Set(float64(n.Version))
	c.log.Info("ConfigurationApplied", "Version", n.Version, "Revision", e.Revision, "Queues", len(n.Queues))
}

// newerConfiguration is told the version that another host has in force.
func (c *Coordinator) newerConfiguration(version uint64) {
	if old := c.config.Load(); old == nil || old.Version < version {
		select {
		case c.refetch <- struct{}{}:
		default:
		}
	}
}

// configVersion returns the version in force, 0 for none.
func (c *Coordinator) configVersion() uint64 {
	if n := c.config.Load(); n != nil {
		return n.Version
	}
	return 0
}

// orchestratorSettings returns the parameters of a leadership.
func (c *Coordinator) orchestratorSettings(epoch uint64, confirmed, elected time.Time) orchestrator.Settings {
	return orchestrator.Settings{
		Epoch: epoch, ElectedAt: elected, ConfirmedAt: confirmed,
		Lease: min(runLease, c.settings.MaxLease), Authority: leaderAuthority, MaxLease: c.settings.MaxLease,
		Retention: c.settings.StatusRetention, FarFactor: c.settings.FarFactor,
	}
}
