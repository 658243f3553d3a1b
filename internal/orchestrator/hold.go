package orchestrator

import "time"

const (
	// holdTime is how long a worker is kept free after the last pass in which the task
	// still waited.
	holdTime = 500 * time.Millisecond
	// heldShare bounds the workers that are kept free at the same time.
	heldShare = 0.05
)

// hold keeps a worker free of other starts for a long-running task that has waited too
// long, and returns why the task waits. Otherwise smaller tasks of short jobs would take
// each gap as it appears, and a gap for the large task never would.
func (o *Orchestrator) hold(t *task, workers []*worker) string {
	const noRoom = "no worker has room"
	if !t.step.LongRunning || o.now.Sub(t.since) < lastingWait {
		return noRoom
	}
	held := 0
	var best *worker
	for _, w := range workers {
		if w.atLimit(t.step) || w.free().covers(t.step.sizeOn()) {
			continue // it does not wait for room there
		}
		if w.heldFor != nil && o.now.Before(w.heldUntil) {
			if w.heldFor == t {
				best = w
				break
			}
			held++
			continue
		}
		if w.soon().covers(t.step.sizeOn()) && (best == nil || w.free().CPU > best.free().CPU) {
			best = w
		}
	}
	if best == nil || best.heldFor != t && held >= max(1, int(heldShare*float64(len(workers)))) {
		return noRoom
	}
	best.heldFor, best.heldUntil = t, o.now.Add(holdTime)
	return "worker " + best.ID + " is kept free for it"
}

// soon returns what is unused on a worker once its short tasks have ended.
func (w *worker) soon() Resources {
	free := w.free()
	for _, r := range w.runs {
		if !r.task.step.LongRunning {
			free = free.add(r.task.step.sizeOn())
		}
	}
	return free
}
