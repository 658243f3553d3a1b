package server

import (
	"context"
	"math/rand/v2"
	"time"

	"peridotpitch/internal/configurator"
	"peridotpitch/internal/messenger"
	"peridotpitch/internal/router"
)

// identity returns this host's identity and state for a heartbeat, or the answer to one.
func (h *host) identity(peer string) messenger.Identity {
	digest, notices := h.members.Exchange(peer)
	id := messenger.Identity{
		Host: h.settings.Name, FailureDomain: h.settings.FailureDomain, Incarnation: h.incarnation, RunningFor: time.Since(h.started),
		Leaving: h.leaving.Load(), Drained: h.drained.Load(), NoticeDigest: digest, Notices: notices,
	}
	if a := h.configuration.Load(); a != nil {
		id.Generation = a.record.Generation
		id.InEffectFor = time.Since(a.adoptedAt)
	}
	return id
}

// sendHeartbeat sends one heartbeat to a peer and processes the answer.
func (h *host) sendHeartbeat(ctx context.Context, l *link) {
	sameDomain := l.domain == h.settings.FailureDomain
	m := messenger.Heartbeat{Identity: h.identity(l.name), Sequence: h.heartbeatSequence.Add(1), Claims: h.owner.Claims()}
	if sameDomain {
		m.Demand = h.dispatcher.Demand(l.name)
	}
	// The durations of the promises and grants in the answer count from this time, which
	// is earlier than the time at which the peer gave them.
	sentAt := time.Now()
	a, err := l.client.Exchange(ctx, m)
	if err != nil {
		h.log.Debug("heartbeat not answered", "Peer", l.name, "Error", err)
		return
	}
	now := time.Now()
	h.recordIdentity(a.Identity, now)
	h.owner.RecordPromises(sentAt, a)
	h.endpoints.setFreeSlots(l.name, a.Free, now)
	if sameDomain {
		if a.HoldFor > 0 {
			h.suspendSlots(now.Add(a.HoldFor))
		}
		h.endpoints.setEndpoints(a.Endpoints, now)
		h.dispatcher.ApplyGrants(l.name, a.Grants, sentAt)
	}
}

// crashedProcessMargin is added to the maximum request timeout. The sum is the time after
// its last heartbeat for which requests of a crashed process may still run. The margin covers
// requests that the process sent after the heartbeat, and the time that a request and its
// deadline take to reach the backend server.
const crashedProcessMargin = 2 * time.Second

// suspendSlots prevents this host from using slots until the given time. It never ends an
// earlier suspension sooner.
func (h *host) suspendSlots(until time.Time) {
	if until.UnixNano() > h.slotsSuspendedUntil.Load() {
		h.slotsSuspendedUntil.Store(until.UnixNano())
		h.dispatcher.HoldUntil(until)
	}
}

// maxRequestTimeout returns the limit in the configuration in effect, or the default.
func (h *host) maxRequestTimeout() time.Duration {
	if a := h.configuration.Load(); a != nil {
		return a.parsed.Policy.MaxRequestTimeout
	}
	return configurator.DefaultMaxRequestTimeout
}

// recordIdentity records the identity, notices and configuration generation in a peer's
// heartbeat or answer.
func (h *host) recordIdentity(id messenger.Identity, now time.Time) {
	for _, name := range h.members.RecordIdentity(id, now) {
		h.log.Info("host is leaving", "Leaving", name, "Source", "heartbeat", "Peer", id.Host)
	}
	h.follower.RecordGeneration(id.Host, id.Generation)
}

// handleHeartbeat records a peer's heartbeat and returns the answer.
func (h *host) handleHeartbeat(m messenger.Heartbeat) messenger.HeartbeatAnswer {
	now := time.Now()
	h.recordIdentity(m.Identity, now)
	h.endpoints.setClaims(m.Host, m.Claims)
	a := messenger.HeartbeatAnswer{Identity: h.identity(m.Host), Promises: h.owner.AnswerClaims(m)}
	if m.FailureDomain == h.settings.FailureDomain {
		a.HoldFor = h.members.RemainingRequestTime(m.Host, h.maxRequestTimeout()+crashedProcessMargin, now)
		a.Endpoints = h.owner.Endpoints()
		a.Grants = h.grants.handleReport(router.DemandReport{Host: m.Host, Incarnation: m.Incarnation, Sequence: m.Sequence, RunningFor: m.RunningFor, Demand: m.Demand}, now)
	} else if len(h.notReady()) == 0 {
		a.Free = h.dispatcher.Free()
	}
	return a
}

// Target implements dispatcher.Overflow. It draws two random entry hosts of other failure
// domains that have free slots, and returns the one with more free slots. The random draw
// prevents hosts that received the same reports from all choosing the same target.
func (h *host) Target(service string) (string, bool) {
	now := time.Now()
	var names []string
	var free []int
	for _, l := range h.peers.all() {
		if l.domain == h.settings.FailureDomain || !h.members.Alive(l.name, now) || h.members.Leaving(l.name) {
			continue
		}
		if n := h.endpoints.freeSlots(l.name, service, now); n > 0 {
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
