package scheduler

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"peridotpitch/internal/commander"
	"peridotpitch/internal/configurator"
	"peridotpitch/internal/lessor"
	"peridotpitch/internal/recorder"
)

// leaseDriftMargin is the time added to the end of a task lease to cover the drift between the
// clocks of the worker and the owner during one batch lease.
var leaseDriftMargin = lessor.Margin(BatchLeaseDuration)

// worker is the state that the shard keeps for one of its workers.
type worker struct {
	name    string
	config  configurator.Worker
	removed bool // not in the current configuration
	leaving bool

	report              commander.Report
	reportReceivedAt    time.Time
	lastResponseAt      time.Time // last answer of any kind
	epochAccepted       bool      // the worker has accepted the owner's epoch
	epochAcceptedOnce   bool      // epochAccepted was true at some time since the claim
	pollOutstanding     bool      // a fence or a report request is outstanding
	polledAt            time.Time // when the last fence or report request was emitted
	outstandingCommands []commander.Command
	commandsSentAt      time.Time
	// commandsSettledAt is the time from which no earlier command can still take effect. A
	// report that was requested after it lists every task that those commands started.
	commandsSettledAt   time.Time
	acceptedHigherEpoch bool // the worker has accepted a higher epoch

	tasks      map[string]*task           // assigned by this owner or its predecessors
	unassigned map[string]*unassignedTask // by attemptKey
}

// unassignedTask is a task that a worker reports but that the shard has not assigned to
// it.
type unassignedTask struct {
	report        commander.TaskReport
	stale         bool // attempt of a listed task, not later than the listed one, or job in the history
	commandSentAt time.Time
}

// ensureWorker returns the worker of the given name. If the shard does not list it, a
// worker is added that counts as removed until a configuration lists it.
func (s *Shard) ensureWorker(name string) *worker {
	w, ok := s.workers[name]
	if !ok {
		w = &worker{name: name, removed: true, tasks: make(map[string]*task), unassigned: make(map[string]*unassignedTask)}
		s.workers[name] = w
	}
	return w
}

// toWorkerTime converts a time of the owner's clock to the worker's clock. The worker reads
// its clock before the owner receives the report, so the result is never later than the
// worker's clock at that time.
func (w *worker) toWorkerTime(t time.Time) commander.WorkerTime {
	return w.report.Clock + t.Sub(w.reportReceivedAt)
}

// unresponsive reports whether the last answer is older than the given time.
func (w *worker) unresponsive(now time.Time, after time.Duration) bool {
	return now.Sub(w.lastResponseAt) > after
}

// acceptsTasks reports whether tasks may be assigned to the worker.
func (w *worker) acceptsTasks(now time.Time) bool {
	return w.epochAccepted && !w.removed && !w.leaving && !w.report.Leaving && !w.acceptedHigherEpoch && !w.unresponsive(now, unresponsiveTimeout)
}

// pollWorkers requests a report from each worker that has accepted the owner's epoch and
// sends a fence to the others.
func (s *Shard) pollWorkers(now time.Time) {
	for _, w := range s.sortedWorkers() {
		if w.pollOutstanding || w.removed && !w.config.Address.IsValid() || now.Sub(w.polledAt) < pollInterval {
			continue
		}
		if !w.epochAccepted && !s.mayPlace(now) {
			continue // a fence changes the worker's state, so it needs the ownership lease
		}
		w.pollOutstanding, w.polledAt = true, now
		if w.epochAccepted {
			s.emit(RequestReport{Worker: w.name, Address: w.config.Address})
		} else {
			s.emit(SendFence{Worker: w.name, Address: w.config.Address, Epoch: s.journal.Epoch})
		}
	}
}

// handleEpochAccepted records that a worker has accepted the owner's epoch and merges its
// report.
func (s *Shard) handleEpochAccepted(e WorkerEpochAccepted, now time.Time) {
	w := s.workers[e.Worker]
	if w == nil {
		return
	}
	w.pollOutstanding = false
	if e.Epoch != s.journal.Epoch || e.Report.Epoch != s.journal.Epoch {
		return
	}
	first := !w.epochAcceptedOnce
	w.epochAccepted, w.epochAcceptedOnce, w.acceptedHigherEpoch = true, true, false
	if first {
		s.recordDecision(DecisionRecord{ID: w.name, Kind: recorder.KindAdopt, Rule: "WorkerFenced", Worker: w.name, Cause: "report merged"}, now)
	}
	s.mergeReport(w, e.Report, e.SentAt, e.ReceivedAt, now)
}

// handleReport merges a report. A worker that has restarted must accept the epoch again; a
// worker that has accepted a higher epoch belongs to another owner.
func (s *Shard) handleReport(e ReportArrived, now time.Time) {
	w := s.workers[e.Worker]
	if w == nil {
		return
	}
	w.pollOutstanding = false
	if !w.epochAccepted {
		return
	}
	if e.Report.Incarnation != w.report.Incarnation || e.Report.Epoch < s.journal.Epoch {
		// The worker has restarted and lost the epoch.
		w.epochAccepted, w.polledAt = false, time.Time{}
		w.commandsSettledAt = laterOf(w.commandsSettledAt, w.commandsSentAt.Add(commandValidity+leaseDriftMargin))
		return
	}
	if e.Report.Epoch > s.journal.Epoch {
		w.epochAccepted, w.acceptedHigherEpoch = false, true
		return
	}
	s.mergeReport(w, e.Report, e.SentAt, e.ReceivedAt, now)
}

// handleHigherEpoch records that a worker has accepted a higher epoch, so that it gets
// no more commands from this owner.
func (s *Shard) handleHigherEpoch(e HigherEpochAccepted, now time.Time) {
	w := s.workers[e.Worker]
	if w == nil {
		return
	}
	if !w.acceptedHigherEpoch {
		s.recordDecision(DecisionRecord{ID: w.name, Kind: recorder.KindRefuse, Rule: "HigherEpoch", Worker: w.name, Cause: "the worker has accepted a higher epoch"}, now)
	}
	w.pollOutstanding, w.epochAccepted, w.acceptedHigherEpoch = false, false, true
	w.markOutcomeUnknown()
}

// markOutcomeUnknown gives up waiting for the results of the outstanding commands. They may
// take effect until their validity ends, so commandsSettledAt moves to that time.
func (w *worker) markOutcomeUnknown() {
	if w.outstandingCommands != nil {
		w.commandsSettledAt = laterOf(w.commandsSettledAt, w.commandsSentAt.Add(commandValidity+leaseDriftMargin))
		w.outstandingCommands = nil
	}
}

func laterOf(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// mergeReport updates the shard's state from a worker's report. Tasks that a complete
// report does not list are handled as missing.
func (s *Shard) mergeReport(w *worker, r commander.Report, sentAt, receivedAt, now time.Time) {
	if r.Incarnation == w.report.Incarnation && r.Clock < w.report.Clock {
		return // a later report has already been merged
	}
	w.report, w.reportReceivedAt, w.lastResponseAt = r, receivedAt, now
	complete := w.outstandingCommands == nil && sentAt.After(w.commandsSettledAt)
	seen := make(map[string]bool, len(r.Tasks))
	w.unassigned = s.applyReportedTasks(w, r, seen, now)
	for _, name := range sortedNames(w.tasks) {
		t := w.tasks[name]
		if !seen[name] && complete && (t.maybeStarted || t.refusedStarts > 0) {
			s.handleMissingTask(w, t, now)
		}
	}
	if w.removed && len(w.tasks) == 0 {
		delete(s.workers, w.name)
	}
	if s.config != nil {
		s.settings.Placer.Observe(s.placerWorker(w, now), now)
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

// applyReportedTasks updates assigned tasks from a report, adds their names to seen and
// returns the unassigned tasks by attemptKey.
func (s *Shard) applyReportedTasks(w *worker, r commander.Report, seen map[string]bool, now time.Time) map[string]*unassignedTask {
	unassigned := make(map[string]*unassignedTask)
	for _, tr := range r.Tasks {
		t := s.tasks[tr.Task]
		if t != nil && s.adoptable(w, t, tr) {
			s.adopt(w, t, tr, now)
		}
		if t != nil && t.Worker == w.name && t.Attempt == tr.Attempt && !t.State.Ended() && t.State != JobPending {
			seen[tr.Task] = true
			s.applyTaskReport(w, t, tr, now)
			if t.Worker == w.name && !t.State.Ended() {
				continue
			}
		}
		if t != nil && s.finishedBeforeRestart(t, tr) {
			s.finish(t, JobFinished, "finished on "+w.name+" while it was silent", now)
		}
		key := attemptKey(tr)
		o := w.unassigned[key]
		if o == nil {
			o = &unassignedTask{}
			if t == nil && s.history.find(tr.Task) == nil && tr.State.Active() {
				s.recordDecision(DecisionRecord{ID: tr.Task, Kind: recorder.KindAdopt, Rule: "UnknownTask", Worker: w.name, Cause: "not in the journal; left running until its lease ends"}, now)
			}
		}
		o.report = tr
		o.stale = t != nil && t.Attempt >= tr.Attempt || s.history.find(tr.Task) != nil
		unassigned[key] = o
	}
	return unassigned
}

// finishedBeforeRestart reports whether an attempt has finished on a worker that counted as
// lost, before a start of the next attempt was sent.
func (s *Shard) finishedBeforeRestart(t *task, tr commander.TaskReport) bool {
	return t.kind == commander.KindBatch && tr.State == commander.TaskFinished && tr.Attempt <= t.Attempt &&
		!t.maybeStarted && (t.State == JobPending || t.State == JobStarting)
}

// attemptKey returns the key of an unassigned task: its name and attempt.
func attemptKey(tr commander.TaskReport) string { return tr.Task + "\x00" + strconv.Itoa(tr.Attempt) }

// adoptable reports whether a reported task is an attempt of an inherited job that is later
// than the attempt in the journal. Such attempts exist because an owner may start jobs of its
// journal without writing the assignment while the store is unavailable.
func (s *Shard) adoptable(w *worker, t *task, tr commander.TaskReport) bool {
	return t.inherited && s.recoveryPending && tr.Attempt > t.Attempt && !t.State.Ended() &&
		(t.Worker != w.name || tr.Attempt != t.Attempt)
}

// adopt assigns a task to the worker that reports a later attempt of it.
func (s *Shard) adopt(w *worker, t *task, tr commander.TaskReport, now time.Time) {
	s.clearAssignment(t)
	t.Attempt, t.Worker, t.maybeStarted = tr.Attempt, w.name, true
	if t.State != JobCanceling {
		t.State = JobRunning
	}
	w.tasks[t.Spec.Name] = t
	s.markChanged(t)
	s.recordDecision(DecisionRecord{ID: t.Spec.Name, Kind: recorder.KindAdopt, Rule: "LaterAttemptFound", Worker: w.name, Cause: "started by an earlier owner during a store outage"}, now)
}

// applyTaskReport updates an assigned task from its worker's report.
func (s *Shard) applyTaskReport(w *worker, t *task, tr commander.TaskReport, now time.Time) {
	t.report = tr
	t.maybeStarted = true
	if tr.Checkpoint != "" && tr.Checkpoint != t.Checkpoint {
		t.Checkpoint = tr.Checkpoint // no write of its own; the next journal write includes it
	}
	switch tr.State {
	case commander.TaskStarting, commander.TaskRunning, commander.TaskCheckpointing:
		t.leaseUntil = laterOf(t.leaseUntil, w.reportReceivedAt.Add(tr.LeaseEnd-w.report.Clock))
		if !t.startConfirmed {
			t.startConfirmed = true
			if t.inherited {
				s.recordDecision(DecisionRecord{ID: t.Spec.Name, Kind: recorder.KindAdopt, Rule: "FoundRunning", Worker: w.name, Cause: "attempt matches the journal"}, now)
			}
		}
		if t.State == JobStarting {
			s.markRunning(t, now)
		}
	case commander.TaskStopped:
		s.notifyTaskEnded(w, t, false, now)
		s.handleStopped(t, cmp.Or(t.evictionCause, tr.Reason, "stopped by the worker"), now)
	case commander.TaskFinished:
		s.notifyTaskEnded(w, t, false, now)
		s.finish(t, JobFinished, "finished", now)
	case commander.TaskFailed:
		s.notifyTaskEnded(w, t, true, now)
		s.handleFailure(t, tr.Reason, now)
	}
}

// markRunning marks a task as running. It requests no journal write, because the stored
// journal already holds the assignment; the next write includes the new state.
func (s *Shard) markRunning(t *task, now time.Time) {
	t.State = JobRunning
	t.Started = now
	t.startConfirmed = true
	s.version++
}

func (s *Shard) notifyTaskEnded(w *worker, t *task, failed bool, now time.Time) {
	s.settings.Placer.TaskEnded(w.name, t.Spec.Name, failed, now)
}

// handleMissingTask handles an assigned task that a complete report does not list. A start
// that did not take effect is sent again. A job is requeued after maxRefusedStarts refused
// starts, or if the worker has lost it after its start.
func (s *Shard) handleMissingTask(w *worker, t *task, now time.Time) {
	switch {
	case t.State == JobStarting && !t.startConfirmed && !t.inherited:
		if t.refusedStarts < maxRefusedStarts {
			t.startSentAt = time.Time{} // the start did not take effect; it may be sent again at once
			return
		}
		s.requeue(t, "start refused: "+t.lastReason, now)
	case t.State == JobCanceling:
		s.finish(t, JobCancelled, "cancelled", now)
	case t.kind == commander.KindService:
		s.removeInstance(t)
	default:
		s.recordDecision(DecisionRecord{ID: t.Spec.Name, Kind: recorder.KindRetry, Rule: "NotOnWorker", Worker: w.name, Cause: "worker does not list the task"}, now)
		s.requeue(t, "worker "+w.name+" lost the task", now)
	}
}

// maxRefusedStarts is the number of refused starts of one attempt after which the task is
// placed again.
const maxRefusedStarts = 2

// handleStopped handles a task that its worker has stopped. A job is requeued and resumes
// from its last checkpoint.
func (s *Shard) handleStopped(t *task, cause string, now time.Time) {
	switch {
	case t.State == JobCanceling:
		s.finish(t, JobCancelled, "cancelled", now)
	case t.kind == commander.KindService:
		s.removeInstance(t)
	default:
		t.Evictions++
		s.recordDecision(DecisionRecord{ID: t.Spec.Name, Kind: recorder.KindRetry, Rule: "Evicted", Worker: t.Worker, Cause: cause}, now)
		s.requeue(t, cause, now)
	}
}

// handleFailure handles a failed run. A service instance is started again after one second;
// a job is requeued until its class's limit of failed runs is reached.
func (s *Shard) handleFailure(t *task, reason string, now time.Time) {
	if t.kind == commander.KindService {
		s.instanceRetryAt[t.instanceKey()] = now.Add(time.Second)
		s.removeInstance(t)
		return
	}
	if t.State == JobCanceling {
		s.finish(t, JobCancelled, "cancelled", now)
		return
	}
	t.Failures++
	limit := defaultMaxAttempts
	if c := s.jobClass(t.Spec.Class); c != nil && c.MaxAttempts > 0 {
		limit = c.MaxAttempts
	}
	if t.Failures >= limit {
		s.finish(t, JobFailed, "failed too often, last reason: "+reason, now)
		return
	}
	s.recordDecision(DecisionRecord{ID: t.Spec.Name, Kind: recorder.KindRetry, Rule: "RunFailed", Worker: t.Worker, Cause: reason}, now)
	s.requeue(t, "run failed: "+reason, now)
}

// requeue makes a task pending, or ends it if it is being cancelled.
func (s *Shard) requeue(t *task, cause string, now time.Time) {
	if t.State == JobCanceling {
		s.finish(t, JobCancelled, "cancelled", now)
		return
	}
	s.clearAssignment(t)
	t.State, t.Decision, t.nextPlacementAt, t.postponements = JobPending, cause, now, 0
	s.markChanged(t)
}

// clearAssignment removes a task from its worker and clears the state of its attempt.
func (s *Shard) clearAssignment(t *task) {
	if w := s.workers[t.Worker]; w != nil {
		delete(w.tasks, t.Spec.Name)
	}
	t.Worker = ""
	t.maybeStarted, t.startConfirmed, t.refusedStarts, t.evictionCause = false, false, 0, ""
	t.startSentAt, t.renewSentAt, t.stopSentAt, t.leaseUntil = time.Time{}, time.Time{}, time.Time{}, time.Time{}
	t.throttleLimit, t.throttleLimitSent, t.report = 0, 0, commander.TaskReport{}
}

// finish ends a job with a final state. A service instance is removed instead.
func (s *Shard) finish(t *task, state JobState, decision string, now time.Time) {
	if t.kind == commander.KindService {
		s.removeInstance(t)
		return
	}
	at, before := t.Worker, t.Decision
	s.clearAssignment(t)
	t.Worker = at // shown to operators
	t.State, t.Decision, t.Ended = state, decision, now
	if before != "" { // keeps the text about the placement, whose decision record is lost if this host stops
		t.Decision += "; before: " + before
	}
	s.markChanged(t)
	switch state {
	case JobCancelled:
		s.recordDecision(DecisionRecord{ID: t.Spec.Name, Kind: recorder.KindCancel, Rule: "Asked", Worker: at, Cause: decision}, now)
	case JobFailed, JobRejected:
		s.recordDecision(DecisionRecord{ID: t.Spec.Name, Kind: recorder.KindUnschedulable, Rule: "GivenUp", Worker: at, Cause: decision}, now)
	}
}

// removeInstance removes a service instance from the shard.
func (s *Shard) removeInstance(t *task) {
	s.clearAssignment(t)
	delete(s.tasks, t.Spec.Name)
	s.version++
	s.writeSoon = true
}

// expireLeases handles the tasks of unresponsive workers: batch tasks are requeued once
// their leases have ended, service instances are replaced.
func (s *Shard) expireLeases(now time.Time) {
	for _, w := range s.sortedWorkers() {
		if !w.unresponsive(now, unresponsiveTimeout) || now.Sub(s.claimedAt) < unresponsiveTimeout {
			continue
		}
		for _, name := range sortedNames(w.tasks) {
			t := w.tasks[name]
			switch {
			case t.kind == commander.KindService:
				s.expireInstance(w, t, now)
			case s.leaseEnded(w, t, now):
				s.recordDecision(DecisionRecord{ID: name, Kind: recorder.KindRetry, Rule: "LeaseEnded", Worker: w.name, Cause: "worker is unresponsive"}, now)
				s.requeue(t, "worker "+w.name+" is silent", now)
			}
		}
		if w.removed && len(w.tasks) == 0 {
			delete(s.workers, w.name)
		}
	}
}

// leaseEnded reports whether a batch task on an unresponsive worker can no longer run. A
// worker that has never accepted this owner's epoch still accepts lease renewals from
// earlier owners, so an inherited task there may run until the earlier owners' last leases
// have ended.
func (s *Shard) leaseEnded(w *worker, t *task, now time.Time) bool {
	if t.maybeStarted && !w.epochAcceptedOnce && s.journal.Epoch > 1 && t.inherited {
		return s.earlierLeasesEnded(now)
	}
	return t.maybeStarted && now.After(t.leaseUntil.Add(leaseDriftMargin)) || !t.maybeStarted
}

// expireInstance retires an instance on an unresponsive worker, so that a replacement is
// started, and removes the instance once its lease has ended. The replacement does not wait
// for the end of the lease, because duplicate instances are harmless.
func (s *Shard) expireInstance(w *worker, t *task, now time.Time) {
	ended := now.After(t.leaseUntil.Add(leaseDriftMargin))
	if t.leaseUntil.IsZero() {
		ended = now.Sub(s.claimedAt) > ServiceLeaseDuration
	}
	switch {
	case ended:
		s.removeInstance(t)
	case !t.retiring && w.unresponsive(now, instanceReplacementTimeout) && now.Sub(s.claimedAt) > instanceReplacementTimeout:
		s.retire(t, "worker is unresponsive", now)
	}
}
