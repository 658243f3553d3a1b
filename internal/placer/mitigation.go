package placer

import (
	"fmt"
	"slices"
	"time"
)

// Settings of the mitigation of degraded services. A service is degraded if its pressure, as
// returned by Placer.pressure, is above 1.
const (
	// maxActionsPerHour bounds the throttles, checkpoints and stops of one task.
	maxActionsPerHour = 6
	// minThrottleLimit is the lowest limit of a throttle, as a share of declared cores.
	minThrottleLimit = 0.25
	// minNeighbourSlowdown is the estimated excess slowdown that a neighbour must add to the
	// service before mitigation acts on the neighbour.
	minNeighbourSlowdown = 0.02
	// targetExcessShare is the share of the permitted excess slowdown (SlowdownBound - 1) to
	// which a throttle should bring the service.
	targetExcessShare = 0.8
	// maxPressureBeforeRelease is the pressure below which a throttle may be released.
	maxPressureBeforeRelease = 0.85
	// maxPressureAfterRelease is the highest estimated pressure after a release. The gaps between
	// both bounds and 1 prevent oscillation.
	maxPressureAfterRelease = 0.95
	// initialThrottleHold is the shortest time between a throttle and its release. The hold time
	// doubles, up to maxThrottleHold, if a task is throttled again within twice the hold time
	// after a release.
	initialThrottleHold = 30 * time.Second
	maxThrottleHold     = 10 * time.Minute
	// checkpointTimeout is the time that a checkpoint may take before the task is stopped.
	checkpointTimeout = 30 * time.Second
	// moveBackDelay is how long a task that was moved away is not placed on the same worker.
	moveBackDelay = 10 * time.Minute
	// maxMemoryShare is the share of a worker's memory in use above which a batch task is moved, so
	// that the worker does not run out of memory.
	maxMemoryShare = 0.97
	// minExplainedShare is the share of a service's excess slowdown that the estimate must
	// attribute to the batch tasks beside it before mitigation acts on one of them.
	minExplainedShare = 0.3
	// maxIneffectiveActions is the number of actions on a worker in one mitigationWindow after which
	// mitigation pauses until the end of the window if the actions had too little effect.
	maxIneffectiveActions = 5
	// ineffectiveExcessShare is the share of the initial excess slowdown above which the remaining
	// excess means that the actions had too little effect.
	ineffectiveExcessShare = 0.8
	// mitigationWindow is the time over which the actions on a worker are counted.
	mitigationWindow = 5 * time.Minute
	// maxMitigatedTasks bounds the number of tasks with a mitigation history, and the number with a
	// recorded move.
	maxMitigatedTasks = 4096
)

// taskMitigation is the history of the mitigation actions on a task.
type taskMitigation struct {
	actions      []time.Time // of the last hour, at most maxActionsPerHour
	throttleHold time.Duration
	throttled    time.Time // last throttle
	released     time.Time // last release
	checkpointed time.Time // last checkpoint action
}

// move is a move of a task away from a worker. The task is not placed on that worker before until.
type move struct {
	worker string
	until  time.Time
}

// mitigationAttempt counts the actions on a worker within one mitigationWindow.
type mitigationAttempt struct {
	started         time.Time
	initialSlowdown float64 // of the degraded service at the start
	actions         int
}

// mitigationState is the history of mitigation actions that limits further actions.
type mitigationState struct {
	attempts    map[string]mitigationAttempt // by worker
	lastActions map[string]time.Time         // by worker
	tasks       map[string]*taskMitigation   // by task
	recentMoves map[string]move              // by task
}

func newMitigationState() mitigationState {
	return mitigationState{attempts: map[string]mitigationAttempt{}, lastActions: map[string]time.Time{}, tasks: map[string]*taskMitigation{}, recentMoves: map[string]move{}}
}

func (s *mitigationState) recentlyMovedFrom(task, worker string, now time.Time) bool {
	if len(s.recentMoves) == 0 {
		return false
	}
	m, ok := s.recentMoves[task]
	return ok && m.worker == worker && now.Before(m.until)
}

// prune drops entries that no longer affect decisions.
func (s *mitigationState) prune(now time.Time) {
	for w, at := range s.lastActions {
		if now.Sub(at) > time.Hour {
			delete(s.lastActions, w)
			delete(s.attempts, w)
		}
	}
	for t, m := range s.recentMoves {
		if !now.Before(m.until) || len(s.recentMoves) > maxMitigatedTasks {
			delete(s.recentMoves, t)
		}
	}
	for t, r := range s.tasks {
		if now.Sub(r.lastAction()) > 2*time.Hour || len(s.tasks) > maxMitigatedTasks {
			delete(s.tasks, t)
		}
	}
}

func (r *taskMitigation) lastAction() time.Time {
	return latest(r.throttled, r.released, r.checkpointed)
}

func latest(ts ...time.Time) time.Time {
	out := time.Time{}
	for _, t := range ts {
		if t.After(out) {
			out = t
		}
	}
	return out
}

// belowActionLimit reports whether maxActionsPerHour permits one more action on the task.
func (s *mitigationState) belowActionLimit(task string, now time.Time) bool {
	r := s.tasks[task]
	if r == nil {
		return true
	}
	r.actions = slices.DeleteFunc(r.actions, func(t time.Time) bool { return now.Sub(t) >= time.Hour })
	return len(r.actions) < maxActionsPerHour
}

func (s *mitigationState) task(name string) *taskMitigation {
	r := s.tasks[name]
	if r == nil {
		r = &taskMitigation{throttleHold: initialThrottleHold}
		s.tasks[name] = r
	}
	return r
}

func (s *mitigationState) recordAction(worker, task string, now time.Time) *taskMitigation {
	s.lastActions[worker] = now
	if a, ok := s.attempts[worker]; ok {
		a.actions++
		s.attempts[worker] = a
	}
	r := s.task(task)
	r.actions = append(r.actions, now)
	return r
}

// pressure returns the excess slowdown of a service instance as a share of the excess slowdown at
// SlowdownBound, or its latency as a share of its latency target if that is larger. The instance is
// degraded if the result is above 1.
func (p *Placer) pressure(r *AssignedTask) float64 {
	out := 0.0
	if r.Slowdown > 0 {
		out = (r.Slowdown - 1) / (p.policy.SlowdownBound - 1)
	}
	// A service that misses its latency target without being slowed down by its neighbours
	// has too few instances, which mitigation cannot change.
	if r.LatencyTarget > 0 && r.Latency > 0 && (r.Slowdown == 0 || out > maxPressureBeforeRelease) {
		out = max(out, float64(r.Latency)/float64(r.LatencyTarget))
	}
	return out
}

// Mitigate returns at most one action per worker: an action on the batch task that slows down the
// worker's most degraded service at the least cost, the release of a throttle, or the move of a
// batch task if memory runs out. The next action on a worker waits for a report that was measured
// after the last action.
func (p *Placer) Mitigate(ws []Worker, now time.Time) []Mitigation {
	if p.baseline() {
		return nil
	}
	p.mitigation.prune(now)
	var out []Mitigation
	for i := range ws {
		w := &ws[i]
		if !w.EpochAccepted || now.Sub(w.MeasuredAt) > maxReportAge || !w.MeasuredAt.After(p.lastAction(w)) {
			continue
		}
		worst, pressure := -1, 0.0
		for j := range w.AssignedTasks {
			if r := &w.AssignedTasks[j]; r.Kind == KindService && r.Started.Before(w.MeasuredAt) {
				if v := p.pressure(r); worst < 0 || v > pressure {
					worst, pressure = j, v
				}
			}
		}
		var r Mitigation
		switch {
		case worst >= 0 && pressure > 1:
			r = p.mitigateService(w, &w.AssignedTasks[worst], pressure, now)
		case pressure < maxPressureBeforeRelease:
			r = p.release(w, worst, now)
		}
		if r == nil {
			r = p.mitigateMemory(w, now)
		}
		if r != nil {
			out = append(out, r)
		}
	}
	return out
}

// lastAction returns the time of the last action on a worker. It takes the last actions of the
// assigned tasks into account, because the caller may know of actions that this placer did not
// decide.
func (p *Placer) lastAction(w *Worker) time.Time {
	last := p.mitigation.lastActions[w.Name]
	for i := range w.AssignedTasks {
		last = latest(last, w.AssignedTasks[i].LastAction)
	}
	return last
}

// neighbour is a batch task on the worker of a degraded service.
type neighbour struct {
	taskIndex       int
	slowdown        float64 // estimated excess slowdown that it adds to the service
	costPerSlowdown float64
}

// neighbours returns three results: the batch tasks on which an action may reduce the slowdown of a
// service, in order of cost per slowdown; the index of a task whose checkpoint is overdue, or -1;
// and the excess slowdown that the estimate attributes to all batch tasks together.
func (p *Placer) neighbours(w *Worker, service *AssignedTask, now time.Time) (list []neighbour, overdue int, explained float64) {
	victim := p.estimator.classIndex(service.Class)
	overdue = -1
	for i := range w.AssignedTasks {
		r := &w.AssignedTasks[i]
		if r.Kind != KindBatch {
			continue
		}
		mean, _ := p.estimator.coefficient(victim, p.estimator.classIndex(r.Class), now)
		slowdown := mean * r.usedCores() / w.Capacity.Cores
		explained += slowdown
		if r.Stopping {
			if t := p.mitigation.tasks[r.Name]; t != nil && !t.checkpointed.IsZero() && now.Sub(t.checkpointed) > checkpointTimeout {
				overdue = i
			}
			continue
		}
		if slowdown < minNeighbourSlowdown || !p.mitigation.belowActionLimit(r.Name, now) {
			continue
		}
		cost := p.victimCost(r, now)
		if r.Urgent {
			cost *= urgentThrottleCostFactor
		}
		list = append(list, neighbour{i, slowdown, cost / slowdown})
	}
	slices.SortStableFunc(list, func(a, b neighbour) int {
		switch {
		case a.costPerSlowdown < b.costPerSlowdown:
			return -1
		case a.costPerSlowdown > b.costPerSlowdown:
			return 1
		}
		return 0
	})
	return list, overdue, explained
}

// mitigateService returns the next action for a degraded service, or nil. It throttles a neighbour
// that can still be throttled. If there is none, it moves a neighbour. If none may be moved, it
// stops a task whose checkpoint is overdue.
func (p *Placer) mitigateService(w *Worker, service *AssignedTask, pressure float64, now time.Time) Mitigation {
	list, overdue, explained := p.neighbours(w, service, now)
	if !p.likelyEffective(w, service, explained, now) {
		return nil
	}
	cause := fmt.Sprintf("slowdown %.2f, latency %s, target %s", service.Slowdown, service.Latency, service.LatencyTarget)
	candidates := neighbourCandidates(w, list, now)
	for _, n := range list {
		r := &w.AssignedTasks[n.taskIndex]
		if limit := limitOf(r); limit > minThrottleLimit {
			t := p.mitigation.recordAction(w.Name, r.Name, now)
			t.recordThrottle(now)
			excess := service.Slowdown - 1 - targetExcessShare*(p.policy.SlowdownBound-1)
			return Throttle{Worker: w.Name, Task: r.Name, Limit: nextLimit(limit, excess, n.slowdown), Service: service.Name, Rule: RuleThrottle, Cause: cause, Candidates: candidates}
		}
	}
	// The higher the weight of evictions, the more degraded a service must be to justify one.
	mayMove := pressure > 1+p.measures.Evictions
	for _, n := range list {
		r := &w.AssignedTasks[n.taskIndex]
		if r.Urgent || !mayMove {
			continue
		}
		p.mitigation.recordAction(w.Name, r.Name, now).checkpointed = now
		p.mitigation.recentMoves[r.Name] = move{w.Name, now.Add(moveBackDelay)}
		return Checkpoint{Worker: w.Name, Task: r.Name, Service: service.Name, Rule: RuleMove, Cause: cause, Candidates: candidates}
	}
	if overdue >= 0 && p.mitigation.belowActionLimit(w.AssignedTasks[overdue].Name, now) {
		r := &w.AssignedTasks[overdue]
		p.mitigation.recordAction(w.Name, r.Name, now)
		return Stop{Worker: w.Name, Task: r.Name, Service: service.Name, Rule: RuleStop, Cause: "checkpoint did not complete; " + cause, Candidates: candidates}
	}
	return nil
}

// likelyEffective reports whether mitigation can help: the neighbours explain enough of the excess
// slowdown, and earlier actions on the worker had an effect. Mitigation cannot help an instance that
// is slow for another reason than its neighbours.
func (p *Placer) likelyEffective(w *Worker, service *AssignedTask, explained float64, now time.Time) bool {
	if service.Slowdown > 0 && explained < minExplainedShare*(service.Slowdown-1) {
		return false
	}
	attempt := p.mitigation.attempts[w.Name]
	if now.Sub(attempt.started) > mitigationWindow {
		attempt = mitigationAttempt{started: now, initialSlowdown: service.Slowdown}
	}
	if attempt.actions >= maxIneffectiveActions && service.Slowdown-1 > ineffectiveExcessShare*(attempt.initialSlowdown-1) {
		return false
	}
	p.mitigation.attempts[w.Name] = attempt
	return true
}

// recordThrottle records a throttle. If it follows a release within twice the hold time, the release
// came too early, and this throttle is held for longer.
func (r *taskMitigation) recordThrottle(now time.Time) {
	if !r.released.IsZero() && now.Sub(r.released) < 2*r.throttleHold {
		r.throttleHold = min(2*r.throttleHold, maxThrottleHold)
	}
	r.throttled = now
}

// limitOf returns the share of declared cores that r may use, 1 if it is not throttled.
func limitOf(r *AssignedTask) float64 {
	if r.Throttled <= 0 || r.Throttled > 1 {
		return 1
	}
	return r.Throttled
}

// nextLimit returns the limit, a multiple of 0.25, that is estimated to remove the excess slowdown
// of a service to which the task adds the given slowdown. The result is below the present limit and
// not below minThrottleLimit.
func nextLimit(limit, excess, slowdown float64) float64 {
	wanted := limit * (1 - excess/slowdown)
	for step := 0.75; step > minThrottleLimit; step -= 0.25 {
		if step < limit && step <= wanted {
			return step
		}
	}
	return minThrottleLimit
}

func neighbourCandidates(w *Worker, list []neighbour, now time.Time) []Candidate {
	out := make([]Candidate, 0, min(len(list), MaxCandidates))
	for _, n := range list[:min(len(list), MaxCandidates)] {
		out = append(out, Candidate{Name: w.AssignedTasks[n.taskIndex].Name, Score: n.costPerSlowdown, Interference: n.slowdown, Age: now.Sub(w.MeasuredAt)})
	}
	return out
}

// release doubles the limit of one throttled task if the worker's services are estimated to stay
// below maxPressureAfterRelease.
func (p *Placer) release(w *Worker, worst int, now time.Time) Mitigation {
	for i := range w.AssignedTasks {
		r := &w.AssignedTasks[i]
		limit := limitOf(r)
		if limit == 1 || r.Kind != KindBatch || r.Stopping {
			continue
		}
		t := p.mitigation.task(r.Name)
		if t.throttled.IsZero() {
			// An earlier owner of the shard has throttled the task. The hold time starts now.
			t.throttled = now
		}
		if now.Sub(latest(t.throttled, t.released)) < t.throttleHold {
			continue
		}
		next := min(1, 2*limit)
		if worst >= 0 && p.pressureAfterRelease(w, &w.AssignedTasks[worst], r, limit, next, now) > maxPressureAfterRelease {
			continue
		}
		t.released = now
		p.mitigation.lastActions[w.Name] = now
		return Throttle{Worker: w.Name, Task: r.Name, Limit: next, Rule: RuleInterferenceEnded, Cause: fmt.Sprintf("no service of the worker is above %.2f of its bound", maxPressureBeforeRelease)}
	}
	return nil
}

// pressureAfterRelease estimates the pressure on a service after the limit of r is raised to next.
func (p *Placer) pressureAfterRelease(w *Worker, service, r *AssignedTask, limit, next float64, now time.Time) float64 {
	mean, _ := p.estimator.coefficient(p.estimator.classIndex(service.Class), p.estimator.classIndex(r.Class), now)
	added := mean * r.usedCores() * (next/limit - 1) / w.Capacity.Cores
	return p.pressure(service) + added/(p.policy.SlowdownBound-1)
}

// mitigateMemory moves the batch task with the lowest cost per byte of memory if the worker's
// measured memory exceeds maxMemoryShare of its capacity.
func (p *Placer) mitigateMemory(w *Worker, now time.Time) Mitigation {
	var used int64
	best, bestCost := -1, 0.0
	for i := range w.AssignedTasks {
		r := &w.AssignedTasks[i]
		used += r.Measured.Memory
		if r.Kind != KindBatch || r.Urgent || r.Stopping || r.Measured.Memory == 0 || !p.mitigation.belowActionLimit(r.Name, now) {
			continue
		}
		if costPerByte := p.victimCost(r, now) / float64(r.Measured.Memory); best < 0 || costPerByte < bestCost {
			best, bestCost = i, costPerByte
		}
	}
	if best < 0 || float64(used) <= maxMemoryShare*float64(w.Capacity.Memory) {
		return nil
	}
	r := &w.AssignedTasks[best]
	p.mitigation.recordAction(w.Name, r.Name, now).checkpointed = now
	p.mitigation.recentMoves[r.Name] = move{w.Name, now.Add(moveBackDelay)}
	return Checkpoint{Worker: w.Name, Task: r.Name, Rule: RuleOverCapacity, Cause: fmt.Sprintf("measured memory %d of %d bytes", used, w.Capacity.Memory)}
}
