package evaluator

import (
	"math/rand/v2"
	"slices"
	"time"

	"peridotpitch/internal/configurator"
)

// entry is an entry host. Its routing, queues and retries are a fake until the real router
// and limiter are driven here.
type entry struct {
	w       *world
	domain  int
	index   int
	name    string
	alive   bool
	random  *rand.Rand
	queues  [][]*request
	held    map[*instance]int
	average map[*instance]float64 // seconds
	next    int
	known   []*instance // as of the last heartbeat
	share   int         // slots of each instance that this host may use
	fresh   float64     // retry budget
}

func newEntry(w *world, domain int, name string) *entry {
	e := &entry{w: w, domain: domain, index: len(w.entries), name: name, alive: true}
	e.random = source(w.seed, streamPolicy+stream(100+e.index))
	e.reset()
	return e
}

func (e *entry) reset() {
	e.queues = make([][]*request, len(e.w.firm.Services))
	e.held, e.average = map[*instance]int{}, map[*instance]float64{}
}

func (e *entry) crash() {
	e.alive = false
	for _, queue := range e.queues {
		for _, q := range queue {
			if !q.final {
				e.w.finish(q, outcomeUnknown)
			}
		}
	}
	for _, in := range e.w.instances {
		for _, q := range e.w.ordered(in.running) {
			if in.running[q] == e.index && !q.final {
				e.w.finish(q, outcomeUnknown)
			}
		}
	}
	e.reset()
}

func (e *entry) restart() { e.alive = true }

// exchange spreads the list of instances.
func (w *world) exchange() {
	for _, e := range w.entries {
		hosts := 0
		for _, o := range w.entries {
			if o.domain == e.domain {
				hosts++
			}
		}
		e.share = (slots + hosts - 1) / hosts
		e.known = e.known[:0]
		for _, in := range w.instances {
			if in.domain == e.domain && in.ready && !in.draining {
				e.known = append(e.known, in)
			}
		}
	}
}

// offer takes a caller's request.
func (e *entry) offer(q *request) {
	e.fresh = min(e.fresh+0.1, 100)
	e.queues[q.service] = append(e.queues[q.service], q)
	e.w.after(q.deadline.Sub(e.w.now), func() {
		if !q.final {
			if q.ran > 0 || q.instance != nil {
				e.w.finish(q, outcomeUnknown)
			} else {
				e.w.finish(q, outcomeNotRun)
			}
		}
	})
	e.pump(q.service)
}

func (e *entry) pump(service int) {
	for len(e.queues[service]) > 0 && e.alive {
		q := e.queues[service][0]
		if q.final {
			e.queues[service] = e.queues[service][1:]
			continue
		}
		in := e.pick(q)
		if in == nil {
			return
		}
		e.queues[service] = e.queues[service][1:]
		e.send(q, in)
	}
}

func (e *entry) send(q *request, in *instance) {
	e.held[in]++
	q.instance = in
	q.attempts++
	e.w.after(networkDelay/2, func() {
		if !q.final {
			e.w.runRequest(in, q, e)
		}
	})
}

func (e *entry) pick(q *request) *instance {
	var free []*instance
	for _, in := range e.known {
		if in.service == q.service && e.held[in] < e.share && !slices.Contains(q.tried, in.name) {
			free = append(free, in)
		}
	}
	if len(free) == 0 {
		return nil
	}
	switch e.w.policies.Routing {
	case configurator.RoutingRoundRobin:
		e.next++
		return free[e.next%len(free)]
	case configurator.RoutingLeastRequests:
		best := free[e.random.IntN(len(free))]
		for _, in := range free {
			if e.held[in] < e.held[best] {
				best = in
			}
		}
		return best
	}
	best := free[e.random.IntN(len(free))]
	for range 3 {
		if o := free[e.random.IntN(len(free))]; e.cost(o) < e.cost(best) {
			best = o
		}
	}
	return best
}

func (e *entry) cost(in *instance) float64 {
	a := e.average[in]
	if a == 0 {
		a = serviceMean.Seconds()
	}
	return a * float64(1+e.held[in])
}

func (e *entry) release(q *request, in *instance) {
	if e.held[in] > 0 {
		e.held[in]--
	}
	q.instance = nil
	e.pump(q.service)
}

func (e *entry) answered(q *request, in *instance) {
	if !e.alive {
		return
	}
	taken := e.w.now.Sub(q.arrived).Seconds()
	e.average[in] += 0.2 * (taken - e.average[in])
	if !q.final {
		e.w.finish(q, outcomeAnswered)
	}
	e.release(q, in)
}

// rejected handles an instance's "not run".
func (e *entry) rejected(q *request, in *instance) {
	if !e.alive {
		return
	}
	e.release(q, in)
	e.retry(q, in, outcomeNotRun)
}

// unanswered handles a connection that closed without an answer.
func (e *entry) unanswered(q *request, in *instance) {
	e.release(q, in)
	if !q.repeatable {
		e.w.finish(q, outcomeUnknown)
		return
	}
	e.retry(q, in, outcomeUnknown)
}

func (e *entry) retry(q *request, in *instance, otherwise outcome) {
	if q.final {
		return
	}
	allowed := q.attempts <= 3
	if e.w.policies.Retries != configurator.RetryImmediate3 {
		allowed = e.fresh >= 1
		e.fresh = max(0, e.fresh-1)
	}
	if !allowed {
		if q.ran > 0 {
			otherwise = outcomeUnknown
		}
		e.w.finish(q, otherwise)
		return
	}
	e.w.count(&e.w.result.Retries)
	q.tried = append(q.tried, in.name)
	e.queues[q.service] = slices.Insert(e.queues[q.service], 0, q)
	e.w.after(time.Millisecond, func() { e.pump(q.service) })
}
