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
	usage          configurator.Resources // actual, not declared, usage without bursts and throttling
	workSeconds    float64                // run time without interference
	savedSeconds   float64                // part of workSeconds in the last checkpoint of earlier runs
	ended          bool
	runs           int // concurrent runs, at most 1 under guarantee 2
	starts         int
	unfinishedRuns int // runs that ended without finishing the job
	submittedAt    time.Time
}

// shard simulates the owner of a failure domain's workers. It keeps the placer's view of the
// workers and carries out its decisions.
type shard struct {
	sim       *simulation
	domain    int
	placer    *placer.Placer
	view      []placer.Worker
	workers   map[string]*worker
	tasks     map[string]*task // assigned tasks by name
	pending   []*task
	version   uint64 // of the last change of the view
	available bool   // if false, the shard processes no reports and runs no jobs
	allocator *router.Allocator
}

func newShard(sm *simulation, domain int) *shard {
	return &shard{
		sim: sm, domain: domain, workers: map[string]*worker{}, tasks: map[string]*task{}, available: true,
		placer: placer.New(placer.Policy{Placement: sm.policies.Placement, WorkerSizes: []configurator.Resources{sm.firm.Capacity}},
			sm.firm.Measures, newRandom(sm.seed, streamPolicy+stream(domain))),
	}
}

func (s *shard) add(w *worker) {
	s.workers[w.name] = w
	s.view = append(s.view, placer.Worker{
		Name: w.name, Rack: w.rack, FailureDomain: s.sim.firm.Domains[w.domain], Capacity: w.capacity,
		MeasuredAt: s.sim.now, EpochAccepted: true,
	})
}

func (s *shard) viewOf(name string) *placer.Worker {
	return &s.view[slices.IndexFunc(s.view, func(v placer.Worker) bool { return v.Name == name })]
}

// bumpVersion marks a worker of the view as changed.
func (s *shard) bumpVersion(v *placer.Worker) {
	s.version++
	v.Version = s.version
}

// applyReport updates the view with a worker's report.
func (s *shard) applyReport(r placer.Worker) {
	if !s.available {
		return
	}
	s.placer.Observe(r, s.sim.now)
	v := s.viewOf(r.Name)
	if !r.MeasuredAt.After(v.MeasuredAt) {
		return
	}
	v.MeasuredAt = r.MeasuredAt
	for i := range r.AssignedTasks {
		n := &r.AssignedTasks[i]
		for j := range v.AssignedTasks {
			if o := &v.AssignedTasks[j]; o.Name == n.Name {
				o.Measured, o.Slowdown = n.Measured, n.Slowdown
				o.Committed = placer.CommittedResources(o.Declared, n.Measured)
			}
		}
	}
	for _, r := range r.AssignedTasks {
		if t := s.tasks[r.Name]; t != nil && t.instance != nil {
			t.instance.reportedSlowdown = r.Slowdown
		}
	}
	s.bumpVersion(v)
}

// removeTask removes a task that has ended from the view, and requeues its job unless the job
// has ended.
func (s *shard) removeTask(w *worker, t *task, reason endReason) {
	v := s.viewOf(w.name)
	v.AssignedTasks = slices.DeleteFunc(v.AssignedTasks, func(r placer.AssignedTask) bool { return r.Name == t.Name })
	delete(s.tasks, t.Name)
	s.bumpVersion(v)
	s.placer.TaskEnded(w.name, t.Name, reason == endFailed, s.sim.now)
	if t.job == nil {
		return
	}
	if !t.job.ended {
		s.sim.enqueue(s.domain, t.job)
	}
}

// placePending tries to place the pending tasks: instances first, then urgent jobs, then other
// jobs.
func (s *shard) placePending() {
	if !s.available {
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
	remaining := s.pending[:0]
	failed := 0
	for _, t := range s.pending {
		if t.job != nil && t.job.ended {
			continue
		}
		if failed == maxFailedPlacementsPerPass || !s.placeTask(t) {
			remaining = append(remaining, t)
			failed = min(failed+1, maxFailedPlacementsPerPass)
		}
	}
	clear(s.pending[len(remaining):])
	s.pending = remaining
}

// placeTask carries out a placement decision and reports whether the task is no longer
// pending.
func (s *shard) placeTask(t *task) bool {
	switch d := s.placer.Place(t.Task, s.view, s.sim.now).(type) {
	case placer.Assign:
		s.assignTask(t, d.Worker)
		return true
	case placer.Preempt:
		for _, name := range d.Victims {
			s.sendCommand(d.Worker, name, func(w *worker, v *task) { s.sim.stopTask(w, v, endEvicted) })
		}
	case placer.Unschedulable:
		s.sim.countMeasured(&s.sim.result.Unschedulable)
		return true
	}
	return false
}

// assignTask adds a task to the view of a worker and starts it there after startDelay.
func (s *shard) assignTask(t *task, name string) {
	v, w := s.viewOf(name), s.workers[name]
	if s.sim.policies.Placement == configurator.PlacementInterference {
		sum := t.Declared
		for i := range v.AssignedTasks {
			sum = sum.Add(v.AssignedTasks[i].Committed)
		}
		if !sum.Fits(v.Capacity) {
			s.sim.recordViolation(1, fmt.Sprintf("assignment of %s to %s: committed %+v exceeds capacity %+v", t.Name, name, sum, v.Capacity))
		}
	}
	v.AssignedTasks = append(v.AssignedTasks, placer.AssignedTask{Task: t.Task, Committed: t.Declared, Started: s.sim.now, LatencyTarget: latencyTarget})
	s.bumpVersion(v)
	s.tasks[t.Name] = t
	if t.job != nil && t.Urgent && t.Attempt == 1 {
		s.sim.recordUrgentStart(s.sim.now.Add(startDelay).Sub(t.job.submittedAt))
	}
	s.sim.after(startDelay, func() {
		if s.tasks[t.Name] == t {
			s.sim.startTask(w, t)
		}
	})
}

// latencyTarget is the target for the p99 latency of a service.
const latencyTarget = 800 * time.Millisecond

// sendCommand marks a task as stopping in the view, and calls f for it after startDelay if it
// still runs on the worker.
func (s *shard) sendCommand(worker, name string, f func(*worker, *task)) {
	v := s.viewOf(worker)
	for i := range v.AssignedTasks {
		if r := &v.AssignedTasks[i]; r.Name == name {
			r.LastAction = s.sim.now
			r.Stopping = true
			s.bumpVersion(v)
		}
	}
	w, t := s.workers[worker], s.tasks[name]
	s.sim.after(startDelay, func() {
		if w.alive && slices.Contains(w.tasks, t) {
			f(w, t)
		}
	})
}

// mitigate carries out the placer's actions against interference with services.
func (s *shard) mitigate() {
	if !s.available {
		return
	}
	for _, r := range s.placer.Mitigate(s.view, s.sim.now) {
		switch a := r.(type) {
		case placer.Throttle:
			s.sim.countMeasured(&s.sim.result.Throttles)
			s.sendCommand(a.Worker, a.Task, func(_ *worker, t *task) { t.speedLimit, t.lastCommandAt = a.Limit, s.sim.now })
			v := s.viewOf(a.Worker)
			for i := range v.AssignedTasks {
				if v.AssignedTasks[i].Name == a.Task {
					v.AssignedTasks[i].Stopping, v.AssignedTasks[i].Throttled = false, a.Limit
				}
			}
		case placer.Checkpoint:
			s.sendCommand(a.Worker, a.Task, func(w *worker, t *task) { s.sim.stopTask(w, t, endEvicted) })
		case placer.Stop:
			s.sendCommand(a.Worker, a.Task, func(w *worker, t *task) { s.sim.endTask(w, t, endOutOfMemory) })
		}
	}
}

// removeLostTasks ends the tasks of a crashed worker. It is called after their leases have
// ended.
func (s *shard) removeLostTasks(w *worker, tasks []*task) {
	for _, t := range tasks {
		s.sim.endTask(w, t, endWorkerLost)
	}
	v := s.viewOf(w.name)
	// The remaining assigned tasks were assigned but never started.
	for _, r := range slices.Clone(v.AssignedTasks) {
		t := s.tasks[r.Name]
		v.AssignedTasks = slices.DeleteFunc(v.AssignedTasks, func(o placer.AssignedTask) bool { return o.Name == r.Name })
		delete(s.tasks, r.Name)
		if t != nil && t.job != nil && !t.job.ended {
			s.sim.enqueue(s.domain, t.job)
		}
		if t != nil && t.instance != nil {
			s.sim.instanceEnded(t.instance, endWorkerLost)
		}
	}
	s.bumpVersion(v)
}
