package orchestrator

import (
	"fmt"
	"math"
	"slices"
	"time"

	"peridotpitch/internal/converter"
)

// phase is the state of a run.
type phase string

const (
	phaseStarting phase = "starting" // the start is sent and not answered
	phaseRunning  phase = "running"
	phaseStopping phase = "stopping"
)

// stopTimeout is how long a run may still be listed as running after its stop was answered,
// until the stop is sent again. The platform's workers end a run within a second of a stop.
const stopTimeout = 2 * time.Second

// probeDuration is how long a long-running task must run on a quarantined worker before the
// worker gets other tasks again. Tasks on a worker that fails them end within a second.
const probeDuration = 1500 * time.Millisecond

// unknownSpeed is the confirmed speed of a run whose last throttle command got no answer or
// was sent by an earlier leader.
const unknownSpeed = -1

type run struct {
	task             *task
	worker           *worker
	number           int
	phase            phase
	sentAt           time.Time
	startedAt        time.Time
	ackedAt          time.Time // when the worker answered the last start or stop; zero: not yet
	inFlight         bool      // a start or stop is sent and not answered
	lostAt           time.Time // when it was found that the run has ended with its worker's process; zero: not found
	deferred         bool      // its last start has not left this host, for lack of connections
	startUnanswered  bool      // a start without an answer may still be executed
	saved            string    // checkpoint that the start passes on
	ticket           string
	progressPercent  int
	progressAt       time.Time       // when progressPercent last changed
	ownLoad          float64         // utilization that the task's own callers cause; latency-critical tasks only
	ownLoadEstimate  ownLoadEstimate // replaces that of the step while MechanismStepLoad is disabled
	tailRatio        float64         // measured tail latency as a share of the latency target
	targetSpeed      int             // speed limit in percent
	confirmedSpeed   int             // speed limit in percent that the worker has confirmed, or unknownSpeed
	throttleSentAt   time.Time
	throttleInFlight bool
	listedIn         uint64    // number of the last poll of the worker that listed the run
	sentAfter        uint64    // number of the last poll of the worker that was answered before the run was sent
	unlistedSince    uint64    // number of the first poll since listedIn that should have listed the run and did not; 0: none
	outlivedWorker   bool      // the worker's process has ended since the run was sent
	heardAt          time.Time // when the worker last answered before its process or its leases ended; zero: they have not, or not known
	nextMoveSearch   time.Time // earliest time of the next search for a better worker
	begun            bool      // a worker has accepted its start or listed it
	throttled        bool      // the run may have been below full speed at some time
}

func (r *run) key() runKey { return runKey{r.task.name, r.number} }

// addRun adds a run to its task and its worker.
func (o *Orchestrator) addRun(t *task, w *worker, number int, p phase) *run {
	r := &run{task: t, worker: w, number: number, phase: p, sentAt: o.now, startedAt: o.now, progressAt: o.now, confirmedSpeed: 100, targetSpeed: 100, ownLoad: defaultOwnLoad}
	t.runs = append(t.runs, r)
	t.step.waitingKnown = false
	t.nextRun, t.observed = max(t.nextRun, number+1), true
	w.runs = append(w.runs, r)
	w.runByKey[r.key()] = r
	w.headroomsValid = false
	t.job().runCount++
	w.addUsage(t.step.Step, 1)
	if t.suspected() {
		w.suspects = append(w.suspects, r)
	}
	return r
}

// effectiveSpeed returns the speed limit of a run in percent: the confirmed one, or the
// target if the confirmed one is unknown.
func (r *run) effectiveSpeed() int {
	if r.confirmedSpeed < 0 {
		return r.targetSpeed
	}
	return r.confirmedSpeed
}

// addUsage adds a task of the step to the worker's usage, or removes it if sign is -1.
func (w *worker) addUsage(s *Step, sign int) {
	size := s.Size
	if s.Fills {
		w.load.bestEffort += sign * size.CPU
		size.CPU = 0
	} else if s.LatencyTarget > 0 {
		w.load.latencyCritical += sign * size.CPU
	}
	if sign < 0 {
		size = Resources{}.subtract(size)
	}
	w.used = w.used.add(size)
	if s.LongRunning {
		w.longRunning = w.longRunning.add(size)
	}
}

// removeRun removes a run that has ended from its task and its worker.
func (o *Orchestrator) removeRun(r *run) {
	w, t := r.worker, r.task
	if w.runByKey[r.key()] != r {
		return
	}
	delete(w.runByKey, r.key())
	o.noteChange(w)
	i := slices.Index(w.runs, r)
	w.runs = slices.Delete(w.runs, i, i+1)
	if w.probe == r {
		w.probe = nil
	}
	w.addUsage(t.step.Step, -1)
	w.removeSuspect(r)
	t.runs = slices.DeleteFunc(t.runs, func(k *run) bool { return k == r })
	t.step.waitingKnown = false
	if r.begun {
		// The wait of a task whose start was refused goes on.
		t.waitingSince, t.freeSince, t.lastRunEnd = o.now, o.now, o.now
	}
	o.passDue = true
	j := t.job()
	if t.step.LongRunning && !j.state.Final() {
		o.markDirty(j) // with the time since when the task waits
	}
	if j.runCount--; j.runCount == 0 {
		j.idleSince = o.now
	}
	if j.state.Final() {
		o.removeFinishedJob(j)
	}
}

// lossCause is why a run counts as lost.
type lossCause string

const (
	lossLease     lossCause = "lapsed"       // its lease has ended, and its worker has not answered since
	lossWorkerEnd lossCause = "worker ended" // the process of its worker has ended
	lossUnlisted  lossCause = "not listed"   // its worker does not list it as running, and has listed all ends
)

// expireRun removes a run whose lease or worker has ended without a report. Later reports of
// the run are ignored.
func (o *Orchestrator) expireRun(r *run, cause lossCause) {
	t := r.task
	if t.expiredRuns == nil {
		t.expiredRuns = make(map[int]bool)
	}
	t.expiredRuns[r.number] = true
	o.emit(Note{Event: EventRunLost, Job: t.job().ID, Task: t.name, Run: r.number, Worker: r.worker.ID, Outcome: string(cause), Age: o.now.Sub(r.startedAt),
		Figures: fmt.Sprintf("Begun=%t Percent=%d Lost=%d Incarnation=%d SentAgo=%s Unanswered=%t", r.begun, r.progressPercent, len(t.expiredRuns), r.worker.incarnation, o.now.Sub(r.sentAt).Round(time.Millisecond), r.startUnanswered)})
	o.removeRun(r)
	if t.step.LongRunning && r.begun {
		t.waitsSince(r.heardAt) // a worker that has crashed ended the run then
	}
}

// start adds a run and sends its start to the worker.
func (o *Orchestrator) start(t *task, w *worker, number int, ticket string) *run {
	r := o.addRun(t, w, number, phaseStarting)
	r.saved, r.ticket, r.sentAfter = t.saved, ticket, w.pollNumber
	if len(t.crashes) > 0 {
		o.markDirty(t.job()) // a later leader must know on which worker it runs
		o.emit(WriteSoon{})
	}
	o.sendStart(r)
	return r
}

// sendStart sends a run's start, unless its lease would be shorter than minLease.
func (o *Orchestrator) sendStart(r *run) {
	d, ok := o.grantLease(r.worker)
	if !ok {
		return // resendCommands sends it once the leadership has been confirmed
	}
	r.inFlight, r.sentAt = true, o.now
	o.emit(StartRun{Worker: r.worker.ID, Incarnation: r.worker.incarnation, Fence: r.worker.fence, FailureDomain: r.worker.FailureDomain, Task: r.task.name, Run: r.number, Spec: r.task.job().Spec, LeaseEnd: d, Saved: r.saved, Ticket: r.ticket})
}

func (o *Orchestrator) startAnswered(e StartAnswered) {
	r := o.findRun(e.Worker, e.Task, e.Run)
	if r == nil {
		return
	}
	w := r.worker
	o.noteOtherProcess(w, e)
	if r.phase != phaseStopping {
		r.inFlight, r.deferred = false, false
	} else { // inFlight, deferred and sentAt are of the stop
		o.emit(Note{Event: EventStartOvertaken, Job: r.task.job().ID, Task: e.Task, Run: e.Run, Worker: e.Worker, Outcome: string(e.Outcome), Age: o.now.Sub(r.sentAt)})
	}
	switch e.Outcome {
	case StartAccepted:
	case StartDeferred:
		o.noteDeferral(r)
	default:
		o.emit(Note{Event: EventStartRefused, Job: r.task.job().ID, Task: e.Task, Run: e.Run, Worker: e.Worker, Outcome: string(e.Outcome), Age: o.now.Sub(r.sentAt)})
	}
	switch e.Outcome {
	case StartAccepted, StartSuperseded:
		// After StartSuperseded the run has ended on the worker, and the next poll lists its end.
		o.startAccepted(r)
	case StartFenced:
		if !o.fenceRaised(w.ID, e.Fence) {
			o.stepDown("worker " + w.ID + " has accepted a later leader")
			return
		}
		o.startNotExecuted(r)
	case StartReplaced:
		o.pollFailed(PollFailed{Worker: w.ID, Replaced: true})
	case StartUnanswered:
		r.startUnanswered, w.unansweredAt, w.fenceDue = true, o.now, true
		if e.Incarnation != w.incarnation {
			o.stopUnansweredStart(r)
		}
	case StartNotSent:
		w.unansweredAt = o.now
		o.startNotExecuted(r)
	case StartDeferred:
		if r.phase != phaseStopping {
			r.deferred, r.sentAt = true, o.now // resendCommands sends it again
		}
	case StartNoCapacity:
		w.noCapacityUntil = o.now.Add(resendInterval)
		o.startNotExecuted(r)
	case StartUnhealthy:
		o.recordRunOutcome(w, r.task.job(), true)
		o.startNotExecuted(r)
	case StartNoTicket:
		r.task.step.advice.dropTickets()
		o.startNotExecuted(r)
	case StartExpired, StartInvalid:
		o.startNotExecuted(r)
	}
}

// deferralNoteInterval is the shortest time between two notes on deferred starts. Without connections, all starts of a
// pass are deferred.
const deferralNoteInterval = time.Second

// noteDeferral counts a deferred start, and notes the count once per deferralNoteInterval.
func (o *Orchestrator) noteDeferral(r *run) {
	o.deferrals++
	if o.now.Sub(o.deferralNotedAt) < deferralNoteInterval {
		return
	}
	o.emit(Note{Event: EventStartDeferred, Job: r.task.job().ID, Task: r.task.name, Run: r.number, Worker: r.worker.ID, Outcome: "it is sent again",
		Reason: "this host has too many connections, or is too late", Age: o.now.Sub(r.startedAt), Figures: fmt.Sprintf("Deferred=%d", o.deferrals)})
	o.deferralNotedAt, o.deferrals = o.now, 0
}

// startAccepted handles a start that the worker has accepted.
func (o *Orchestrator) startAccepted(r *run) {
	r.begun = true
	if r.ackedAt.IsZero() && r.phase != phaseStopping { // else the last command is the stop, which has no answer yet
		r.ackedAt = o.now
		r.startedAt = o.now
	}
	j := r.task.job()
	if r.phase == phaseStarting {
		r.phase = phaseRunning
		if r.task.step.LongRunning {
			o.markDirty(j) // a later leader must know that the task has had a run
		}
	}
	if !j.started {
		j.started = true
		o.emit(Note{Event: EventJobStarted, Job: j.ID, Queue: j.Policy.Queue, Task: r.task.name, Age: o.now.Sub(j.Submitted)})
		if j.state == StateQueued {
			j.state = StateRunning
		}
	}
}

// startNotExecuted handles a start that the worker has not executed. If the start was sent
// before without an answer, that command may still be executed, and the run must be stopped
// before the task can start elsewhere.
func (o *Orchestrator) startNotExecuted(r *run) {
	if r.startUnanswered {
		o.stop(r, "an unanswered start of the run must not be executed later")
		return
	}
	if r.phase == phaseStarting {
		o.removeRun(r)
	}
}

// resendCommands sends a run's start or stop again if it got no answer.
func (o *Orchestrator) resendCommands(r *run) {
	w := r.worker
	if r.inFlight || !r.lostAt.IsZero() || w.unreachable || !w.runsKnown || o.now.Sub(r.sentAt) < resendInterval {
		return
	}
	command := ""
	switch {
	case r.phase == phaseStarting && r.startUnanswered && !o.confirmedSinceFound(w):
		return
	case r.phase == phaseStarting && !o.mayStart(w): // a run that may have begun is stopped
		o.startNotExecuted(r)
		return
	case r.phase == phaseStarting:
		command = "start"
		o.sendStart(r)
	case r.phase == phaseStopping && r.ackedAt.IsZero():
		command = "stop"
		o.sendStop(r)
	}
	if command != "" && r.inFlight && !r.deferred {
		o.emit(Note{Event: EventResend, Job: r.task.job().ID, Task: r.task.name, Run: r.number, Worker: w.ID, Outcome: command, Age: o.now.Sub(r.startedAt),
			Figures: fmt.Sprintf("Incarnation=%d", w.incarnation)})
	}
}

// mayStart reports whether a start that was decided earlier may still be sent to a worker. An unreachable worker may: its
// start is sent again when it answers.
func (o *Orchestrator) mayStart(w *worker) bool {
	return !w.Draining && !o.evacuations.Evacuates(w.FailureDomain) && o.confirmedSinceFound(w) && w.entryCurrent()
}

// findRun returns a run on a worker, or nil if there is none.
func (o *Orchestrator) findRun(worker, task string, number int) *run {
	w := o.workers[worker]
	if w == nil {
		return nil
	}
	return w.runByKey[runKey{task, number}]
}

// adopt adds a run that a worker lists and the leader does not have: an earlier leader has
// started it, or this leader has removed it. If the task must not have the run, adopt stops
// the run and returns nil. A second run of a task is added and stopped, so that the task does not start again
// before its end, whatever becomes of the first one.
func (o *Orchestrator) adopt(w *worker, row RunningRun) *run {
	t := o.reportedTask(row.Task)
	reason := ""
	switch {
	case t == nil:
		reason = "the job of the run has ended or is unknown"
	case t.done:
		reason = "the task has already succeeded"
	case t.expiredRuns[row.Run]:
		reason = "the run has expired with its lease or its worker"
	}
	if reason != "" {
		o.emit(Note{Event: EventStop, Task: row.Task, Run: row.Run, Worker: w.ID, Reason: reason})
		o.stopUnwanted(w, runKey{row.Task, row.Run})
		return nil
	}
	if t.job().inherited && !t.observed {
		t.unknownRuns = max(0, row.Run-1-len(t.failed))
	}
	if row.Run == t.recordedRun {
		t.recordedRun = 0
	}
	r := o.addRun(t, w, row.Run, phaseRunning)
	r.listedIn = w.pollNumber
	o.startAccepted(r)
	r.progressPercent, r.confirmedSpeed, r.throttled = row.Percent, unknownSpeed, true
	o.emit(Note{Event: EventAdopt, Job: t.job().ID, Task: t.name, Run: row.Run, Worker: w.ID, Figures: fmt.Sprintf("Percent=%d Incarnation=%d", row.Percent, w.incarnation)})
	if len(t.runs) > 1 && !t.step.Speculative {
		o.stop(r, "the task has another run")
	}
	return r
}

// updateRun applies a worker's report of a running run.
func (o *Orchestrator) updateRun(r *run, row RunningRun) {
	if row.Saved != "" {
		r.task.saved = row.Saved
	}
	if r.phase == phaseStarting {
		r.startUnanswered = false
		o.startAccepted(r)
	}
	if r.phase == phaseStopping && !r.ackedAt.IsZero() && o.now.Sub(r.ackedAt) > stopTimeout {
		r.ackedAt = time.Time{}
		o.sendStop(r)
	}
	if row.Percent != r.progressPercent {
		r.progressPercent, r.progressAt = row.Percent, o.now
	}
	if s := r.task.step; s.LatencyTarget > 0 && row.Figure > 0 {
		r.tailRatio = float64(row.Figure) * float64(time.Millisecond) / float64(s.LatencyTarget)
	}
	if r == r.worker.probe && r.task.step.LongRunning && row.Percent >= 100 && o.now.Sub(r.startedAt) >= probeDuration {
		o.recordRunOutcome(r.worker, r.task.job(), false)
	}
	o.clearCrashes(r)
	o.compareSlowRun(r)
	o.checkStraggler(r)
	o.moveThrottled(r)
}

// applyEnd applies a worker's report of the end of a run.
func (o *Orchestrator) applyEnd(w *worker, row EndedRun) {
	t := o.reportedTask(row.Task)
	if t == nil {
		if r := w.runByKey[runKey{row.Task, row.Run}]; r != nil {
			o.noteEnd(r, row)
			o.removeRun(r)
		}
		end := appliedEnd{number: row.Number}
		if j := o.jobs[jobID(row.Task)]; j != nil {
			end.job, end.version = j, j.version
		}
		w.unackedEnds = append(w.unackedEnds, end)
		return
	}
	j := t.job()
	r := w.runByKey[runKey{row.Task, row.Run}]
	t.nextRun = max(t.nextRun, row.Run+1)
	if row.Run == t.recordedRun {
		t.recordedRun = 0
	}
	if r != nil {
		o.noteEnd(r, row)
		o.recordRunTime(r, row)
		if row.How == EndDone && r.task.step.Fills {
			o.outlookMeter.endBestEffort(r)
		}
		o.removeRun(r)
	}
	if row.Saved != "" && !t.done {
		t.saved = row.Saved
	}
	if !t.expiredRuns[row.Run] {
		o.applyOutcome(t, w, row)
	}
	o.markDirty(j)
	w.unackedEnds = append(w.unackedEnds, appliedEnd{number: row.Number, job: j, version: j.version})
}

func (o *Orchestrator) noteEnd(r *run, row EndedRun) {
	expected := r.task.step.expectedRunTime(o.stats(r.task.job().Policy.Queue).runTimeRatio)
	o.emit(Note{Event: EventEnd, Job: r.task.job().ID, Task: row.Task, Run: row.Run, Worker: r.worker.ID, Outcome: string(row.How), Age: o.now.Sub(r.startedAt),
		Figures: fmt.Sprintf("Expected=%s Pace=%d%% Unused=%.1f Filling=%.1f", expected.Round(time.Millisecond), r.targetSpeed, float64(r.worker.unusedCPU())/1000, float64(r.worker.load.bestEffort)/1000)})
}

func (o *Orchestrator) applyOutcome(t *task, w *worker, row EndedRun) {
	j := t.job()
	switch row.How {
	case EndDone:
		o.recordRunOutcome(w, j, false)
		if t.step.LongRunning {
			return
		}
		members := []*task{t}
		if t.step.Gang {
			members = t.step.tasks
		}
		for _, m := range members {
			o.stopRuns(m, "another run of the task has succeeded")
			o.taskDone(m)
		}
	case EndFailed:
		o.recordRunOutcome(w, j, true)
		t.markUnsuitable(w)
		o.countFailure(t, row.Run)
	case EndStopped, EndExpired, EndGangBroken, EndGangIncomplete:
		// The run did not fail by itself: the task starts again and the attempt does not count.
	}
}

// markUnsuitable lowers a worker's score for the task from now on.
func (t *task) markUnsuitable(w *worker) {
	if t.unsuitableWorkers == nil {
		t.unsuitableWorkers = make(map[string]bool)
	}
	t.unsuitableWorkers[w.ID] = true
}

// countFailure counts a failed run, and fails the job when the task has used up its attempts.
func (o *Orchestrator) countFailure(t *task, number int) {
	if t.step.LongRunning {
		return
	}
	if t.step.Gang {
		t = t.step.tasks[0] // the members of a gang fail together
	}
	if slices.Contains(t.failed, number) {
		return
	}
	t.failed = append(t.failed, number)
	if len(t.failed) >= t.maxAttempts() {
		o.finishJob(t.job(), StateFailed, fmt.Sprintf("task %s failed %d times and has no attempts left", t.name, len(t.failed)))
	}
}

// recordRunTime updates the run time statistics by a run that succeeded, began without a
// checkpoint and was never throttled.
func (o *Orchestrator) recordRunTime(r *run, row EndedRun) {
	s := r.task.step
	if row.How != EndDone || r.saved != "" || r.throttled || r.startedAt.IsZero() {
		return
	}
	took := o.now.Sub(r.startedAt)
	qs := o.stats(r.task.job().Policy.Queue)
	if expected := s.expectedRunTime(qs.runTimeRatio); expected > 0 && !s.Fills && o.observeSpeed(r, took, expected) {
		r.worker.slowdown += slowdownWeight * (float64(took)/float64(expected) - r.worker.slowdown)
	}
	if s.runTimeSamples >= minVarianceSamples && took > 0 {
		d := math.Log(float64(took) / float64(s.meanRunTime))
		qs.runTimeVariance += queueStatsWeight * (min(d*d, maxSquaredDeviation) - qs.runTimeVariance)
	}
	s.runTimeSamples++
	s.meanRunTime += (took - s.meanRunTime) / time.Duration(s.runTimeSamples)
	if s.Estimate > 0 {
		qs.runTimeRatio += queueStatsWeight * (float64(took)/float64(s.Estimate) - qs.runTimeRatio)
	}
}

const (
	slowdownWeight   = 0.2  // weight of one run in a worker's slowdown
	queueStatsWeight = 0.02 // weight of one run in its queue's statistics
	// minVarianceSamples is the number of measured tasks of a step from which the deviation of
	// further tasks from the mean run time counts for the queue's variance.
	minVarianceSamples = 3
	// maxSquaredDeviation bounds the effect of one straggler on the queue's variance.
	maxSquaredDeviation = 1.0
)

// expectedRunTime returns the expected run time of a task of the step: the mean of its
// measured tasks, or the estimate times ratio, the queue's ratio of measured run times to
// estimates.
func (s *step) expectedRunTime(ratio float64) time.Duration {
	if s.runTimeSamples > 0 {
		return s.meanRunTime
	}
	return converter.Scale(s.Estimate, ratio)
}

// longestFactor returns the expected run time of the longest of n tasks of a step as a
// multiple of their mean run time. Run times are modelled as log-normal;
// sqrt(2 ln n) - 0.6 is within 0.05 of the mean of the largest of n normal values for n
// from 2 to 40.
func (qs *queueStats) longestFactor(n int) float64 {
	if n < 2 {
		return 1
	}
	return math.Exp(math.Sqrt(qs.runTimeVariance) * (math.Sqrt(2*math.Log(float64(n))) - 0.6))
}

// remainingRunTime returns how much longer a run is expected to take. ratio is the queue's
// ratio of measured run times to estimates.
func (r *run) remainingRunTime(now time.Time, ratio float64) time.Duration {
	elapsed := now.Sub(r.startedAt)
	if r.task.step.LongRunning {
		return time.Hour // until the job is cancelled
	}
	if r.progressPercent > 5 && r.progressPercent < 100 {
		return elapsed * time.Duration(100-r.progressPercent) / time.Duration(r.progressPercent)
	}
	return max(0, r.task.step.expectedRunTime(ratio)-elapsed)
}

// removeFinishedJob removes a job if its final state is in the store and it has no runs left.
func (o *Orchestrator) removeFinishedJob(j *job) {
	if !j.state.Final() || j.writtenVersion < j.version {
		return
	}
	for _, oc := range j.occurrences {
		for _, s := range oc.steps {
			for _, t := range s.tasks {
				if len(t.runs) > 0 {
					return
				}
			}
		}
	}
	delete(o.jobs, j.ID)
}
