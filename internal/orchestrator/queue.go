package orchestrator

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"peridotpitch/internal/converter"
)

// pass is the state of one scheduling pass, in which the leader tries to start the waiting
// tasks of all ready steps.
type pass struct {
	*survey
	unplaced map[string]failedSearch // by unplacedKey: the last search for a task placed by size only that fits on no worker
	changed  []*worker               // workers that have changed since the last pass
}

// survey is what passes know of all workers. Passes of maxSurveyAge share it, because going through thousands of workers in
// each of them takes a leader's processor more than the starts do.
type survey struct {
	at         time.Time
	candidates map[string][]*worker // by service and label; they may have become unusable since
	reasons    map[string]string    // by service and label: why there are no candidates
	unreached  []*worker            // workers that were unreached, see worker.unreached
}

// maxSurveyAge bounds how much later a pass takes a worker into account that has become usable.
const maxSurveyAge = 50 * time.Millisecond

// currentSurvey returns a survey that is at most maxSurveyAge old. A new one updates serviceLoads.
func (o *Orchestrator) currentSurvey() *survey {
	if o.lastSurvey != nil && o.now.Sub(o.lastSurvey.at) < maxSurveyAge {
		return o.lastSurvey
	}
	v := &survey{at: o.now, candidates: make(map[string][]*worker), reasons: make(map[string]string)}
	o.updateServiceLoads()
	for _, w := range o.workersByID() {
		if w.unreached() {
			v.unreached = append(v.unreached, w)
		}
	}
	o.lastSurvey = v
	return v
}

// failedSearch is a search for a worker that found none.
type failedSearch struct {
	size   Resources // of the task
	onTime bool      // the job could meet its deadline; a late best-effort job fits on fewer workers
	at     time.Time // when all workers were last searched
}

// failedSearch returns the search for a worker for a step's tasks, which has just failed.
func (o *Orchestrator) failedSearch(s *step) failedSearch {
	f, _ := o.forecast(s.occurrence)
	return failedSearch{size: s.Size, onTime: f == forecastOnTime, at: o.now}
}

// maxSearchAge bounds the time for which a failed search counts for workers that have not changed since. Quarantines and
// reservations end, and the interference model changes, without a change of the worker.
const maxSearchAge = 250 * time.Millisecond

// noteChange notes that a task may fit on a worker now that did not fit in the last pass.
func (o *Orchestrator) noteChange(w *worker) {
	if w.changedBefore != o.passCount {
		w.changedBefore = o.passCount
		o.changed = append(o.changed, w)
	}
}

// stillFull reports whether the last pass has found no worker for a task with the same unplacedKey that is no larger than t, and
// t does not fit on a worker that has changed since. All workers are searched again after maxSearchAge.
func (o *Orchestrator) stillFull(p *pass, t *task) bool {
	key := t.step.unplacedKey()
	f, ok := o.failedSearches[key]
	if !ok || !t.step.atLeast(f.size) || o.now.Sub(f.at) >= maxSearchAge {
		return false
	}
	if c, _ := o.forecast(t.step.occurrence); t.step.Fills && !f.onTime && c == forecastOnTime {
		return false
	}
	for _, w := range p.changed {
		if ok, _ := o.usable(w); ok && w.Service == t.job().Policy.Service && o.fits(t, w) {
			return false
		}
	}
	p.unplaced[key] = f
	return true
}

// schedule starts tasks on workers, the most urgent first.
func (o *Orchestrator) schedule() {
	o.work.passes++
	queue := o.queue()
	o.adviser.waiting = o.adviser.waiting[:0]
	o.lastPassSteps = len(queue)
	o.updateReturning(queue)
	v := o.currentSurvey()
	if len(queue) == 0 {
		o.failedSearches = nil
		return
	}
	p := &pass{survey: v, unplaced: make(map[string]failedSearch), changed: o.changed}
	o.changed, o.lastChanged, o.passCount = nil, o.changed, o.passCount+1
	defer func() { o.failedSearches = p.unplaced }()
	starts := 0
	for i, u := range queue {
		if starts >= maxStartsPerPass {
			o.passDue = true // the next pass continues
			o.work.putOffSteps += len(queue) - i
			o.lastPassSteps = i
			break
		}
		n := 0
		switch paced := o.paced(u.step); {
		case !paced:
			n = o.scheduleStep(p, u.step, len(u.step.tasks))
		case o.pacer.Available() > 0:
			n = o.scheduleStep(p, u.step, o.pacer.Available())
		case o.starvedByPacer(u.step):
			n = o.scheduleStep(p, u.step, 1)
		default:
			o.noteWait(u.step, "the leader is late, and urgent jobs go first")
			o.work.pacedSteps++
			o.pacer.HoldBack()
		}
		if n > 0 && o.canWait(u.step) {
			o.pacer.HandOut(n)
		}
		starts += n
	}
	o.work.starts += starts
}

// passPause returns the pause between two passes. It grows with the steps that the last pass went
// through. Steps whose tasks all run, and those that a pass put off, cost nothing. A leader that is
// behind leaves at least as much time to the events that wait: ends, stops, renewals of leases and
// confirmations go before starts. After a slow pass, too, the events get at least as much time as the
// pass took, whatever made it slow.
func (o *Orchestrator) passPause() time.Duration {
	return max(passInterval+time.Duration(o.lastPassSteps)*passIntervalPerStep, o.lag, min(2*o.lastPassTook, maxSlowPassPause))
}

// maxSlowPassPause limits the pause after a slow pass: the process may have been paused during it.
const maxSlowPassPause = 500 * time.Millisecond

// urgency holds the values that decide a step's place in the queue.
type urgency struct {
	step      *step
	priority  int
	forecast  forecast
	begun     bool // a task has succeeded, runs or has a checkpoint; false for long-running steps
	remaining time.Duration
	deadline  time.Time
}

// queue returns the steps with waiting tasks, the most urgent first.
func (o *Orchestrator) queue() []urgency {
	us := make([]urgency, 0, len(o.ready))
	for s := range o.ready {
		if s.hasWaitingTasks() {
			u := urgency{step: s, priority: s.occurrence.job.Policy.Priority, deadline: s.deadline()}
			u.forecast, u.remaining = o.forecast(s.occurrence)
			u.begun = !s.LongRunning && s.occurrence.begun()
			if !o.enabled(MechanismForecastOrder) {
				u.forecast, u.begun = forecastOnTime, false
			}
			us = append(us, u)
		}
	}
	slices.SortFunc(us, compareUrgency)
	return us
}

// hasWaitingTasks reports whether a task of the step neither runs nor has succeeded.
func (s *step) hasWaitingTasks() bool {
	if !s.waitingKnown {
		s.waiting = slices.ContainsFunc(s.tasks, func(t *task) bool { return !t.done && len(t.runs) == 0 })
		s.waitingKnown = true
	}
	return s.waiting
}

// placedBySizeOnly reports whether only service and size, and the image of a best-effort step, decide
// where the step's tasks can start. If one such task fits on no worker, a larger one with the same
// unplacedKey does not either, whatever else that one requires.
func (o *Orchestrator) placedBySizeOnly(s *step) bool {
	return !(s.Fills && s.occurrence.job.load.light) && !s.LongRunning && s.RequiredLabel == "" && s.RackAffinity == "" && s.MaxPerWorker == 0 && !s.Gang && !s.occurrence.job.Policy.Advised
}

// unplacedKey returns the service, and the image of a best-effort step.
func (s *step) unplacedKey() string {
	if s.Fills {
		return "best-effort " + s.occurrence.job.Policy.Service + "/" + s.Image
	}
	return s.occurrence.job.Policy.Service
}

// knownFull reports whether this pass has found no worker for a task with the same unplacedKey
// that is no larger than the step's tasks.
func (p *pass) knownFull(s *step) bool {
	f, ok := p.unplaced[s.unplacedKey()]
	return ok && s.atLeast(f.size)
}

// atLeast reports whether the step's tasks are at least as large as size in each resource.
func (s *step) atLeast(size Resources) bool {
	return s.Size.CPU >= size.CPU && s.Size.Memory >= size.Memory && s.Size.GPU >= size.GPU
}

// lightLoadShare is the share of the usable workers' processors below which the load is
// light. The platform requires that a job runs while less than half is in use. Because it
// does not count the same workers as usable as the leader does, the bound here is higher.
const lightLoadShare = 0.6

// serviceLoad says how much of the processors of a service's usable workers is in use. A service without such workers is neither scarce nor
// lightly loaded.
type serviceLoad struct {
	scarce bool // only the reserve for short jobs is left
	light  bool // less than lightLoadShare is in use: a job without a run must start even where other tasks slow it down
}

// serviceLoad returns the load of a service, which updateServiceLoads keeps up to date.
func (o *Orchestrator) serviceLoad(service string) *serviceLoad {
	l := o.serviceLoads[service]
	if l == nil {
		l = &serviceLoad{}
		o.serviceLoads[service] = l
	}
	return l
}

// updateServiceLoads sets serviceLoads.
func (o *Orchestrator) updateServiceLoads() {
	type sum struct{ capacity, used int }
	sums := make(map[string]sum)
	for _, w := range o.workersByID() {
		if ok, _ := o.usable(w); ok {
			s := sums[w.Service]
			sums[w.Service] = sum{s.capacity + w.Capacity.CPU, s.used + w.used.CPU}
		}
	}
	for service, l := range o.serviceLoads {
		s := sums[service]
		*l = serviceLoad{
			scarce: o.enabled(MechanismShortJobReserve) && float64(s.used) > (1-shortJobReserveShare)*float64(s.capacity),
			light:  float64(s.used) < lightLoadShare*float64(s.capacity),
		}
	}
}

// forecast says whether a job is expected to meet its deadline.
type forecast string

// lateFactor is the multiple of the time between due time and deadline within which a job
// must end to count in part for the platform.
const lateFactor = 3

// unstartedDelayFactor is the expected time to the end of an occurrence that has not begun,
// as a multiple of the run time of its longest chain of steps. Tasks wait for capacity, run
// slower beside others, and fail.
const unstartedDelayFactor = 1.75

// begun reports whether a task of the occurrence has succeeded, runs or has a checkpoint.
func (oc *occurrence) begun() bool {
	for _, s := range oc.steps {
		if s.unfinished < s.Count {
			return true
		}
		for _, t := range s.tasks {
			if len(t.runs) > 0 || t.saved != "" {
				return true
			}
		}
	}
	return false
}

// forecastMaxAge bounds the age of a cached forecast.
const forecastMaxAge = 250 * time.Millisecond

// forecast returns an occurrence's forecast and the expected run time of its longest chain of
// unfinished steps.
func (o *Orchestrator) forecast(oc *occurrence) (forecast, time.Duration) {
	if oc.forecast != "" && o.now.Sub(oc.forecastAt) < forecastMaxAge {
		return oc.forecast, oc.remainingRunTime
	}
	if oc.steps[0].LongRunning {
		// A long-running task has no deadline: each second without a run costs the same.
		return forecastOnTime, 0
	}
	qs := o.stats(oc.job.Policy.Queue)
	ends := make([]time.Duration, len(oc.steps))
	oc.remainingRunTime = 0
	for i, s := range oc.steps {
		for _, a := range s.After {
			ends[i] = max(ends[i], ends[a])
		}
		if s.unfinished > 0 {
			took := converter.Scale(s.expectedRunTime(qs.runTimeRatio), qs.longestFactor(s.unfinished))
			if s.unfinished < s.Count {
				took /= 2 // some tasks have succeeded already
			}
			ends[i] += took
		}
		oc.remainingRunTime = max(oc.remainingRunTime, ends[i])
	}
	expected := oc.remainingRunTime
	if !oc.begun() {
		expected = converter.Scale(expected, unstartedDelayFactor)
	}
	end := o.now.Add(expected)
	oc.forecastAt = o.now
	switch {
	case !end.After(oc.deadline()):
		oc.forecast = forecastOnTime
	case !end.After(oc.due.Add(lateFactor * oc.deadline().Sub(oc.due))):
		oc.forecast = forecastLate
	default:
		oc.forecast = forecastMissed
	}
	return oc.forecast, oc.remainingRunTime
}

// compareUrgency orders steps by priority, then by forecast, and then puts steps of
// occurrences that have begun first. Steps that are on time are ordered by deadline. Of the
// others, those with the least remaining run time go first: if many jobs ran in turns, all
// would end late.
func compareUrgency(a, b urgency) int {
	if c := cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.forecast, b.forecast)); c != 0 {
		return c
	}
	if a.begun != b.begun {
		if a.begun {
			return -1
		}
		return 1
	}
	if a.forecast != forecastOnTime {
		if c := cmp.Compare(a.remaining, b.remaining); c != 0 {
			return c
		}
	}
	return cmp.Or(a.deadline.Compare(b.deadline), cmp.Compare(a.step.occurrence.job.ID, b.step.occurrence.job.ID), cmp.Compare(a.step.index, b.step.index))
}

// deadline returns when the step's tasks should have ended, or should have started again if
// they are long-running.
func (s *step) deadline() time.Time {
	if !s.LongRunning {
		return s.occurrence.deadline()
	}
	latest := s.readyAt
	for _, t := range s.tasks {
		if len(t.runs) == 0 && t.waitingSince.After(latest) {
			latest = t.waitingSince
		}
	}
	return latest.Add(longRunningMaxWait)
}

// deadline returns the occurrence's deadline: as long after its due time as the job's
// deadline is after its submission.
func (oc *occurrence) deadline() time.Time {
	return oc.job.deadline.Add(oc.due.Sub(oc.job.Submitted))
}

// noteWait notes why a step waits, at most once in waitNoteInterval.
func (o *Orchestrator) noteWait(s *step, reason string) {
	if o.now.Sub(s.waitNotedAt) < waitNoteInterval {
		return
	}
	s.waitNotedAt = o.now
	o.emit(Note{Event: EventWait, Job: s.occurrence.job.ID, Task: fmt.Sprintf("%s.%d.%d", s.occurrence.job.ID, s.occurrence.number, s.index),
		Reason: reason, Age: o.now.Sub(s.readyAt), Figures: fmt.Sprintf("Left=%d Ready=%d%s", s.unfinished, len(o.ready), o.waitFigures(s))})
}

// waitFigures returns what a waiting step waits for: the limit on starts, if it is that, or otherwise capacity.
func (o *Orchestrator) waitFigures(s *step) string {
	if o.paced(s) { // no worker was searched for, and the leader is late
		return fmt.Sprintf(" StartLimit=%d Lag=%s", int(o.pacer.Limit()), o.lag.Round(time.Millisecond))
	}
	return o.capacityFigures(s)
}

// capacityFigures returns what a task of the step needs, what the candidate with the most free
// processors has free, as cores/GB, and how many candidates each obstacle excludes. It is empty for
// best-effort tasks.
func (o *Orchestrator) capacityFigures(s *step) string {
	i := slices.IndexFunc(s.tasks, func(t *task) bool { return !t.done && len(t.runs) == 0 })
	if s.Fills || i < 0 {
		return ""
	}
	workers, _ := o.suitableWorkers(o.currentSurvey(), s)
	var most Resources
	excluded := make(map[obstacle]int)
	for _, w := range workers {
		if free := w.free(); free.CPU > most.CPU {
			most = free
		}
		excluded[o.obstacle(s.tasks[i], w)]++
	}
	figures := fmt.Sprintf(" Needs=%.1f/%.1f Free=%.1f/%.1f Candidates=%d", float64(s.Size.CPU)/1000, float64(s.Size.Memory)/1000,
		float64(most.CPU)/1000, float64(most.Memory)/1000, len(workers))
	for _, b := range slices.Sorted(maps.Keys(excluded)) {
		if b != obstacleNone {
			figures += fmt.Sprintf(" %s=%d", b, excluded[b])
		}
	}
	if excluded[obstacleReturningTask] > 0 {
		for _, w := range workers {
			if o.yieldsToReturning(s.tasks[i], w) {
				figures += " KeptFor=" + o.keptPlaces(s.occurrence.job.Policy.Service)[w].task.name
				break
			}
		}
	}
	return figures
}
