package evaluator

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"peridotpitch/internal/limiter"
	"peridotpitch/internal/placer"
)

// heartbeat is the interval of exchanges between entry hosts.
const heartbeat = 500 * time.Millisecond

// instance is a fake backend server: it runs at most slots requests at once and answers
// "not run" beyond.
type instance struct {
	name     string
	service  int
	domain   int
	host     *host
	task     *task
	ready    bool
	draining bool
	busy     int
	slow     float64
	epoch    int             // increases when the process dies, so that late events are ignored
	running  map[int]*flight // by request number
	reported float64         // slowdown as last reported
}

type request struct {
	number     int
	service    int
	arrived    time.Time
	deadline   time.Time
	work       time.Duration
	repeatable bool
	ran        int
	started    bool // may have run
	final      bool
	flight     *flight
	tried      []string // instances
	entry      *entry
	limited    limiter.Request
}

func (w *world) newInstance(domain, service int) {
	in := &instance{domain: domain, service: service, slow: 1, running: map[int]*flight{}}
	in.name = fmt.Sprintf("%s-%s-%d", w.firm.Services[service], w.firm.Domains[domain], len(w.instances))
	w.instances = append(w.instances, in)
	w.byName[in.name] = in
	w.startInstance(in)
}

// startInstance asks the shard for a worker.
func (w *world) startInstance(in *instance) {
	name := w.firm.Services[in.service]
	in.task = &task{
		Task:     placer.Task{Name: in.name, Class: name, Kind: placer.KindService, Declared: w.firm.Instance, Spread: "instances", Attempt: 1},
		instance: in,
	}
	in.task.demand.Memory = w.firm.Instance.Memory / 2
	s := w.shards[in.domain]
	s.pending = append(s.pending, in.task)
}

func (w *world) instanceReady(in *instance, h *host) {
	if h.alive && in.task != nil && !in.task.stopping {
		in.host, in.ready, in.draining = h, true, false
	}
}

// crash ends an instance with its host: its requests get no answer.
func (w *world) crash(in *instance) {
	in.ready = false
	in.epoch++
	in.busy = 0
	running := in.running
	in.running = map[int]*flight{}
	// In order, because map order would make runs differ.
	for _, n := range slices.Sorted(maps.Keys(running)) {
		if e := running[n].q.entry; e.alive {
			e.unanswered(running[n])
		}
	}
}

// instanceEnded asks for a replacement.
func (w *world) instanceEnded(in *instance, why ending) {
	if in.task == nil {
		return
	}
	s := w.shards[in.domain]
	for _, h := range s.hosts {
		if why != endLost && in.host == h {
			s.ended(h, in.task, why)
		}
	}
	in.ready, in.host = false, nil
	w.startInstance(in)
}

// drain lets an instance finish its requests and ends it.
func (w *world) drain(h *host, t *task) {
	in := t.instance
	in.draining = true
	var check func()
	check = func() {
		switch {
		case !h.alive || in.task != t:
		case in.busy > 0:
			w.after(100*time.Millisecond, check)
		default:
			w.endTask(h, t, endDrained)
		}
	}
	// Entry hosts learn of the drain with the next heartbeat.
	w.after(2*heartbeat, check)
}

// nextRequest creates requests of a service in a Poisson process.
func (w *world) nextRequest(service int) {
	gap := time.Duration(w.arrivalRnd.ExpFloat64() / w.rates[service] * float64(time.Second))
	w.after(gap, func() {
		w.arrive(service)
		w.nextRequest(service)
	})
}

func (w *world) arrive(service int) {
	w.requests++
	q := &request{
		number: w.requests, service: service, arrived: w.now, deadline: w.now.Add(requestTimeout),
		work:       time.Duration(lognormal(w.serviceRnd, float64(serviceMean), 0.5)),
		repeatable: w.serviceRnd.Float64() < 0.7,
	}
	// The load balancer spreads by the number of instances behind the entry hosts.
	pick := int(w.serviceRnd.Uint64() >> 32)
	var live []*entry
	for try := range w.firm.Domains {
		domain := (w.instances[pick%len(w.instances)].domain + try) % len(w.firm.Domains)
		for _, e := range w.entries {
			if e.alive && e.domain == domain {
				live = append(live, e)
			}
		}
		if len(live) > 0 {
			break
		}
	}
	if len(live) == 0 {
		w.finish(q, outcomeUnknown)
		return
	}
	live[pick/len(w.instances)%len(live)].offer(q)
}

type outcome string

const (
	outcomeAnswered outcome = "answered"
	outcomeNotRun   outcome = "not-run"
	outcomeUnknown  outcome = "unknown"
)

// finish gives a request its final outcome and checks the callers' guarantees.
func (w *world) finish(q *request, o outcome) {
	if q.final {
		w.broken(4, "second outcome")
		return
	}
	q.final = true
	delete(w.open, q.number)
	if o == outcomeNotRun && q.ran > 0 {
		w.broken(5, "told not-run after it ran")
	}
	if !q.repeatable && q.ran > 1 {
		w.broken(6, "ran twice")
	}
	if q.arrived.Before(w.warm) {
		return
	}
	latency := w.now.Sub(q.arrived)
	switch o {
	case outcomeAnswered:
		w.result.Answered++
		w.result.Goodput++
	case outcomeNotRun:
		w.result.NotRun++
		latency = requestTimeout
	case outcomeUnknown:
		w.result.Unknown++
		latency = requestTimeout
	}
	if q.service == 0 {
		// Values above the range would be an error of the model.
		if err := w.latency.RecordValue(int64(latency / time.Microsecond)); err != nil {
			panic(err)
		}
	}
}

// runRequest is the backend server's side of one attempt.
func (w *world) runRequest(f *flight, e *entry) {
	in, q := f.in, f.q
	if !in.ready {
		// Nothing accepts the connection, so nothing was sent.
		w.after(networkDelay/2, func() { e.rejected(f, -1) })
		return
	}
	if in.draining || in.busy >= slots {
		used := in.busy
		w.after(networkDelay/2, func() { e.rejected(f, used) })
		return
	}
	in.busy++
	q.ran++
	in.running[q.number] = f
	epoch := in.epoch
	slowdown := 1.0
	if in.task != nil && in.task.slowdown > 0 {
		slowdown = in.task.slowdown
	}
	w.after(time.Duration(float64(q.work)*slowdown*in.slow), func() {
		if in.epoch != epoch {
			return
		}
		used := in.busy
		in.busy--
		delete(in.running, q.number)
		w.after(networkDelay/2, func() { e.answered(f, used) })
	})
}
