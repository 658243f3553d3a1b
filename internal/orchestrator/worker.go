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
	// unlistedGrace is how long a worker stays usable after its discovery entry has gone:
	// entries return within two seconds of a store outage.
	unlistedGrace = 2500 * time.Millisecond
	// resendInterval is the pause before a start or stop without an answer is sent again, and
	// before a worker that reported too little capacity gets another start.
	resendInterval = 300 * time.Millisecond
	// quarantineStreak is the number of failed runs in a row, of different jobs, from which
	// a worker gets no new work for quarantineTime.
	quarantineStreak = 2
	quarantineTime   = 3 * time.Second
	// defaultDrainTime is how long a draining worker is expected to run tasks if it does not
	// report the time left.
	defaultDrainTime = 2 * time.Second
)

type runKey struct {
	task   string
	number int
}

type worker struct {
	WorkerEntry
	listed        bool
	unlistedAt    time.Time
	watched       bool
	rosterPending bool // its roster entry is to be written
	rostered      bool // the roster in the store lists it as a worker that may run tasks
	idle          bool // no run that any leader started can be there
	inherited     bool // an earlier leader may have started tasks, and it has not answered this leader yet
	resolved      bool // it has answered this leader, or every lease of an earlier leader has ended

	incarnation  int64
	clock        time.Duration // at clockAt, on the worker's clock
	clockAt      time.Time
	hasClock     bool
	leasesEnd    time.Time // by then every lease that has been sent to it has ended
	pollSentAt   time.Time
	answeredAt   time.Time
	unreachable  bool      // the last poll failed
	unansweredAt time.Time // when a start or stop last got no answer

	runs map[runKey]*run
	used Resources // by runs; without the processors of best-effort tasks
	load struct {
		latencyCritical int // millicores of latency-critical tasks
		bestEffort      int // millicores of best-effort tasks at full speed
	}

	unknownRuns int // runs that the worker lists and the leader stops; their size is unknown

	lastAppliedEnd int // highest number of an applied end
	unackedEnds    []appliedEnd
	ackedUpto      int // ends up to this number are in the store

	failureStreak    int // failed runs in a row
	lastFailedJob    string
	quarantinedUntil time.Time
	probing          bool      // gets one task at a time until one succeeds
	probe            *run      // that task, nil while there is none
	slowdown         float64   // moving average of the ratio of measured to expected run time
	noRoomUntil      time.Time // gets no starts until then, because it refused one for lack of capacity
	reservedFor      *task     // other tasks do not start until reservedUntil
	reservedUntil    time.Time
	tailRatio        float64 // highest tail latency of its tasks as a share of the target
	tailAt           time.Time
	overTargetSince  time.Time // since when a task has been over its latency target; zero: none is
	minSpeed         int       // lowest speed limit of a best-effort task, in percent
	throttledAt      time.Time
	headrooms        []headroom
	headroomsValid   bool
	headroomsAt      time.Time
	drainLeft        time.Duration // how long it still serves while draining, as of drainLeftAt; 0: unknown
	drainLeftAt      time.Time
}

// appliedEnd is the end of a run that may be acknowledged to the worker once the job's
// version is in the store.
type appliedEnd struct {
	number  int
	job     *job // nil: the end changes no record
	version uint64
}

// maxLeaseTime returns the longest real time for which a lease can last on a worker with a
// slow clock.
func maxLeaseTime(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)/(1-clockDrift)) + leaseSlack
}

func parseAddress(text string) netip.AddrPort {
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{} // a worker without an address is not polled
	}
	return a
}

// worker returns the worker with an ID, which is added if it is missing.
func (o *Orchestrator) worker(id string) *worker {
	w := o.workers[id]
	if w == nil {
		w = &worker{WorkerEntry: WorkerEntry{ID: id}, idle: true, runs: make(map[runKey]*run), minSpeed: 100, slowdown: 1}
		o.workers[id] = w
		o.sortedWorkers = nil
	}
	return w
}

// workersByID returns all workers, sorted by ID.
func (o *Orchestrator) workersByID() []*worker {
	if o.sortedWorkers == nil {
		o.sortedWorkers = slices.SortedFunc(maps.Values(o.workers), func(a, b *worker) int { return cmp.Compare(a.ID, b.ID) })
	}
	return o.sortedWorkers
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
		o.emit(Note{Event: EventWorkerListed, Worker: e.ID, Outcome: listOutcome(e),
			Figures: fmt.Sprintf("Service=%s FailureDomain=%s Rack=%s Cores=%.1f", e.Service, e.FailureDomain, e.Rack, float64(e.Capacity.CPU)/1000)})
	}
	if e.Draining && !w.Draining {
		w.drainLeftAt = o.now
	}
	moved := w.Address != e.Address
	w.WorkerEntry, w.listed = e, true
	if !w.watched || moved {
		w.watched = true
		o.emit(StartPolling{Worker: e})
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

// enroll requests the write of a worker's roster entry, without which it gets no starts.
func (o *Orchestrator) enroll(w *worker) {
	if w.rosterPending || w.rostered && !w.idle || w.Draining {
		return
	}
	w.idle, w.rostered, w.rosterPending = false, false, true
	o.rosterVersion++
	o.emit(WriteSoon{})
}

// markIdle marks in the roster that no run can be on a worker.
func (o *Orchestrator) markIdle(w *worker) {
	if !w.idle {
		w.idle, w.rostered, w.rosterPending = true, false, false
		o.rosterVersion++
	}
}

func (o *Orchestrator) unlistWorker(id string) {
	w := o.workers[id]
	if w == nil || !w.listed {
		return
	}
	w.listed, w.unlistedAt = false, o.now
	o.emit(Note{Event: EventWorkerListed, Worker: id, Outcome: "gone"})
}

// PollRequest holds the parameters of the next poll of a worker.
type PollRequest struct {
	LeaseEnd  time.Duration // on the worker's clock; 0: leases are not extended
	AckedUpto int           // ends up to this number are in the store
	ShortWait bool          // the worker's figures are needed soon: it waits for changes only briefly
}

// NextPoll returns the parameters of the next poll of a worker, and false if it must not be
// polled any more.
func (o *Orchestrator) NextPoll(id string, now time.Time) (PollRequest, bool) {
	w := o.workers[id]
	if w == nil || o.deposed || o.leaving {
		return PollRequest{}, false
	}
	o.now = now
	r := PollRequest{AckedUpto: w.ackedUpto, ShortWait: w.load.latencyCritical > 0 && w.load.bestEffort > 0 || len(w.runs) == 0 && !w.resolved}
	// A poll without an answer may still have arrived. If each try extended the leases of an
	// unreachable worker, its runs would never expire.
	if len(w.runs) > 0 && !w.unreachable {
		r.LeaseEnd, _ = o.deadline(w)
	}
	return r, true
}

// Acknowledged reports whether all ends that a worker has listed are in the store.
func (o *Orchestrator) Acknowledged(id string) bool {
	w := o.workers[id]
	return w == nil || len(w.unackedEnds) == 0
}

// deadline returns the end of a lease that begins now, on the worker's clock, and records
// that the worker may run tasks until then. It returns false if the lease would be shorter
// than minLease.
func (o *Orchestrator) deadline(w *worker) (time.Duration, bool) {
	lease := min(o.settings.Lease, o.confirmedAt.Add(o.settings.LeaderLease).Sub(o.now))
	if !w.hasClock || lease < minLease {
		return 0, false
	}
	d := w.clock + o.now.Sub(w.clockAt) + lease
	if end := w.clockAt.Add(maxLeaseTime(d - w.clock)); end.After(w.leasesEnd) {
		w.leasesEnd = end
	}
	return d.Truncate(time.Millisecond), true
}

// usable reports whether a worker may get new work. If not, it returns why a step waits that
// finds no usable worker.
func (o *Orchestrator) usable(w *worker) (bool, string) {
	switch {
	case !w.listed && o.now.Sub(w.unlistedAt) > unlistedGrace:
		return false, "no worker is usable; the last one checked is not listed"
	case w.Draining:
		return false, "no worker is usable; the last one checked is draining"
	case !w.resolved || !w.hasClock:
		return false, "no worker is usable; the last one checked has not answered this leader yet"
	case w.unreachable || w.unansweredAt.After(w.pollSentAt):
		return false, "no worker is usable; the last one checked does not answer"
	case !w.rostered:
		return false, "no worker is usable; the last one checked has no roster entry in the store yet"
	case w.unknownRuns > 0:
		return false, "no worker is usable; the last one checked still runs tasks of jobs that have ended"
	case o.now.Before(w.quarantinedUntil):
		return false, "no worker is usable; the last one checked is quarantined after failed runs"
	case w.probe != nil:
		return false, "no worker is usable; the last one checked runs one task at a time after failed runs"
	}
	return true, ""
}

func (o *Orchestrator) pollAnswered(e PollAnswered) {
	w := o.workers[e.Worker]
	if w == nil || !o.inherited || e.SentAt.Before(w.pollSentAt) {
		return // before the jobs are inherited, ends would be acknowledged and runs stopped
	}
	if w.incarnation != 0 && w.incarnation != e.Incarnation {
		o.workerRestarted(w, e)
	}
	if w.unreachable {
		o.emit(Note{Event: EventWorkerReached, Worker: w.ID, Outcome: "answers again", Age: o.timeSinceAnswer(w)})
	}
	if !w.resolved {
		w.resolved, w.inherited = true, false
		o.passDue = true
	}
	w.incarnation, w.clock, w.clockAt, w.hasClock = e.Incarnation, e.Clock, e.ReceivedAt, true
	w.pollSentAt, w.answeredAt, w.unreachable = e.SentAt, e.ReceivedAt, false
	if e.DrainRemaining > 0 {
		w.drainLeft, w.drainLeftAt = e.DrainRemaining, o.now
	}
	for _, row := range e.Ended {
		if row.Number > w.lastAppliedEnd {
			w.lastAppliedEnd = row.Number
			o.applyEnd(w, row)
		}
	}
	o.advanceAcks(w)
	o.applyRunning(w, e)
	o.passDue = true
}

// applyRunning reconciles the leader's runs on a worker with the runs that the worker lists.
func (o *Orchestrator) applyRunning(w *worker, e PollAnswered) {
	tailRatio := 0.0
	w.unknownRuns = 0
	for _, row := range e.Running {
		r := w.runs[runKey{row.Task, row.Run}]
		if r == nil {
			r = o.adopt(w, row)
		}
		if r == nil {
			w.unknownRuns++
			continue
		}
		o.updateRun(r, row)
		tailRatio = max(tailRatio, r.tailRatio)
	}
	for _, r := range w.missing(e) {
		o.emit(Note{Event: EventRunLost, Job: r.task.job().ID, Task: r.task.name, Run: r.number, Worker: w.ID,
			Outcome: "not listed", Reason: "the worker lists it neither as running nor as ended"})
		o.removeRun(r)
	}
	if w.load.latencyCritical > 0 {
		w.tailRatio, w.tailAt = tailRatio, e.ReceivedAt
		o.updateInterference(w, e.Running)
	} else {
		w.tailRatio = 0
	}
	o.throttle(w)
}

// workerRestarted resets the state of a worker for its new incarnation. The poll's answer
// decides which runs are left: a start may have reached the new incarnation already.
func (o *Orchestrator) workerRestarted(w *worker, e PollAnswered) {
	o.emit(Note{Event: EventWorkerLost, Worker: w.ID, Outcome: "restarted", Reason: "a new incarnation answers",
		Figures: fmt.Sprintf("Runs=%d", len(w.runs))})
	for _, r := range w.missing(e) {
		o.expireRun(r)
	}
	w.lastAppliedEnd, w.ackedUpto, w.unackedEnds = 0, 0, nil
	w.failureStreak, w.quarantinedUntil, w.probing, w.probe, w.slowdown = 0, time.Time{}, false, nil, 1
	// Starts that were sent with a deadline on the old incarnation's clock may get a lease of
	// the full length.
	w.leasesEnd = o.now.Add(maxLeaseTime(o.settings.MaxLease))
}

// missing returns the runs that a poll's answer would list if they still ran, and does not.
func (w *worker) missing(e PollAnswered) []*run {
	listed := make(map[runKey]bool, len(e.Running))
	for _, row := range e.Running {
		listed[runKey{row.Task, row.Run}] = true
	}
	var rs []*run
	for k, r := range w.runs {
		if !listed[k] && r.ackedBefore(e.SentAt) {
			rs = append(rs, r)
		}
	}
	return rs
}

// ackedBefore reports whether the worker had answered the run's last start or stop before t,
// so that the answer to a poll sent at t lists the run if it still runs.
func (r *run) ackedBefore(t time.Time) bool {
	return !r.ackedAt.IsZero() && r.ackedAt.Before(t)
}

func (o *Orchestrator) pollFailed(e PollFailed) {
	w := o.workers[e.Worker]
	if w == nil {
		return
	}
	switch {
	case e.Fenced:
		o.stepDown("worker " + w.ID + " has accepted a later leader")
	case e.Replaced:
		o.emit(Note{Event: EventWorkerLost, Worker: w.ID, Outcome: "replaced", Reason: "another worker answers at its address"})
		o.workerEnded(w)
		w.unreachable = true
	case !w.unreachable:
		w.unreachable = true
		o.emit(Note{Event: EventWorkerLost, Worker: w.ID, Outcome: "unreachable", Reason: "a look got no answer",
			Age: o.timeSinceAnswer(w), Figures: fmt.Sprintf("Runs=%d LeaseLeft=%s", len(w.runs), w.leasesEnd.Sub(o.now).Round(time.Millisecond))})
	}
}

// timeSinceAnswer returns the time since a worker last answered a poll of this leader, 0 if
// it never did.
func (o *Orchestrator) timeSinceAnswer(w *worker) time.Duration {
	if w.answeredAt.IsZero() {
		return 0
	}
	return o.now.Sub(w.answeredAt)
}

// workerEnded expires all runs of a worker whose process or leases have ended.
func (o *Orchestrator) workerEnded(w *worker) {
	for _, r := range w.runs {
		o.expireRun(r)
	}
	o.markIdle(w)
	w.resolved, w.inherited = true, false
	o.passDue = true
}

// tickWorker expires a worker's leases, updates its roster entry and resends commands.
func (o *Orchestrator) tickWorker(w *worker) {
	unreachable := w.unreachable || !w.hasClock
	// A later leader may have reached the worker and extended its leases. They have certainly
	// ended only if no other leader had been elected by then.
	if unreachable && !w.idle && o.now.After(w.leasesEnd) && o.confirmedAt.After(w.leasesEnd) {
		if len(w.runs) > 0 || w.inherited {
			o.emit(Note{Event: EventWorkerLost, Worker: w.ID, Outcome: "leases ended", Age: o.timeSinceAnswer(w),
				Figures: fmt.Sprintf("Runs=%d", len(w.runs))})
		}
		o.workerEnded(w)
	}
	if unreachable && w.idle && !w.listed && o.now.Sub(w.unlistedAt) > unlistedGrace {
		delete(o.workers, w.ID)
		o.sortedWorkers = nil
		o.rosterVersion++
		o.emit(StopPolling{ID: w.ID})
		return
	}
	switch {
	case w.Draining && len(w.runs) == 0 && w.resolved:
		// It gets no more starts, and a successor need not wait for its leases.
		o.markIdle(w)
	case !unreachable && w.listed:
		o.enroll(w)
	}
	if w.Draining {
		o.evacuate(w)
	}
	for _, r := range w.runs {
		o.resendCommands(r)
	}
	if w.load.bestEffort > 0 && w.load.latencyCritical > 0 {
		o.throttle(w)
	}
}

// advanceAcks marks ends as acknowledged, in order, if their jobs' records are in the store.
func (o *Orchestrator) advanceAcks(w *worker) {
	n := 0
	for _, e := range w.unackedEnds {
		if e.job != nil && e.job.writtenVersion < e.version {
			break
		}
		w.ackedUpto = e.number
		n++
	}
	w.unackedEnds = slices.Delete(w.unackedEnds, 0, n)
}

// recordRunOutcome updates a worker's streak of failed runs and quarantines it if that is too
// long. A worker that fails every run at once looks idle and would attract all work.
func (o *Orchestrator) recordRunOutcome(w *worker, j *job, failed bool) {
	if !failed {
		w.failureStreak, w.probing, w.probe = 0, false, nil
		return
	}
	if w.lastFailedJob != j.ID || w.probing {
		w.failureStreak++
	}
	w.lastFailedJob = j.ID
	if w.failureStreak >= quarantineStreak {
		o.quarantine(w, Note{Reason: "runs of several jobs failed in a row", Figures: fmt.Sprintf("Failures=%d For=%s", w.failureStreak, quarantineTime)})
	}
}

// quarantine gives a worker no new work for quarantineTime, and then one task at a time until
// one succeeds or a long-running one has run for probeDuration. Its other runs continue. n
// holds the reason.
func (o *Orchestrator) quarantine(w *worker, n Note) {
	w.quarantinedUntil, w.probing, w.probe = o.now.Add(quarantineTime), true, nil
	n.Event, n.Worker, n.Outcome = EventWorkerQuarantined, w.ID, "avoided"
	o.emit(n)
}

// evacuate stops the runs on a draining worker that would not end before it leaves.
func (o *Orchestrator) evacuate(w *worker) {
	left := w.drainLeft
	if left == 0 {
		left = defaultDrainTime
	}
	left -= o.now.Sub(w.drainLeftAt)
	for _, r := range w.runs {
		if r.phase != phaseRunning || r.remaining(o.now, o.stats(r.task.job().Policy.Queue).runTimeRatio) <= left {
			continue
		}
		if !r.task.step.LongRunning && !r.task.step.Checkpoints && r.progressPercent > 50 {
			continue // more than half done, and the worker may stay longer than it reports
		}
		o.stop(r, "the worker is draining")
	}
}
