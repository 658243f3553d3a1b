package server

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"peridotpitch/internal/configurator"
	"peridotpitch/internal/loader"
	"peridotpitch/internal/messenger"
	"peridotpitch/internal/publisher"
)

const (
	// Intervals of heartbeats. Three missed ones of 500 ms make a host count as down.
	nearInterval = 500 * time.Millisecond // inside the failure domain
	farInterval  = time.Second            // to other failure domains
)

// link is the connection to one other entry host.
type link struct {
	name   string
	domain string
	client *messenger.Client
	close  func()
	stop   context.CancelFunc
}

// peerTable holds the links to all other entry hosts: those of the settings file and
// those of the configuration. A host that both name has the configuration's address.
type peerTable struct {
	self     string
	domain   string
	settings []loader.Peer
	timeout  time.Duration
	log      *slog.Logger

	mu        sync.Mutex
	links     map[string]*link
	addresses map[string]string
	ctx       context.Context // of the heartbeat loops; nil before run
	beat      func(ctx context.Context, l *link)
	loops     sync.WaitGroup
}

func newPeerTable(s loader.Settings, log *slog.Logger) *peerTable {
	t := &peerTable{
		self: s.Name, domain: s.FailureDomain, settings: s.Peers, timeout: s.Limits.MessageTimeout, log: log,
		links: make(map[string]*link), addresses: make(map[string]string),
	}
	t.configure(nil)
	return t
}

// configure makes the links match the settings and the configuration's entry hosts.
func (t *peerTable) configure(hosts []configurator.EntryHost) {
	wanted := make(map[string]loader.Peer)
	for _, p := range t.settings {
		wanted[p.Name] = p
	}
	for _, e := range hosts {
		wanted[e.Name] = loader.Peer{Name: e.Name, FailureDomain: e.FailureDomain, Address: e.Address}
	}
	delete(wanted, t.self)
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, l := range t.links {
		if w, ok := wanted[name]; !ok || w.Address.String() != t.addresses[name] || w.FailureDomain != l.domain {
			t.remove(l)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(wanted)) {
		if _, ok := t.links[name]; !ok {
			t.add(wanted[name])
		}
	}
}

func (t *peerTable) add(p loader.Peer) {
	c, closeClient := messenger.NewClient(p.Address, messenger.Options{ExchangeTimeout: t.timeout, Rand: newRandom()})
	l := &link{name: p.Name, domain: p.FailureDomain, client: c, close: closeClient}
	t.links[p.Name] = l
	t.addresses[p.Name] = p.Address.String()
	if t.ctx != nil {
		t.start(l)
	}
}

func (t *peerTable) remove(l *link) {
	if l.stop != nil {
		l.stop()
	}
	go l.close() // waits for calls in progress
	delete(t.links, l.name)
	delete(t.addresses, l.name)
}

func (t *peerTable) start(l *link) {
	interval := farInterval
	if l.domain == t.domain {
		interval = nearInterval
	}
	ctx, stop := context.WithCancel(t.ctx)
	l.stop = stop
	t.loops.Go(func() {
		if !sleep(ctx, rand.N(interval)) {
			return
		}
		for {
			started := time.Now()
			t.beat(ctx, l)
			if !sleep(ctx, max(0, interval-time.Since(started))) {
				return
			}
		}
	})
}

// run sends heartbeats until ctx ends.
func (t *peerTable) run(ctx context.Context, beat func(context.Context, *link)) error {
	t.mu.Lock()
	t.ctx, t.beat = ctx, beat
	for _, l := range t.links {
		t.start(l)
	}
	t.mu.Unlock()
	<-ctx.Done()
	t.loops.Wait()
	return nil
}

func (t *peerTable) closeAll() {
	t.mu.Lock()
	links := slices.Collect(maps.Values(t.links))
	t.mu.Unlock()
	for _, l := range links {
		l.close()
	}
}

func (t *peerTable) get(name string) (*link, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, ok := t.links[name]
	return l, ok
}

// all returns the links sorted by name.
func (t *peerTable) all() []*link {
	t.mu.Lock()
	defer t.mu.Unlock()
	links := make([]*link, 0, len(t.links))
	for _, name := range slices.Sorted(maps.Keys(t.links)) {
		links = append(links, t.links[name])
	}
	return links
}

func (t *peerTable) configurationPeers() []publisher.Peer {
	var ps []publisher.Peer
	for _, l := range t.all() {
		ps = append(ps, publisher.Peer{Name: l.name, SameFailureDomain: l.domain == t.domain, Fetcher: l.client})
	}
	return ps
}
