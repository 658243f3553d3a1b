package evaluator

import (
	"fmt"
	"slices"
	"time"

	"peridotpitch/internal/configurator"
	"peridotpitch/internal/placer"
	"peridotpitch/internal/router"
)

// job is a batch job.
type job struct {
	placer.Task
	demand  configurator.Resources
	work    float64 // seconds of uncontended work
	saved   float64 // of it, kept by earlier runs
	over    bool
	runs    int // copies running now
	resumed int // starts
	evicted int // runs that ended without finishing the job
	asked   time.Time
}

// shard stands for the owner of a failure domain's workers: it keeps the view that the
// placer decides on.
type shard struct {
	w         *world
	domain    int
	p         *placer.Placer
	view      []placer.Worker
	hosts     map[string]*host
	tasks     map[string]*task // by name, of the view's residents
	pending   []*task
	version   uint64
	up        bool // its entry hosts live
	allocator *router.Allocator
}

func newShard(w *world, domain int) *shard {
	return &shard{
		w: w, domain: domain, hosts: map[string]*host{}, tasks: map[string]*task{}, up: true,
		p: placer.New(placer.Policy{Placement: w.policies.Placement, Fleet: []configurator.Resources{w.firm.Capacity}},
			w.firm.Measures, source(w.seed, streamPolicy+stream(domain))),
	}
}

func (s *shard) add(h *host) {
	s.hosts[h.name] = h
	s.view = append(s.view, placer.Worker{
		Name: h.name, Rack: h.rack, FailureDomain: s.w.firm.Domains[h.domain], Capacity: h.capacity,
		ReportedAt: s.w.now, Fenced: true,
	})
}

func (s *shard) worker(name string) *placer.Worker {
	return &s.view[slices.IndexFunc(s.view, func(v placer.Worker) bool { return v.Name == name })]
}

func (s *shard) touch(v *placer.Worker) {
	s.version++
	v.Version = s.version
}

// reported takes a worker's report.
func (s *shard) reported(r placer.Worker) {
	if !s.up {
		return
	}
	s.p.Observe(r, s.w.now)
	v := s.worker(r.Name)
	if !r.ReportedAt.After(v.ReportedAt) {
		return
	}
	v.ReportedAt = r.ReportedAt
	for i := range r.Residents {
		n := &r.Residents[i]
		for j := range v.Residents {
			if o := &v.Residents[j]; o.Name == n.Name {
				o.Measured, o.Slowdown = n.Measured, n.Slowdown
				o.Committed = placer.Commit(o.Declared, n.Measured)
			}
		}
	}
	for _, r := range r.Residents {
		if t := s.tasks[r.Name]; t != nil && t.instance != nil {
			t.instance.reported = r.Slowdown
		}
	}
	s.touch(v)
}

// ended removes a task from the view and requeues its job.
func (s *shard) ended(h *host, t *task, why ending) {
	v := s.worker(h.name)
	v.Residents = slices.DeleteFunc(v.Residents, func(r placer.Resident) bool { return r.Name == t.Name })
	delete(s.tasks, t.Name)
	s.touch(v)
	s.p.TaskEnded(h.name, t.Name, why == endFailed, s.w.now)
	if t.job == nil {
		return
	}
	if !t.job.over {
		s.w.enqueue(s.domain, t.job)
	}
}

// place decides about the pending tasks: services first, then urgent jobs.
func (s *shard) place() {
	if !s.up {
		return
	}
	rank := func(t *task) int {
		switch {
		case t.instance != nil:
			return 0
		case t.Urgent:
			return 1
		}
		return 2
	}
	slices.SortStableFunc(s.pending, func(a, b *task) int { return rank(a) - rank(b) })
	left := s.pending[:0]
	tried := 0
	for _, t := range s.pending {
		if t.job != nil && t.job.over {
			continue
		}
		if tried == placesPerPass || !s.try(t) {
			left = append(left, t)
			tried = min(tried+1, placesPerPass)
		}
	}
	clear(s.pending[len(left):])
	s.pending = left
}

// try makes one decision and reports whether the task is no longer pending.
func (s *shard) try(t *task) bool {
	switch d := s.p.Place(t.Task, s.view, s.w.now).(type) {
	case placer.Assign:
		s.assign(t, d.Worker)
		return true
	case placer.Preempt:
		for _, name := range d.Victims {
			s.command(d.Worker, name, func(h *host, v *task) { s.w.stop(h, v, endEvicted) })
		}
	case placer.Never:
		s.w.count(&s.w.result.Never)
		return true
	}
	return false
}

func (s *shard) assign(t *task, name string) {
	v, h := s.worker(name), s.hosts[name]
	if s.w.policies.Placement == configurator.PlacementInterference {
		sum := t.Declared
		for i := range v.Residents {
			sum = sum.Add(v.Residents[i].Committed)
		}
		if !sum.Fits(v.Capacity) {
			s.w.broken(1, fmt.Sprintf("%s assigned to %s: committed %+v of %+v", t.Name, name, sum, v.Capacity))
		}
	}
	v.Residents = append(v.Residents, placer.Resident{Task: t.Task, Committed: t.Declared, Started: s.w.now, LatencyTarget: latencyTarget})
	s.touch(v)
	s.tasks[t.Name] = t
	if t.job != nil && t.Urgent && t.Attempt == 1 {
		s.w.urgentStarted(s.w.now.Add(startDelay).Sub(t.job.asked))
	}
	s.w.after(startDelay, func() {
		if s.tasks[t.Name] == t {
			s.w.apply(h, t)
		}
	})
}

// latencyTarget is the p99 that a service promises.
const latencyTarget = 800 * time.Millisecond

// command marks a resident as acted upon and calls f for its task on the worker.
func (s *shard) command(worker, name string, f func(*host, *task)) {
	v := s.worker(worker)
	for i := range v.Residents {
		if r := &v.Residents[i]; r.Name == name {
			r.LastAction = s.w.now
			r.Stopping = true
			s.touch(v)
		}
	}
	h, t := s.hosts[worker], s.tasks[name]
	s.w.after(startDelay, func() {
		if h.alive && slices.Contains(h.tasks, t) {
			f(h, t)
		}
	})
}

func (s *shard) relieve() {
	if !s.up {
		return
	}
	for _, r := range s.p.Relieve(s.view, s.w.now) {
		switch a := r.(type) {
		case placer.Throttle:
			s.w.count(&s.w.result.Throttles)
			s.command(a.Worker, a.Task, func(_ *host, t *task) { t.limit, t.action = a.Limit, s.w.now })
			v := s.worker(a.Worker)
			for i := range v.Residents {
				if v.Residents[i].Name == a.Task {
					v.Residents[i].Stopping, v.Residents[i].Throttled = false, a.Limit
				}
			}
		case placer.Checkpoint:
			s.command(a.Worker, a.Task, func(h *host, t *task) { s.w.stop(h, t, endEvicted) })
		case placer.Stop:
			s.command(a.Worker, a.Task, func(h *host, t *task) { s.w.endTask(h, t, endKilled) })
		}
	}
}

// lost gives up the tasks of a worker that died, once their leases have ended.
func (s *shard) lost(h *host, tasks []*task) {
	for _, t := range tasks {
		s.w.endTask(h, t, endLost)
	}
	v := s.worker(h.name)
	// Tasks that were assigned but never started.
	for _, r := range slices.Clone(v.Residents) {
		t := s.tasks[r.Name]
		v.Residents = slices.DeleteFunc(v.Residents, func(o placer.Resident) bool { return o.Name == r.Name })
		delete(s.tasks, r.Name)
		if t != nil && t.job != nil && !t.job.over {
			s.w.enqueue(s.domain, t.job)
		}
		if t != nil && t.instance != nil {
			s.w.instanceEnded(t.instance, endLost)
		}
	}
	s.touch(v)
}
