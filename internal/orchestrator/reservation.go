package orchestrator

import "time"

const (
	// reservationTime is how long a worker stays reserved for a task after the last scheduling
	// pass in which the task waited.
	reservationTime = 500 * time.Millisecond
	// maxReservedShare bounds the share of the candidates that are reserved at the same time.
	// One candidate may be reserved even if that is a larger share.
	maxReservedShare = 0.05
)

// reserveWorker reserves a worker for a long-running task that has waited for
// longRunningMaxWait, and returns the reason why the task waits. Without the reservation,
// smaller tasks of short jobs would use all capacity as soon as it becomes free, and there
// would never be enough for the large task.
func (o *Orchestrator) reserveWorker(t *task, workers []*worker) string {
	const noCapacity = "no worker has room"
	if !o.enabled(MechanismReservations) || !t.step.LongRunning || o.now.Sub(t.waitingSince) < longRunningMaxWait {
		return noCapacity
	}
	reserved := 0
	var best *worker
	for _, w := range workers {
		if w.atLimit(t.step) || w.free().covers(t.step.countedSize()) || o.yieldsToReturning(t, w) {
			continue // the task does not wait for capacity on this worker
		}
		if o.reserved(w) {
			if w.reservedFor == t && o.restriction(t, w) == obstacleNone {
				best = w
				break
			}
			reserved++
			continue
		}
		if w.freeAfterShortTasks().covers(t.step.countedSize()) && (best == nil || w.free().CPU > best.free().CPU) && o.restriction(t, w) == obstacleNone {
			best = w
		}
	}
	if best == nil || best.reservedFor != t && reserved >= max(1, int(maxReservedShare*float64(len(workers)))) {
		return noCapacity
	}
	best.reservedFor, best.reservedUntil = t, o.now.Add(reservationTime)
	return "worker " + best.ID + " is reserved for the task until it has enough free capacity"
}

// reserved reports whether a worker is reserved for a task. That ends when the task has a run, unless it is to move to the worker.
func (o *Orchestrator) reserved(w *worker) bool {
	t := w.reservedFor
	return t != nil && o.now.Before(w.reservedUntil) && (len(t.runs) == 0 || t.moveTarget == w)
}

// reservedForOther reports whether a worker is reserved for another task than t.
func (o *Orchestrator) reservedForOther(w *worker, t *task) bool {
	return w.reservedFor != t && o.reserved(w)
}

// freeAfterShortTasks returns the free capacity of a worker after all its tasks that are not
// long-running have ended.
func (w *worker) freeAfterShortTasks() Resources { return w.Capacity.subtract(w.longRunning) }
