package scheduler

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"peridotpitch/internal/commander"
	"peridotpitch/internal/configurator"
	"peridotpitch/internal/keeper"
	"peridotpitch/internal/recorder"
)

// leaseMargin covers the drift of the worker's clock over one lease.
var leaseMargin = keeper.Margin(LeaseDuration)

// worker is the shard's knowledge of one of its workers.
type worker struct {
	name    string
	config  configurator.Worker
	removed bool // not in the configuration any more
	leaving bool

	report     commander.Report
	receivedAt time.Time // of report
	heardAt    time.Time // last answer of any kind
	fenced     bool
	everFenced bool      // since the claim
	asking     bool      // a fence or a report request is outstanding
	askedAt    time.Time // when it was sent
	sent       []commander.Command
	sentAt     time.Time
	// settledAt is the time from which no command sent before can still take effect. A
	// report that was asked for later is complete.
	settledAt time.Time
	rejected  bool // the worker has accepted a higher epoch

	tasks   map[string]*task  // assigned by this owner or its predecessors
	foreign map[string]*stray // reported, but not assigned here
}

// stray is a reported task that the shard has not assigned to the worker.
type stray struct {
	report   commander.TaskReport
	known    bool // an old attempt of a task that the shard knows
	stopSent time.Time
}

func (s *Shard) worker(name string) *worker {
	w, ok := s.workers[name]
	if !ok {
		w = &worker{name: name, removed: true, tasks: make(map[string]*task), foreign: make(map[string]*stray)}
		s.workers[name] = w
	}
	return w
}

// at converts a time of the owner to the worker's clock. The result is never later
// than the worker's reading at that time, because the report was received after its
// clock was read.
func (w *worker) at(t time.Time) commander.WorkerTime {
	return w.report.Clock + t.Sub(w.receivedAt)
}

func (w *worker) silent(now time.Time, after time.Duration) bool {
	return now.Sub(w.heardAt) > after
}

// usable reports whether the worker may get new work.
func (w *worker) usable(now time.Time) bool {
	return w.fenced && !w.removed && !w.leaving && !w.report.Leaving && !w.rejected && !w.silent(now, silentAfter)
}

// pollWorkers fences workers and asks for reports.
func (s *Shard) pollWorkers(now time.Time) {
	for _, w := range s.sortedWorkers() {
		if w.asking || w.removed && !w.config.Address.IsValid() || now.Sub(w.askedAt) < reportEvery {
			continue
		}
		if !w.fenced && !s.mayPlace(now) {
			continue // a fence is a message with side effects
		}
		w.asking, w.askedAt = true, now
		if w.fenced {
			s.emit(AskReport{Worker: w.name, Address: w.config.Address})
		} else {
			s.emit(SendFence{Worker: w.name, Address: w.config.Address, Epoch: s.journal.Epoch})
		}
	}
}

func (s *Shard) workerFenced(e WorkerFenced, now time.Time) {
	w := s.workers[e.Worker]
	if w == nil {
		return
	}
	w.asking = false
	if e.Epoch != s.journal.Epoch || e.Report.Epoch != s.journal.Epoch {
		return
	}
	first := !w.everFenced
	w.fenced, w.everFenced, w.rejected = true, true, false
	if first {
		s.note(Record{ID: w.name, Kind: recorder.KindAdopt, Rule: "WorkerFenced", Worker: w.name, Cause: "inventory merged"}, now)
	}
	s.merge(w, e.Report, e.SentAt, e.ReceivedAt, now)
}

func (s *Shard) reportArrived(e ReportArrived, now time.Time) {
	w := s.workers[e.Worker]
	if w == nil {
		return
	}
	w.asking = false
	if !w.fenced {
		return
	}
	if e.Report.Incarnation != w.report.Incarnation || e.Report.Epoch < s.journal.Epoch {
		// The worker has restarted and does not know the epoch any more.
		w.fenced, w.askedAt = false, time.Time{}
		w.settledAt = laterOf(w.settledAt, w.sentAt.Add(commandValidity+leaseMargin))
		return
	}
	if e.Report.Epoch > s.journal.Epoch {
		w.fenced, w.rejected = false, true
		return
	}
	s.merge(w, e.Report, e.SentAt, e.ReceivedAt, now)
}

func (s *Shard) workerRejected(e WorkerRejected, now time.Time) {
	w := s.workers[e.Worker]
	if w == nil {
		return
	}
	if !w.rejected {
		s.note(Record{ID: w.name, Kind: recorder.KindRefuse, Rule: "HigherEpoch", Worker: w.name, Cause: "the worker has accepted a newer owner"}, now)
	}
	w.asking, w.fenced, w.rejected = false, false, true
	w.unsettle()
}

// unsettle records that the outstanding commands may still take effect.
func (w *worker) unsettle() {
	if w.sent != nil {
		w.settledAt = laterOf(w.settledAt, w.sentAt.Add(commandValidity+leaseMargin))
		w.sent = nil
	}
}

func laterOf(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// merge takes a worker's inventory into the shard's state.
func (s *Shard) merge(w *worker, r commander.Report, sentAt, receivedAt, now time.Time) {
	if r.Incarnation == w.report.Incarnation && r.Clock < w.report.Clock {
		return // overtaken by a later report
	}
	w.report, w.receivedAt, w.heardAt = r, receivedAt, now
	complete := w.sent == nil && sentAt.After(w.settledAt)
	seen := make(map[string]bool, len(r.Tasks))
	w.foreign = s.sortReported(w, r, seen, now)
	for _, name := range sortedNames(w.tasks) {
		t := w.tasks[name]
		if !seen[name] && complete && (t.sent || t.refused > 0) {
			s.vanished(w, t, now)
		}
	}
	if w.removed && len(w.tasks) == 0 {
		delete(s.workers, w.name)
	}
	if s.config != nil {
		s.settings.Placer.Observe(s.view(w, now), now)
	}
}

func sortedNames(m map[string]*task) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// sortReported updates assigned tasks from a report and returns the other ones.
func (s *Shard) sortReported(w *worker, r commander.Report, seen map[string]bool, now time.Time) map[string]*stray {
	strays := make(map[string]*stray)
	for _, tr := range r.Tasks {
		t := s.tasks[tr.Task]
		if t != nil && s.adoptable(w, t, tr) {
			s.adopt(w, t, tr, now)
		}
		if t != nil && t.Worker == w.name && t.Attempt == tr.Attempt && !t.State.Ended() && t.State != JobPending {
			seen[tr.Task] = true
			s.reported(w, t, tr, now)
			if t.Worker == w.name && !t.State.Ended() {
				continue
			}
		}
		if t != nil && s.finishedUnseen(t, tr) {
			s.finish(t, JobFinished, "finished on "+w.name+" while it was silent", now)
		}
		key := strayKey(tr)
		o := w.foreign[key]
		if o == nil {
			o = &stray{}
			if t == nil && s.records.find(tr.Task) == nil && tr.State.Active() {
				s.note(Record{ID: tr.Task, Kind: recorder.KindAdopt, Rule: "UnknownTask", Worker: w.name, Cause: "not in the journal; left until its lease ends"}, now)
			}
		}
		o.report = tr
		o.known = t != nil && t.Attempt >= tr.Attempt || s.records.find(tr.Task) != nil
		strays[key] = o
	}
	return strays
}

// finishedUnseen reports whether an earlier attempt finished on a worker that counted as
// lost, before the next attempt was started.
func (s *Shard) finishedUnseen(t *task, tr commander.TaskReport) bool {
	return t.kind == commander.KindBatch && tr.State == commander.TaskFinished && tr.Attempt <= t.Attempt &&
		!t.sent && (t.State == JobPending || t.State == JobStarting)
}

func strayKey(tr commander.TaskReport) string { return tr.Task + "\x00" + strconv.Itoa(tr.Attempt) }

// adoptable reports whether a reported task is a later attempt of a job than the
// journal shows: an earlier owner may start jobs of its journal without a further write
// while the store is unavailable.
func (s *Shard) adoptable(w *worker, t *task, tr commander.TaskReport) bool {
	return t.inherited && s.inherited && tr.Attempt > t.Attempt && !t.State.Ended() &&
		(t.Worker != w.name || tr.Attempt != t.Attempt)
}

func (s *Shard) adopt(w *worker, t *task, tr commander.TaskReport, now time.Time) {
	s.unassign(t)
	t.Attempt, t.Worker, t.sent = tr.Attempt, w.name, true
	if t.State != JobCanceling {
		t.State = JobRunning
	}
	w.tasks[t.Spec.Name] = t
	s.change(t)
	s.note(Record{ID: t.Spec.Name, Kind: recorder.KindAdopt, Rule: "LaterAttemptFound", Worker: w.name, Cause: "started by an earlier owner during a store outage"}, now)
}

// reported updates a task from its worker's report.
func (s *Shard) reported(w *worker, t *task, tr commander.TaskReport, now time.Time) {
	t.report = tr
	t.sent = true
	if tr.Checkpoint != "" && tr.Checkpoint != t.Checkpoint {
		t.Checkpoint = tr.Checkpoint // carried by the next renewal
	}
	switch tr.State {
	case commander.TaskStarting, commander.TaskRunning, commander.TaskCheckpointing:
		t.leaseUntil = laterOf(t.leaseUntil, w.receivedAt.Add(tr.LeaseEnd-w.report.Clock))
		if !t.started {
			t.started = true
			if t.inherited {
				s.note(Record{ID: t.Spec.Name, Kind: recorder.KindAdopt, Rule: "FoundRunning", Worker: w.name, Cause: "attempt matches the journal"}, now)
			}
		}
		if t.State == JobStarting {
			s.becomeRunning(t, now)
		}
	case commander.TaskStopped:
		s.taskEnded(w, t, false, now)
		s.stopped(t, cmp.Or(t.cause, tr.Reason, "stopped by the worker"), now)
	case commander.TaskFinished:
		s.taskEnded(w, t, false, now)
		s.finish(t, JobFinished, "finished", now)
	case commander.TaskFailed:
		s.taskEnded(w, t, true, now)
		s.failed(t, tr.Reason, now)
	}
}

func (s *Shard) becomeRunning(t *task, now time.Time) {
	t.State = JobRunning
	t.Started = now
	t.started = true
	s.version++ // carried by the next renewal; the assignment is already in the journal
}

func (s *Shard) taskEnded(w *worker, t *task, failed bool, now time.Time) {
	s.settings.Placer.TaskEnded(w.name, t.Spec.Name, failed, now)
}

// vanished handles a task that a complete report does not list.
func (s *Shard) vanished(w *worker, t *task, now time.Time) {
	switch {
	case t.State == JobStarting && !t.started && !t.inherited:
		if t.refused < maxRefusals {
			t.startSent = time.Time{} // it did not arrive: send it again
			return
		}
		s.requeue(t, "start refused: "+t.lastReason, now)
	case t.State == JobCanceling:
		s.finish(t, JobCancelled, "cancelled", now)
	case t.kind == commander.KindService:
		s.remove(t)
	default:
		s.note(Record{ID: t.Spec.Name, Kind: recorder.KindRetry, Rule: "NotOnWorker", Worker: w.name, Cause: "worker does not list the task"}, now)
		s.requeue(t, "worker "+w.name+" lost the task", now)
	}
}

// maxRefusals is how often a worker may refuse a start before the task is placed anew.
const maxRefusals = 2

// stopped handles a task that its worker has stopped with a checkpoint.
func (s *Shard) stopped(t *task, cause string, now time.Time) {
	switch {
	case t.State == JobCanceling:
		s.finish(t, JobCancelled, "cancelled", now)
	case t.kind == commander.KindService:
		s.remove(t)
	default:
		t.Evictions++
		s.note(Record{ID: t.Spec.Name, Kind: recorder.KindRetry, Rule: "Evicted", Worker: t.Worker, Cause: cause}, now)
		s.requeue(t, cause, now)
	}
}

// failed handles a failed run.
func (s *Shard) failed(t *task, reason string, now time.Time) {
	if t.kind == commander.KindService {
		s.retrySlots[t.slot()] = now.Add(time.Second)
		s.remove(t)
		return
	}
	if t.State == JobCanceling {
		s.finish(t, JobCancelled, "cancelled", now)
		return
	}
	t.Failures++
	limit := defaultMaxAttempts
	if c := s.class(t.Spec.Class); c != nil && c.MaxAttempts > 0 {
		limit = c.MaxAttempts
	}
	if t.Failures >= limit {
		s.finish(t, JobFailed, "failed too often, last reason: "+reason, now)
		return
	}
	s.note(Record{ID: t.Spec.Name, Kind: recorder.KindRetry, Rule: "RunFailed", Worker: t.Worker, Cause: reason}, now)
	s.requeue(t, "run failed: "+reason, now)
}

// requeue makes a task wait for its next attempt.
func (s *Shard) requeue(t *task, cause string, now time.Time) {
	if t.State == JobCanceling {
		s.finish(t, JobCancelled, "cancelled", now)
		return
	}
	s.unassign(t)
	t.State, t.Decision, t.nextTry, t.waits = JobPending, cause, now, 0
	s.change(t)
}

// unassign takes a task off its worker and forgets what was sent for the attempt.
func (s *Shard) unassign(t *task) {
	if w := s.workers[t.Worker]; w != nil {
		delete(w.tasks, t.Spec.Name)
	}
	t.Worker = ""
	t.sent, t.started, t.refused, t.cause = false, false, 0, ""
	t.startSent, t.renewSent, t.stopSent, t.leaseUntil = time.Time{}, time.Time{}, time.Time{}, time.Time{}
	t.limit, t.limitSent, t.report = 0, 0, commander.TaskReport{}
}

// finish ends a job.
func (s *Shard) finish(t *task, state JobState, decision string, now time.Time) {
	if t.kind == commander.KindService {
		s.remove(t)
		return
	}
	at, before := t.Worker, t.Decision
	s.unassign(t)
	t.Worker = at // shown to operators
	t.State, t.Decision, t.Ended = state, decision, now
	if before != "" { // the placement must stay explainable when the host that made it is gone
		t.Decision += "; before: " + before
	}
	s.change(t)
	switch state {
	case JobCancelled:
		s.note(Record{ID: t.Spec.Name, Kind: recorder.KindCancel, Rule: "Asked", Worker: at, Cause: decision}, now)
	case JobFailed, JobRejected:
		s.note(Record{ID: t.Spec.Name, Kind: recorder.KindNever, Rule: "GivenUp", Worker: at, Cause: decision}, now)
	}
}

// remove drops a service instance.
func (s *Shard) remove(t *task) {
	s.unassign(t)
	delete(s.tasks, t.Spec.Name)
	s.version++
	s.urgent = true
}

// expireLeases counts the tasks of silent workers as lost once their leases have ended.
func (s *Shard) expireLeases(now time.Time) {
	for _, w := range s.sortedWorkers() {
		if !w.silent(now, silentAfter) || now.Sub(s.claimedAt) < silentAfter {
			continue
		}
		for _, name := range sortedNames(w.tasks) {
			t := w.tasks[name]
			switch {
			case t.kind == commander.KindService:
				s.expireInstance(w, t, now)
			case s.leaseEnded(w, t, now):
				s.note(Record{ID: name, Kind: recorder.KindRetry, Rule: "LeaseEnded", Worker: w.name, Cause: "worker is silent"}, now)
				s.requeue(t, "worker "+w.name+" is silent", now)
			}
		}
		if w.removed && len(w.tasks) == 0 {
			delete(s.workers, w.name)
		}
	}
}

// leaseEnded reports whether a batch task on a silent worker can no longer run. On a
// worker that was never fenced, earlier owners may still renew the lease.
func (s *Shard) leaseEnded(w *worker, t *task, now time.Time) bool {
	if t.sent && !w.everFenced && s.journal.Epoch > 1 && t.inherited {
		return s.earlierLeasesEnded(now)
	}
	return t.sent && now.After(t.leaseUntil.Add(leaseMargin)) || !t.sent
}

// expireInstance replaces an instance on a silent worker, and drops it once its lease
// has ended. Duplicate instances are harmless, so the replacement need not wait.
func (s *Shard) expireInstance(w *worker, t *task, now time.Time) {
	ended := now.After(t.leaseUntil.Add(leaseMargin))
	if t.leaseUntil.IsZero() {
		ended = now.Sub(s.claimedAt) > ServiceLease
	}
	switch {
	case ended:
		s.remove(t)
	case !t.retiring && w.silent(now, replaceAfter) && now.Sub(s.claimedAt) > replaceAfter:
		s.retire(t, "worker is silent", now)
	}
}
