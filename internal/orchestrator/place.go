package orchestrator

import (
	"fmt"
	"slices"
	"time"

	"peridotpitch/internal/converter"
)

const (
	// rackWaitShare is how long a task waits for the rack of its data before it runs
	// elsewhere, as a share of its expected run time.
	rackWaitShare = 0.5
	// latencyCriticalUseShare is the share of its declared processors that a latency-critical
	// task uses on average; the rest is left to best-effort tasks.
	latencyCriticalUseShare = 0.45
	// bestEffortUnusedShare is the share of a best-effort task's declared processors that must
	// be unused on a worker before the task starts there.
	bestEffortUnusedShare = 0.7
	// starvationTimeout is how long a best-effort job may be without a run before one of its
	// tasks starts even on a worker where other tasks slow it down. The platform counts a job
	// as lost if nothing of it runs at several checks in a row, a second apart.
	starvationTimeout = 300 * time.Millisecond
	// longRunningMaxWait is how long a long-running task may be without a run before it goes
	// ahead of others and may take the reserve for short jobs. While workers are missing,
	// short jobs that would be late are worth more than seconds of a long-running task's work.
	// The platform counts a long-running task as lost after 7 s without a run.
	longRunningMaxWait = 4500 * time.Millisecond
	// shortJobReserveShare is the share of the processors that is kept for short jobs until a
	// long-running task has waited for longRunningMaxWait.
	shortJobReserveShare = 0.08
	// waitNoteInterval is the shortest time between two notes on why a step waits.
	waitNoteInterval = 2 * time.Second
	// passInterval is the pause between two scheduling passes. Without it, each answer of a
	// worker would cause a pass, and answers arrive more often.
	passInterval = 15 * time.Millisecond
	// passIntervalPerStep is added to the pause for each step that the last pass went through, so that
	// passes take at most a few hundredths of a core.
	passIntervalPerStep = 100 * time.Microsecond
	// maxStartsPerPass bounds the starts of one pass, so that a burst does not delay polls of
	// workers.
	maxStartsPerPass = 160
)

// Weights of the terms of a worker's score. The term for unused processors is at most 1 and
// has the weight 1.
const (
	weightRack        = 2.0 // worker on the rack of the data or of the step's other tasks
	weightUnsuitable  = 5.0 // an earlier run of the task failed or was too slow there
	weightSlowdown    = 0.7 // for each multiple of the expected run time by which runs there take longer
	weightWarmup      = 0.3 // worker that is still slow after its start
	weightHarmless    = 0.2 // subtracted on workers without latency-critical tasks, for a best-effort task that interferes with no image
	weightOtherImages = 1.5 // for each other latency-critical image on the worker
	weightSuspect     = 1.0 // worker with a task of another job that may crash it
	weightHeadroom    = 4.0 // for the headroom after the start of a best-effort task, or against interference with a latency-critical task
)

// lateMinHeadroom is the headroom that must remain on a worker after a best-effort task of a
// late job has started there: a late job is worth less than the missed latency targets that
// it may cause.
const lateMinHeadroom = 0.03

// Values of forecast. Steps are ordered by the text of their forecast, hence the digits.
const (
	forecastOnTime forecast = "1 on time" // the job can meet its deadline
	forecastLate   forecast = "2 late"    // the job can end within lateFactor times the time between its due time and its deadline
	forecastMissed forecast = "3 missed"  // the job will end later still, but must be finished
)

// scheduleStep starts the step's waiting tasks until limit have started or one finds no worker, and returns the
// number of starts. A gang starts whatever the limit is.
func (o *Orchestrator) scheduleStep(p *pass, s *step, limit int) int {
	if s.Gang {
		return o.scheduleGang(p, s)
	}
	bySizeOnly := o.placedBySizeOnly(s)
	if p.knownFull(s) && (bySizeOnly || !s.Fills && !s.LongRunning) {
		o.waitForCapacity(p, s)
		return 0
	}
	starts := 0
	var workers []*worker
	waiting := s.waitingTasks()
	c := o.newChooser(s, waiting)
	if bySizeOnly && c.alike && len(waiting) > 0 && o.blocked(p, waiting[0]) == "" && o.stillFull(p, waiting[0]) {
		o.waitForCapacity(p, s)
		return 0
	}
	for i, t := range waiting {
		if starts >= limit {
			return starts
		}
		if reason := o.blocked(p, t); reason != "" {
			o.noteWait(s, reason)
			continue
		}
		if workers == nil {
			var reason string
			if workers, reason = o.cachedCandidates(p.survey, s); len(workers) == 0 {
				o.noteWait(s, reason)
				return starts
			}
		}
		w, score := c.choose(waiting[i:], workers)
		if w == nil && t.suspected() && !t.step.LongRunning {
			// Only this task may have to be kept apart.
			if !o.preempt(t, workers) {
				o.noteWait(s, "no worker has room")
			}
			continue
		}
		if w == nil {
			if s.Fills {
				o.unplacedAt[s.occurrence.job.Policy.Service] = o.now
			}
			if bySizeOnly {
				p.unplaced[s.unplacedKey()] = o.failedSearch(s)
			}
			if !o.preempt(t, workers) {
				o.noteWait(s, o.reserveWorker(t, workers))
			}
			return starts
		}
		o.launch(t, w, t.nextRun, score)
		starts++
		c.started(waiting[i+1:])
	}
	return starts
}

// waitForCapacity handles a step that fits on no worker, as a smaller one has shown in this pass.
func (o *Orchestrator) waitForCapacity(p *pass, s *step) {
	const reason = "no worker has room"
	if s.Fills {
		o.unplacedAt[s.occurrence.job.Policy.Service] = o.now
		o.noteWait(s, reason)
		return
	}
	for _, t := range s.waitingTasks() {
		if o.blocked(p, t) != "" {
			continue
		}
		if workers, _ := o.cachedCandidates(p.survey, s); len(workers) == 0 || !o.preempt(t, workers) {
			o.noteWait(s, reason)
		}
		return
	}
}

// waitingTasks returns the tasks of the step that neither run nor have succeeded. Returning tasks come
// first, in the order of their waits: the first task that finds no worker keeps the others waiting.
func (s *step) waitingTasks() []*task {
	var ts []*task
	for _, t := range s.tasks {
		if !t.done && len(t.runs) == 0 {
			ts = append(ts, t)
		}
	}
	if s.LongRunning {
		slices.SortStableFunc(ts, func(a, b *task) int {
			if a.returning() != b.returning() {
				if a.returning() {
					return -1
				}
				return 1
			}
			return a.waitingSince.Compare(b.waitingSince)
		})
	}
	return ts
}

// launch starts a task on a worker and notes the decision.
func (o *Orchestrator) launch(t *task, w *worker, number int, score float64) {
	s := t.step
	if s.rack == "" {
		s.rack = w.Rack
	}
	o.emit(Note{Event: EventStart, Job: t.job().ID, Task: t.name, Run: number, Worker: w.ID, Age: o.timeSinceAnswer(w),
		Figures: fmt.Sprintf("Score=%.2f FreeCores=%.1f Waited=%s", score, float64(w.free().CPU)/1000, o.now.Sub(t.waitingSince).Round(time.Millisecond))})
	t.endMove()
	if t.returning() {
		defer o.returned(t)
	}
	speed := o.initialSpeed(s, w)
	r := o.start(t, w, number, s.advice.ticket(w, o.now))
	r.targetSpeed, r.throttled = speed, speed < 100
	if w.probing {
		w.probe = r
	}
}

// blocked returns why a task must not start on any worker yet, or an empty string.
func (o *Orchestrator) blocked(p *pass, t *task) string {
	if t.crashUnwritten() {
		return "the crash of its last worker is not in the store yet"
	}
	if o.held(t) {
		return "its last worker does not answer, and others have crashed under it"
	}
	return o.blockedByUnreached(p, t)
}

// blockedByUnreached returns why a task must not start on any worker yet, or an empty string.
// A task of an inherited job must not start while an earlier leader may have started it on a
// worker that has not answered this leader yet, or while such a worker may still report the failure
// that uses up its attempts.
func (o *Orchestrator) blockedByUnreached(p *pass, t *task) string {
	j := t.job()
	if !j.inherited || t.observed && !t.mayBeExhausted() {
		return ""
	}
	if o.handedOff { // the records name all workers on which the task may run
		for _, id := range t.recordedWorkers {
			if w := o.workers[id]; w != nil && w.unreached() && w.mayServe(j.Policy.Service) {
				return blockedReason(w)
			}
		}
		return ""
	}
	for _, w := range p.unreached {
		if w.unreached() && w.mayServe(j.Policy.Service) {
			return blockedReason(w)
		}
	}
	return ""
}

func blockedReason(w *worker) string {
	if w.runsKnown {
		return "worker " + w.ID + " has not listed all ended runs to this leader yet and may have run the task"
	}
	return "worker " + w.ID + " has not answered this leader yet and may run the task"
}

// mayServe reports whether a worker is of the service, or its service is unknown.
func (w *worker) mayServe(service string) bool { return w.Service == service || w.Service == "" }

// unreached reports whether a worker may run tasks of an earlier leader, or may have run some to their end, of which this
// leader does not know yet.
func (w *worker) unreached() bool {
	return w.mayRunInheritedTasks && !w.provenIdle
}

// cachedCandidates returns the workers that may run a step's tasks, or why there are none.
func (o *Orchestrator) cachedCandidates(v *survey, s *step) ([]*worker, string) {
	ws, reason := o.suitableWorkers(v, s)
	if s.occurrence.job.Policy.Advised && len(ws) > 0 {
		return o.advisedWorkers(s)
	}
	return ws, reason
}

// suitableWorkers returns the usable workers of a step's service that have its required label, or why there are none. The outside
// policy may exclude some of them. The result is cached with the survey, and workers may have become unusable since.
func (o *Orchestrator) suitableWorkers(v *survey, s *step) ([]*worker, string) {
	key := s.occurrence.job.Policy.Service + "/" + s.RequiredLabel
	ws, ok := v.candidates[key]
	if !ok {
		ws, v.reasons[key] = o.findSuitable(s)
		v.candidates[key] = ws
	}
	return ws, v.reasons[key]
}

// surveyedCandidates returns the workers that may run a step's tasks. They may have become unusable since the survey.
func (o *Orchestrator) surveyedCandidates(s *step) []*worker {
	ws, _ := o.cachedCandidates(o.currentSurvey(), s)
	return ws
}

// findSuitable returns the result of suitableWorkers as of now.
func (o *Orchestrator) findSuitable(s *step) ([]*worker, string) {
	j := s.occurrence.job
	var ws []*worker
	reason := "no worker of service " + j.Policy.Service + " is listed"
	unusable := "" // why the last worker that was checked is not usable
	for _, w := range o.workersByID() {
		if w.Service != j.Policy.Service {
			continue
		}
		if s.RequiredLabel != "" && !slices.Contains(w.Labels, s.RequiredLabel) {
			reason, unusable = "no worker with label "+s.RequiredLabel+" is usable", ""
			continue
		}
		if ok, why := o.usable(w); !ok {
			unusable = why
			continue
		}
		ws = append(ws, w)
	}
	if unusable != "" {
		reason = "no worker is usable; the last one checked " + unusable
	}
	return ws, reason
}

// countedSize returns the free capacity that a task of the step needs. For best-effort tasks,
// the processors do not count.
func (s *step) countedSize() Resources {
	size := s.Size
	if s.Fills {
		size.CPU = 0
	}
	return size
}

// choose returns the worker with the highest score for a task, or nil if the task fits on
// none, and the score. At most maxScoredWorkers are scored, unless the step has a rack affinity
// or needs one rack, or the task fits on none of them. Successive calls begin at different
// workers.
func (o *Orchestrator) choose(t *task, workers []*worker) (*worker, float64) {
	limit := len(workers)
	if t.step.RackAffinity == "" && !t.step.SameRack {
		limit = maxScoredWorkers
	}
	var best *worker
	var bestScore float64
	for i := range workers {
		if i >= limit && best != nil {
			break
		}
		w := workers[(o.scoreOffset+i)%len(workers)]
		if !o.fits(t, w) {
			continue
		}
		if score := o.scoreWorker(t, w); best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	if len(workers) > limit {
		o.scoreOffset += limit
	}
	return best, bestScore
}

// obstacle is the reason why a task may not start on a usable worker now.
type obstacle string

const (
	obstacleNone             obstacle = ""
	obstacleRefusal          obstacle = "Refusal"         // the worker has just refused a start for lack of capacity
	obstacleProbe            obstacle = "Probe"           // it runs one task at a time after failed runs
	obstacleReservation      obstacle = "Reservation"     // it is reserved for another task
	obstacleCapacity         obstacle = "Capacity"        // the task does not fit in the free capacity
	obstacleLimit            obstacle = "Limit"           // as many of the step's tasks run there as may
	obstacleShortJobReserve  obstacle = "ShortJobReserve" // the free capacity is kept for short jobs
	obstacleReturningTask    obstacle = "ReturningTask"   // a long-running task that had a run before waits
	obstacleRack             obstacle = "Rack"            // the task waits for the rack of its data
	obstacleBestEffortLimits obstacle = "BestEffortLimits"
	obstacleCapacityAge      obstacle = "CapacityAge" // the worker does not guard its capacity, and that may have shrunk
	obstacleSuspect          obstacle = "Suspect"     // the task or a run there may crash the worker
	obstaclePolicy           obstacle = "Policy"      // the outside policy does not allow the step there
)

// fits reports whether a task may start on a worker now.
func (o *Orchestrator) fits(t *task, w *worker) bool {
	o.work.scored++
	if ok, _ := o.usable(w); !ok {
		return false // it has become unusable since the survey
	}
	return o.obstacle(t, w) == obstacleNone
}

// obstacle returns why a task may not start on a usable worker now.
func (o *Orchestrator) obstacle(t *task, w *worker) obstacle {
	s := t.step
	switch {
	case o.now.Before(w.noCapacityUntil):
		return obstacleRefusal
	case w.probe != nil:
		return obstacleProbe
	case o.reservedForOther(w, t):
		return obstacleReservation
	case !w.free().covers(s.countedSize()):
		return obstacleCapacity
	case !s.occurrence.job.Policy.Guarded && o.now.Sub(o.capacitiesAt) > maxCapacityAge:
		return obstacleCapacityAge
	}
	if b := o.restriction(t, w); b != obstacleNone {
		return b
	}
	switch {
	case o.yieldsToReturning(t, w):
		return obstacleReturningTask
	case s.LongRunning && t.job().load.scarce && t.moveTarget != w && o.now.Sub(t.waitingSince) < longRunningMaxWait:
		return obstacleShortJobReserve
	case s.Fills && !o.bestEffortFits(t, w):
		return obstacleBestEffortLimits
	}
	return obstacleNone
}

// restriction returns why a task may not start on a suitable worker, however much of its capacity is free. Whatever keeps a worker free
// for a task has to ask for it.
func (o *Orchestrator) restriction(t *task, w *worker) obstacle {
	s := t.step
	switch {
	case w.atLimit(s):
		return obstacleLimit
	case s.advice.denies(w):
		return obstaclePolicy
	case o.mustBeApart(t, w):
		return obstacleSuspect
	case s.RackAffinity != "" && w.Rack != s.RackAffinity && o.waitsForRack(t):
		return obstacleRack
	}
	return obstacleNone
}

// waitsForRack reports whether a task still waits for the rack of its data.
func (o *Orchestrator) waitsForRack(t *task) bool {
	s := t.step
	wait := converter.Scale(s.expectedRunTime(o.stats(s.occurrence.job.Policy.Queue).runTimeRatio), rackWaitShare)
	return o.now.Sub(t.waitingSince) < wait && o.rackExists(s)
}

// bestEffortFits reports whether a best-effort task may start on a worker: enough of the
// processors must be unused, and no tail latency may be predicted to come near its target.
func (o *Orchestrator) bestEffortFits(t *task, w *worker) bool {
	if t.job().load.light && o.starved(t.job()) {
		return true
	}
	if w.unusedCPU() < int(bestEffortUnusedShare*float64(t.step.Size.CPU)) {
		return false // best-effort tasks that share processors would all be late
	}
	if w.load.latencyCritical == 0 || o.harmless(t.step, w) {
		return true
	}
	// Throttled best-effort tasks there must get back to full speed first; another task would
	// only be throttled too.
	if w.minSpeed < 100 {
		return false
	}
	switch left := o.headroomWith(t.step, w); {
	case left < 0:
		return false
	case left >= lateMinHeadroom:
		return true
	}
	f, _ := o.forecast(t.step.occurrence)
	return f == forecastOnTime
}

// starved reports whether a job has had nothing running for so long that one of its tasks
// must start even where other tasks slow it down.
func (o *Orchestrator) starved(j *job) bool {
	return j.runCount == 0 && o.now.Sub(j.idleSince) > starvationTimeout
}

// rackExists reports whether the rack of the step's data has a reachable worker of the job's
// service.
func (o *Orchestrator) rackExists(s *step) bool {
	for _, w := range o.workersByID() {
		if w.Rack == s.RackAffinity && w.Service == s.occurrence.job.Policy.Service && w.listed && !w.unreachable && !o.evacuations.Evacuates(w.FailureDomain) {
			return true
		}
	}
	return false
}

// unusedCPU returns the millicores that the tasks on a worker are expected to leave to a
// best-effort task.
func (w *worker) unusedCPU() int {
	counted := w.used.CPU - w.load.latencyCritical
	return w.Capacity.CPU - counted - int(latencyCriticalUseShare*float64(w.load.latencyCritical)) - w.load.bestEffort
}

// free returns the worker's capacity that no task has reserved.
func (w *worker) free() Resources { return w.Capacity.subtract(w.used) }

// atLimit reports whether no more of the step's tasks may run on the worker.
func (w *worker) atLimit(s *step) bool {
	return s.MaxPerWorker > 0 && w.countStep(s) >= s.MaxPerWorker
}

// countStep returns how many tasks of a step run on the worker.
func (w *worker) countStep(s *step) int {
	n := 0
	for _, r := range w.runs {
		if r.task.step == s {
			n++
		}
	}
	return n
}

// scoreWorker returns a worker's score for a task; the highest is chosen.
func (o *Orchestrator) scoreWorker(t *task, w *worker) float64 {
	s := t.step
	capacity := float64(max(1, w.Capacity.CPU))
	score := float64(w.unusedCPU()) / capacity
	switch {
	case s.Fills && w.load.latencyCritical > 0:
		score += weightHeadroom * o.headroomWith(s, w)
	case s.Fills:
		score += weightHeadroom*baseBudget - weightHarmless*(1-o.interferingShare(s))
	case s.LatencyTarget > 0:
		// Latency-critical tasks are packed on few workers, so that the others are left to
		// best-effort tasks that interfere.
		score = float64(w.used.CPU)/capacity - weightHeadroom*o.interferenceOn(s, w) - weightOtherImages*float64(o.otherImages(s, w))
	}
	if s.RackAffinity != "" && s.RackAffinity == w.Rack || s.SameRack && s.rack == w.Rack {
		score += weightRack
	}
	if t.unsuitableWorkers[w.ID] {
		score -= weightUnsuitable
	}
	if w.slowdown > 1 {
		score -= weightSlowdown * (w.slowdown - 1)
	}
	if len(w.suspects) > 0 && o.enabled(MechanismCrashIsolation) && w.suspectOf(t.job(), 0) {
		score -= weightSuspect
	}
	if w.Warmup > 0 {
		score -= weightWarmup
	}
	return score
}

// otherImages returns the number of latency-critical images on a worker other than the
// step's. A best-effort task must not interfere with any image of a worker: the fewer images
// each worker has, the more workers are left for each best-effort task.
func (o *Orchestrator) otherImages(s *step, w *worker) int {
	if !o.enabled(MechanismImageSeparation) {
		return 0
	}
	n := 0
	for _, h := range o.headrooms(w) {
		if h.image.name != s.Image {
			n++
		}
	}
	return n
}
