package router

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"peridotpitch/internal/configurator"
	"peridotpitch/internal/messenger"
)

// demandMemory is how long a wish for slots is remembered, so that a grant does not
// end between two bursts that are closer than a few heartbeats.
const demandMemory = 2 * time.Second

// Router is one entry host's view of the instances of its failure domain.
type Router struct {
	settings  Settings
	random    *rand.Rand
	hosts     hostCounts
	holdUntil time.Time
	started   bool
	instances map[string]*instance
	pools     map[string]*pool
	tickets   uint64
}

// pool is the set of present instances of one service.
type pool struct {
	instances   []*instance // sorted by name
	next        int         // position of RoundRobin
	waiting     int
	typical     time.Duration // lower quartile of the latency estimates
	assessed    time.Time     // when typical and the ejections were computed
	probeCredit float64
}

// New returns a router without instances. The random source must be seeded by the
// caller and used by nothing else.
func New(s Settings, random *rand.Rand) *Router {
	if s.MaxRequestTimeout <= 0 {
		s.MaxRequestTimeout = configurator.DefaultMaxRequestTimeout
	}
	return &Router{
		settings:  s,
		random:    random,
		hosts:     hostCounts{delay: ShareDelay(s.MaxRequestTimeout)},
		holdUntil: s.HoldUntil,
		instances: make(map[string]*instance),
		pools:     make(map[string]*pool),
	}
}

// SetPolicy changes the routing policy from the next Pick on.
func (r *Router) SetPolicy(p configurator.RoutingPolicy) { r.settings.Policy = p }

// Hold keeps this host's use of all instances at zero until the given time, if that is
// later than what holds already.
func (r *Router) Hold(until time.Time) {
	if until.After(r.holdUntil) {
		r.holdUntil = until
		r.settings.HoldUntil = until
	}
}

// Update replaces the list of instances and the number of entry hosts that share them.
// Slots in use at an instance that is no longer listed stay in use until Done.
func (r *Router) Update(endpoints []messenger.Endpoint, m Membership, now time.Time) {
	r.updateHosts(m, now)
	for _, p := range r.pools {
		p.instances = p.instances[:0]
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
		in.present = true
		p := r.pool(e.Service)
		p.instances = append(p.instances, in)
	}
	for name, in := range r.instances {
		if listed[name] {
			continue
		}
		in.present = false
		if in.used(now) == 0 && !now.Before(in.grantUntil) {
			delete(r.instances, name)
		}
	}
	for name, p := range r.pools {
		if len(p.instances) == 0 && p.waiting == 0 {
			delete(r.pools, name)
			continue
		}
		slices.SortFunc(p.instances, func(a, b *instance) int {
			return cmp.Compare(a.endpoint.Instance, b.endpoint.Instance)
		})
		p.assessed = time.Time{}
	}
}

func (r *Router) updateHosts(m Membership, now time.Time) {
	switch {
	case m.Settled:
		r.hosts.settle(m.Hosts, now)
		r.holdUntil = r.settings.HoldUntil
	case !r.started:
		r.hosts.settle(m.Hosts, now)
		if t := now.Add(r.hosts.delay); t.After(r.holdUntil) {
			r.holdUntil = t
		}
	default:
		r.hosts.set(m.Hosts, now)
	}
	r.started = true
}

func (r *Router) pool(service string) *pool {
	p := r.pools[service]
	if p == nil {
		p = &pool{}
		r.pools[service] = p
	}
	return p
}

// Grant takes the answer of granter from to the demand that was taken at sentAt. It
// ignores an answer to any but the latest demand, and any of an earlier epoch: the
// granter no longer counts the slots of such a grant.
func (r *Router) Grant(from string, g messenger.SlotGrant, sentAt, now time.Time) {
	in := r.instances[g.Instance]
	if in == nil || g.Epoch < in.epoch || sentAt.Before(in.demandedAt[from]) {
		return
	}
	in.epoch, in.granter = g.Epoch, from
	until := sentAt.Add(min(g.For, GrantDuration))
	if !now.Before(until) || g.Slots <= 0 {
		in.grant, in.grantUntil = 0, time.Time{}
		return
	}
	in.grant, in.grantUntil = g.Slots, until
}

// limit is how many requests this host may run at the instance now.
func (r *Router) limit(in *instance, now time.Time) int {
	if now.Before(r.holdUntil) {
		return 0
	}
	share := r.hosts.base(in.endpoint.Slots, now) + in.granted(now)
	return min(share, in.endpoint.Slots)
}

// room is how many more requests this host may send to the instance now.
func (r *Router) room(in *instance, now time.Time) int {
	slots := r.limit(in, now) - in.used(now)
	connections := r.hosts.connections(in.endpoint.Connections, now) - len(in.held)
	return max(0, min(slots, connections))
}

// Pick chooses an instance and holds one of its slots until Done.
func (r *Router) Pick(q Request, now time.Time) Choice {
	p := r.pools[q.Service]
	if p == nil || len(p.instances) == 0 {
		return None{Reason: "the failure domain has no instance of the service"}
	}
	r.assess(p, now)
	free := make([]*instance, 0, len(p.instances))
	for _, in := range p.instances {
		if in.endpoint.Draining || slices.Contains(q.Exclude, in.endpoint.Instance) {
			continue
		}
		if r.room(in, now) > 0 {
			free = append(free, in)
		}
	}
	if len(free) == 0 {
		return r.none(p, q, now)
	}
	in, reason, candidates := r.choose(p, free, now)
	r.tickets++
	in.held[r.tickets] = heldSlot{picked: now, deadline: q.Deadline}
	return Instance{
		Name:        in.endpoint.Instance,
		Address:     in.endpoint.Address,
		Connections: r.hosts.connections(in.endpoint.Connections, now),
		Reason:      reason,
		Candidates:  candidates,
		Ticket:      r.tickets,
	}
}

// maxCandidates bounds the candidates listed when none can take the request.
const maxCandidates = 8

func (r *Router) none(p *pool, q Request, now time.Time) None {
	n := None{Reason: "no instance has a free slot in this host's share"}
	if now.Before(r.holdUntil) {
		return None{Reason: "this host's share is not in effect yet", FreeAt: r.holdUntil}
	}
	for _, in := range p.instances {
		c := Candidate{Instance: in.endpoint.Instance, Note: "no free slot"}
		switch {
		case in.endpoint.Draining:
			c.Note = "draining"
		case slices.Contains(q.Exclude, in.endpoint.Instance):
			c.Note = "tried before"
		default:
			if t := in.freeAt(p.typical, now); !t.IsZero() && (n.FreeAt.IsZero() || t.Before(n.FreeAt)) {
				n.FreeAt = t
			}
		}
		if len(n.Candidates) < maxCandidates {
			n.Candidates = append(n.Candidates, c)
		}
	}
	return n
}

// Done returns the slot of a chosen instance. A second call for the same choice has no
// effect.
func (r *Router) Done(c Instance, o Outcome, now time.Time) {
	in := r.instances[c.Name]
	if in == nil {
		return
	}
	h, held := in.held[c.Ticket]
	if !held {
		return
	}
	delete(in.held, c.Ticket)
	switch o.Kind {
	case OutcomeAnswered:
		in.observe(o.Latency, now)
		in.failures = 0
	case OutcomeNotRun:
		in.failures++
		in.failedAt = now
	case OutcomeAbandoned:
		in.abandoned = append(in.abandoned, h.deadline.Add(AbandonMargin))
		in.observe(now.Sub(h.picked), now)
	}
	if o.SlotsUsed >= 0 && (o.Kind == OutcomeAnswered || o.Kind == OutcomeNotRun) {
		in.hint = hint{others: max(0, o.SlotsUsed-1-len(in.held)), at: now}
	}
	if !in.present && in.used(now) == 0 {
		delete(r.instances, c.Name)
	}
}

// Want sets the number of requests that wait for an instance of the service.
func (r *Router) Want(service string, waiting int, _ time.Time) {
	if p := r.pools[service]; p != nil {
		p.waiting = waiting
	}
}

// Demand returns what this host uses and wants, for the heartbeat to peer to. It lists
// only instances whose latest grant, possibly of no slot, came from that peer. InUse
// includes granted slots that are free, because this host may still use them.
func (r *Router) Demand(to string, now time.Time) []messenger.SlotDemand {
	var demands []messenger.SlotDemand
	for _, name := range sortedKeys(r.instances) {
		in := r.instances[name]
		in.noteDemand(to, now)
		if in.granter != to {
			continue
		}
		used, base := in.used(now), r.hosts.base(in.endpoint.Slots, now)
		demands = append(demands, messenger.SlotDemand{
			Instance: name,
			InUse:    max(used, base+in.granted(now)),
			Wanted:   r.wanted(in, used, now),
		})
	}
	return demands
}

// wanted is the number of slots this host could use at the instance.
func (r *Router) wanted(in *instance, used int, now time.Time) int {
	p := r.pools[in.endpoint.Service]
	if p == nil || !in.present || in.endpoint.Draining || now.Before(r.holdUntil) {
		return 0
	}
	wanted := used
	if used >= r.limit(in, now) {
		wanted++
	}
	if n := len(p.instances); n > 0 {
		wanted += (p.waiting + n - 1) / n
	}
	wanted = min(wanted, in.endpoint.Slots)
	if wanted >= in.wanted || now.Sub(in.wantedAt) > demandMemory {
		in.wanted, in.wantedAt = wanted, now
	}
	return in.wanted
}

// Free returns the number of free slots of the service within this host's share.
func (r *Router) Free(service string, now time.Time) int {
	p := r.pools[service]
	if p == nil {
		return 0
	}
	free := 0
	for _, in := range p.instances {
		if !in.endpoint.Draining {
			free += r.room(in, now)
		}
	}
	return free
}

// FreeByService returns the number of free slots of every service.
func (r *Router) FreeByService(now time.Time) map[string]int {
	free := make(map[string]int, len(r.pools))
	for name := range r.pools {
		free[name] = r.Free(name, now)
	}
	return free
}

// Connections returns this host's share of connections of every present instance.
func (r *Router) Connections(now time.Time) map[string]int {
	shares := make(map[string]int, len(r.instances))
	for name, in := range r.instances {
		if in.present {
			shares[name] = r.hosts.connections(in.endpoint.Connections, now)
		}
	}
	return shares
}

// sortedKeys makes every walk over a map repeatable.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
