package orchestrator

import (
	"cmp"
	"slices"
	"time"
)

const (
	// preemptMinWait is how long a task waits for capacity before tasks of lower priority are
	// stopped for it. Most waits for the capacity of a single task end sooner by themselves.
	preemptMinWait = 300 * time.Millisecond
	// preemptInterval is the pause between two preemptions for one task, because stops take up
	// to a second.
	preemptInterval = 1500 * time.Millisecond
	// preemptRetryInterval is the pause after a search for victims that found none. A search
	// goes through all runs of all workers: a search for each waiting task in each pass would
	// keep a leader with 350 workers busy for seconds.
	preemptRetryInterval = 500 * time.Millisecond
	// stopCostBase is the cost of stopping any run, also one whose task saves checkpoints.
	stopCostBase = 1.0
	// stopCostLostRun is added for a run without checkpoints, in proportion to its progress.
	stopCostLostRun = 4.0
)

// victims are the runs that must be stopped on a worker to free capacity for a task.
type victims struct {
	worker *worker
	runs   []*run
	cost   float64
}

// preempt stops runs of lower priority to free capacity for a task, on the worker where that
// costs least. It reports whether it has stopped any.
func (o *Orchestrator) preempt(t *task, workers []*worker) bool {
	if !o.mayPreempt(t) {
		return false
	}
	var best *victims
	for _, w := range workers {
		if ok, _ := o.usable(w); !ok || t.unsuitableWorkers[w.ID] || w.atLimit(t.step) || o.reservedForOther(w, t) {
			continue
		}
		if v := o.victimsOn(w, t); v != nil && (best == nil || v.cost < best.cost) && o.restriction(t, w) == obstacleNone {
			best = v
		}
	}
	if best == nil {
		t.nextPreemption = o.now.Add(preemptRetryInterval)
		return false
	}
	t.nextPreemption = o.now.Add(preemptInterval)
	for _, r := range best.runs {
		r.task.moves-- // a preempted task may be moved once more, see maxMoves
		o.stop(r, "preempted by task "+t.name+" of higher priority")
	}
	return true
}

// mayPreempt reports whether runs of lower priority may be stopped for a task now, if there are any.
func (o *Orchestrator) mayPreempt(t *task) bool {
	waited := o.now.Sub(t.waitingSince)
	return o.enabled(MechanismPreemption) && !t.step.Fills && waited >= preemptMinWait && !o.now.Before(t.nextPreemption) &&
		!(t.step.LongRunning && t.job().load.scarce && waited < longRunningMaxWait)
}

// victimsOn returns the runs of lower priority to stop on a worker, the cheapest first, so
// that a task fits there. It returns nil if all of them do not free enough capacity or none
// has to be stopped.
func (o *Orchestrator) victimsOn(w *worker, t *task) *victims {
	if !w.freeAfterShortTasks().covers(t.step.countedSize()) {
		return nil // long-running tasks are not stopped, and leave too little
	}
	free := w.free()
	freeable := free // free capacity after all runs of lower priority have stopped
	var lower []*run
	for _, r := range w.runs {
		if r.phase == phaseRunning && !r.task.step.LongRunning && !r.task.step.Gang && r.task.job().Policy.Priority > t.job().Policy.Priority {
			lower = append(lower, r)
			freeable = freeable.add(r.task.step.countedSize())
		}
	}
	if !freeable.covers(t.step.countedSize()) {
		return nil
	}
	slices.SortFunc(lower, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.stopCost(), b.stopCost()), cmp.Compare(a.task.name, b.task.name))
	})
	v := &victims{worker: w}
	for _, r := range lower {
		if free.covers(t.step.countedSize()) {
			break
		}
		free = free.add(r.task.step.countedSize())
		v.runs = append(v.runs, r)
		v.cost += r.stopCost()
	}
	if len(v.runs) == 0 || !free.covers(t.step.countedSize()) {
		return nil
	}
	return v
}

// stopCost returns the cost of stopping a run, which grows with the work that is lost.
func (r *run) stopCost() float64 {
	if r.task.step.Checkpoints {
		return stopCostBase
	}
	return stopCostBase + stopCostLostRun*float64(r.progressPercent)/100
}
