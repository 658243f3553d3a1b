package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"peridotpitch/internal/commander"
	"peridotpitch/internal/configurator"
	"peridotpitch/internal/placer"
	"peridotpitch/internal/recorder"
)

const (
	// minPlacementDelay is the delay of a task's next placement decision after its first
	// postponement. It doubles with each further postponement, except for urgent tasks.
	minPlacementDelay = 200 * time.Millisecond
	// maxPlacementDelay is the longest time between two placement decisions about a task.
	maxPlacementDelay = 8 * time.Second
	// mitigationInterval is the time between two calls of Placer.Mitigate.
	mitigationInterval = time.Second
)

// jobClass returns the configured job class of the given name, or nil.
func (s *Shard) jobClass(name string) *configurator.JobClass {
	for i := range s.config.JobClasses {
		if s.config.JobClasses[i].Name == name {
			return &s.config.JobClasses[i]
		}
	}
	return nil
}

// serviceOf returns the configured service of an instance, or nil.
func (s *Shard) serviceOf(t *task) *configurator.Service {
	if t.kind != commander.KindService || s.config == nil {
		return nil
	}
	for i := range s.config.Services {
		if s.config.Services[i].Name == t.service {
			return &s.config.Services[i]
		}
	}
	return nil
}

// declaredSize returns a task's declared size or, if it has none, the size of its job
// class or the size that its worker reports.
func (s *Shard) declaredSize(t *task) configurator.Resources {
	if t.Spec.Declared != (configurator.Resources{}) {
		return t.Spec.Declared
	}
	if c := s.jobClass(t.Spec.Class); c != nil && t.kind == commander.KindBatch {
		return c.Size
	}
	return t.report.Declared
}

// isUrgent reports whether a task is a service instance, an urgent job or a job of an
// urgent class.
func (s *Shard) isUrgent(t *task) bool {
	if t.kind == commander.KindService || t.Spec.Urgent {
		return true
	}
	c := s.jobClass(t.Spec.Class)
	return c != nil && c.Urgent
}

// placerTask returns the placer's description of a task. Instances of one service are
// spread over racks and failure domains.
func (s *Shard) placerTask(t *task) placer.Task {
	return placer.Task{
		Name: t.Spec.Name, Class: t.Spec.Class, Team: t.Spec.Team, Kind: string(t.kind),
		Urgent: s.isUrgent(t), Declared: s.declaredSize(t), Spread: t.service, Attempt: max(1, t.Failures+1),
	}
}

// placerWorker returns the placer's description of a worker. It lists every task that holds
// capacity: tasks that are starting, running, stopping, unconfirmed or left by an earlier
// owner.
func (s *Shard) placerWorker(w *worker, now time.Time) placer.Worker {
	v := placer.Worker{
		Name: w.name, Rack: w.config.Rack, FailureDomain: s.settings.FailureDomain,
		Capacity:      w.report.Capacity,
		MeasuredAt:    w.reportReceivedAt.Add(w.report.MeasuredAt - w.report.Clock),
		Leaving:       w.leaving || w.report.Leaving || w.removed,
		EpochAccepted: w.acceptsTasks(now),
	}
	for _, name := range sortedNames(w.tasks) {
		v.AssignedTasks = append(v.AssignedTasks, s.placerAssignedTask(w.tasks[name]))
	}
	for _, u := range w.unassigned {
		if u.report.State.Active() {
			v.AssignedTasks = append(v.AssignedTasks, placerUnassignedTask(u.report))
		}
	}
	return v
}

// placerAssignedTask returns the placer's description of an assigned task.
func (s *Shard) placerAssignedTask(t *task) placer.AssignedTask {
	a := placer.AssignedTask{
		Task: s.placerTask(t), Measured: t.report.Used, Slowdown: t.report.Slowdown, Started: t.Started,
		Throttled: t.throttleLimit, LastAction: t.lastActionAt, Stopping: t.State == JobEvicting || t.State == JobCanceling,
	}
	a.Committed = placer.CommittedResources(a.Declared, a.Measured)
	if v := s.serviceOf(t); v != nil {
		a.LatencyTarget = v.LatencyTarget
	}
	return a
}

// placerUnassignedTask returns the placer's description of a task that the shard has not
// assigned to the worker. It counts as stopping, so that the placer neither throttles nor
// evicts a task that the shard does not manage.
func placerUnassignedTask(tr commander.TaskReport) placer.AssignedTask {
	return placer.AssignedTask{
		Task:      placer.Task{Name: tr.Task, Class: tr.Class, Kind: string(tr.Kind), Declared: tr.Declared, Attempt: tr.Attempt},
		Committed: placer.CommittedResources(tr.Declared, tr.Used), Measured: tr.Used, Slowdown: tr.Slowdown, Stopping: true,
	}
}

// placerWorkers returns the descriptions of all workers that have sent a report.
func (s *Shard) placerWorkers(now time.Time) []placer.Worker {
	var vs []placer.Worker
	for _, w := range s.sortedWorkers() {
		if !w.reportReceivedAt.IsZero() {
			vs = append(vs, s.placerWorker(w, now))
		}
	}
	return vs
}

// place makes the placement decisions for the pending tasks that are due, at most
// maxPlacementsPerTick.
func (s *Shard) place(now time.Time) {
	queue := s.placementQueue(now)
	if len(queue) == 0 {
		return
	}
	vs := s.placerWorkers(now)
	for _, t := range queue[:min(len(queue), maxPlacementsPerTick)] {
		switch d := s.settings.Placer.Place(s.placerTask(t), vs, now).(type) {
		case placer.Assign:
			s.assign(t, d, vs, now)
		case placer.Wait:
			s.postpone(t, recorder.KindWait, string(d.Rule), d.Reason, nil, now)
		case placer.Unschedulable:
			s.reject(t, d, now)
		case placer.Preempt:
			s.preempt(t, d, vs, now)
		}
	}
}

// placementQueue returns the pending tasks that may be placed now: urgent ones first, then
// by time of submission.
func (s *Shard) placementQueue(now time.Time) []*task {
	recovered := s.recovered(now)
	active := s.activeUnassignedTasks(now)
	var queue []*task
	for _, t := range s.tasks {
		switch {
		case t.State != JobPending || now.Before(t.nextPlacementAt):
		case s.storeUnavailable && t.submittedVersion > s.durableVersion:
			// The stored journal does not hold the task yet.
		case t.inherited && !recovered && t.kind == commander.KindBatch:
			// A worker that has not accepted this owner's epoch may still run the job.
		case t.kind == commander.KindBatch && active[t.Spec.Name]:
			// A worker still runs an earlier attempt or an unlisted task of this name.
		default:
			queue = append(queue, t)
		}
	}
	slices.SortFunc(queue, func(a, b *task) int {
		return cmp.Or(cmp.Compare(s.urgencyRank(a), s.urgencyRank(b)), a.Submitted.Compare(b.Submitted), cmp.Compare(a.Spec.Name, b.Spec.Name))
	})
	return queue
}

// activeUnassignedTasks returns the names of the unassigned tasks that may still be
// running.
func (s *Shard) activeUnassignedTasks(now time.Time) map[string]bool {
	active := make(map[string]bool)
	for _, w := range s.workers {
		for _, u := range w.unassigned {
			if u.report.State.Active() && !unassignedLeaseEnded(w, u, now) {
				active[u.report.Task] = true
			}
		}
	}
	return active
}

// unassignedLeaseEnded reports whether the lease of an unassigned task on an unresponsive
// worker has ended, so that the task no longer runs.
func unassignedLeaseEnded(w *worker, u *unassignedTask, now time.Time) bool {
	return w.unresponsive(now, unresponsiveTimeout) && now.After(w.reportReceivedAt.Add(u.report.LeaseEnd-w.report.Clock+leaseDriftMargin))
}

// assign assigns a task to the worker that the placer chose. The start command follows
// once the stored journal holds the assignment.
func (s *Shard) assign(t *task, d placer.Assign, vs []placer.Worker, now time.Time) {
	i := slices.IndexFunc(vs, func(v placer.Worker) bool { return v.Name == d.Worker })
	if i < 0 || !s.hasFreeCapacity(t, &vs[i]) {
		s.postpone(t, recorder.KindWait, "CapacityGuard", "the chosen worker has no room", nil, now)
		return
	}
	w := s.workers[d.Worker]
	t.Attempt++
	t.State, t.Worker, t.postponements, t.lastReason = JobStarting, w.name, 0, ""
	t.Decision = fmt.Sprintf("placed on %s by rule %s", w.name, d.Rule)
	w.tasks[t.Spec.Name] = t
	vs[i].AssignedTasks = append(vs[i].AssignedTasks, s.placerAssignedTask(t))
	s.markChanged(t)
	s.recordDecision(DecisionRecord{ID: t.Spec.Name, Kind: recorder.KindPlace, Rule: string(d.Rule), Cause: "pending", Worker: w.name, Candidates: d.Candidates}, now)
}

// hasFreeCapacity reports whether a task's declared size fits into the free capacity of a
// worker that accepts tasks. It is checked before every assignment, whatever the placement
// policy decided.
func (s *Shard) hasFreeCapacity(t *task, v *placer.Worker) bool {
	if !v.EpochAccepted || v.Leaving {
		return false
	}
	used := s.declaredSize(t)
	for _, a := range v.AssignedTasks {
		used = used.Add(a.Declared)
	}
	return used.Fits(v.Capacity)
}

// postpone sets the time of the next placement decision about a task. A decision is
// recorded only if its rule differs from the rule of the last recorded decision.
func (s *Shard) postpone(t *task, kind recorder.Kind, rule, reason string, cs []placer.Candidate, now time.Time) {
	delay := minPlacementDelay
	if !s.isUrgent(t) {
		delay = min(minPlacementDelay<<min(t.postponements, 10), maxPlacementDelay)
	}
	t.postponements++
	t.nextPlacementAt = now.Add(delay)
	t.Decision = "waits: " + reason
	if t.lastReason != rule {
		t.lastReason = rule
		s.recordDecision(DecisionRecord{ID: t.Spec.Name, Kind: kind, Rule: rule, Cause: reason, Candidates: cs}, now)
	}
}

// reject ends a job that can never run. A service instance stays pending, because a later
// configuration may allow it.
func (s *Shard) reject(t *task, d placer.Unschedulable, now time.Time) {
	if t.kind == commander.KindService {
		s.postpone(t, recorder.KindUnschedulable, string(d.Rule), d.Reason, nil, now)
		return
	}
	n := d.Nearest
	s.finish(t, JobRejected, fmt.Sprintf("can never run: %s; nearest size that would fit: %g cores, %d bytes, %d accelerators",
		d.Reason, n.Cores, n.Memory, n.Accelerators), now)
}

// preempt evicts the victims and postpones the task until their capacity is free.
func (s *Shard) preempt(t *task, d placer.Preempt, vs []placer.Worker, now time.Time) {
	for _, name := range d.Victims {
		v := s.tasks[name]
		if v == nil || v.kind != commander.KindBatch || v.Worker != d.Worker {
			continue
		}
		s.evict(v, "preempted by "+t.Spec.Name, string(d.Rule), placer.PreemptGrace, d.Candidates, now)
	}
	for i := range vs {
		for k := range vs[i].AssignedTasks {
			if a := &vs[i].AssignedTasks[k]; vs[i].Name == d.Worker && slices.Contains(d.Victims, a.Name) {
				a.Stopping, a.LastAction = true, now
			}
		}
	}
	s.postpone(t, recorder.KindPreempt, string(d.Rule), "room is being made on "+d.Worker, d.Candidates, now)
}

// evict starts the eviction of a batch task: the next stop command makes the worker
// checkpoint and stop it. The job is requeued once the worker reports it as stopped.
func (s *Shard) evict(t *task, cause, rule string, grace time.Duration, cs []placer.Candidate, now time.Time) {
	if t.State != JobStarting && t.State != JobRunning {
		return
	}
	s.recordDecision(DecisionRecord{ID: t.Spec.Name, Kind: recorder.KindEvict, Rule: rule, Cause: cause, Worker: t.Worker, Candidates: cs}, now)
	if !t.maybeStarted {
		s.requeue(t, cause, now)
		return
	}
	t.State, t.evictionCause, t.Decision, t.gracePeriod, t.stopSentAt, t.lastActionAt = JobEvicting, cause, cause, grace, time.Time{}, now
	s.markChanged(t)
}

// mitigateInterference carries out the mitigations that the placer decides on for degraded
// services: throttling, checkpointing or stopping batch tasks.
func (s *Shard) mitigateInterference(now time.Time) {
	if now.Sub(s.lastMitigationAt) < mitigationInterval {
		return
	}
	s.lastMitigationAt = now
	for _, m := range s.settings.Placer.Mitigate(s.placerWorkers(now), now) {
		switch m := m.(type) {
		case placer.Throttle:
			s.throttle(m, now)
		case placer.Checkpoint:
			s.evictForMitigation(m.Worker, m.Task, m.Cause, m.Rule, evictionGracePeriod, m.Candidates, now)
		case placer.Stop:
			s.evictForMitigation(m.Worker, m.Task, m.Cause, m.Rule, 0, m.Candidates, now)
		}
	}
}

// evictForMitigation evicts a batch task that degrades a service. If the task is already
// being evicted, only a shorter grace period has an effect.
func (s *Shard) evictForMitigation(worker, name, cause string, rule placer.Rule, grace time.Duration, cs []placer.Candidate, now time.Time) {
	t := s.tasks[name]
	if t == nil || t.Worker != worker || t.kind != commander.KindBatch {
		return
	}
	if t.State == JobEvicting && grace < t.gracePeriod {
		t.gracePeriod, t.stopSentAt, t.lastActionAt = grace, time.Time{}, now
		return
	}
	s.evict(t, cause, string(rule), grace, cs, now)
}

// throttle sets or removes the limit of a running batch task.
func (s *Shard) throttle(m placer.Throttle, now time.Time) {
	t := s.tasks[m.Task]
	if t == nil || t.Worker != m.Worker || t.State != JobRunning {
		return
	}
	t.throttleLimit, t.lastActionAt = m.Limit, now
	s.recordDecision(DecisionRecord{ID: m.Task, Kind: recorder.KindThrottle, Rule: string(m.Rule), Cause: m.Cause, Worker: m.Worker, Candidates: m.Candidates}, now)
}

// evacuateLeavingWorkers evicts the batch tasks and retires the service instances of
// workers that are leaving or no longer configured. The recorded rule "HostLeaving" means
// that the worker is leaving.
func (s *Shard) evacuateLeavingWorkers(now time.Time) {
	for _, w := range s.sortedWorkers() {
		if !w.leaving && !w.report.Leaving && !w.removed {
			continue
		}
		for _, name := range sortedNames(w.tasks) {
			t := w.tasks[name]
			if t.kind == commander.KindService {
				s.retire(t, "worker is leaving", now)
			} else {
				s.evict(t, "worker "+w.name+" is leaving", "HostLeaving", evictionGracePeriod, nil, now)
			}
		}
	}
}
