package orchestrator

import (
	"fmt"
	"time"

	"peridotpitch/internal/classifier"
)

const (
	// minProjectionPercent is the progress from which the time of a whole run is projected from it. Workers report
	// whole percents.
	minProjectionPercent = 10
	// blameLimit is the probability from which a slow run counts as due to its worker.
	blameLimit = 0.5
)

// slowRun is a run that was stopped or copied because it was slow.
type slowRun struct {
	number    int
	worker    *worker
	projected time.Duration // expected time of the whole run; 0: there is none, or its cause is known
}

// mayMoveSlow reports whether a run that is slower than expected may be stopped or copied for that.
func (o *Orchestrator) mayMoveSlow(r *run, elapsed, projected, expected time.Duration) bool {
	if !o.enabled(MechanismSlowRunCauses) {
		return true
	}
	if r.task.long {
		return false
	}
	repeated := elapsed
	if r.task.saved != "" {
		repeated = 0
	}
	slow := classifier.Run{Elapsed: elapsed, Projected: projected, Expected: expected, Repeated: repeated}
	return slow.Moves(o.blame(r))
}

// blame returns the probability that a slow run is due to its worker, 1 while the mechanism is disabled.
func (o *Orchestrator) blame(r *run) float64 {
	if !o.enabled(MechanismSlowRunCauses) {
		return 1
	}
	return classifier.Blame(o.stats(r.task.job().Policy.Queue).tasks, r.worker.speeds)
}

// moveSlow records that a slow run is stopped or copied.
func (o *Orchestrator) moveSlow(r *run, projected time.Duration) {
	r.task.slow = slowRun{number: r.number, worker: r.worker, projected: projected}
	r.worker.speeds.Observe(true)
}

// observeSpeed counts the time of a run that succeeded, for its queue and its worker. It reports whether the time says
// something about the worker.
func (o *Orchestrator) observeSpeed(r *run, took, expected time.Duration) bool {
	o.observeSlowRun(r, took)
	blame := o.blame(r)
	slow := float64(took) > classifier.SlowFactor*float64(expected)
	r.worker.speeds.Observe(slow)
	if !slow || blame < blameLimit {
		o.stats(r.task.job().Policy.Queue).tasks.Observe(slow)
	}
	return !slow || blame >= blameLimit
}

// compareSlowRun finds the cause of a task's slow run as soon as the next run shows how long the task takes on another
// worker.
func (o *Orchestrator) compareSlowRun(r *run) {
	elapsed := o.now.Sub(r.startedAt)
	if r.progressPercent >= minProjectionPercent && r.progressPercent < 100 && elapsed >= stragglerMinRunTime {
		o.observeSlowRun(r, elapsed*100/time.Duration(r.progressPercent))
	}
}

// observeSlowRun determines the cause of a task's slow run. took is the expected or measured time of the whole run r of the
// task on another worker.
func (o *Orchestrator) observeSlowRun(r *run, took time.Duration) {
	t := r.task
	if t.slow.projected == 0 || r.number <= t.slow.number || r.saved != "" || r.throttled {
		return
	}
	cause := classifier.Compare(t.slow.projected, took)
	if cause == classifier.CauseTask {
		t.long = true
		t.slow.worker.speeds.Forgive()
	}
	o.emit(Note{Event: EventSlowRun, Job: t.job().ID, Task: t.name, Run: t.slow.number, Worker: t.slow.worker.ID, Outcome: string(cause),
		Figures: fmt.Sprintf("Expected=%s Elsewhere=%s", t.slow.projected.Round(time.Millisecond), took.Round(time.Millisecond))})
	t.slow.projected = 0
}
