package orchestrator

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// phase is the state of a run.
type phase string

const (
	phaseStarting phase = "starting" // sent, not answered
	phaseRunning  phase = "running"
	phaseStopping phase = "stopping"
)

// stopPatience is how long a run whose stop was answered may still be listed before the
// stop is sent again. The platform's workers end a run within a second of it.
const stopPatience = 2 * time.Second

// probeTime is how long a long-running task must be at work on a worker whose tasks failed
// before others start there too. Tasks on a worker that fails them end within a second.
const probeTime = 1500 * time.Millisecond

// unknownPace is the pace of a run whose last order got no answer or came from an
// earlier leader.
const unknownPace = -1

type run struct {
	task      *task
	worker    *worker
	number    int
	phase     phase
	sentAt    time.Time
	startedAt time.Time
	settledAt time.Time // when the worker's answer made its lists binding; zero: not yet
	inFlight  bool      // an order is on its way
	unknown   bool      // an unanswered start may still be carried out
	saved     string    // handed to the start
	ticket    string
	percent   int
	percentAt time.Time // of the last progress
	own       float64   // utilization by its own callers, of a task with a latency target
	tail      float64   // measured tail as a share of the latency target
	wish      int       // percent of its speed that the run may use
	pace      int       // percent that the worker has confirmed, or unknownPace
	paceSent  time.Time
	paceBusy  bool
	moveFrom  time.Time // when a better worker may be looked for again
	slowed    bool      // it has not run at full speed all the time, as far as is known
}

func (r *run) key() runKey { return runKey{r.task.name, r.number} }

// attach makes a run known to its task and worker.
func (o *Orchestrator) attach(t *task, w *worker, number int, p phase) *run {
	r := &run{task: t, worker: w, number: number, phase: p, sentAt: o.now, startedAt: o.now, percentAt: o.now, pace: 100, wish: 100, own: usualLoad}
	t.runs = append(t.runs, r)
	t.nextRun, t.owned = max(t.nextRun, number+1), true
	w.runs[r.key()] = r
	w.foreseen = false
	t.job().runs++
	w.account(t.step.Step, 1)
	return r
}

// speed returns the percent of its speed that a run uses, as far as is known.
func (r *run) speed() int {
	if r.pace < 0 {
		return r.wish
	}
	return r.pace
}

func (w *worker) account(s *Step, sign int) {
	size := s.Size
	if s.Fills {
		w.load.filling += sign * size.CPU
		size.CPU = 0
	} else if s.LatencyTarget > 0 {
		w.load.serving += sign * size.CPU
	}
	if sign > 0 {
		w.used = w.used.add(size)
	} else {
		w.used = w.used.subtract(size)
	}
}

// drop forgets a run that has ended.
func (o *Orchestrator) drop(r *run) {
	w, t := r.worker, r.task
	if w.runs[r.key()] != r {
		return
	}
	delete(w.runs, r.key())
	if w.probe == r {
		w.probe = nil
	}
	w.account(t.step.Step, -1)
	t.runs = slices.DeleteFunc(t.runs, func(k *run) bool { return k == r })
	t.since = o.now
	o.passDue = true
	j := t.job()
	if j.runs--; j.runs == 0 {
		j.idleSince = o.now
	}
	if j.state.Final() {
		o.retire(j)
	}
}

// lapsed drops a run whose lease or worker has ended unseen. What the worker may list
// of it later does not count any more.
func (o *Orchestrator) lapsed(r *run) {
	if r.task.lapsed == nil {
		r.task.lapsed = make(map[int]bool)
	}
	r.task.lapsed[r.number] = true
	o.do(Note{Event: EventRunLost, Job: r.task.job().ID, Task: r.task.name, Run: r.number, Worker: r.worker.ID, Outcome: "lapsed"})
	o.drop(r)
}

// start sends a task to a worker.
func (o *Orchestrator) start(t *task, w *worker, number int, ticket string) *run {
	r := o.attach(t, w, number, phaseStarting)
	r.saved, r.ticket = t.saved, ticket
	o.send(r)
	return r
}

func (o *Orchestrator) send(r *run) {
	d, ok := o.deadline(r.worker)
	if !ok {
		return // repeated once the leader's authority is confirmed
	}
	r.inFlight, r.sentAt = true, o.now
	o.do(StartRun{Worker: r.worker.ID, Task: r.task.name, Run: r.number, Spec: r.task.job().Spec, Deadline: d, Saved: r.saved, Ticket: r.ticket})
}

func (o *Orchestrator) startAnswered(e StartAnswered) {
	r := o.runOn(e.Worker, e.Task, e.Run)
	if r == nil {
		return
	}
	w := r.worker
	r.inFlight = false
	if e.Outcome != StartAccepted {
		o.do(Note{Event: EventStartRefused, Job: r.task.job().ID, Task: e.Task, Run: e.Run, Worker: e.Worker, Outcome: string(e.Outcome), Age: o.now.Sub(r.sentAt)})
	}
	switch e.Outcome {
	case StartAccepted, StartOld:
		// After "old" the run has ended there, and the next look lists its end.
		o.accepted(r)
	case StartFenced:
		o.stepDown("worker " + w.ID + " knows a newer leader")
	case StartReplaced:
		o.lookFailed(LookFailed{Worker: w.ID, Replaced: true})
	case StartUnknown:
		r.unknown, w.doubt = true, o.now
	case StartNotSent:
		w.doubt = o.now
		o.refused(r)
	case StartNoRoom:
		w.fullUntil = o.now.Add(resendAfter)
		o.refused(r)
	case StartUnhealthy:
		o.judge(w, r.task.job(), true)
		o.refused(r)
	case StartNoTicket:
		r.task.step.advice = advice{}
		o.refused(r)
	case StartLate, StartInvalid:
		o.refused(r)
	}
}

func (o *Orchestrator) accepted(r *run) {
	if r.settledAt.IsZero() {
		r.settledAt = o.now
		r.startedAt = o.now
	}
	if r.phase == phaseStarting {
		r.phase = phaseRunning
	}
	j := r.task.job()
	if !j.started {
		j.started = true
		if j.state == StateQueued {
			j.state = StateRunning
		}
	}
}

// refused handles a start that the worker has not carried out. If an earlier send of it
// got no answer, the run must be stopped before the task can start elsewhere.
func (o *Orchestrator) refused(r *run) {
	if r.unknown {
		o.stop(r, "a start without an answer must not be carried out later")
		return
	}
	if r.phase == phaseStarting {
		o.drop(r)
	}
}

// tickRun repeats orders that got no answer.
func (o *Orchestrator) tickRun(r *run) {
	w := r.worker
	if r.inFlight || w.failing || !w.resolved || o.now.Sub(r.sentAt) < resendAfter {
		return
	}
	switch {
	case r.phase == phaseStarting:
		o.send(r)
	case r.phase == phaseStopping && r.settledAt.IsZero():
		o.sendStop(r)
	}
}

// stop ends a run on its worker.
func (o *Orchestrator) stop(r *run, reason string) {
	if r.phase == phaseStopping {
		return
	}
	r.phase, r.settledAt = phaseStopping, time.Time{}
	o.do(Note{Event: EventStop, Job: r.task.job().ID, Task: r.task.name, Run: r.number, Worker: r.worker.ID, Reason: reason,
		Age: o.now.Sub(r.startedAt), Figures: fmt.Sprintf("Percent=%d", r.percent)})
	o.sendStop(r)
}

func (o *Orchestrator) sendStop(r *run) {
	r.inFlight, r.sentAt = true, o.now
	o.do(StopRun{Worker: r.worker.ID, Task: r.task.name, Run: r.number})
}

func (o *Orchestrator) stopRuns(t *task, reason string) {
	for _, r := range slices.Clone(t.runs) {
		o.stop(r, reason)
	}
}

func (o *Orchestrator) stopAnswered(e StopAnswered) {
	if e.Fenced {
		o.stepDown("worker " + e.Worker + " knows a newer leader")
		return
	}
	r := o.runOn(e.Worker, e.Task, e.Run)
	if r == nil || r.phase != phaseStopping {
		return
	}
	r.inFlight = false
	if e.Answered {
		r.settledAt = o.now
	} else {
		r.worker.doubt = o.now
	}
}

// runOn returns a run that the leader knows on a worker, nil if it knows none.
func (o *Orchestrator) runOn(worker, task string, number int) *run {
	w := o.workers[worker]
	if w == nil {
		return nil
	}
	return w.runs[runKey{task, number}]
}

// adopt takes over a run that a worker lists and this leader has not started, or had
// given up. It returns nil if the run must end.
func (o *Orchestrator) adopt(w *worker, row RunningRow) *run {
	t := o.find(row.Task)
	reason := ""
	switch {
	case t == nil:
		reason = "its job has ended or is not known"
	case t.done:
		reason = "the task has ended well"
	case t.lapsed[row.Run]:
		reason = "the run was given up"
	case len(t.runs) > 0 && !t.step.Speculative:
		reason = "another run of the task is known"
	}
	if reason != "" {
		o.do(Note{Event: EventStop, Task: row.Task, Run: row.Run, Worker: w.ID, Reason: reason})
		o.do(StopRun{Worker: w.ID, Task: row.Task, Run: row.Run})
		return nil
	}
	r := o.attach(t, w, row.Run, phaseRunning)
	o.accepted(r)
	r.percent, r.pace, r.slowed = row.Percent, unknownPace, true
	o.do(Note{Event: EventAdopt, Job: t.job().ID, Task: t.name, Run: row.Run, Worker: w.ID, Figures: fmt.Sprintf("Percent=%d", row.Percent)})
	return r
}

// observe takes up what a worker says of a run.
func (o *Orchestrator) observe(r *run, row RunningRow) {
	if row.Saved != "" {
		r.task.saved = row.Saved
	}
	if r.phase == phaseStarting {
		r.unknown = false
		o.accepted(r)
	}
	if r.phase == phaseStopping && !r.settledAt.IsZero() && o.now.Sub(r.settledAt) > stopPatience {
		r.settledAt = time.Time{}
		o.sendStop(r)
	}
	if row.Percent != r.percent {
		r.percent, r.percentAt = row.Percent, o.now
	}
	if s := r.task.step; s.LatencyTarget > 0 && row.Figure > 0 {
		r.tail = float64(row.Figure) * float64(time.Millisecond) / float64(s.LatencyTarget)
	}
	if r == r.worker.probe && r.task.step.LongRunning && row.Percent >= 100 && o.now.Sub(r.startedAt) >= probeTime {
		o.judge(r.worker, r.task.job(), false)
	}
	o.straggle(r)
	o.release(r)
}

// applyEnd takes up the end of a run.
func (o *Orchestrator) applyEnd(w *worker, row EndedRow) {
	t := o.find(row.Task)
	if t == nil {
		if r := w.runs[runKey{row.Task, row.Run}]; r != nil {
			o.noteEnd(r, row)
			o.drop(r)
		}
		end := appliedEnd{number: row.Number}
		if j := o.jobs[jobOf(row.Task)]; j != nil {
			end.job, end.version = j, j.version
		}
		w.ends = append(w.ends, end)
		return
	}
	j := t.job()
	r := w.runs[runKey{row.Task, row.Run}]
	t.nextRun = max(t.nextRun, row.Run+1)
	if r != nil {
		o.noteEnd(r, row)
		o.measure(r, row)
		o.drop(r)
	}
	if row.Saved != "" && !t.done {
		t.saved = row.Saved
	}
	if !t.lapsed[row.Run] {
		o.applyOutcome(t, w, row)
	}
	o.change(j)
	w.ends = append(w.ends, appliedEnd{number: row.Number, job: j, version: j.version})
}

func (o *Orchestrator) noteEnd(r *run, row EndedRow) {
	expected := r.task.step.expected(o.shape(r.task.job().Policy.Queue).ratio)
	o.do(Note{Event: EventEnd, Job: r.task.job().ID, Task: row.Task, Run: row.Run, Worker: r.worker.ID, Outcome: string(row.How), Age: o.now.Sub(r.startedAt),
		Figures: fmt.Sprintf("Expected=%s Pace=%d%% Unused=%.1f Filling=%.1f", expected.Round(time.Millisecond), r.wish, float64(r.worker.unused())/1000, float64(r.worker.load.filling)/1000)})
}

func (o *Orchestrator) applyOutcome(t *task, w *worker, row EndedRow) {
	j := t.job()
	switch row.How {
	case EndDone:
		o.judge(w, j, false)
		if t.step.LongRunning {
			return
		}
		members := []*task{t}
		if t.step.Gang {
			members = t.step.tasks
		}
		for _, m := range members {
			o.stopRuns(m, "another run of the task has ended well")
			o.taskDone(m)
		}
	case EndFailed:
		o.judge(w, j, true)
		t.avoidOn(w)
		o.countFailure(t, row.Run)
	case EndStopped, EndLapsed, EndBroken, EndAlone:
		// Not the task's own fault: it starts again.
	}
}

// avoidOn remembers that the task should rather run elsewhere.
func (t *task) avoidOn(w *worker) {
	if t.avoid == nil {
		t.avoid = make(map[string]bool)
	}
	t.avoid[w.ID] = true
}

func (o *Orchestrator) countFailure(t *task, number int) {
	if t.step.LongRunning {
		return
	}
	if t.step.Gang {
		t = t.step.tasks[0] // the members of a gang fail together
	}
	if slices.Contains(t.failed, number) {
		return
	}
	t.failed = append(t.failed, number)
	if len(t.failed) >= t.attempts() {
		o.finish(t.job(), StateFailed, fmt.Sprintf("task %s failed %d times", t.name, len(t.failed)))
	}
}

// measure learns run times from a run that ended well and was never slowed.
func (o *Orchestrator) measure(r *run, row EndedRow) {
	s := r.task.step
	if row.How != EndDone || r.saved != "" || r.slowed || r.startedAt.IsZero() {
		return
	}
	took := o.now.Sub(r.startedAt)
	sh := o.shape(r.task.job().Policy.Queue)
	if expected := s.expected(sh.ratio); expected > 0 && !s.Fills {
		r.worker.slow += slowWeight * (float64(took)/float64(expected) - r.worker.slow)
	}
	if s.measures >= spreadMeasures && took > 0 {
		d := math.Log(float64(took) / float64(s.measured))
		sh.variance += ratioWeight * (min(d*d, maxVariance) - sh.variance)
	}
	s.measures++
	s.measured += (took - s.measured) / time.Duration(s.measures)
	if s.Estimate > 0 {
		sh.ratio += ratioWeight * (float64(took)/float64(s.Estimate) - sh.ratio)
	}
}

const (
	slowWeight  = 0.2  // of one run in a worker's slowdown
	ratioWeight = 0.02 // of one run in what is known of a queue
	// spreadMeasures is how many tasks of a step must have ended before their mean is
	// good enough to tell how much others differ from it.
	spreadMeasures = 3
	maxVariance    = 1.0 // one straggler must not make all steps look uneven
)

// expected returns the expected run time of a task of the step.
func (s *step) expected(ratio float64) time.Duration {
	if s.measures > 0 {
		return s.measured
	}
	return time.Duration(ratio * float64(s.Estimate))
}

// longest returns the expected run time of the longest of n tasks of a step as a multiple
// of the mean. Run times are taken as log-normal; sqrt(2 ln n) - 0.6 is within 0.05 of
// the mean of the largest of n normal values for n from 2 to 40.
func (sh *shape) longest(n int) float64 {
	if n < 2 {
		return 1
	}
	return math.Exp(math.Sqrt(sh.variance) * (math.Sqrt(2*math.Log(float64(n))) - 0.6))
}

// remaining returns how much longer a run is expected to take.
func (r *run) remaining(now time.Time, ratio float64) time.Duration {
	elapsed := now.Sub(r.startedAt)
	if r.task.step.LongRunning {
		return time.Hour // until the job is cancelled
	}
	if r.percent > 5 && r.percent < 100 {
		return elapsed * time.Duration(100-r.percent) / time.Duration(r.percent)
	}
	return max(0, r.task.step.expected(ratio)-elapsed)
}

// retire forgets a job in a final state that stands in the store and has no runs left.
func (o *Orchestrator) retire(j *job) {
	if !j.state.Final() || j.written < j.version {
		return
	}
	for _, oc := range j.occurrences {
		for _, s := range oc.steps {
			for _, t := range s.tasks {
				if len(t.runs) > 0 {
					return
				}
			}
		}
	}
	delete(o.jobs, j.ID)
}

// Batch is a group of writes that succeed or fail together.
type Batch struct {
	Entries       []BatchEntry
	Roster        *Roster     // nil: unchanged
	Learnt        *Experience // nil: not due
	rosterVersion uint64
	enrolled      []string
}

// BatchEntry is the write of one job's record.
type BatchEntry struct {
	Record  Record
	Delete  bool // the record itself goes, after its retention
	version uint64
}

// batchDelay is how long changes that no caller waits for are collected. The ends of
// runs are acknowledged after it, and until then each look lists them again.
const batchDelay = 80 * time.Millisecond

// learntEvery is the interval at which a leader's experience is written.
const learntEvery = 2 * time.Second

// NextBatch returns the most urgent changes, at most limit jobs, and false if there are
// none. all includes those that could still be collected.
func (o *Orchestrator) NextBatch(limit int, all bool, now time.Time) (Batch, bool) {
	var b Batch
	for _, final := range []bool{true, false} {
		for _, j := range o.dirty {
			due := final || all || now.Sub(j.changed) >= batchDelay
			if len(b.Entries) < limit && j.state.Final() == final && due {
				b.Entries = append(b.Entries, BatchEntry{Record: j.record(), version: j.version})
			}
		}
	}
	for _, id := range o.expired[:min(len(o.expired), limit-len(b.Entries))] {
		b.Entries = append(b.Entries, BatchEntry{Record: Record{ID: id}, Delete: true})
	}
	if o.rosterWritten < o.rosterVersion {
		b.Roster, b.rosterVersion = &Roster{}, o.rosterVersion
		for _, id := range slices.Sorted(maps.Keys(o.workers)) {
			w := o.workers[id]
			b.Roster.Workers = append(b.Roster.Workers, RosterEntry{ID: id, Service: w.Service, Address: w.Address.String(), Idle: w.idle})
			if !w.idle {
				b.enrolled = append(b.enrolled, id)
			}
		}
	}
	if now.Sub(o.learntAt) >= learntEvery {
		o.learntAt = now
		b.Learnt = o.experience()
	}
	return b, len(b.Entries) > 0 || b.Roster != nil
}

// Unwritten reports whether the store lacks changes.
func (o *Orchestrator) Unwritten() bool {
	return len(o.dirty) > 0 || len(o.expired) > 0 || o.rosterWritten < o.rosterVersion
}

func (o *Orchestrator) batchWritten(b Batch) {
	for _, e := range b.Entries {
		if e.Delete {
			o.expired = slices.DeleteFunc(o.expired, func(id string) bool { return id == e.Record.ID })
		}
		j := o.jobs[e.Record.ID]
		if e.Delete || j == nil {
			continue
		}
		j.written = max(j.written, e.version)
		if j.written < j.version {
			j.changed = o.now
			continue
		}
		delete(o.dirty, j.ID)
		if j.state.Final() {
			o.finished[j.ID] = finishedJob{queue: j.Policy.Queue, state: j.state, at: j.finishedAt}
			o.retire(j)
		}
	}
	if b.Roster != nil {
		o.rosterWritten = max(o.rosterWritten, b.rosterVersion)
		for _, id := range b.enrolled {
			if w := o.workers[id]; w != nil && !w.idle {
				w.rostered, w.enrolling = true, false
			}
		}
		o.passDue = true
	}
	for _, w := range o.workers {
		o.advanceAcks(w)
	}
}
