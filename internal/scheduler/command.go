package scheduler

import (
	"cmp"
	"slices"
	"time"

	"peridotpitch/internal/commander"
	"peridotpitch/internal/recorder"
)

// drainGrace is how long a service instance may take to answer its requests.
const drainGrace = 30 * time.Second

// commandOrder sorts commands of one message: a slot in a worker's table must be free before
// its task starts again, and starts must not wait behind a burst of stops.
var commandOrder = map[commander.Verb]int{
	commander.VerbForget: 0, commander.VerbStart: 1, commander.VerbRenew: 2,
	commander.VerbCheckpoint: 3, commander.VerbThrottle: 4, commander.VerbStop: 5,
}

// sendCommands sends what the worker must do, if nothing is outstanding.
func (s *Shard) sendCommands(w *worker, now time.Time) {
	if w.sent != nil || !w.fenced || w.silent(now, silentAfter) {
		return
	}
	mayPlace := s.mayPlace(now)
	var cs []commander.Command
	until := now.Add(ServiceLease)
	for _, name := range sortedNames(w.tasks) {
		t := w.tasks[name]
		c, ok := s.command(w, t, mayPlace, now)
		if !ok {
			continue
		}
		c.Task, c.Attempt, c.Kind, c.Class, c.Service = name, t.Attempt, t.kind, t.Spec.Class, t.service
		cs = append(cs, c)
		if t.kind == commander.KindBatch {
			until = earlierOf(until, s.running)
		}
	}
	if mayPlace {
		cs = append(cs, s.strayCommands(w, now)...)
	}
	slices.SortStableFunc(cs, func(a, b commander.Command) int {
		return cmp.Or(cmp.Compare(commandOrder[a.Verb], commandOrder[b.Verb]), s.urgentFirst(a.Task, b.Task))
	})
	if len(cs) > maxCommands {
		cs = cs[:maxCommands]
	}
	if len(cs) == 0 {
		return
	}
	for i, c := range cs {
		cs[i].Incarnation = w.report.Incarnation
		if c.Verb != commander.VerbRenew {
			until = earlierOf(until, s.placing)
		}
		s.markSent(w, c, now)
	}
	w.sent, w.sentAt = cs, now
	s.emit(SendCommands{Worker: w.name, Address: w.config.Address, Epoch: s.journal.Epoch, Commands: cs, Until: until})
}

func earlierOf(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func (s *Shard) urgentFirst(a, b string) int {
	return cmp.Compare(s.rank(s.tasks[a]), s.rank(s.tasks[b]))
}

// rank is 0 for urgent tasks, 1 for others.
func (s *Shard) rank(t *task) int {
	if t != nil && s.isUrgent(t) {
		return 0
	}
	return 1
}

// command returns the next command for an assigned task.
func (s *Shard) command(w *worker, t *task, mayPlace bool, now time.Time) (commander.Command, bool) {
	valid := w.at(earlierOf(now.Add(commandValidity), s.placing))
	switch {
	case !mayPlace:
		return s.renewal(w, t, now)
	case t.State == JobStarting && !t.started:
		if !s.mayStart(t, now) {
			return commander.Command{}, false
		}
		c := commander.Command{
			Verb: commander.VerbStart, Declared: s.declared(t), Duration: t.Spec.Duration,
			Checkpoint: t.Checkpoint, LeaseEnd: s.leaseEnd(w, t, now), NotAfter: valid,
		}
		if v := s.serviceOf(t); v != nil {
			c.Slots = v.Slots
		}
		return c, true
	case t.State == JobCanceling || t.State == JobEvicting && s.mayStop(t, now):
		if now.Sub(t.stopSent) > t.grace+2*time.Second {
			return commander.Command{Verb: commander.VerbStop, Grace: t.grace, NotAfter: valid}, true
		}
		if t.State == JobCanceling {
			return commander.Command{}, false
		}
	case t.limit != t.limitSent:
		return commander.Command{Verb: commander.VerbThrottle, Limit: t.limit, NotAfter: valid}, true
	}
	return s.renewal(w, t, now)
}

// mayStart reports whether the start command may be sent: the journal holds the
// assignment, or, while the store is unavailable, the job itself. In the second case a
// later owner learns of the start from the worker's inventory.
func (s *Shard) mayStart(t *task, now time.Time) bool {
	if now.Sub(t.startSent) < resendAfter || now.Add(silentAfter).After(s.running) && t.kind == commander.KindBatch {
		return false
	}
	return t.changed <= s.durable || s.storeDown && t.submitted <= s.durable
}

// renewal returns the renewal of a task's lease if one is due.
func (s *Shard) renewal(w *worker, t *task, now time.Time) (commander.Command, bool) {
	every, ends := renewEvery, earlierOf(now.Add(commandValidity), s.running)
	if t.kind == commander.KindService {
		every, ends = renewServices, now.Add(commandValidity)
	}
	if !t.started || t.State == JobCanceling || now.Sub(t.renewSent) < every || !now.Before(ends) {
		return commander.Command{}, false
	}
	return commander.Command{Verb: commander.VerbRenew, LeaseEnd: s.leaseEnd(w, t, now), NotAfter: w.at(ends)}, true
}

// leaseEnd returns the end of a new lease in the worker's clock.
func (s *Shard) leaseEnd(w *worker, t *task, now time.Time) commander.WorkerTime {
	if t.kind == commander.KindService {
		return w.at(now.Add(ServiceLease))
	}
	return w.at(earlierOf(now.Add(LeaseDuration), s.running))
}

// markSent records that a command may reach the worker.
func (s *Shard) markSent(w *worker, c commander.Command, now time.Time) {
	t := w.tasks[c.Task]
	if t == nil || t.Attempt != c.Attempt {
		if o := w.foreign[strayKey(commander.TaskReport{Task: c.Task, Attempt: c.Attempt})]; o != nil {
			o.stopSent = now
		}
		return
	}
	lease := LeaseDuration
	if t.kind == commander.KindService {
		lease = ServiceLease
	}
	switch c.Verb {
	case commander.VerbStart:
		t.sent, t.startSent, t.renewSent = true, now, now
		t.leaseUntil = laterOf(t.leaseUntil, now.Add(lease))
	case commander.VerbRenew:
		t.renewSent = now
		t.leaseUntil = laterOf(t.leaseUntil, now.Add(lease))
	case commander.VerbStop:
		t.stopSent = now
	case commander.VerbThrottle:
		t.limitSent = c.Limit
	}
}

// strayCommands stops old attempts and clears ended tasks from the worker's table.
func (s *Shard) strayCommands(w *worker, now time.Time) []commander.Command {
	var cs []commander.Command
	for _, o := range w.foreign {
		tr := o.report
		c := commander.Command{
			Task: tr.Task, Attempt: tr.Attempt, Kind: tr.Kind, Class: tr.Class, Service: tr.Service,
			NotAfter: w.at(earlierOf(now.Add(commandValidity), s.placing)),
		}
		switch {
		case now.Sub(o.stopSent) < 2*time.Second:
			continue
		case !tr.State.Active() && s.mayForget(w, tr, now):
			c.Verb = commander.VerbForget
		case tr.State.Active() && o.known:
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

// mayForget reports whether the journal holds the end of a task and no start command
// for it is on its way: the worker recognizes a repeated start by the listed task.
func (s *Shard) mayForget(w *worker, tr commander.TaskReport, now time.Time) bool {
	if now.Before(w.settledAt) || s.inherited {
		return false
	}
	t := s.tasks[tr.Task]
	return t == nil || t.changed <= s.durable
}

// commandsAnswered takes the outcome of the outstanding commands.
func (s *Shard) commandsAnswered(e CommandsAnswered, now time.Time) {
	w := s.workers[e.Worker]
	if w == nil || w.sent == nil {
		return
	}
	sent := w.sent
	if e.Unreachable || !e.NotSent && len(e.Results) != len(sent) {
		w.unsettle()
		return
	}
	w.sent, w.settledAt = nil, laterOf(w.settledAt, now)
	if e.NotSent {
		return
	}
	w.heardAt = now
	for i, c := range sent {
		if t := w.tasks[c.Task]; t != nil && t.Attempt == c.Attempt {
			s.answered(t, c, e.Results[i], now)
		}
	}
}

// answered takes the outcome of one command.
func (s *Shard) answered(t *task, c commander.Command, r commander.Result, now time.Time) {
	switch {
	case c.Verb == commander.VerbStart && r.Done:
		t.started = true
		if t.State == JobStarting {
			s.becomeRunning(t, now)
		}
	case c.Verb == commander.VerbStart:
		t.refused++
		t.lastReason = r.Reason
		s.note(Record{ID: t.Spec.Name, Kind: recorder.KindRefuse, Rule: "StartRefused", Worker: t.Worker, Cause: r.Reason}, now)
	}
}
