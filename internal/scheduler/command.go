package scheduler

import (
	"cmp"
	"slices"
	"time"

	"peridotpitch/internal/commander"
	"peridotpitch/internal/recorder"
)

// instanceDrainPeriod is the time that a stopping service instance has to answer the
// requests it is serving.
const instanceDrainPeriod = 30 * time.Second

// commandOrder is the order of commands in one message. Forget precedes Start, because an
// ended task must leave the worker's table before the task can start again. Stop comes
// last, so that a burst of stops does not delay starts.
var commandOrder = map[commander.Verb]int{
	commander.VerbForget: 0, commander.VerbStart: 1, commander.VerbRenew: 2,
	commander.VerbCheckpoint: 3, commander.VerbThrottle: 4, commander.VerbStop: 5,
}

// sendCommands sends the worker the commands that are due, unless a message with commands
// is outstanding.
func (s *Shard) sendCommands(w *worker, now time.Time) {
	if w.outstandingCommands != nil || !w.epochAccepted || w.unresponsive(now, unresponsiveTimeout) {
		return
	}
	mayPlace := s.mayPlace(now)
	var cs []commander.Command
	until := now.Add(ServiceLeaseDuration)
	for _, name := range sortedNames(w.tasks) {
		t := w.tasks[name]
		c, ok := s.nextCommand(w, t, mayPlace, now)
		if !ok {
			continue
		}
		c.Task, c.Attempt, c.Kind, c.Class, c.Service = name, t.Attempt, t.kind, t.Spec.Class, t.service
		cs = append(cs, c)
		if t.kind == commander.KindBatch {
			until = earlierOf(until, s.runningUntil)
		}
	}
	if mayPlace {
		cs = append(cs, s.unassignedTaskCommands(w, now)...)
	}
	slices.SortStableFunc(cs, func(a, b commander.Command) int {
		return cmp.Or(cmp.Compare(commandOrder[a.Verb], commandOrder[b.Verb]), s.compareUrgency(a.Task, b.Task))
	})
	if len(cs) > maxCommandsPerMessage {
		cs = cs[:maxCommandsPerMessage]
	}
	if len(cs) == 0 {
		return
	}
	for i, c := range cs {
		cs[i].Incarnation = w.report.Incarnation
		if c.Verb != commander.VerbRenew {
			until = earlierOf(until, s.placingUntil)
		}
		s.markSent(w, c, now)
	}
	w.outstandingCommands, w.commandsSentAt = cs, now
	s.emit(SendCommands{Worker: w.name, Address: w.config.Address, Epoch: s.journal.Epoch, Commands: cs, Until: until})
}

func earlierOf(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// compareUrgency compares the tasks of the given names; urgent ones come first.
func (s *Shard) compareUrgency(a, b string) int {
	return cmp.Compare(s.urgencyRank(s.tasks[a]), s.urgencyRank(s.tasks[b]))
}

// urgencyRank returns 0 for an urgent task and 1 for any other.
func (s *Shard) urgencyRank(t *task) int {
	if t != nil && s.isUrgent(t) {
		return 0
	}
	return 1
}

// nextCommand returns the next command for an assigned task, and false if none is due.
func (s *Shard) nextCommand(w *worker, t *task, mayPlace bool, now time.Time) (commander.Command, bool) {
	valid := w.toWorkerTime(earlierOf(now.Add(commandValidity), s.placingUntil))
	switch {
	case !mayPlace:
		return s.renewal(w, t, now)
	case t.State == JobStarting && !t.startConfirmed:
		if !s.mayStart(t, now) {
			return commander.Command{}, false
		}
		c := commander.Command{
			Verb: commander.VerbStart, Declared: s.declaredSize(t), Duration: t.Spec.Duration,
			Checkpoint: t.Checkpoint, LeaseEnd: s.leaseEnd(w, t, now), NotAfter: valid,
		}
		if v := s.serviceOf(t); v != nil {
			c.Slots = v.Slots
		}
		return c, true
	case t.State == JobCanceling || t.State == JobEvicting && s.mayStop(t, now):
		// A stop without effect is sent again 2 s after the end of its grace period.
		if now.Sub(t.stopSentAt) > t.gracePeriod+2*time.Second {
			return commander.Command{Verb: commander.VerbStop, Grace: t.gracePeriod, NotAfter: valid}, true
		}
		if t.State == JobCanceling {
			return commander.Command{}, false
		}
	case t.throttleLimit != t.throttleLimitSent:
		return commander.Command{Verb: commander.VerbThrottle, Limit: t.throttleLimit, NotAfter: valid}, true
	}
	return s.renewal(w, t, now)
}

// mayStart reports whether the start command may be sent. The stored journal must hold the
// assignment or, while the store is unavailable, at least the job. In the second case a
// later owner finds the started task in the worker's report. A batch task is started only if
// the lease for running tasks lasts for at least unresponsiveTimeout.
func (s *Shard) mayStart(t *task, now time.Time) bool {
	if now.Sub(t.startSentAt) < startResendInterval || now.Add(unresponsiveTimeout).After(s.runningUntil) && t.kind == commander.KindBatch {
		return false
	}
	return t.changedVersion <= s.durableVersion || s.storeUnavailable && t.submittedVersion <= s.durableVersion
}

// renewal returns the command that renews a task's lease, and false if none is due.
func (s *Shard) renewal(w *worker, t *task, now time.Time) (commander.Command, bool) {
	every, ends := batchRenewalInterval, earlierOf(now.Add(commandValidity), s.runningUntil)
	if t.kind == commander.KindService {
		every, ends = serviceRenewalInterval, now.Add(commandValidity)
	}
	if !t.startConfirmed || t.State == JobCanceling || now.Sub(t.renewSentAt) < every || !now.Before(ends) {
		return commander.Command{}, false
	}
	return commander.Command{Verb: commander.VerbRenew, LeaseEnd: s.leaseEnd(w, t, now), NotAfter: w.toWorkerTime(ends)}, true
}

// leaseEnd returns the end of a lease granted now, in the worker's clock.
func (s *Shard) leaseEnd(w *worker, t *task, now time.Time) commander.WorkerTime {
	if t.kind == commander.KindService {
		return w.toWorkerTime(now.Add(ServiceLeaseDuration))
	}
	return w.toWorkerTime(earlierOf(now.Add(BatchLeaseDuration), s.runningUntil))
}

// markSent records that a command was sent and may take effect on the worker.
func (s *Shard) markSent(w *worker, c commander.Command, now time.Time) {
	t := w.tasks[c.Task]
	if t == nil || t.Attempt != c.Attempt {
		if o := w.unassigned[attemptKey(commander.TaskReport{Task: c.Task, Attempt: c.Attempt})]; o != nil {
			o.commandSentAt = now
		}
		return
	}
	lease := BatchLeaseDuration
	if t.kind == commander.KindService {
		lease = ServiceLeaseDuration
	}
	switch c.Verb {
	case commander.VerbStart:
		t.maybeStarted, t.startSentAt, t.renewSentAt = true, now, now
		t.leaseUntil = laterOf(t.leaseUntil, now.Add(lease))
	case commander.VerbRenew:
		t.renewSentAt = now
		t.leaseUntil = laterOf(t.leaseUntil, now.Add(lease))
	case commander.VerbStop:
		t.stopSentAt = now
	case commander.VerbThrottle:
		t.throttleLimitSent = c.Limit
	}
}

// unassignedTaskCommands returns the commands that stop earlier attempts and that remove
// ended tasks from the worker's table.
func (s *Shard) unassignedTaskCommands(w *worker, now time.Time) []commander.Command {
	var cs []commander.Command
	for _, o := range w.unassigned {
		tr := o.report
		c := commander.Command{
			Task: tr.Task, Attempt: tr.Attempt, Kind: tr.Kind, Class: tr.Class, Service: tr.Service,
			NotAfter: w.toWorkerTime(earlierOf(now.Add(commandValidity), s.placingUntil)),
		}
		switch {
		case now.Sub(o.commandSentAt) < 2*time.Second:
			continue // a command without effect is sent again after 2 s
		case !tr.State.Active() && s.mayForget(w, tr, now):
			c.Verb = commander.VerbForget
		case tr.State.Active() && o.stale:
			c.Verb = commander.VerbStop
		default:
			continue
		}
		cs = append(cs, c)
	}
	slices.SortFunc(cs, func(a, b commander.Command) int {
		return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt))
	})
	return cs
}

// mayForget reports whether the worker may drop an ended task from its table: the stored
// journal holds the end, and no start command for the task can still arrive. The worker
// recognizes a repeated start only while it lists the task.
func (s *Shard) mayForget(w *worker, tr commander.TaskReport, now time.Time) bool {
	if now.Before(w.commandsSettledAt) || s.recoveryPending {
		return false
	}
	t := s.tasks[tr.Task]
	return t == nil || t.changedVersion <= s.durableVersion
}

// handleCommandsAnswered applies the results of the outstanding commands.
func (s *Shard) handleCommandsAnswered(e CommandsAnswered, now time.Time) {
	w := s.workers[e.Worker]
	if w == nil || w.outstandingCommands == nil {
		return
	}
	sent := w.outstandingCommands
	if e.Unreachable || !e.NotSent && len(e.Results) != len(sent) {
		w.markOutcomeUnknown()
		return
	}
	w.outstandingCommands, w.commandsSettledAt = nil, laterOf(w.commandsSettledAt, now)
	if e.NotSent {
		return
	}
	w.lastResponseAt = now
	for i, c := range sent {
		if t := w.tasks[c.Task]; t != nil && t.Attempt == c.Attempt {
			s.applyResult(t, c, e.Results[i], now)
		}
	}
}

// applyResult applies the result of one command to its task.
func (s *Shard) applyResult(t *task, c commander.Command, r commander.Result, now time.Time) {
	switch {
	case c.Verb == commander.VerbStart && r.Done:
		t.startConfirmed = true
		if t.State == JobStarting {
			s.markRunning(t, now)
		}
	case c.Verb == commander.VerbStart:
		t.refusedStarts++
		t.lastReason = r.Reason
		s.recordDecision(DecisionRecord{ID: t.Spec.Name, Kind: recorder.KindRefuse, Rule: "StartRefused", Worker: t.Worker, Cause: r.Reason}, now)
	}
}
