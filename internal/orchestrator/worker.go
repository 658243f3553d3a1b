package orchestrator

import (
	"cmp"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"
)

const (
	// unlistedAfter is how long a missing entry of the discovery is not yet held
	// against a worker: entries return within two seconds of a store outage.
	unlistedAfter = 2500 * time.Millisecond
	// resendAfter is the pause between two sends of an order that got no answer.
	resendAfter = 300 * time.Millisecond
	// failureStreak is the number of failed runs in a row, of different jobs, from which
	// a worker gets no new work for avoidFor.
	failureStreak = 2
	avoidFor      = 3 * time.Second
	// drainTime is how long a draining worker runs tasks at least, if it does not say.
	drainTime = 2 * time.Second
)

type runKey struct {
	task   string
	number int
}

type worker struct {
	WorkerEntry
	listed     bool
	unlistedAt time.Time
	watched    bool
	enrolling  bool // its place in the roster is to be written
	rostered   bool // stands in the store's roster as a worker that may run tasks
	idle       bool // nothing that a leader started can run there
	inherited  bool // an earlier leader may have started tasks, and it was not reached yet
	resolved   bool // reached, or every lease of an earlier leader has ended

	born       int64
	clock      time.Duration // at clockAt, on the worker's clock
	clockAt    time.Time
	hasClock   bool
	expiry     time.Time // from then on nothing that was sent so far runs there
	lookSentAt time.Time
	answeredAt time.Time
	failing    bool      // the last look failed
	doubt      time.Time // when an order got no answer

	runs map[runKey]*run
	used Resources // of runs whose processors count
	load struct {
		serving int // millicores of tasks with a latency target
		filling int // millicores of tasks that fill, at full pace
	}

	unaccounted int // listed runs that are being stopped and whose size is not known

	seen  int // highest number of an end that was applied
	ends  []appliedEnd
	acked int // ends up to this number stand in the store

	streak     int // failed runs in a row
	streakJob  string
	avoidUntil time.Time
	probing    bool    // one task at a time until one ends well
	probe      *run    // that task, nil while there is none
	slow       float64 // moving average of measured to expected run time
	fullUntil  time.Time
	heldFor    *task // other tasks do not start until heldUntil
	heldUntil  time.Time
	tail       float64 // highest tail latency as a share of its target
	tailAt     time.Time
	overSince  time.Time // since when a task is over its latency target
	pace       int       // lowest pace of a task that fills
	pacedAt    time.Time
	outlooks   []outlook
	foreseen   bool
	foreseenAt time.Time
	drainLeft  time.Duration
	drainSeen  time.Time
}

// appliedEnd is an end that may be acknowledged once its job's version is written.
type appliedEnd struct {
	number  int
	job     *job
	version uint64
}

// lapse returns the real time in which a lease surely ends on a slow clock.
func lapse(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)/(1-clockDrift)) + leaseSlack
}

func parseAddress(text string) netip.AddrPort {
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{} // an empty address names no worker to look at
	}
	return a
}

func (o *Orchestrator) worker(id string) *worker {
	w := o.workers[id]
	if w == nil {
		w = &worker{WorkerEntry: WorkerEntry{ID: id}, idle: true, runs: make(map[runKey]*run), pace: 100, slow: 1}
		o.workers[id] = w
		o.order = nil
	}
	return w
}

// ordered returns all workers by ID.
func (o *Orchestrator) ordered() []*worker {
	if o.order == nil {
		o.order = slices.SortedFunc(maps.Values(o.workers), func(a, b *worker) int { return cmp.Compare(a.ID, b.ID) })
	}
	return o.order
}

func (o *Orchestrator) listWorkers(entries []WorkerEntry) {
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.ID] = true
		o.listWorker(e)
	}
	for id, w := range o.workers {
		if w.listed && !listed[id] {
			o.unlistWorker(id)
		}
	}
}

func (o *Orchestrator) listWorker(e WorkerEntry) {
	w := o.worker(e.ID)
	if !w.listed || w.Draining != e.Draining {
		o.do(Note{Event: EventWorkerListed, Worker: e.ID, Outcome: listOutcome(e),
			Figures: fmt.Sprintf("Service=%s FailureDomain=%s Rack=%s Cores=%.1f", e.Service, e.Zone, e.Rack, float64(e.Room.CPU)/1000)})
	}
	if e.Draining && !w.Draining {
		w.drainSeen = o.now
	}
	moved := w.Address != e.Address
	w.WorkerEntry, w.listed = e, true
	if !w.watched || moved {
		w.watched = true
		o.do(WatchWorker{Worker: e})
	}
	o.enroll(w)
	o.passDue = true
}

func listOutcome(e WorkerEntry) string {
	if e.Draining {
		return "draining"
	}
	return "ready"
}

// enroll asks for a worker's place in the roster, without which it gets no starts.
func (o *Orchestrator) enroll(w *worker) {
	if w.enrolling || w.rostered && !w.idle || w.Draining {
		return
	}
	w.idle, w.rostered, w.enrolling = false, false, true
	o.rosterVersion++
	o.do(WriteSoon{})
}

// retireWorker marks in the roster that nothing runs on a worker.
func (o *Orchestrator) retireWorker(w *worker) {
	if !w.idle {
		w.idle, w.rostered, w.enrolling = true, false, false
		o.rosterVersion++
	}
}

func (o *Orchestrator) unlistWorker(id string) {
	w := o.workers[id]
	if w == nil || !w.listed {
		return
	}
	w.listed, w.unlistedAt = false, o.now
	o.do(Note{Event: EventWorkerListed, Worker: id, Outcome: "gone"})
}

// LookRequest is what the next look at a worker says.
type LookRequest struct {
	Deadline  time.Duration // on the worker's clock; 0: leases are not extended
	AckedUpto int
	Brief     bool // the worker's figures are needed soon
}

// NextLook returns the next look at a worker, and false if it is not watched.
func (o *Orchestrator) NextLook(id string, now time.Time) (LookRequest, bool) {
	w := o.workers[id]
	if w == nil || o.deposed || o.leaving {
		return LookRequest{}, false
	}
	o.now = now
	r := LookRequest{AckedUpto: w.acked, Brief: w.load.serving > 0 && w.load.filling > 0 || len(w.runs) == 0 && !w.resolved}
	// A look that gets no answer may still arrive. If each try extended the leases of an
	// unreachable worker, its runs could never be given up.
	if len(w.runs) > 0 && !w.failing {
		r.Deadline, _ = o.deadline(w)
	}
	return r, true
}

// Acknowledged reports whether all ends that a worker has listed stand in the store.
func (o *Orchestrator) Acknowledged(id string) bool {
	w := o.workers[id]
	return w == nil || len(w.ends) == 0
}

// deadline returns the end of a lease that begins now, on the worker's clock, and keeps
// in mind that the worker may run tasks until then.
func (o *Orchestrator) deadline(w *worker) (time.Duration, bool) {
	lease := min(o.settings.Lease, o.confirmedAt.Add(o.settings.Authority).Sub(o.now))
	if !w.hasClock || lease < minLease {
		return 0, false
	}
	d := w.clock + o.now.Sub(w.clockAt) + lease
	if end := w.clockAt.Add(lapse(d - w.clock)); end.After(w.expiry) {
		w.expiry = end
	}
	return d.Truncate(time.Millisecond), true
}

// usable reports whether a worker may get new work, and why not.
func (o *Orchestrator) usable(w *worker) (bool, string) {
	switch {
	case !w.listed && o.now.Sub(w.unlistedAt) > unlistedAfter:
		return false, "not listed"
	case w.Draining:
		return false, "draining"
	case !w.resolved || !w.hasClock:
		return false, "not reached by this leader yet"
	case w.failing || w.doubt.After(w.lookSentAt):
		return false, "does not answer"
	case !w.rostered:
		return false, "its place in the roster is not written yet"
	case w.unaccounted > 0:
		return false, "it still runs tasks of jobs that have ended"
	case o.now.Before(w.avoidUntil):
		return false, "its tasks failed"
	case w.probe != nil:
		return false, "its tasks failed, one task at a time"
	}
	return true, ""
}

func (o *Orchestrator) lookAnswered(e LookAnswered) {
	w := o.workers[e.Worker]
	if w == nil || !o.inherited || e.SentAt.Before(w.lookSentAt) {
		return // without the jobs, ends would be acknowledged and runs stopped
	}
	if w.born != 0 && w.born != e.Born {
		o.workerRestarted(w, e)
	}
	if w.failing {
		o.do(Note{Event: EventWorkerReached, Worker: w.ID, Outcome: "answers again", Age: o.silence(w)})
	}
	if !w.resolved {
		w.resolved, w.inherited = true, false
		o.passDue = true
	}
	w.born, w.clock, w.clockAt, w.hasClock = e.Born, e.Clock, e.ReceivedAt, true
	w.lookSentAt, w.answeredAt, w.failing = e.SentAt, e.ReceivedAt, false
	if e.DrainLeft > 0 {
		w.drainLeft, w.drainSeen = e.DrainLeft, o.now
	}
	for _, row := range e.Ended {
		if row.Number > w.seen {
			w.seen = row.Number
			o.applyEnd(w, row)
		}
	}
	o.advanceAcks(w)
	o.applyRunning(w, e)
	o.passDue = true
}

// applyRunning compares a worker's list of runs with what the leader believes.
func (o *Orchestrator) applyRunning(w *worker, e LookAnswered) {
	tail := 0.0
	w.unaccounted = 0
	for _, row := range e.Running {
		r := w.runs[runKey{row.Task, row.Run}]
		if r == nil {
			r = o.adopt(w, row)
		}
		if r == nil {
			w.unaccounted++
			continue
		}
		o.observe(r, row)
		tail = max(tail, r.tail)
	}
	for _, r := range w.missing(e) {
		o.do(Note{Event: EventRunLost, Job: r.task.job().ID, Task: r.task.name, Run: r.number, Worker: w.ID,
			Outcome: "not listed", Reason: "the worker lists it neither as running nor as ended"})
		o.drop(r)
	}
	if w.load.serving > 0 {
		w.tail, w.tailAt = tail, e.ReceivedAt
		o.learnPressure(w, e.Running)
	} else {
		w.tail = 0
	}
	o.pacing(w)
}

// workerRestarted starts the account of a new incarnation of a worker. Its look decides
// which runs are left: a start may have reached the new incarnation already.
func (o *Orchestrator) workerRestarted(w *worker, e LookAnswered) {
	o.do(Note{Event: EventWorkerLost, Worker: w.ID, Outcome: "restarted", Reason: "a new incarnation answers",
		Figures: fmt.Sprintf("Runs=%d", len(w.runs))})
	for _, r := range w.missing(e) {
		o.lapsed(r)
	}
	w.seen, w.acked, w.ends = 0, 0, nil
	w.streak, w.avoidUntil, w.probing, w.probe, w.slow = 0, time.Time{}, false, nil, 1
	// Orders that were sent with a deadline of the old clock may count in full.
	w.expiry = o.now.Add(lapse(o.settings.MaxLease))
}

// missing returns the runs that a look must list if they still run, and does not.
func (w *worker) missing(e LookAnswered) []*run {
	listed := make(map[runKey]bool, len(e.Running))
	for _, row := range e.Running {
		listed[runKey{row.Task, row.Run}] = true
	}
	var rs []*run
	for k, r := range w.runs {
		if !listed[k] && r.settledBefore(e.SentAt) {
			rs = append(rs, r)
		}
	}
	return rs
}

// settledBefore reports whether a look that was sent at a time must list the run if it
// still runs.
func (r *run) settledBefore(t time.Time) bool {
	return !r.settledAt.IsZero() && r.settledAt.Before(t)
}

func (o *Orchestrator) lookFailed(e LookFailed) {
	w := o.workers[e.Worker]
	if w == nil {
		return
	}
	switch {
	case e.Fenced:
		o.stepDown("worker " + w.ID + " knows a newer leader")
	case e.Replaced:
		o.do(Note{Event: EventWorkerLost, Worker: w.ID, Outcome: "replaced", Reason: "another worker answers at its address"})
		o.workerEnded(w)
		w.failing = true
	case !w.failing:
		w.failing = true
		o.do(Note{Event: EventWorkerLost, Worker: w.ID, Outcome: "unreachable", Reason: "a look got no answer",
			Age: o.silence(w), Figures: fmt.Sprintf("Runs=%d LeaseLeft=%s", len(w.runs), w.expiry.Sub(o.now).Round(time.Millisecond))})
	}
}

// silence returns how long a worker has not answered this leader, 0 if it never did.
func (o *Orchestrator) silence(w *worker) time.Duration {
	if w.answeredAt.IsZero() {
		return 0
	}
	return o.now.Sub(w.answeredAt)
}

// workerEnded drops everything on a worker on which nothing runs any more.
func (o *Orchestrator) workerEnded(w *worker) {
	for _, r := range w.runs {
		o.lapsed(r)
	}
	o.retireWorker(w)
	w.resolved, w.inherited = true, false
	o.passDue = true
}

// tickWorker ends leases and repeats orders.
func (o *Orchestrator) tickWorker(w *worker) {
	unreached := w.failing || !w.hasClock
	// A newer leader may have reached the worker and extended its leases. That they have
	// ended is certain only if nobody else had been elected by then.
	if unreached && !w.idle && o.now.After(w.expiry) && o.confirmedAt.After(w.expiry) {
		if len(w.runs) > 0 || w.inherited {
			o.do(Note{Event: EventWorkerLost, Worker: w.ID, Outcome: "leases ended", Age: o.silence(w),
				Figures: fmt.Sprintf("Runs=%d", len(w.runs))})
		}
		o.workerEnded(w)
	}
	if unreached && w.idle && !w.listed && o.now.Sub(w.unlistedAt) > unlistedAfter {
		delete(o.workers, w.ID)
		o.order = nil
		o.rosterVersion++
		o.do(ForgetWorker{ID: w.ID})
		return
	}
	switch {
	case w.Draining && len(w.runs) == 0 && w.resolved:
		// It gets no starts any more: a successor need not wait for it when it has gone.
		o.retireWorker(w)
	case !unreached && w.listed:
		o.enroll(w)
	}
	if w.Draining {
		o.evacuate(w)
	}
	for _, r := range w.runs {
		o.tickRun(r)
	}
	if w.load.filling > 0 && w.load.serving > 0 {
		o.pacing(w)
	}
}

// advanceAcks acknowledges the ends whose jobs' records stand in the store.
func (o *Orchestrator) advanceAcks(w *worker) {
	n := 0
	for _, e := range w.ends {
		if e.job != nil && e.job.written < e.version {
			break
		}
		w.acked = e.number
		n++
	}
	w.ends = slices.Delete(w.ends, 0, n)
}

// judge keeps account of a worker's failures. Workers that fail what they start look
// idle, so that they would attract all work.
func (o *Orchestrator) judge(w *worker, j *job, failed bool) {
	if !failed {
		w.streak, w.probing, w.probe = 0, false, nil
		return
	}
	if w.streakJob != j.ID || w.probing {
		w.streak++
	}
	w.streakJob = j.ID
	if w.streak >= failureStreak {
		o.quarantine(w, Note{Reason: "runs of several jobs failed in a row", Figures: fmt.Sprintf("Failures=%d For=%s", w.streak, avoidFor)})
	}
}

// quarantine gives a worker no new work for avoidFor, and then one task at a time until
// one ends well, or is a long-running task that is at work. What runs there already goes
// on, and is no obstacle. n says why.
func (o *Orchestrator) quarantine(w *worker, n Note) {
	w.avoidUntil, w.probing, w.probe = o.now.Add(avoidFor), true, nil
	n.Event, n.Worker, n.Outcome = EventWorkerAvoided, w.ID, "avoided"
	o.do(n)
}

// evacuate moves tasks off a draining worker that would not end before it leaves.
func (o *Orchestrator) evacuate(w *worker) {
	left := w.drainLeft
	if left == 0 {
		left = drainTime
	}
	left -= o.now.Sub(w.drainSeen)
	for _, r := range w.runs {
		if r.phase != phaseRunning || r.remaining(o.now, o.shape(r.task.job().Policy.Queue).ratio) <= left {
			continue
		}
		if !r.task.step.LongRunning && !r.task.step.Checkpoints && r.percent > 50 {
			continue // worth the chance that the worker stays longer than it says
		}
		o.stop(r, "its worker is draining")
	}
}
