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
	// waitShortest and waitLongest bound the time between two decisions about a task
	// that has to wait. Urgent tasks always wait the shortest time.
	waitShortest = 200 * time.Millisecond
	waitLongest  = 8 * time.Second
	relieveEvery = time.Second
)

func (s *Shard) class(name string) *configurator.JobClass {
	for i := range s.config.JobClasses {
		if s.config.JobClasses[i].Name == name {
			return &s.config.JobClasses[i]
		}
	}
	return nil
}

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

// declared returns the size of a task.
func (s *Shard) declared(t *task) configurator.Resources {
	if t.Spec.Declared != (configurator.Resources{}) {
		return t.Spec.Declared
	}
	if c := s.class(t.Spec.Class); c != nil && t.kind == commander.KindBatch {
		return c.Size
	}
	return t.report.Declared
}

func (s *Shard) isUrgent(t *task) bool {
	if t.kind == commander.KindService || t.Spec.Urgent {
		return true
	}
	c := s.class(t.Spec.Class)
	return c != nil && c.Urgent
}

// placingTask describes a task to the placer. Instances of a service are spread.
func (s *Shard) placingTask(t *task) placer.Task {
	return placer.Task{
		Name: t.Spec.Name, Class: t.Spec.Class, Team: t.Spec.Team, Kind: string(t.kind),
		Urgent: s.isUrgent(t), Declared: s.declared(t), Spread: t.service, Attempt: max(1, t.Failures+1),
	}
}

// view returns what the placer sees of a worker: every task that is running, starting,
// stopping, not acknowledged or left by an earlier owner holds its capacity.
func (s *Shard) view(w *worker, now time.Time) placer.Worker {
	v := placer.Worker{
		Name: w.name, Rack: w.config.Rack, FailureDomain: s.settings.FailureDomain,
		Capacity:   w.report.Capacity,
		ReportedAt: w.receivedAt.Add(w.report.MeasuredAt - w.report.Clock),
		Leaving:    w.leaving || w.report.Leaving || w.removed,
		Fenced:     w.usable(now),
	}
	for _, name := range sortedNames(w.tasks) {
		v.Residents = append(v.Residents, s.resident(w.tasks[name]))
	}
	for _, o := range w.foreign {
		if o.report.State.Active() {
			v.Residents = append(v.Residents, stranger(o.report))
		}
	}
	return v
}

func (s *Shard) resident(t *task) placer.Resident {
	r := placer.Resident{
		Task: s.placingTask(t), Measured: t.report.Used, Slowdown: t.report.Slowdown, Started: t.Started,
		Throttled: t.limit, LastAction: t.lastAction, Stopping: t.State == JobEvicting || t.State == JobCanceling,
	}
	r.Committed = placer.Commit(r.Declared, r.Measured)
	if v := s.serviceOf(t); v != nil {
		r.LatencyTarget = v.LatencyTarget
	}
	return r
}

// stranger describes a task that the shard has not assigned.
func stranger(tr commander.TaskReport) placer.Resident {
	return placer.Resident{
		Task:      placer.Task{Name: tr.Task, Class: tr.Class, Kind: string(tr.Kind), Declared: tr.Declared, Attempt: tr.Attempt},
		Committed: placer.Commit(tr.Declared, tr.Used), Measured: tr.Used, Slowdown: tr.Slowdown, Stopping: true,
	}
}

func (s *Shard) views(now time.Time) []placer.Worker {
	var vs []placer.Worker
	for _, w := range s.sortedWorkers() {
		if !w.receivedAt.IsZero() {
			vs = append(vs, s.view(w, now))
		}
	}
	return vs
}

// place decides about waiting tasks.
func (s *Shard) place(now time.Time) {
	queue := s.queue(now)
	if len(queue) == 0 {
		return
	}
	vs := s.views(now)
	for _, t := range queue[:min(len(queue), maxPlacements)] {
		switch d := s.settings.Placer.Place(s.placingTask(t), vs, now).(type) {
		case placer.Assign:
			s.assign(t, d, vs, now)
		case placer.Wait:
			s.wait(t, recorder.KindWait, string(d.Rule), d.Reason, nil, now)
		case placer.Never:
			s.reject(t, d, now)
		case placer.Preempt:
			s.preempt(t, d, vs, now)
		}
	}
}

// queue returns the tasks that may be placed now, urgent ones first, then by age.
func (s *Shard) queue(now time.Time) []*task {
	recovered := s.recovered(now)
	active := s.activeStrays(now)
	var queue []*task
	for _, t := range s.tasks {
		switch {
		case t.State != JobPending || now.Before(t.nextTry):
		case s.storeDown && t.submitted > s.durable:
		case t.inherited && !recovered && t.kind == commander.KindBatch:
			// A worker that is not fenced may still run it.
		case t.kind == commander.KindBatch && active[t.Spec.Name]:
			// An old attempt or an unknown task of this name still runs somewhere.
		default:
			queue = append(queue, t)
		}
	}
	slices.SortFunc(queue, func(a, b *task) int {
		return cmp.Or(cmp.Compare(s.rank(a), s.rank(b)), a.Submitted.Compare(b.Submitted), cmp.Compare(a.Spec.Name, b.Spec.Name))
	})
	return queue
}

// activeStrays returns the names of tasks that run although they are not assigned.
func (s *Shard) activeStrays(now time.Time) map[string]bool {
	active := make(map[string]bool)
	for _, w := range s.workers {
		for _, o := range w.foreign {
			if o.report.State.Active() && !strayLeaseEnded(w, o, now) {
				active[o.report.Task] = true
			}
		}
	}
	return active
}

// strayLeaseEnded reports whether a task on a worker that does not answer any more has
// ended with its lease.
func strayLeaseEnded(w *worker, o *stray, now time.Time) bool {
	return w.silent(now, silentAfter) && now.After(w.receivedAt.Add(o.report.LeaseEnd-w.report.Clock+leaseMargin))
}

// assign records the placer's choice. The start is sent once the journal holds it.
func (s *Shard) assign(t *task, d placer.Assign, vs []placer.Worker, now time.Time) {
	i := slices.IndexFunc(vs, func(v placer.Worker) bool { return v.Name == d.Worker })
	if i < 0 || !s.hasRoom(t, &vs[i]) {
		s.wait(t, recorder.KindWait, "CapacityGuard", "the chosen worker has no room", nil, now)
		return
	}
	w := s.workers[d.Worker]
	t.Attempt++
	t.State, t.Worker, t.waits, t.lastReason = JobStarting, w.name, 0, ""
	t.Decision = fmt.Sprintf("placed on %s by rule %s", w.name, d.Rule)
	w.tasks[t.Spec.Name] = t
	vs[i].Residents = append(vs[i].Residents, s.resident(t))
	s.change(t)
	s.note(Record{ID: t.Spec.Name, Kind: recorder.KindPlace, Rule: string(d.Rule), Cause: "pending", Worker: w.name, Candidates: d.Candidates}, now)
}

// hasRoom is the last check of capacity before an assignment, whatever the policy.
func (s *Shard) hasRoom(t *task, v *placer.Worker) bool {
	if !v.Fenced || v.Leaving {
		return false
	}
	used := s.declared(t)
	for _, r := range v.Residents {
		used = used.Add(r.Declared)
	}
	return used.Fits(v.Capacity)
}

func (s *Shard) wait(t *task, kind recorder.Kind, rule, reason string, cs []placer.Candidate, now time.Time) {
	delay := waitShortest
	if !s.isUrgent(t) {
		delay = min(waitShortest<<min(t.waits, 10), waitLongest)
	}
	t.waits++
	t.nextTry = now.Add(delay)
	t.Decision = "waits: " + reason
	if t.lastReason != rule {
		t.lastReason = rule
		s.note(Record{ID: t.Spec.Name, Kind: kind, Rule: rule, Cause: reason, Candidates: cs}, now)
	}
}

// reject ends a job that can never run. Instances wait for another configuration.
func (s *Shard) reject(t *task, d placer.Never, now time.Time) {
	if t.kind == commander.KindService {
		s.wait(t, recorder.KindNever, string(d.Rule), d.Reason, nil, now)
		return
	}
	n := d.Nearest
	s.finish(t, JobRejected, fmt.Sprintf("can never run: %s; nearest size that would fit: %g cores, %d bytes, %d accelerators",
		d.Reason, n.Cores, n.Memory, n.Accelerators), now)
}

// preempt evicts the victims; the task waits for their room.
func (s *Shard) preempt(t *task, d placer.Preempt, vs []placer.Worker, now time.Time) {
	for _, name := range d.Victims {
		v := s.tasks[name]
		if v == nil || v.kind != commander.KindBatch || v.Worker != d.Worker {
			continue
		}
		s.evict(v, "preempted by "+t.Spec.Name, string(d.Rule), placer.PreemptGrace, d.Candidates, now)
	}
	for i := range vs {
		for k := range vs[i].Residents {
			if r := &vs[i].Residents[k]; vs[i].Name == d.Worker && slices.Contains(d.Victims, r.Name) {
				r.Stopping, r.LastAction = true, now
			}
		}
	}
	s.wait(t, recorder.KindPreempt, string(d.Rule), "room is being made on "+d.Worker, d.Candidates, now)
}

// evict asks for a checkpoint and a stop. The job resumes after its worker has reported
// both.
func (s *Shard) evict(t *task, cause, rule string, grace time.Duration, cs []placer.Candidate, now time.Time) {
	if t.State != JobStarting && t.State != JobRunning {
		return
	}
	s.note(Record{ID: t.Spec.Name, Kind: recorder.KindEvict, Rule: rule, Cause: cause, Worker: t.Worker, Candidates: cs}, now)
	if !t.sent {
		s.requeue(t, cause, now)
		return
	}
	t.State, t.cause, t.Decision, t.grace, t.stopSent, t.lastAction = JobEvicting, cause, cause, grace, time.Time{}, now
	s.change(t)
}

// relieve carries out the placer's measures for degraded services.
func (s *Shard) relieve(now time.Time) {
	if now.Sub(s.lastRelief) < relieveEvery {
		return
	}
	s.lastRelief = now
	for _, r := range s.settings.Placer.Relieve(s.views(now), now) {
		switch r := r.(type) {
		case placer.Throttle:
			s.throttle(r, now)
		case placer.Checkpoint:
			s.relieveBy(r.Worker, r.Task, r.Cause, r.Rule, evictGrace, r.Candidates, now)
		case placer.Stop:
			s.relieveBy(r.Worker, r.Task, r.Cause, r.Rule, 0, r.Candidates, now)
		}
	}
}

func (s *Shard) relieveBy(worker, name, cause string, rule placer.Rule, grace time.Duration, cs []placer.Candidate, now time.Time) {
	t := s.tasks[name]
	if t == nil || t.Worker != worker || t.kind != commander.KindBatch {
		return
	}
	if t.State == JobEvicting && grace < t.grace {
		t.grace, t.stopSent, t.lastAction = grace, time.Time{}, now
		return
	}
	s.evict(t, cause, string(rule), grace, cs, now)
}

func (s *Shard) throttle(r placer.Throttle, now time.Time) {
	t := s.tasks[r.Task]
	if t == nil || t.Worker != r.Worker || t.State != JobRunning {
		return
	}
	t.limit, t.lastAction = r.Limit, now
	s.note(Record{ID: r.Task, Kind: recorder.KindThrottle, Rule: string(r.Rule), Cause: r.Cause, Worker: r.Worker, Candidates: r.Candidates}, now)
}

// moveFromLeaving evicts batch tasks from workers that are leaving, and retires their
// instances.
func (s *Shard) moveFromLeaving(now time.Time) {
	for _, w := range s.sortedWorkers() {
		if !w.leaving && !w.report.Leaving && !w.removed {
			continue
		}
		for _, name := range sortedNames(w.tasks) {
			t := w.tasks[name]
			if t.kind == commander.KindService {
				s.retire(t, "worker is leaving", now)
			} else {
				s.evict(t, "worker "+w.name+" is leaving", "HostLeaving", evictGrace, nil, now)
			}
		}
	}
}
