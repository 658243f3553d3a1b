package orchestrator

import (
	"cmp"
	"slices"
	"time"
)

const (
	// preemptAfter is how long a task waits for room before tasks of lower priority make
	// room for it. Most waits for a single task end sooner by themselves.
	preemptAfter = 300 * time.Millisecond
	// preemptEvery is the pause between two preemptions for one task: stops take up to a
	// second.
	preemptEvery = 1500 * time.Millisecond
	// preemptRetry is the pause after a search that found nothing. It looks at all runs of
	// all workers: one for each waiting task in each pass kept a leader of 350 workers busy
	// for seconds.
	preemptRetry = 500 * time.Millisecond
	// Costs of stopping a run, in the order of preference.
	costCheckpoint = 1.0 // its progress is saved
	costLost       = 4.0 // for each whole run of work that is lost
)

// victims are the runs that must stop on a worker to make room.
type victims struct {
	worker *worker
	runs   []*run
	cost   float64
}

// preempt stops runs of lower priority where that makes room for a task at the least
// cost. It reports whether it did.
func (o *Orchestrator) preempt(t *task, workers []*worker) bool {
	waited := o.now.Sub(t.since)
	if t.step.Fills || waited < preemptAfter || t.step.LongRunning && o.scarce && waited < lastingWait || o.now.Before(t.preemptFrom) {
		return false
	}
	var best *victims
	for _, w := range workers {
		if t.avoid[w.ID] || w.atLimit(t.step) {
			continue
		}
		if v := o.victimsOn(w, t); v != nil && (best == nil || v.cost < best.cost) {
			best = v
		}
	}
	if best == nil {
		t.preemptFrom = o.now.Add(preemptRetry)
		return false
	}
	t.preemptFrom = o.now.Add(preemptEvery)
	for _, r := range best.runs {
		r.task.moves-- // not a sign of a bad place
		o.stop(r, "makes room for task "+t.name+" of higher priority")
	}
	return true
}

// victimsOn returns the cheapest runs whose end makes room for a task on a worker, nil
// if all of lower priority do not suffice.
func (o *Orchestrator) victimsOn(w *worker, t *task) *victims {
	free := w.free()
	most := free // once all of lower priority have stopped
	var lower []*run
	for _, r := range w.runs {
		if r.phase == phaseRunning && !r.task.step.LongRunning && !r.task.step.Gang && r.task.job().Policy.Priority > t.job().Policy.Priority {
			lower = append(lower, r)
			most = most.add(r.task.step.sizeOn())
		}
	}
	if !most.covers(t.step.sizeOn()) {
		return nil
	}
	slices.SortFunc(lower, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.stopCost(), b.stopCost()), cmp.Compare(a.task.name, b.task.name))
	})
	v := &victims{worker: w}
	for _, r := range lower {
		if free.covers(t.step.sizeOn()) {
			break
		}
		free = free.add(r.task.step.sizeOn())
		v.runs = append(v.runs, r)
		v.cost += r.stopCost()
	}
	if len(v.runs) == 0 || !free.covers(t.step.sizeOn()) {
		return nil
	}
	return v
}

// stopCost rates what is lost by stopping a run.
func (r *run) stopCost() float64 {
	if r.task.step.Checkpoints {
		return costCheckpoint
	}
	return costCheckpoint + costLost*float64(r.percent)/100
}
