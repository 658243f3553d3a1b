package evaluator

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"peridotpitch/internal/configurator"
	"peridotpitch/internal/limiter"
	"peridotpitch/internal/messenger"
	"peridotpitch/internal/router"
)

// entry is an entry host: the real router and limiter with a fake of what is around them.
type entry struct {
	w           *world
	domain      int
	index       int
	name        string
	alive       bool
	incarnation int
	started     time.Time
	sequence    uint64
	router      *router.Router
	limiter     *limiter.Limiter
	waiting     map[string]*request
}

// flight is one attempt of a request.
type flight struct {
	q      *request
	in     *instance
	choice router.Instance
	sent   time.Time
	done   bool
}

// pumpInterval is how often waiting requests are looked at without another cause.
const pumpInterval = 20 * time.Millisecond

func newEntry(w *world, domain int, name string) *entry {
	e := &entry{w: w, domain: domain, index: len(w.entries), name: name}
	e.start(time.Time{})
	w.every(pumpInterval, func() {
		if !e.alive {
			return
		}
		for s := range w.firm.Services {
			e.pump(s)
		}
	})
	return e
}

func (e *entry) start(holdUntil time.Time) {
	e.alive = true
	e.incarnation++
	e.started = e.w.now
	e.waiting = map[string]*request{}
	e.router = router.New(router.Settings{Policy: e.w.policies.Routing, MaxRequestTimeout: requestTimeout, HoldUntil: holdUntil},
		source(e.w.seed, streamPolicy+stream(100+e.index+1000*e.incarnation)))
	e.limiter = limiter.New(limiter.Settings{Limits: e.w.policies.Limits, Retries: e.w.policies.Retries, Teams: teams})
}

// teams are the tenants that send requests.
var teams = []configurator.Team{{Name: "directors", Share: 2}, {Name: "schools", Share: 1}, {Name: "mills", Share: 1}}

// crash ends the process: its callers see their connections close.
func (e *entry) crash() {
	e.alive = false
	for _, n := range slices.Sorted(maps.Keys(e.w.open)) {
		q := e.w.open[n]
		if q.entry == e && !q.final {
			e.w.finish(q, outcomeUnknown)
		}
	}
}

// restart replaces the process. Requests of the one before may still run.
func (e *entry) restart() { e.start(e.w.now.Add(requestTimeout)) }

// exchange spreads the instances and lends slots, as heartbeats do.
func (w *world) exchange() {
	for d, s := range w.shards {
		var hosts []string
		for _, e := range w.entries {
			if e.domain == d {
				hosts = append(hosts, e.name)
			}
		}
		endpoints := w.endpoints(d)
		if s.allocator == nil {
			s.allocator = router.NewAllocator(1, requestTimeout, w.now)
		}
		s.allocator.Update(endpoints, hosts, true, w.now)
		for _, e := range w.entries {
			if e.domain == d && e.alive {
				e.heartbeat(s.allocator, endpoints, len(hosts))
			}
		}
	}
}

func (w *world) endpoints(domain int) []messenger.Endpoint {
	var out []messenger.Endpoint
	for _, in := range w.instances {
		if in.domain == domain && in.ready {
			out = append(out, messenger.Endpoint{
				Instance: in.name, Service: w.firm.Services[in.service], FailureDomain: w.firm.Domains[domain],
				Slots: slots, Connections: conns, Draining: in.draining, Slowdown: in.reported,
			})
		}
	}
	return out
}

func (e *entry) heartbeat(a *router.Allocator, endpoints []messenger.Endpoint, hosts int) {
	const owner = "owner"
	sent := e.w.now
	e.router.Update(endpoints, router.Membership{Hosts: hosts, Settled: true}, sent)
	demand := e.router.Demand(owner, sent)
	e.sequence++
	report := router.Report{
		Host: e.name, Incarnation: strconv.Itoa(e.incarnation), Sequence: e.sequence,
		RunningFor: sent.Sub(e.started), Demand: demand,
	}
	incarnation := e.incarnation
	e.w.after(networkDelay/2, func() {
		grants := a.Step(report, e.w.now)
		e.w.after(networkDelay/2, func() {
			if !e.alive || e.incarnation != incarnation {
				return
			}
			for _, g := range grants {
				e.router.Grant(owner, g, sent, e.w.now)
			}
		})
	})
}

// offer takes a caller's request.
func (e *entry) offer(q *request) {
	q.entry = e
	q.limited = limiter.Request{
		ID: strconv.Itoa(q.number), Service: e.w.firm.Services[q.service], Tenant: teams[q.number%len(teams)].Name,
		Urgent: q.number%10 == 0, Deadline: q.deadline,
	}
	e.w.open[q.number] = q
	e.waiting[q.limited.ID] = q
	e.w.after(q.deadline.Sub(e.w.now), func() { e.expire(q) })
	e.apply(e.limiter.Offer(q.limited, e.w.now))
	e.pump(q.service)
}

// expire gives a request its final outcome at its deadline.
func (e *entry) expire(q *request) {
	if q.final {
		return
	}
	f := q.flight
	if f == nil {
		e.limiter.Cancel(q.limited, e.w.now)
		delete(e.waiting, q.limited.ID)
		e.w.finish(q, outcomeNotRun)
		return
	}
	e.end(f, router.Outcome{Kind: router.OutcomeAbandoned, SlotsUsed: -1})
	e.limiter.Release(q.limited, e.w.now.Sub(f.sent), true, e.w.now)
	e.w.finish(q, outcomeUnknown)
	e.pump(q.service)
}

func (e *entry) pump(service int) {
	name := e.w.firm.Services[service]
	if e.limiter.Queued(name) > 0 {
		e.apply(e.limiter.Next(name, e.router.Free(name, e.w.now), e.w.now))
	}
	e.router.Want(name, e.limiter.Queued(name), e.w.now)
}

func (e *entry) apply(actions []limiter.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case limiter.Drop:
			if q := e.waiting[a.Request.ID]; q != nil {
				delete(e.waiting, a.Request.ID)
				e.w.finish(q, outcomeNotRun)
			}
		case limiter.Start:
			q := e.waiting[a.Request.ID]
			delete(e.waiting, a.Request.ID)
			if q == nil || q.final {
				e.limiter.Release(a.Request, 0, false, e.w.now)
				continue
			}
			if !e.send(q) {
				e.limiter.Release(a.Request, 0, false, e.w.now)
				e.w.finish(q, outcomeNotRun)
			}
		}
	}
}

// send starts an attempt, if an instance is free.
func (e *entry) send(q *request) bool {
	c, ok := e.router.Pick(router.Request{ID: q.limited.ID, Service: q.limited.Service, Deadline: q.deadline, Exclude: q.tried}, e.w.now).(router.Instance)
	if !ok {
		return false
	}
	e.fly(q, c)
	return true
}

func (e *entry) fly(q *request, c router.Instance) {
	f := &flight{q: q, in: e.w.byName[c.Name], choice: c, sent: e.w.now}
	q.flight = f
	e.w.after(networkDelay/2, func() { e.w.runRequest(f, e) })
}

func (e *entry) end(f *flight, o router.Outcome) {
	f.done = true
	if e.alive {
		e.router.Done(f.choice, o, e.w.now)
	}
}

func (e *entry) answered(f *flight, used int) {
	if f.done || f.q.final {
		return
	}
	took := e.w.now.Sub(f.sent)
	e.end(f, router.Outcome{Kind: router.OutcomeAnswered, Latency: took, SlotsUsed: used})
	e.limiter.Release(f.q.limited, took, true, e.w.now)
	e.w.finish(f.q, outcomeAnswered)
	e.pump(f.q.service)
}

// rejected handles an instance's "not run".
func (e *entry) rejected(f *flight, used int) {
	if f.done || f.q.final {
		return
	}
	e.end(f, router.Outcome{Kind: router.OutcomeNotRun, Latency: e.w.now.Sub(f.sent), SlotsUsed: used})
	e.again(f, outcomeNotRun)
}

// unanswered handles a connection that closed without an answer.
func (e *entry) unanswered(f *flight) {
	if f.done || f.q.final {
		return
	}
	e.end(f, router.Outcome{Kind: router.OutcomeAbandoned, Latency: e.w.now.Sub(f.sent), SlotsUsed: -1})
	f.q.started = true
	e.again(f, outcomeUnknown)
}

// again retries where that is allowed: always safe after "not run", else only for requests
// that may be repeated.
func (e *entry) again(f *flight, otherwise outcome) {
	q := f.q
	if q.started {
		otherwise = outcomeUnknown
	}
	if !q.started || q.repeatable {
		q.tried = append(q.tried, f.choice.Name)
		c, ok := e.router.Pick(router.Request{ID: q.limited.ID, Service: q.limited.Service, Deadline: q.deadline, Exclude: q.tried}, e.w.now).(router.Instance)
		if ok && e.limiter.RetryAllowed(q.limited.Service, len(q.tried), e.w.now) {
			e.w.count(&e.w.result.Retries)
			e.fly(q, c)
			return
		}
		if ok {
			e.router.Done(c, router.Outcome{Kind: router.OutcomeUnused, SlotsUsed: -1}, e.w.now)
		}
	}
	e.limiter.Release(q.limited, e.w.now.Sub(f.sent), q.started, e.w.now)
	e.w.finish(q, otherwise)
	e.pump(q.service)
}
