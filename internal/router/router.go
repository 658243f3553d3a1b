package router

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"peridotpitch/internal/configurator"
	"peridotpitch/internal/messenger"
)

// demandRetention is the time for which the highest demand for slots is kept, so that a
// grant does not end between two bursts that are less than a few heartbeats apart.
const demandRetention = 2 * time.Second

// Router is one entry host's view of the instances of its failure domain and of its share
// of their slots.
type Router struct {
	settings   Settings
	random     *rand.Rand
	hostCounts hostCountHistory
	// holdUntil is the time until which this host uses no slots: the later of
	// settings.HoldUntil and, if Settled was false in the first Membership, the end of
	// ShareDelay after it.
	holdUntil     time.Time
	hasMembership bool
	instances     map[string]*instance
	services      map[string]*serviceState
	lastTicket    uint64
}

// serviceState is the state of one service.
type serviceState struct {
	instances       []*instance // sorted by name
	nextIndex       int         // next position of the policy RoundRobin
	waitingRequests int
	typicalLatency  time.Duration // lower quartile of the latency estimates
	assessedAt      time.Time     // when typicalLatency and the set of ejected (slow or failing) instances were computed
	probeCredit     float64       // fraction of a probe of an ejected instance that is due, at most 1; each request adds maxProbeFraction
}

// New returns a router without instances. The random source must be seeded by the
// caller and used by nothing else.
func New(s Settings, random *rand.Rand) *Router {
	if s.MaxRequestTimeout <= 0 {
		s.MaxRequestTimeout = configurator.DefaultMaxRequestTimeout
	}
	return &Router{
		settings:   s,
		random:     random,
		hostCounts: hostCountHistory{window: ShareDelay(s.MaxRequestTimeout)},
		holdUntil:  s.HoldUntil,
		instances:  make(map[string]*instance),
		services:   make(map[string]*serviceState),
	}
}

// SetPolicy changes the routing policy from the next Pick on.
func (r *Router) SetPolicy(p configurator.RoutingPolicy) { r.settings.Policy = p }

// HoldUntil keeps this host's share of all instances at zero until the given time, unless it is
// already kept at zero for longer. A settled Membership does not end this time early, because it
// is stored in the settings too.
func (r *Router) HoldUntil(until time.Time) {
	if until.After(r.holdUntil) {
		r.holdUntil = until
		r.settings.HoldUntil = until
	}
}

// Update replaces the list of instances and the number of entry hosts that share them.
// Slots in use at an instance that is no longer listed stay in use until Done.
func (r *Router) Update(endpoints []messenger.Endpoint, m Membership, now time.Time) {
	r.updateMembership(m, now)
	for _, ss := range r.services {
		ss.instances = ss.instances[:0]
	}
	listed := make(map[string]bool, len(endpoints))
	for _, e := range endpoints {
		if listed[e.Instance] {
			continue
		}
		listed[e.Instance] = true
		in := r.instances[e.Instance]
		if in == nil {
			in = newInstance()
			r.instances[e.Instance] = in
		}
		in.endpoint = e
		in.listed = true
		ss := r.serviceState(e.Service)
		ss.instances = append(ss.instances, in)
	}
	for name, in := range r.instances {
		if listed[name] {
			continue
		}
		in.listed = false
		if in.usedSlots(now) == 0 && !now.Before(in.grantExpiresAt) {
			delete(r.instances, name)
		}
	}
	for name, ss := range r.services {
		if len(ss.instances) == 0 && ss.waitingRequests == 0 {
			delete(r.services, name)
			continue
		}
		slices.SortFunc(ss.instances, func(a, b *instance) int {
			return cmp.Compare(a.endpoint.Instance, b.endpoint.Instance)
		})
		ss.assessedAt = time.Time{}
	}
}

// updateMembership records the number of entry hosts. If the first membership is not
// settled, the share stays zero for ShareDelay.
func (r *Router) updateMembership(m Membership, now time.Time) {
	switch {
	case m.Settled:
		r.hostCounts.reset(m.Hosts, now)
		r.holdUntil = r.settings.HoldUntil
	case !r.hasMembership:
		r.hostCounts.reset(m.Hosts, now)
		if t := now.Add(r.hostCounts.window); t.After(r.holdUntil) {
			r.holdUntil = t
		}
	default:
		r.hostCounts.record(m.Hosts, now)
	}
	r.hasMembership = true
}

// serviceState returns the state of a service and creates it if needed.
func (r *Router) serviceState(service string) *serviceState {
	ss := r.services[service]
	if ss == nil {
		ss = &serviceState{}
		r.services[service] = ss
	}
	return ss
}

// ApplyGrant applies a grant that the given peer, the owner of the instance's shard, sent in
// answer to the demand that was sent at sentAt. It ignores a grant in answer to an earlier demand,
// because the peer's Allocator now counts only the slots that the latest demand reported. It
// also ignores a grant of an earlier epoch, because the current owner does not count its
// slots.
func (r *Router) ApplyGrant(from string, g messenger.SlotGrant, sentAt, now time.Time) {
	in := r.instances[g.Instance]
	if in == nil || g.Epoch < in.granterEpoch || sentAt.Before(in.lastDemandAt[from]) {
		return
	}
	in.granterEpoch, in.granter = g.Epoch, from
	until := sentAt.Add(min(g.For, GrantDuration))
	if !now.Before(until) || g.Slots <= 0 {
		in.grantedSlots, in.grantExpiresAt = 0, time.Time{}
		return
	}
	in.grantedSlots, in.grantExpiresAt = g.Slots, until
}

// slotLimit returns the number of slots that this host may use at the instance.
func (r *Router) slotLimit(in *instance, now time.Time) int {
	if now.Before(r.holdUntil) {
		return 0
	}
	share := r.hostCounts.minBaseShare(in.endpoint.Slots, now) + in.currentGrant(now)
	return min(share, in.endpoint.Slots)
}

// freeSlots returns the number of requests that this host may send to the instance in
// addition to those in flight, within its shares of slots and connections.
func (r *Router) freeSlots(in *instance, now time.Time) int {
	slots := r.slotLimit(in, now) - in.usedSlots(now)
	connections := r.hostCounts.minConnections(in.endpoint.Connections, now) - len(in.inFlight)
	return max(0, min(slots, connections))
}

// Pick chooses an instance and reserves one of its slots until Done is called.
func (r *Router) Pick(q Request, now time.Time) Choice {
	ss := r.services[q.Service]
	if ss == nil || len(ss.instances) == 0 {
		return NoInstance{Reason: "the failure domain has no instance of the service"}
	}
	r.assess(ss, now)
	free := make([]*instance, 0, len(ss.instances))
	for _, in := range ss.instances {
		if in.endpoint.Draining || slices.Contains(q.Exclude, in.endpoint.Instance) {
			continue
		}
		if r.freeSlots(in, now) > 0 {
			free = append(free, in)
		}
	}
	if len(free) == 0 {
		return r.noInstance(ss, q, now)
	}
	in, reason, candidates := r.choose(ss, free, now)
	r.lastTicket++
	in.inFlight[r.lastTicket] = inFlightRequest{pickedAt: now, deadline: q.Deadline}
	return ChosenInstance{
		Name:        in.endpoint.Instance,
		Address:     in.endpoint.Address,
		Connections: r.hostCounts.minConnections(in.endpoint.Connections, now),
		Reason:      reason,
		Candidates:  candidates,
		Ticket:      r.lastTicket,
	}
}

// maxCandidates bounds the number of candidates that are reported if no instance has a free
// slot.
const maxCandidates = 8

// noInstance returns the reason why no instance can take the request.
func (r *Router) noInstance(ss *serviceState, q Request, now time.Time) NoInstance {
	n := NoInstance{Reason: "no instance has a free slot in this host's share"}
	if now.Before(r.holdUntil) {
		return NoInstance{Reason: "this host's share is not in effect yet", FreeAt: r.holdUntil}
	}
	for _, in := range ss.instances {
		c := Candidate{Instance: in.endpoint.Instance, Note: "no free slot"}
		switch {
		case in.endpoint.Draining:
			c.Note = "draining"
		case slices.Contains(q.Exclude, in.endpoint.Instance):
			c.Note = "already tried"
		default:
			if t := in.freeAt(ss.typicalLatency, now); !t.IsZero() && (n.FreeAt.IsZero() || t.Before(n.FreeAt)) {
				n.FreeAt = t
			}
		}
		if len(n.Candidates) < maxCandidates {
			n.Candidates = append(n.Candidates, c)
		}
	}
	return n
}

// Done ends a request at a chosen instance and returns its slot. A second call for the same
// choice has no effect.
func (r *Router) Done(c ChosenInstance, o Outcome, now time.Time) {
	in := r.instances[c.Name]
	if in == nil {
		return
	}
	q, found := in.inFlight[c.Ticket]
	if !found {
		return
	}
	delete(in.inFlight, c.Ticket)
	switch o.Kind {
	case OutcomeAnswered:
		in.addLatencySample(o.Latency, now)
		in.consecutiveFailures = 0
	case OutcomeNotRun:
		in.consecutiveFailures++
		in.lastFailureAt = now
	case OutcomeAbandoned:
		in.abandonedUntil = append(in.abandonedUntil, q.deadline.Add(AbandonMargin))
		in.addLatencySample(now.Sub(q.pickedAt), now) // the latency is at least this long
	}
	if o.SlotsUsed >= 0 && (o.Kind == OutcomeAnswered || o.Kind == OutcomeNotRun) {
		// The reported number includes this request and the others of this host.
		in.reportedLoad = reportedLoad{slotsUsedByOthers: max(0, o.SlotsUsed-1-len(in.inFlight)), reportedAt: now}
	}
	if !in.listed && in.usedSlots(now) == 0 {
		delete(r.instances, c.Name)
	}
}

// SetWaiting sets the number of requests that wait for an instance of the service.
func (r *Router) SetWaiting(service string, waiting int, _ time.Time) {
	if ss := r.services[service]; ss != nil {
		ss.waitingRequests = waiting
	}
}

// Demand returns the slots that this host uses and wants, for a heartbeat to the given
// peer. It lists only instances whose latest grant, possibly of zero slots, came from that
// peer, but records the time of the demand for all instances, because ApplyGrant compares
// times by peer. InUse includes granted slots that are free, because this host may still use them.
func (r *Router) Demand(to string, now time.Time) []messenger.SlotDemand {
	var demands []messenger.SlotDemand
	for _, name := range sortedKeys(r.instances) {
		in := r.instances[name]
		in.recordDemand(to, now)
		if in.granter != to {
			continue
		}
		used, base := in.usedSlots(now), r.hostCounts.minBaseShare(in.endpoint.Slots, now)
		demands = append(demands, messenger.SlotDemand{
			Instance: name,
			InUse:    max(used, base+in.currentGrant(now)),
			Wanted:   r.wantedSlots(in, used, now),
		})
	}
	return demands
}

// wantedSlots returns the number of slots that this host could use at the instance. A higher
// number that was computed within demandRetention is returned instead.
func (r *Router) wantedSlots(in *instance, used int, now time.Time) int {
	ss := r.services[in.endpoint.Service]
	if ss == nil || !in.listed || in.endpoint.Draining || now.Before(r.holdUntil) {
		return 0
	}
	wanted := used
	if used >= r.slotLimit(in, now) {
		wanted++
	}
	if n := len(ss.instances); n > 0 {
		wanted += (ss.waitingRequests + n - 1) / n
	}
	wanted = min(wanted, in.endpoint.Slots)
	if wanted >= in.wantedSlots || now.Sub(in.wantedAt) > demandRetention {
		in.wantedSlots, in.wantedAt = wanted, now
	}
	return in.wantedSlots
}

// Free returns the number of free slots of the service's instances within this host's
// share.
func (r *Router) Free(service string, now time.Time) int {
	ss := r.services[service]
	if ss == nil {
		return 0
	}
	free := 0
	for _, in := range ss.instances {
		if !in.endpoint.Draining {
			free += r.freeSlots(in, now)
		}
	}
	return free
}

// FreeByService returns the number of free slots of every service.
func (r *Router) FreeByService(now time.Time) map[string]int {
	free := make(map[string]int, len(r.services))
	for name := range r.services {
		free[name] = r.Free(name, now)
	}
	return free
}

// Connections returns this host's share of the connections of every listed instance.
func (r *Router) Connections(now time.Time) map[string]int {
	shares := make(map[string]int, len(r.instances))
	for name, in := range r.instances {
		if in.listed {
			shares[name] = r.hostCounts.minConnections(in.endpoint.Connections, now)
		}
	}
	return shares
}

// sortedKeys returns the keys of a map in sorted order, so that iteration is deterministic.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
