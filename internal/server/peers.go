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
	// localHeartbeatInterval applies inside the failure domain. A host counts as down after
	// three missed heartbeats of this interval, see registrar.HeartbeatTimeout.
	localHeartbeatInterval = 500 * time.Millisecond
	// remoteHeartbeatInterval applies to entry hosts of other failure domains.
	remoteHeartbeatInterval = time.Second
)

// link is the message client and heartbeat loop for one other entry host.
type link struct {
	name   string
	domain string
	client *messenger.Client
	close  func()
	stop   context.CancelFunc
}

// peerTable holds the links to all other entry hosts in the settings file and the
// configuration. If both contain a host, the address in the configuration applies.
type peerTable struct {
	self           string
	domain         string
	settings       []loader.Peer
	messageTimeout time.Duration
	log            *slog.Logger

	mu            sync.Mutex
	links         map[string]*link
	addresses     map[string]string
	ctx           context.Context // context of the heartbeat loops; nil before run
	sendHeartbeat func(ctx context.Context, l *link)
	loops         sync.WaitGroup
}

func newPeerTable(s loader.Settings, log *slog.Logger) *peerTable {
	t := &peerTable{
		self: s.Name, domain: s.FailureDomain, settings: s.Peers, messageTimeout: s.Limits.MessageTimeout, log: log,
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

// add creates a link, and starts its heartbeat loop if the loops run. t.mu must be held.
func (t *peerTable) add(p loader.Peer) {
	c, closeClient := messenger.NewClient(p.Address, messenger.Options{ExchangeTimeout: t.messageTimeout, Rand: newRandom()})
	l := &link{name: p.Name, domain: p.FailureDomain, client: c, close: closeClient}
	t.links[p.Name] = l
	t.addresses[p.Name] = p.Address.String()
	if t.ctx != nil {
		t.start(l)
	}
}

// remove stops and closes a link. t.mu must be held.
func (t *peerTable) remove(l *link) {
	if l.stop != nil {
		l.stop()
	}
	go l.close() // blocks until calls in progress have ended
	delete(t.links, l.name)
	delete(t.addresses, l.name)
}

// start runs the heartbeat loop of a link. A random first delay spreads the heartbeats to
// different peers. t.mu must be held.
func (t *peerTable) start(l *link) {
	interval := remoteHeartbeatInterval
	if l.domain == t.domain {
		interval = localHeartbeatInterval
	}
	ctx, stop := context.WithCancel(t.ctx)
	l.stop = stop
	t.loops.Go(func() {
		if !sleep(ctx, rand.N(interval)) {
			return
		}
		for {
			started := time.Now()
			t.sendHeartbeat(ctx, l)
			if !sleep(ctx, max(0, interval-time.Since(started))) {
				return
			}
		}
	})
}

// run sends heartbeats to all peers until ctx ends. It returns when all heartbeat loops have
// ended.
func (t *peerTable) run(ctx context.Context, sendHeartbeat func(context.Context, *link)) error {
	t.mu.Lock()
	t.ctx, t.sendHeartbeat = ctx, sendHeartbeat
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

// configurationPeers returns the peers from which the configuration can be fetched.
func (t *peerTable) configurationPeers() []publisher.Peer {
	var ps []publisher.Peer
	for _, l := range t.all() {
		ps = append(ps, publisher.Peer{Name: l.name, SameFailureDomain: l.domain == t.domain, Fetcher: l.client})
	}
	return ps
}
