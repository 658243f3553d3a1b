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

// entryHost is a simulated entry host. It uses the real router and limiter.
type entryHost struct {
	sim         *simulation
	domain      int
	index       int
	name        string
	alive       bool
	incarnation int
	started     time.Time
	sequence    uint64
	router      *router.Router
	limiter     *limiter.Limiter
	queued      map[string]*request // requests in the limiter's queue, by ID
}

// attempt is one attempt of a request.
type attempt struct {
	request  *request
	instance *instance
	picked   router.ChosenInstance
	sentAt   time.Time
	done     bool
}

// dispatchInterval is the interval at which queued requests are dispatched when no other event
// dispatches them.
const dispatchInterval = 20 * time.Millisecond

func newEntryHost(sm *simulation, domain int, name string) *entryHost {
	e := &entryHost{sim: sm, domain: domain, index: len(sm.entryHosts), name: name}
	e.start(time.Time{})
	sm.every(dispatchInterval, func() {
		if !e.alive {
			return
		}
		for s := range sm.firm.Services {
			e.dispatch(s)
		}
	})
	return e
}

// start starts a process of the entry host. The process uses no slots until holdUntil.
func (e *entryHost) start(holdUntil time.Time) {
	e.alive = true
	e.incarnation++
	e.started = e.sim.now
	e.queued = map[string]*request{}
	e.router = router.New(router.Settings{Policy: e.sim.policies.Routing, MaxRequestTimeout: requestTimeout, HoldUntil: holdUntil},
		newRandom(e.sim.seed, streamPolicy+stream(100+e.index+1000*e.incarnation)))
	e.limiter = limiter.New(limiter.Settings{Limits: e.sim.policies.Limits, Retries: e.sim.policies.Retries, Teams: teams})
}

// teams are the tenants that send requests.
var teams = []configurator.Team{{Name: "directors", Share: 2}, {Name: "schools", Share: 1}, {Name: "mills", Share: 1}}

// crash ends the process without draining. Its callers' connections close, so that the
// outcomes of their requests are unknown.
func (e *entryHost) crash() {
	e.alive = false
	for _, n := range slices.Sorted(maps.Keys(e.sim.unfinishedRequests)) {
		q := e.sim.unfinishedRequests[n]
		if q.entryHost == e && !q.finished {
			e.sim.finishRequest(q, outcomeUnknown)
		}
	}
}

// restart starts a new process. The process uses no slots until the requests of the previous process
// have timed out, because they may still run on the instances.
func (e *entryHost) restart() { e.start(e.sim.now.Add(requestTimeout)) }

// exchangeHeartbeats sends the endpoints of each failure domain to its entry hosts and grants
// them slots, as the heartbeats between entry hosts do.
func (sm *simulation) exchangeHeartbeats() {
	for d, s := range sm.shards {
		var hosts []string
		for _, e := range sm.entryHosts {
			if e.domain == d {
				hosts = append(hosts, e.name)
			}
		}
		endpoints := sm.endpoints(d)
		if s.allocator == nil {
			s.allocator = router.NewAllocator(1, requestTimeout, sm.now)
		}
		s.allocator.Update(endpoints, hosts, true, sm.now)
		for _, e := range sm.entryHosts {
			if e.domain == d && e.alive {
				e.heartbeat(s.allocator, endpoints, len(hosts))
			}
		}
	}
}

// endpoints returns the ready instances of a failure domain.
func (sm *simulation) endpoints(domain int) []messenger.Endpoint {
	var out []messenger.Endpoint
	for _, in := range sm.instances {
		if in.domain == domain && in.ready {
			out = append(out, messenger.Endpoint{
				Instance: in.name, Service: sm.firm.Services[in.service], FailureDomain: sm.firm.Domains[domain],
				Slots: slotsPerInstance, Connections: connectionsPerInstance, Draining: in.draining, Slowdown: in.reportedSlowdown,
			})
		}
	}
	return out
}

// heartbeat updates the router's endpoints, reports its slot demand to the allocator, and
// applies the grants after a network round trip.
func (e *entryHost) heartbeat(a *router.Allocator, endpoints []messenger.Endpoint, hosts int) {
	const owner = "owner"
	sent := e.sim.now
	e.router.Update(endpoints, router.Membership{Hosts: hosts, Settled: true}, sent)
	demand := e.router.Demand(owner, sent)
	e.sequence++
	report := router.DemandReport{
		Host: e.name, Incarnation: strconv.Itoa(e.incarnation), Sequence: e.sequence,
		RunningFor: sent.Sub(e.started), Demand: demand,
	}
	incarnation := e.incarnation
	e.sim.after(networkRoundTrip/2, func() {
		grants := a.HandleReport(report, e.sim.now)
		e.sim.after(networkRoundTrip/2, func() {
			if !e.alive || e.incarnation != incarnation {
				return
			}
			for _, g := range grants {
				e.router.ApplyGrant(owner, g, sent, e.sim.now)
			}
		})
	})
}

// handle passes a caller's request to the limiter and schedules its expiry.
func (e *entryHost) handle(q *request) {
	q.entryHost = e
	q.limiterRequest = limiter.Request{
		ID: strconv.Itoa(q.number), Service: e.sim.firm.Services[q.service], Tenant: teams[q.number%len(teams)].Name,
		Urgent: q.number%10 == 0, Deadline: q.deadline,
	}
	e.sim.unfinishedRequests[q.number] = q
	e.queued[q.limiterRequest.ID] = q
	e.sim.after(q.deadline.Sub(e.sim.now), func() { e.expire(q) })
	e.applyActions(e.limiter.Offer(q.limiterRequest, e.sim.now))
	e.dispatch(q.service)
}

// expire gives a request its final outcome at its deadline.
func (e *entryHost) expire(q *request) {
	if q.finished {
		return
	}
	a := q.attempt
	if a == nil {
		e.limiter.Cancel(q.limiterRequest, e.sim.now)
		delete(e.queued, q.limiterRequest.ID)
		e.sim.finishRequest(q, outcomeNotRun)
		return
	}
	e.endAttempt(a, router.Outcome{Kind: router.OutcomeAbandoned, SlotsUsed: -1})
	e.limiter.Release(q.limiterRequest, e.sim.now.Sub(a.sentAt), true, e.sim.now)
	e.sim.finishRequest(q, outcomeUnknown)
	e.dispatch(q.service)
}

// dispatch starts queued requests of a service in its free slots, and sets the number of
// requests that stay queued in the router.
func (e *entryHost) dispatch(service int) {
	name := e.sim.firm.Services[service]
	if e.limiter.Queued(name) > 0 {
		e.applyActions(e.limiter.Next(name, e.router.Free(name, e.sim.now), e.sim.now))
	}
	e.router.SetWaiting(name, e.limiter.Queued(name), e.sim.now)
}

func (e *entryHost) applyActions(actions []limiter.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case limiter.Drop:
			if q := e.queued[a.Request.ID]; q != nil {
				delete(e.queued, a.Request.ID)
				e.sim.finishRequest(q, outcomeNotRun)
			}
		case limiter.Start:
			q := e.queued[a.Request.ID]
			delete(e.queued, a.Request.ID)
			if q == nil || q.finished {
				e.limiter.Release(a.Request, 0, false, e.sim.now)
				continue
			}
			if !e.startAttempt(q) {
				e.limiter.Release(a.Request, 0, false, e.sim.now)
				e.sim.finishRequest(q, outcomeNotRun)
			}
		}
	}
}

// startAttempt sends a request to an instance and reports whether one was free.
func (e *entryHost) startAttempt(q *request) bool {
	c, ok := e.router.Pick(router.Request{ID: q.limiterRequest.ID, Service: q.limiterRequest.Service, Deadline: q.deadline, Exclude: q.triedInstances}, e.sim.now).(router.ChosenInstance)
	if !ok {
		return false
	}
	e.sendAttempt(q, c)
	return true
}

func (e *entryHost) sendAttempt(q *request, c router.ChosenInstance) {
	a := &attempt{request: q, instance: e.sim.instancesByName[c.Name], picked: c, sentAt: e.sim.now}
	q.attempt = a
	e.sim.after(networkRoundTrip/2, func() { e.sim.runRequest(a, e) })
}

func (e *entryHost) endAttempt(a *attempt, o router.Outcome) {
	a.done = true
	if e.alive {
		e.router.Done(a.picked, o, e.sim.now)
	}
}

func (e *entryHost) handleAnswer(a *attempt, used int) {
	if a.done || a.request.finished {
		return
	}
	took := e.sim.now.Sub(a.sentAt)
	e.endAttempt(a, router.Outcome{Kind: router.OutcomeAnswered, Latency: took, SlotsUsed: used})
	e.limiter.Release(a.request.limiterRequest, took, true, e.sim.now)
	e.sim.finishRequest(a.request, outcomeAnswered)
	e.dispatch(a.request.service)
}

// handleNotRun handles an instance's "not run" answer and a refused connection.
func (e *entryHost) handleNotRun(a *attempt, used int) {
	if a.done || a.request.finished {
		return
	}
	e.endAttempt(a, router.Outcome{Kind: router.OutcomeNotRun, Latency: e.sim.now.Sub(a.sentAt), SlotsUsed: used})
	e.retry(a, outcomeNotRun)
}

// handleNoAnswer handles a connection that closed without an answer.
func (e *entryHost) handleNoAnswer(a *attempt) {
	if a.done || a.request.finished {
		return
	}
	e.endAttempt(a, router.Outcome{Kind: router.OutcomeAbandoned, Latency: e.sim.now.Sub(a.sentAt), SlotsUsed: -1})
	a.request.mayHaveRun = true
	e.retry(a, outcomeUnknown)
}

// retry sends the request to another instance if the limiter allows it. This is safe for
// requests that have not run, and for those that may be repeated. Otherwise the request ends
// with the given outcome, or with outcomeUnknown if it may have run.
func (e *entryHost) retry(a *attempt, final outcome) {
	q := a.request
	if q.mayHaveRun {
		final = outcomeUnknown
	}
	if !q.mayHaveRun || q.repeatable {
		q.triedInstances = append(q.triedInstances, a.picked.Name)
		c, ok := e.router.Pick(router.Request{ID: q.limiterRequest.ID, Service: q.limiterRequest.Service, Deadline: q.deadline, Exclude: q.triedInstances}, e.sim.now).(router.ChosenInstance)
		if ok && e.limiter.RetryAllowed(q.limiterRequest.Service, len(q.triedInstances), e.sim.now) {
			e.sim.countMeasured(&e.sim.result.Retries)
			e.sendAttempt(q, c)
			return
		}
		if ok {
			e.router.Done(c, router.Outcome{Kind: router.OutcomeUnused, SlotsUsed: -1}, e.sim.now)
		}
	}
	e.limiter.Release(q.limiterRequest, e.sim.now.Sub(a.sentAt), q.mayHaveRun, e.sim.now)
	e.sim.finishRequest(q, final)
	e.dispatch(q.service)
}
