package evaluator

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"peridotpitch/internal/limiter"
	"peridotpitch/internal/placer"
)

// heartbeatInterval is the interval of heartbeats between entry hosts.
const heartbeatInterval = 500 * time.Millisecond

// instance is a simulated backend server. It runs at most slotsPerInstance requests at once
// and answers "not run" to any more.
type instance struct {
	name             string
	service          int
	domain           int
	worker           *worker
	task             *task
	ready            bool
	draining         bool
	inFlight         int              // requests
	slowFactor       float64          // slowdown injected by a scenario
	incarnation      int              // increases when the process crashes, so that its later events are ignored
	running          map[int]*attempt // by request number
	reportedSlowdown float64          // in the last report that the shard received
}

type request struct {
	number         int
	service        int
	arrivedAt      time.Time
	deadline       time.Time
	serviceTime    time.Duration // without interference
	repeatable     bool
	executions     int      // attempts that an instance accepted
	mayHaveRun     bool     // an attempt ended without an answer
	finished       bool     // has a final outcome
	attempt        *attempt // the last attempt; nil: none yet
	triedInstances []string
	entryHost      *entryHost
	limiterRequest limiter.Request
}

func (sm *simulation) addInstance(domain, service int) {
	in := &instance{domain: domain, service: service, slowFactor: 1, running: map[int]*attempt{}}
	in.name = fmt.Sprintf("%s-%s-%d", sm.firm.Services[service], sm.firm.Domains[domain], len(sm.instances))
	sm.instances = append(sm.instances, in)
	sm.instancesByName[in.name] = in
	sm.startInstance(in)
}

// startInstance makes a task for an instance pending in its shard.
func (sm *simulation) startInstance(in *instance) {
	name := sm.firm.Services[in.service]
	in.task = &task{
		Task:     placer.Task{Name: in.name, Class: name, Kind: placer.KindService, Declared: sm.firm.Instance, Spread: "instances", Attempt: 1},
		instance: in,
	}
	in.task.usage.Memory = sm.firm.Instance.Memory / 2
	s := sm.shards[in.domain]
	s.pending = append(s.pending, in.task)
}

func (sm *simulation) instanceReady(in *instance, w *worker) {
	if w.alive && in.task != nil && !in.task.stopping {
		in.worker, in.ready, in.draining = w, true, false
	}
}

// crashInstance ends an instance whose worker has crashed. Its requests get no answer.
func (sm *simulation) crashInstance(in *instance) {
	in.ready = false
	in.incarnation++
	in.inFlight = 0
	running := in.running
	in.running = map[int]*attempt{}
	// Sorted, because map iteration order would make runs differ.
	for _, n := range slices.Sorted(maps.Keys(running)) {
		if e := running[n].request.entryHost; e.alive {
			e.handleNoAnswer(running[n])
		}
	}
}

// instanceEnded removes an instance's task and makes a new one pending.
func (sm *simulation) instanceEnded(in *instance, reason endReason) {
	if in.task == nil {
		return
	}
	s := sm.shards[in.domain]
	for _, w := range s.workers {
		if reason != endWorkerLost && in.worker == w {
			s.removeTask(w, in.task, reason)
		}
	}
	in.ready, in.worker = false, nil
	sm.startInstance(in)
}

// drainInstance ends an instance after its requests have finished.
func (sm *simulation) drainInstance(w *worker, t *task) {
	in := t.instance
	in.draining = true
	var check func()
	check = func() {
		switch {
		case !w.alive || in.task != t:
		case in.inFlight > 0:
			sm.after(100*time.Millisecond, check)
		default:
			sm.endTask(w, t, endWorkerLeaving)
		}
	}
	// Heartbeats notify the entry hosts of the drain.
	sm.after(2*heartbeatInterval, check)
}

// scheduleRequests creates the requests of a service as a Poisson process.
func (sm *simulation) scheduleRequests(service int) {
	gap := time.Duration(sm.arrivalRnd.ExpFloat64() / sm.requestRates[service] * float64(time.Second))
	sm.after(gap, func() {
		sm.createRequest(service)
		sm.scheduleRequests(service)
	})
}

// createRequest sends a new request to an entry host.
func (sm *simulation) createRequest(service int) {
	sm.requestCount++
	q := &request{
		number: sm.requestCount, service: service, arrivedAt: sm.now, deadline: sm.now.Add(requestTimeout),
		serviceTime: time.Duration(lognormal(sm.serviceRnd, float64(meanServiceTime), 0.5)),
		repeatable:  sm.serviceRnd.Float64() < 0.7,
	}
	// The load balancer weights each failure domain by its number of instances. It uses the
	// next failure domain if no entry host is alive.
	pick := int(sm.serviceRnd.Uint64() >> 32)
	var live []*entryHost
	for try := range sm.firm.Domains {
		domain := (sm.instances[pick%len(sm.instances)].domain + try) % len(sm.firm.Domains)
		for _, e := range sm.entryHosts {
			if e.alive && e.domain == domain {
				live = append(live, e)
			}
		}
		if len(live) > 0 {
			break
		}
	}
	if len(live) == 0 {
		sm.finishRequest(q, outcomeUnknown)
		return
	}
	live[pick/len(sm.instances)%len(live)].handle(q)
}

// outcome is the final outcome of a request.
type outcome string

const (
	outcomeAnswered outcome = "answered"
	outcomeNotRun   outcome = "not-run"
	outcomeUnknown  outcome = "unknown"
)

// finishRequest records the final outcome of a request and checks the guarantees to callers.
func (sm *simulation) finishRequest(q *request, o outcome) {
	if q.finished {
		sm.recordViolation(4, "request has a second outcome")
		return
	}
	q.finished = true
	delete(sm.unfinishedRequests, q.number)
	if o == outcomeNotRun && q.executions > 0 {
		sm.recordViolation(5, "outcome not-run of a request that ran")
	}
	if !q.repeatable && q.executions > 1 {
		sm.recordViolation(6, "request that is not repeatable ran twice")
	}
	if q.arrivedAt.Before(sm.measureFrom) {
		return
	}
	latency := sm.now.Sub(q.arrivedAt)
	switch o {
	case outcomeAnswered:
		sm.result.Answered++
		sm.result.Goodput++
	case outcomeNotRun:
		sm.result.NotRun++
		latency = requestTimeout
	case outcomeUnknown:
		sm.result.Unknown++
		latency = requestTimeout
	}
	if q.service == 0 {
		// A latency out of the histogram's range is a fault of the simulation.
		if err := sm.latency.RecordValue(int64(latency / time.Microsecond)); err != nil {
			panic(err)
		}
	}
}

// runRequest handles the arrival of an attempt at its instance.
func (sm *simulation) runRequest(a *attempt, e *entryHost) {
	in, q := a.instance, a.request
	if !in.ready {
		// The connection is refused before the request is sent.
		sm.after(networkRoundTrip/2, func() { e.handleNotRun(a, -1) })
		return
	}
	if in.draining || in.inFlight >= slotsPerInstance {
		used := in.inFlight
		sm.after(networkRoundTrip/2, func() { e.handleNotRun(a, used) })
		return
	}
	in.inFlight++
	q.executions++
	in.running[q.number] = a
	incarnation := in.incarnation
	slowdown := 1.0
	if in.task != nil && in.task.slowdown > 0 {
		slowdown = in.task.slowdown
	}
	sm.after(time.Duration(float64(q.serviceTime)*slowdown*in.slowFactor), func() {
		if in.incarnation != incarnation {
			return
		}
		used := in.inFlight
		in.inFlight--
		delete(in.running, q.number)
		sm.after(networkRoundTrip/2, func() { e.handleAnswer(a, used) })
	})
}
