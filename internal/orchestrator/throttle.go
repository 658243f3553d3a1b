package orchestrator

import (
	"fmt"
	"slices"
	"time"

	"peridotpitch/internal/classifier"
)

const (
	// throttleInterval is the pause between two changes of the speed limits on a worker. Tail
	// latencies cover the last half second: after a shorter pause they would still show the
	// state before the last change.
	throttleInterval = 600 * time.Millisecond
	// speedsMaxAge is the pause before speed limits are computed again from the same tail
	// latencies, because best-effort tasks have started or ended since.
	speedsMaxAge = 250 * time.Millisecond
	// throttleResendInterval is the pause before a throttle command without an answer is sent
	// again.
	throttleResendInterval = 500 * time.Millisecond
	// maxTailRatio is the tail latency, as a share of the latency target, from which a task
	// counts as over its target.
	maxTailRatio = 1.0
	// maxTimeOverTarget is how long a task may be over its target before all best-effort tasks
	// beside it are halted. The platform's callers count four seconds over the target as a
	// violation.
	maxTimeOverTarget = 1500 * time.Millisecond
	// A best-effort task is throttled for a latency-critical one only if it adds at least
	// minContributionShare of the utilization that all best-effort tasks together add to it.
	minContributionShare = 0.15
	// minThrottledUtilization is the added utilization below which a best-effort task is not
	// throttled.
	minThrottledUtilization = 0.01
	// maxSpeedIncrease is how much a speed limit may rise in one change, in percent of the
	// full speed.
	maxSpeedIncrease = 40
	// minSpeedChange is the smallest change of a speed limit, in percent of the full speed,
	// except to 0 and to 100.
	minSpeedChange = 10
	// minRunSpeed is the speed limit in percent below which a best-effort task is halted.
	minRunSpeed = 12
	// moveMaxSpeed is the speed limit in percent below which a best-effort task is moved to
	// another worker.
	moveMaxSpeed = 20
	// moveMinRunTime is the run time from which a throttled task may be moved.
	moveMinRunTime = 800 * time.Millisecond
	// moveMaxProgress is the progress in percent up to which a throttled task without
	// checkpoints is moved.
	moveMaxProgress = 30
	// queueMemory is how long after a pass that found no worker for a best-effort task others count as waiting.
	queueMemory = 500 * time.Millisecond
	// moveMinHeadroom is the headroom that must remain on the other worker after the move.
	moveMinHeadroom = 0.02

	// hangTimeout is how long a run may report no progress before it counts as hung.
	hangTimeout = 1500 * time.Millisecond
	// stragglerFactor is the projected run time, as a multiple of the expected one, above which
	// a run counts as slow. Slow runs are moved or copied.
	stragglerFactor = classifier.SlowFactor
	// stragglerMinRunTime is the run time from which a run may count as hung or slow. The
	// remaining time of a slow run must also exceed the expected run time by as much.
	stragglerMinRunTime = 600 * time.Millisecond
	// moveSearchInterval is the pause between two searches for a better worker for one run.
	moveSearchInterval = 300 * time.Millisecond
	// maxMoves bounds how often a task is moved because it is throttled, hung or slow.
	maxMoves = 4
	// maxCopies bounds the runs of one speculative task at the same time.
	maxCopies = 2
)

// throttle sets the speed limits of the best-effort tasks on a worker to the highest that the
// latency-critical tasks beside them allow, and sends limits that the worker has not confirmed.
func (o *Orchestrator) throttle(w *worker) {
	if w.load.latencyCritical > 0 && w.tailRatioAt.After(w.throttledAt) && o.now.Sub(w.throttledAt) >= throttleInterval &&
		(w.tailRatioAt.After(w.speedsAt) || o.now.Sub(w.speedsAt) >= speedsMaxAge) {
		before := w.minSpeed
		w.speedsAt = o.now
		o.setSpeeds(w)
		if w.minSpeed != before {
			w.throttledAt = o.now
			o.emit(Note{Event: EventThrottle, Worker: w.ID, Outcome: fmt.Sprintf("%d%%", w.minSpeed), Age: o.now.Sub(w.tailRatioAt),
				Figures: fmt.Sprintf("Tail=%.2f Before=%d%%", w.tailRatio, before)})
		}
	}
	for _, r := range w.runs {
		if r.task.step.Fills && r.phase == phaseRunning && r.confirmedSpeed != r.targetSpeed && !r.throttleInFlight && (r.confirmedSpeed >= 0 || o.now.Sub(r.throttleSentAt) >= throttleResendInterval) {
			r.throttleInFlight, r.throttleSentAt = true, o.now
			o.emit(ThrottleRun{Worker: w.ID, Incarnation: w.incarnation, Fence: w.fence, Task: r.task.name, Run: r.number, Percent: r.targetSpeed})
		}
	}
}

// setSpeeds chooses the speed limit of each best-effort task on a worker. The utilization
// that a latency-critical task's own load leaves up to utilizationLimit is divided among
// the best-effort tasks that interfere with it.
func (o *Orchestrator) setSpeeds(w *worker) {
	if w.tailRatio < maxTailRatio {
		w.overTargetSince = time.Time{}
	} else if w.overTargetSince.IsZero() {
		w.overTargetSince = w.tailRatioAt
	}
	w.minSpeed = 100
	if w.load.bestEffort == 0 {
		return
	}
	full := slices.Clone(o.bestEffortLoads(w, func(*run) int { return 100 }))
	current := o.bestEffortLoads(w, (*run).effectiveSpeed)
	for _, r := range w.runs {
		if !r.task.step.Fills {
			continue
		}
		next := 100
		if !w.overTargetSince.IsZero() && o.now.Sub(w.overTargetSince) >= maxTimeOverTarget {
			next = 0 // best-effort tasks interfere here, whatever the model predicts
		} else {
			next = o.allowedSpeed(w, r, full, current)
		}
		if next > r.targetSpeed {
			next = min(next, r.targetSpeed+maxSpeedIncrease)
		}
		if d := next - r.targetSpeed; d <= -minSpeedChange || d >= minSpeedChange || next == 0 || next == 100 {
			r.targetSpeed, w.headroomsValid = next, false
			r.throttled = r.throttled || next < 100
		}
		w.minSpeed = min(w.minSpeed, r.targetSpeed)
	}
}

// allowedSpeed returns the speed limit in percent at which a best-effort task keeps all
// latency-critical tasks beside it below utilizationLimit, if the other best-effort tasks
// are throttled to the same percentage. full and current are results of bestEffortLoads, at
// full speed and at the present speeds.
func (o *Orchestrator) allowedSpeed(w *worker, bestEffort *run, full, current []imageLoad) int {
	speed := 1.0
	for _, r := range w.runs {
		if r.task.step.LatencyTarget <= 0 || r.tailRatio <= 0 {
			continue
		}
		image := o.criticalImage(r.task.step)
		total := image.addedUtilization(full)
		part := image.pair(o.imageIndex(bestEffort.task.step)).coefficient * w.bestEffortLoad(bestEffort.task.step.Step, 100)
		if part < minContributionShare*total || part < minThrottledUtilization {
			continue
		}
		own := image.utilization(r.tailRatio) - image.addedUtilization(current)
		speed = min(speed, max(0, image.utilizationLimit()-own)/total)
	}
	if percent := int(100 * speed); percent >= minRunSpeed {
		return percent
	}
	return 0
}

// moveThrottled stops a throttled best-effort task if another worker could run it at full
// speed without interference.
func (o *Orchestrator) moveThrottled(r *run) {
	t, s := r.task, r.task.step
	if !o.enabled(MechanismThrottledMoves) || !s.Fills || r.targetSpeed >= moveMaxSpeed || r.phase != phaseRunning || o.now.Sub(r.startedAt) < moveMinRunTime || t.moves >= maxMoves {
		return
	}
	if !s.Checkpoints && r.progressPercent > moveMaxProgress || !o.moveSearchDue(r) {
		return
	}
	queued := o.enabled(MechanismMovesAfterQueue) && o.now.Sub(o.unplacedAt[t.job().Policy.Service]) < queueMemory
	for _, w := range o.surveyedCandidates(s) {
		if queued && !w.answeredAt.Before(o.lastPassAt) {
			continue // waiting tasks have not had the chance to take its room
		}
		if w != r.worker && !o.evacuations.Settles(w.FailureDomain, o.now) && o.fits(t, w) && w.unusedCPU() >= s.Size.CPU && (o.headroomWith(s, w) > moveMinHeadroom || o.harmless(s, w)) {
			t.moves++
			o.stop(r, "slowed for the sake of a task with a latency target")
			return
		}
	}
}

// moveSearchDue reports whether a search for a better worker for a run is due. If so, it sets
// the earliest time of the next search, because each goes through all workers.
func (o *Orchestrator) moveSearchDue(r *run) bool {
	if o.now.Before(r.nextMoveSearch) {
		return false
	}
	r.nextMoveSearch = o.now.Add(moveSearchInterval)
	return true
}

func (o *Orchestrator) throttleAnswered(e ThrottleAnswered) {
	r := o.findRun(e.Worker, e.Task, e.Run)
	if r == nil {
		return
	}
	r.throttleInFlight, r.worker.headroomsValid = false, false
	o.noteChange(r.worker)
	if e.Answered && e.Incarnation == r.worker.incarnation {
		r.confirmedSpeed = e.Percent
		r.progressAt = o.now // the time without progress counts from the change of the speed limit
	} else {
		r.confirmedSpeed = unknownSpeed
	}
}

// checkStraggler moves or copies a run that reports no progress or is much slower than
// expected.
func (o *Orchestrator) checkStraggler(r *run) {
	t, s, w := r.task, r.task.step, r.worker
	if !o.enabled(MechanismStragglers) || s.LongRunning || s.Gang || r.phase != phaseRunning || len(t.runs) > 1 || t.suspected() || s.Fills && (r.targetSpeed < 100 || r.confirmedSpeed < 100) {
		return
	}
	elapsed := o.now.Sub(r.startedAt)
	expected := s.expectedRunTime(o.stats(t.job().Policy.Queue).runTimeRatio)
	if elapsed < stragglerMinRunTime || expected <= 0 {
		return
	}
	hung := o.now.Sub(r.progressAt) > hangTimeout && r.progressPercent < 100
	slow := false
	if r.progressPercent > 0 && !s.Fills {
		projected := elapsed * 100 / time.Duration(r.progressPercent)
		slow = float64(projected) > stragglerFactor*float64(expected) && projected-elapsed > expected+stragglerMinRunTime && o.mayMoveSlow(r, elapsed, projected, expected)
	}
	if !hung && !slow || t.moves >= maxMoves || !o.moveSearchDue(r) {
		return
	}
	workers := slices.DeleteFunc(slices.Clone(o.surveyedCandidates(s)), func(k *worker) bool { return k == w || o.evacuations.Settles(k.FailureDomain, o.now) })
	target, score := o.choose(t, workers)
	if target == nil {
		return
	}
	reason := "the run makes no progress"
	if slow {
		reason = "the run is slower than expected"
	}
	t.moves++
	t.markUnsuitable(w)
	if hung || o.blame(r) >= blameLimit {
		w.slowdown = max(w.slowdown, stragglerFactor)
	}
	if slow {
		o.moveSlow(r, elapsed*100/time.Duration(r.progressPercent))
	}
	if hung {
		o.quarantine(w, Note{Reason: "a run stands still", Age: o.now.Sub(r.progressAt)})
	}
	if s.Speculative && !s.Checkpoints && len(t.runs) < maxCopies {
		o.emit(Note{Event: EventCopy, Job: t.job().ID, Task: t.name, Run: r.number, Worker: w.ID, Reason: reason,
			Figures: fmt.Sprintf("Percent=%d Elapsed=%s Expected=%s", r.progressPercent, elapsed.Round(time.Millisecond), expected.Round(time.Millisecond))})
		o.launch(t, target, t.nextRun, score)
		return
	}
	o.stop(r, reason)
}
