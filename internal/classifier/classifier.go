// Package classifier estimates whether runs that are much slower than expected are slow because of their task or because
// of their worker, and decides which of them to stop and start elsewhere. It is pure code.
package classifier

import (
	"math"
	"time"
)

// SlowFactor is the time of a run, as a multiple of the expected one, from which the run is slow.
const SlowFactor = 2.0

// Cause is why a run is slow.
type Cause string

// Values of Cause.
const (
	CauseTask   Cause = "task"   // the task takes as long on other workers
	CauseWorker Cause = "worker" // the task is faster on another worker
)

const (
	// priorLong and priorNormal are the weights of long and normal tasks before a queue has shown any. With them, a
	// slow run on a worker without other runs is due to the worker with a probability of 0.8.
	priorLong   = 0.5
	priorNormal = 49.5
	// queueRetention is the weight that earlier runs of a queue keep at each new one: about the last 500 count.
	queueRetention = 0.998
	// workerRetention is the weight that earlier runs on a worker keep at each new one: about the last five count, so
	// that a worker that has turned slow shows it with its next runs.
	workerRetention = 0.8
	// priorSlowWorker is the probability that a worker is slow before it has shown anything.
	priorSlowWorker = 0.05
	// slowOnSlowWorker is the share of the runs on a slow worker that are slow.
	slowOnSlowWorker = 0.9
	// sameSpeedShare is the share of the first run's time from which the time of a second run on another worker
	// shows that the task is long.
	sameSpeedShare = 0.6
)

// Compare returns why the first run of a task was slow. first and second are the expected times of whole runs on two
// workers.
func Compare(first, second time.Duration) Cause {
	if float64(second) >= sameSpeedShare*float64(first) {
		return CauseTask
	}
	return CauseWorker
}

// Queue counts the tasks of a queue that are long by themselves, and the others. The zero value has counted none.
type Queue struct {
	Long   float64
	Normal float64
}

// Observe counts a task.
func (q *Queue) Observe(long bool) {
	q.Long, q.Normal = queueRetention*q.Long, queueRetention*q.Normal
	if long {
		q.Long++
		return
	}
	q.Normal++
}

// longShare returns the share of the queue's tasks that are long by themselves.
func (q Queue) longShare() float64 {
	return (q.Long + priorLong) / (q.Long + q.Normal + priorLong + priorNormal)
}

// Worker counts the slow runs on a worker, and the others. The zero value has counted none.
type Worker struct {
	Slow   float64
	Normal float64
}

// Observe counts a run on the worker.
func (w *Worker) Observe(slow bool) {
	w.Slow, w.Normal = workerRetention*w.Slow, workerRetention*w.Normal
	if slow {
		w.Slow++
		return
	}
	w.Normal++
}

// Forgive takes back a slow run that was due to its task.
func (w *Worker) Forgive() { w.Slow = max(0, w.Slow-1) }

// Blame returns the probability that a slow run of the queue is due to the worker. The run itself is not among those that
// the worker has counted.
func Blame(q Queue, w Worker) float64 {
	long := q.longShare()
	odds := priorSlowWorker / (1 - priorSlowWorker) * math.Pow(slowOnSlowWorker/long, w.Slow+1) * math.Pow((1-slowOnSlowWorker)/(1-long), w.Normal)
	return odds / (1 + odds)
}

// Run is a run that is slower than expected.
type Run struct {
	Elapsed   time.Duration
	Projected time.Duration // expected time of the whole run
	Expected  time.Duration // time that a run of its step usually takes
	Repeated  time.Duration // work that a start elsewhere repeats: Elapsed, or less with a checkpoint
}

// Moves reports whether a slow run should be stopped and started elsewhere, if it is due to its worker with probability
// blame: the time that this saves, if the worker is the cause, outweighs the work that it repeats, if the task is.
func (r Run) Moves(blame float64) bool {
	saved := r.Projected - r.Elapsed - (r.Expected - (r.Elapsed - r.Repeated))
	return blame*float64(saved) > (1-blame)*float64(r.Repeated)
}
