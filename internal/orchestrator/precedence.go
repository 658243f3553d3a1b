package orchestrator

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// maxPrecedence is how long a returning task keeps a place from new ones of its service. Its worker may refuse the start for a
// reason that the leader doesn't know.
const maxPrecedence = 30 * time.Second

// precedence holds the returning tasks of a service that go ahead of new ones, and the places that are kept for them.
type precedence struct {
	steps []*step            // with such tasks, the most urgent first
	kept  map[*worker]*place // nil: to be determined
}

// place is capacity of a worker that is kept for returning tasks.
type place struct {
	size Resources
	task *task // one of the tasks
}

// returning reports whether a long-running task waits that had a run before.
func (t *task) returning() bool {
	return t.step.LongRunning && len(t.runs) == 0 && !t.lastRunEnd.IsZero()
}

// updateReturning determines the returning tasks that have precedence. queue is the result of queue.
func (o *Orchestrator) updateReturning(queue []urgency) {
	clear(o.precedences)
	if !o.enabled(MechanismReturningFirst) {
		return
	}
	for _, u := range queue {
		if len(o.tasksWithPrecedence(u.step)) == 0 {
			continue
		}
		service := u.step.occurrence.job.Policy.Service
		p := o.precedences[service]
		if p == nil {
			p = &precedence{}
			o.precedences[service] = p
		}
		p.steps = append(p.steps, u.step)
	}
}

// tasksWithPrecedence returns the step's returning tasks for which places are kept. A gang needs all of its places.
func (o *Orchestrator) tasksWithPrecedence(s *step) []*task {
	if !s.LongRunning {
		return nil
	}
	var ts []*task
	for _, t := range s.tasks {
		if t.returning() && o.now.Sub(t.waitingSince) < maxPrecedence {
			ts = append(ts, t)
		}
	}
	if s.Gang && len(ts) < len(s.tasks) {
		return nil
	}
	return ts
}

// keptPlaces returns the places that are kept for returning tasks of a service. A task needs one place, on a worker where it may run:
// it does not keep new tasks from other workers, nor from any if no worker can run it.
func (o *Orchestrator) keptPlaces(service string) map[*worker]*place {
	p := o.precedences[service]
	if p == nil {
		return nil
	}
	if p.kept == nil {
		p.kept = make(map[*worker]*place)
		for _, s := range p.steps {
			o.keepPlaces(p.kept, s)
		}
	}
	return p.kept
}

// keepPlaces adds the places for a step's returning tasks. Those of a gang are on one rack if it needs one rack and one is large enough.
func (o *Orchestrator) keepPlaces(kept map[*worker]*place, s *step) {
	tasks := o.tasksWithPrecedence(s)
	if len(tasks) == 0 { // they have started since
		return
	}
	workers, _ := o.suitableWorkers(o.currentSurvey(), s)
	var plan []*worker
	if s.Gang && s.SameRack {
		racks := make(map[string][]*worker)
		for _, w := range workers {
			racks[w.Rack] = append(racks[w.Rack], w)
		}
		for _, rack := range slices.Sorted(maps.Keys(racks)) {
			if plan = o.planPlaces(kept, tasks, racks[rack]); plan != nil {
				break
			}
		}
	}
	if plan == nil {
		plan = o.planPlaces(kept, tasks, workers)
	}
	for i, w := range plan {
		if w == nil {
			continue
		}
		k := kept[w]
		if k == nil {
			k = &place{task: tasks[i]}
			kept[w] = k
		}
		k.size = k.size.add(s.countedSize())
	}
}

// planPlaces returns the worker of each task's place beside the kept ones, nil for a task without one. Workers where a task fits now go
// first, then those where it will fit after fewer short tasks. It returns nil if a gang lacks a place.
func (o *Orchestrator) planPlaces(kept map[*worker]*place, tasks []*task, workers []*worker) []*worker {
	s := tasks[0].step
	planned := make(map[*worker]int)
	needed := func(w *worker) Resources { // by the kept places and one more task of the step
		size := s.countedSize()
		if k := kept[w]; k != nil {
			size = size.add(k.size)
		}
		for range planned[w] {
			size = size.add(s.countedSize())
		}
		return size
	}
	full := func(w *worker) bool {
		return s.MaxPerWorker > 0 && w.countStep(s)+planned[w] >= s.MaxPerWorker || !w.freeAfterShortTasks().covers(needed(w))
	}
	var now, later []*worker
	for _, w := range workers {
		switch {
		case full(w):
		case w.free().covers(needed(w)):
			now = append(now, w)
		default:
			later = append(later, w)
		}
	}
	slices.SortStableFunc(later, func(a, b *worker) int { return cmp.Compare(b.free().CPU, a.free().CPU) })
	candidates := append(now, later...)
	plan := make([]*worker, len(tasks))
	for i, t := range tasks {
		for len(candidates) > 0 && full(candidates[0]) {
			candidates = candidates[1:]
		}
		k := slices.IndexFunc(candidates, func(w *worker) bool {
			usable, _ := o.usable(w)
			return usable && !full(w) && !o.reservedForOther(w, t) && o.restriction(t, w) == obstacleNone
		})
		if k < 0 {
			if s.Gang {
				return nil
			}
			continue
		}
		plan[i] = candidates[k]
		planned[candidates[k]]++
	}
	return plan
}

// yieldsToReturning reports whether a long-running task that has never run must leave a worker to a returning task of its service. It
// would take for good the capacity that the run of the other has left.
func (o *Orchestrator) yieldsToReturning(t *task, w *worker) bool {
	if len(o.precedences) == 0 || !t.step.LongRunning || !t.lastRunEnd.IsZero() {
		return false
	}
	k := o.keptPlaces(t.job().Policy.Service)[w]
	return k != nil && !w.free().subtract(k.size).covers(t.step.countedSize())
}

// returned notes that a returning task has started and needs no place any more.
func (o *Orchestrator) returned(t *task) {
	if p := o.precedences[t.job().Policy.Service]; p != nil {
		p.kept = nil
	}
}
