package orchestrator

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"time"
)

const (
	// crashWindow is how long after its start a run may be the cause of its worker's crash. A task
	// whose run lasts longer is no longer suspected.
	crashWindow = 10 * time.Second
	// crashDelay is the time after its start up to which a task that crashes its worker is expected to do so. If two
	// runs began within this time of each other, the later one is no more likely to be the cause. With 100 ms, tasks that
	// started again beside one that crashes its worker after 400 ms were given up in its place.
	crashDelay = time.Second
	// minCertainCrashes is the number of certain crashes from which a task may be given
	// up. The platform allows it after two crashes.
	minCertainCrashes = 2
	// maxSuspectedCrashes is the number of crashes after which such a task is given up, whatever else may
	// explain the last one.
	maxSuspectedCrashes = 3
	// maxCrashes is the number of crashes after which any task is given up. The platform allows two starts
	// after the third crash.
	maxCrashes = 4
	// crashEvidenceTime is how long the runs of a worker whose leases have ended are remembered, in case
	// the worker turns out to have crashed.
	crashEvidenceTime = 30 * time.Second
	// maxApartWait is how long a task waits at most for a worker without runs that it must be kept apart
	// from. After the loss of many workers there are more suspected tasks than workers.
	maxApartWait = time.Second
	// commonCauseTime is the difference of the times at which workers fell silent up to which the cause may be
	// the same, and commonCauseWorkers the number of workers from which it is taken to be the same. Such losses
	// of racks or failure domains are not caused by a task.
	commonCauseTime    = 250 * time.Millisecond
	commonCauseWorkers = 3
	// maxUnwrittenRecords is the number of unwritten records from which the loss of sight of a worker
	// causes no further ones: losses of many workers are not caused by tasks.
	maxUnwrittenRecords = 100
)

// Crash is the end of a worker's process under a run.
type Crash struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the encoder
	Run      int
	Certain  bool // the leader knew that the run had begun and had not ended, and it was not at work for longer than crashDelay
}

// suspect is a run under which a worker's process may have ended.
type suspect struct {
	task      string
	run       int
	certain   bool      // see Crash
	startedAt time.Time // zero: not known, because an earlier leader started it
}

// suspects returns the runs that may be the cause of a crash of a worker: those that began within
// crashWindow before its last answer, and those that an earlier leader recorded there.
func (o *Orchestrator) suspects(w *worker) []suspect {
	var ss []suspect
	for _, r := range w.runs {
		if r.unlistedSince != 0 {
			continue // it had ended before: an answer did not list it as running, and its end is not listed yet
		}
		if since := w.answeredAt.Add(-crashWindow); !r.startedAt.Before(since) {
			soon := w.answeredAt.Sub(r.startedAt) <= crashDelay
			ss = append(ss, suspect{task: r.task.name, run: r.number, certain: r.begun && soon, startedAt: r.startedAt})
		}
	}
	if w.recordedRuns {
		for _, j := range o.jobs {
			for _, t := range j.recordedOn(w) {
				ss = append(ss, suspect{task: t.name, run: t.recordedRun}) // it may have ended since
			}
		}
	}
	return ss
}

// recordedOn returns the tasks whose run an earlier leader recorded on a worker, if this leader has not
// found out what became of it.
func (j *job) recordedOn(w *worker) []*task {
	var ts []*task
	for _, oc := range j.occurrences {
		for _, s := range oc.steps {
			for _, t := range s.tasks {
				if t.recordedRun > 0 && slices.Contains(t.recordedWorkers, w.ID) {
					ts = append(ts, t)
				}
			}
		}
	}
	return ts
}

// lapsedWorker holds the suspects of a worker whose leases have ended while it did not answer.
type lapsedWorker struct {
	id          string
	incarnation int64
	suspects    []suspect
	commonCause bool
	endedAt     time.Time
}

// rememberSuspects keeps the suspects of a worker whose leases have ended.
func (o *Orchestrator) rememberSuspects(w *worker) {
	if ss := o.suspects(w); len(ss) > 0 && w.Address.IsValid() && !w.processDrains {
		common := o.haveCommonCause(w)
		o.rosterVersion++ // it lists the suspects
		o.lapsed[w.Address] = lapsedWorker{id: w.ID, incarnation: cmp.Or(w.incarnation, w.recordedIncarnation), suspects: ss, commonCause: common, endedAt: o.now}
		for _, s := range ss {
			if t := o.findTask(s.task); t != nil {
				t.mayHaveCrashed, t.heldUntil = !common, o.now.Add(crashWindow)
			}
		}
	}
}

// removeLapsed removes the suspects of the worker at an address.
func (o *Orchestrator) removeLapsed(a netip.AddrPort) {
	delete(o.lapsed, a)
	o.rosterVersion++ // it no longer lists them
}

// lapsedWorkers returns the workers that may have crashed, for the roster. Many workers that fell silent together are left out: no task
// is the cause of that.
func (o *Orchestrator) lapsedWorkers(now time.Time) []LapsedWorker {
	var ls []LapsedWorker
	for a, l := range o.lapsed {
		if l.commonCause {
			continue
		}
		k := LapsedWorker{ID: l.id, Address: a.String(), Incarnation: l.incarnation, Age: now.Sub(l.endedAt).Milliseconds()}
		for _, s := range l.suspects {
			k.Suspects = append(k.Suspects, SuspectRun{Task: s.task, Run: s.run, Certain: s.certain})
		}
		ls = append(ls, k)
	}
	slices.SortFunc(ls, func(a, b LapsedWorker) int { return cmp.Compare(a.ID, b.ID) })
	return ls
}

// inheritLapsed takes over the workers that an earlier leader suspected of a crash.
func (o *Orchestrator) inheritLapsed(ls []LapsedWorker) {
	for _, l := range ls {
		a := parseAddress(l.Address)
		if !a.IsValid() {
			continue
		}
		age := min(max(0, time.Duration(l.Age)*time.Millisecond), crashEvidenceTime)
		k := lapsedWorker{id: l.ID, incarnation: l.Incarnation, endedAt: o.now.Add(-age)}
		for _, s := range l.Suspects {
			k.suspects = append(k.suspects, suspect{task: s.Task, run: s.Run, certain: s.Certain})
			if t := o.findTask(s.Task); t != nil {
				t.mayHaveCrashed, t.heldUntil = true, k.endedAt.Add(crashWindow)
			}
		}
		o.lapsed[a] = k
	}
}

// noteSilence notes that a worker has stopped answering.
func (o *Orchestrator) noteSilence(w *worker) {
	w.silentSince = o.now
	o.silences = append(o.silences, o.now)
}

// haveCommonCause reports whether so many workers fell silent together with this one that a task can't be the
// cause.
func (o *Orchestrator) haveCommonCause(w *worker) bool {
	n := 0
	for _, at := range o.silences {
		if at.Sub(w.silentSince).Abs() <= commonCauseTime {
			n++
		}
	}
	return n >= commonCauseWorkers
}

// forgetLapsed removes suspects for whose crash no evidence has come, and old silences.
func (o *Orchestrator) forgetLapsed() {
	o.silences = slices.DeleteFunc(o.silences, func(at time.Time) bool { return o.now.Sub(at) > crashEvidenceTime })
	for a, l := range o.lapsed {
		if o.now.Sub(l.endedAt) > crashEvidenceTime {
			o.removeLapsed(a)
		}
	}
}

// addressTaken counts the crash of a worker whose leases have ended if another one is listed at its address.
func (o *Orchestrator) addressTaken(a netip.AddrPort, id string) {
	if l, ok := o.lapsed[a]; ok && l.id != id {
		o.removeLapsed(a)
		o.countCrash(l.id, l.suspects, l.commonCause)
	}
}

// workerCrashed counts the end of a worker's process for the tasks that may have caused it, but not for those
// that its new process runs. A process that drains ends as planned; the entry of the next one, which may be read first, says nothing of it.
func (o *Orchestrator) workerCrashed(w *worker, running []RunningRun) {
	if w.processDrains {
		return
	}
	ss, common := o.suspects(w), o.haveCommonCause(w)
	ss = slices.DeleteFunc(ss, func(s suspect) bool {
		return slices.ContainsFunc(running, func(r RunningRun) bool { return r.Task == s.task && r.Run == s.run })
	})
	if l, ok := o.lapsed[w.Address]; ok && l.id == w.ID {
		ss, common = append(ss, l.suspects...), common || l.commonCause
		o.removeLapsed(w.Address)
	}
	o.countCrash(w.ID, ss, common)
}

// workerBack counts the crash of a worker that answers again after its leases have ended, if its process is
// another one.
func (o *Orchestrator) workerBack(w *worker, incarnation int64) {
	l, ok := o.lapsed[w.Address]
	if !ok || l.id != w.ID {
		return
	}
	o.removeLapsed(w.Address)
	if l.incarnation != 0 && l.incarnation != incarnation {
		o.countCrash(w.ID, l.suspects, l.commonCause)
		return
	}
	for _, s := range l.suspects {
		if t := o.findTask(s.task); t != nil {
			t.mayHaveCrashed, t.heldUntil = false, time.Time{}
		}
	}
}

// countCrash counts a crash of a worker for each suspect, and gives up the tasks under which too many
// workers have crashed. common says that the crash has a cause in common with those of other workers.
func (o *Orchestrator) countCrash(workerID string, ss []suspect, common bool) {
	explained := common || slices.ContainsFunc(ss, o.hasFailed)
	var counted []suspect
	for _, s := range ss {
		t := o.findTask(s.task)
		if t == nil || t.done || slices.ContainsFunc(t.crashes, func(c Crash) bool { return c.Run == s.run }) {
			continue
		}
		j := t.job()
		t.crashes = append(t.crashes, Crash{Run: s.run, Certain: s.certain})
		if t.recordedRun == s.run {
			t.recordedRun = 0
		}
		o.markDirty(j)
		t.crashVersion = j.version
		t.heldUntil = time.Time{}
		counted = append(counted, s)
	}
	for _, s := range counted {
		t := o.findTask(s.task)
		if t == nil {
			continue // another task of its job has been given up
		}
		outcome, last := "suspected", !explained && s.isLast(ss)
		if t.mustBeGivenUp(last) {
			outcome = "given up"
		}
		o.emit(Note{Event: EventCrash, Job: jobID(s.task), Task: s.task, Run: s.run, Worker: workerID, Outcome: outcome,
			Figures: fmt.Sprintf("Crashes=%d Certain=%t Last=%t Explained=%t Suspects=%d", len(t.crashes), s.certain, last, explained, len(ss))})
		if outcome == "given up" {
			o.finishJob(t.job(), StateFailed, fmt.Sprintf("task %s: %d workers have crashed under it", t.name, len(t.crashes)))
		}
	}
	if len(counted) > 0 {
		o.emit(WriteSoon{})
	}
}

// hasFailed reports whether the suspect's job has failed. Most likely, workers have crashed under its task before.
func (o *Orchestrator) hasFailed(s suspect) bool {
	id := jobID(s.task)
	if j := o.jobs[id]; j != nil {
		return j.state == StateFailed
	}
	return o.finished[id].state == StateFailed
}

// isLast reports whether no run of another job began on the worker after the suspect, or up to crashDelay before it.
// It is false if that is not known.
func (s suspect) isLast(all []suspect) bool {
	if s.startedAt.IsZero() {
		return false
	}
	return !slices.ContainsFunc(all, func(other suspect) bool {
		return jobID(other.task) != jobID(s.task) && (other.startedAt.IsZero() || other.startedAt.After(s.startedAt.Add(-crashDelay)))
	})
}

// mustBeGivenUp reports whether too many workers have crashed under the task. last tells whether it began last on
// the worker that has crashed. Some crashes are not certain: a start without an answer may not have been carried out, and a task that
// crashes its workers mostly does so soon after its start, while restarts with another cause hit long runs more often than short ones.
func (t *task) mustBeGivenUp(last bool) bool {
	certain := 0
	for _, c := range t.crashes {
		if c.Certain {
			certain++
		}
	}
	return certain >= minCertainCrashes && (last || len(t.crashes) >= maxSuspectedCrashes) || len(t.crashes) >= maxCrashes
}

// clearCrashes ends the suspicion against a task whose run has outlasted crashWindow.
func (o *Orchestrator) clearCrashes(r *run) {
	t := r.task
	if !t.suspected() || o.now.Sub(r.startedAt) < crashWindow {
		return
	}
	o.emit(Note{Event: EventCrash, Job: t.job().ID, Task: t.name, Run: r.number, Worker: r.worker.ID, Outcome: "cleared",
		Age: o.now.Sub(r.startedAt), Figures: fmt.Sprintf("Crashes=%d", len(t.crashes))})
	t.crashes, t.mayHaveCrashed = nil, false
	r.worker.removeSuspect(r)
	o.markDirty(t.job())
}

func (w *worker) removeSuspect(r *run) {
	w.suspects = slices.DeleteFunc(w.suspects, func(k *run) bool { return k == r })
}

// suspected reports whether the task may crash the worker that starts it next.
func (t *task) suspected() bool { return len(t.crashes) > 0 || t.mayHaveCrashed }

// suspectOf reports whether a run of another job than j on the worker is of a suspected task under which atLeast or
// more workers have crashed.
func (w *worker) suspectOf(j *job, atLeast int) bool {
	return slices.ContainsFunc(w.suspects, func(r *run) bool { return r.task.job() != j && len(r.task.crashes) >= atLeast })
}

// startOverlaps reports whether the start of a task of another job on the worker has no answer yet, and either task is
// suspected. If the worker crashed, both starts would stay without an answer, and both would count.
func (w *worker) startOverlaps(t *task) bool {
	return slices.ContainsFunc(w.runs, func(r *run) bool {
		return r.phase == phaseStarting && r.task.job() != t.job() && (t.suspected() || r.task.suspected())
	})
}

// mustBeApart reports whether a task must not start on a worker because one of its runs may crash it, or because
// the task may: after the next crash it must be clear which task has caused it.
func (o *Orchestrator) mustBeApart(t *task, w *worker) bool {
	if !t.suspected() && len(w.suspects) == 0 {
		return false
	}
	if w.startOverlaps(t) {
		return true
	}
	if !o.enabled(MechanismCrashIsolation) || o.now.Sub(t.freeSince) > maxApartWait {
		return false
	}
	atLeast := minCertainCrashes
	if t.suspected() {
		atLeast = 0
	}
	return w.suspectOf(t.job(), atLeast)
}

// recordSuspects has the records of the runs on a worker written that may have caused its silence, so that a
// later leader can count its crash.
func (o *Orchestrator) recordSuspects(w *worker) {
	since := w.answeredAt.Add(-crashWindow)
	for _, r := range w.runs {
		if len(o.dirty) >= maxUnwrittenRecords {
			return
		}
		if !r.startedAt.Before(since) {
			o.markDirty(r.task.job())
		}
	}
}

// held reports whether the task must wait because its last worker may have crashed, as others have before.
func (o *Orchestrator) held(t *task) bool {
	return len(t.crashes) >= minCertainCrashes && o.now.Before(t.heldUntil)
}

// crashUnwritten reports whether a crash under the task is not in the store yet. The task must not start before,
// so that the count outlives this leader.
func (t *task) crashUnwritten() bool { return t.crashVersion > t.job().writtenVersion }
