package server

import (
	"context"
	"math/rand/v2"
	"time"

	"peridotpitch/internal/configurator"
	"peridotpitch/internal/messenger"
	"peridotpitch/internal/router"
)

// identity is what this host says about itself in a heartbeat or its answer to a peer.
func (h *host) identity(peer string) messenger.Identity {
	digest, notices := h.members.Exchange(peer)
	id := messenger.Identity{
		Host: h.settings.Name, FailureDomain: h.settings.FailureDomain, Incarnation: h.incarnation, RunningFor: time.Since(h.started),
		Leaving: h.leaving.Load(), Drained: h.drained.Load(), NoticeDigest: digest, Notices: notices,
	}
	if a := h.configuration.Load(); a != nil {
		id.Generation = a.record.Generation
		id.InEffectFor = time.Since(a.since)
	}
	return id
}

// heartbeat exchanges one heartbeat with a peer.
func (h *host) heartbeat(ctx context.Context, l *link) {
	near := l.domain == h.settings.FailureDomain
	m := messenger.Heartbeat{Identity: h.identity(l.name), Sequence: h.sequence.Add(1), Claims: h.owner.Claims()}
	if near {
		m.Demand = h.dispatcher.Demand(l.name)
	}
	// The promises and grants in the answer count from before the heartbeat was sent.
	sentAt := time.Now()
	a, err := l.client.Exchange(ctx, m)
	if err != nil {
		h.log.Debug("heartbeat not answered", "Peer", l.name, "Error", err)
		return
	}
	now := time.Now()
	h.heard(a.Identity, now)
	h.owner.Answered(sentAt, a)
	h.endpoints.setFree(l.name, a.Free, now)
	if near {
		if a.HoldFor > 0 {
			h.hold(now.Add(a.HoldFor))
		}
		h.endpoints.set(a.Endpoints, now)
		h.dispatcher.Granted(l.name, a.Grants, sentAt)
	}
}

// leftBehindMargin covers what a process did after its last heartbeat before it died,
// and the way of the deadline to the backend server.
const leftBehindMargin = 2 * time.Second

// hold keeps this host from using slots until the given time.
func (h *host) hold(until time.Time) {
	if until.UnixNano() > h.holdUntil.Load() {
		h.holdUntil.Store(until.UnixNano())
		h.dispatcher.Hold(until)
	}
}

func (h *host) maxRequestTimeout() time.Duration {
	if a := h.configuration.Load(); a != nil {
		return a.parsed.Policy.MaxRequestTimeout
	}
	return configurator.DefaultMaxRequestTimeout
}

// heard takes in what a peer says about itself.
func (h *host) heard(id messenger.Identity, now time.Time) {
	for _, name := range h.members.Heard(id, now) {
		h.log.Info("host is leaving", "Leaving", name, "Source", "heartbeat", "Peer", id.Host)
	}
	h.follower.Seen(id.Host, id.Generation)
}

// exchange answers a peer's heartbeat.
func (h *host) exchange(m messenger.Heartbeat) messenger.HeartbeatAnswer {
	now := time.Now()
	h.heard(m.Identity, now)
	h.endpoints.setClaims(m.Host, m.Claims)
	a := messenger.HeartbeatAnswer{Identity: h.identity(m.Host), Promises: h.owner.Promise(m)}
	if m.FailureDomain == h.settings.FailureDomain {
		a.HoldFor = h.members.LeftBehind(m.Host, h.maxRequestTimeout()+leftBehindMargin, now)
		a.Endpoints = h.owner.Endpoints()
		a.Grants = h.grants.step(router.Report{Host: m.Host, Incarnation: m.Incarnation, Sequence: m.Sequence, RunningFor: m.RunningFor, Demand: m.Demand}, now)
	} else if len(h.notReady()) == 0 {
		a.Free = h.dispatcher.Free()
	}
	return a
}

// Target implements dispatcher.Overflow: of two random entry hosts of other failure
// domains that have free slots it names the one with more, so that hosts with the same
// figures do not all choose the same target.
func (h *host) Target(service string) (string, bool) {
	now := time.Now()
	var names []string
	var free []int
	for _, l := range h.peers.all() {
		if l.domain == h.settings.FailureDomain || !h.members.Alive(l.name, now) || h.members.Leaving(l.name) {
			continue
		}
		if n := h.endpoints.free(l.name, service, now); n > 0 {
			names = append(names, l.name)
			free = append(free, n)
		}
	}
	if len(names) == 0 {
		return "", false
	}
	i, j := rand.IntN(len(names)), rand.IntN(len(names))
	if free[j] > free[i] {
		i = j
	}
	return names[i], true
}

// Forward implements dispatcher.Overflow.
func (h *host) Forward(ctx context.Context, host string, m messenger.ForwardRequest) (messenger.ForwardAnswer, bool, error) {
	l, ok := h.peers.get(host)
	if !ok {
		return messenger.ForwardAnswer{}, false, &unknownHostError{Host: host}
	}
	a, err := l.client.Forward(ctx, m)
	return a, !notSent(err), err
}
