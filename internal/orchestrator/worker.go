package orchestrator

import (
	"cmp"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"peridotpitch/internal/classifier"
	"peridotpitch/internal/converter"
)

const (
	// unlistedGrace is how long a worker stays usable after its discovery entry has gone. After
	// a store outage, the entries are back within two seconds.
	unlistedGrace = 2500 * time.Millisecond
	// resendInterval is the pause before a start or stop without an answer is sent again. It is
	// also the pause before a worker that refused a start for lack of capacity gets another.
	resendInterval = 300 * time.Millisecond
	// quarantineStreak is the number of failed runs in a row, of different jobs, after which a
	// worker is quarantined.
	quarantineStreak = 2
	// quarantineTime is how long a quarantined worker gets no new work.
	quarantineTime = 3 * time.Second
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
	listed               bool      // discovery lists the worker
	unlistedAt           time.Time // when its discovery entry was removed
	pollingRequested     bool      // a StartPolling for its address has been emitted
	rosterPending        bool      // its changed roster entry is not in the store yet
	rostered             bool      // the roster in the store lists it as a worker that may run tasks
	provenIdle           bool      // no run of any leader can be on it
	mayRunInheritedTasks bool      // an earlier leader may have started tasks on it, and it has not reported all of their runs to this leader yet
	recordedRuns         bool      // records of an earlier leader may name runs on it, of which this leader does not know what became
	recordedIncarnation  int64     // its process when the roster was written; 0: not known
	runsKnown            bool      // its present runs are known: it has answered this leader, or every lease of an earlier leader has ended

	incarnation        int64
	processFoundAt     time.Time     // when its present process first answered this leader
	fence              uint64        // of the calls to it, see raiseFence
	fenceDue           bool          // calls from before may be executed late, and the fence has not been raised since
	clock              time.Duration // the worker's clock at clockAt
	clockAt            time.Time
	hasClock           bool
	leasesEnd          time.Time // latest end of the leases that have been sent to it
	leaseSentAt        time.Time // when a lease was last sent to it
	leasesBounded      bool      // a roster in the store may bound its leases, see LeaseBounds
	overlongUntil      time.Time // until then its runs may have longer leases than this leader has granted
	answeredPollSentAt time.Time // when the last answered poll was sent
	answeredAt         time.Time // when the answer to that poll arrived
	heardAt            time.Time // when it last answered a leader, as far as this one knows; zero: not known
	unreachable        bool      // the last poll failed
	silentSince        time.Time // when it last stopped answering
	replaced           bool      // another worker answers at its address
	replacedAt         time.Time // when it was found that another worker answers at its address; zero: none
	unansweredAt       time.Time // when a start or stop last got no answer

	runs        []*run // in the order of their starts; removeRun keeps the order
	runByKey    map[runKey]*run
	pollNumber  uint64    // of the last poll whose answer was applied
	firstPoll   uint64    // of the first poll whose answer this leader applied
	endsThrough uint64    // all ends before the answer to this poll have been listed
	unaccounted int       // accepted runs that the last answer listed neither as running nor as ended, see unlisted
	used        Resources // resources of its runs, without the processors of best-effort tasks
	longRunning Resources // the part of used that long-running tasks take
	load        struct {
		latencyCritical int // millicores of latency-critical tasks
		bestEffort      int // millicores of best-effort tasks at full speed
	}

	suspects []*run // runs of suspected tasks

	unwanted []*unwantedRun // runs that the worker lists and the leader stops; their size is unknown

	lastAppliedEnd int // number of the last reported end of a run that has been applied (see appliedEnd)
	unackedEnds    []appliedEnd
	ackedThrough   int // ends up to this number may be acknowledged, because their records are in the store

	failureStreak    int // failed runs in a row
	lastFailedJob    string
	quarantinedUntil time.Time
	probing          bool // it gets one task at a time until one succeeds
	probe            *run // run of that task; nil: none
	speeds           classifier.Worker
	slowdown         float64   // moving average of the ratio of measured to expected run time
	noCapacityUntil  time.Time // it gets no starts until then, because it refused one for lack of capacity
	reservedFor      *task     // until reservedUntil only this task may start on it
	reservedUntil    time.Time
	tailRatio        float64   // highest tail latency of its tasks as a share of the latency target
	tailRatioAt      time.Time // when the answer with tailRatio arrived
	modelledAt       time.Time // when the interference model was last updated by its tail latencies
	overTargetSince  time.Time // since when a task has been over its latency target; zero: none is
	minSpeed         int       // lowest speed limit of a best-effort task, in percent
	throttledAt      time.Time // when throttle last changed minSpeed
	speedsAt         time.Time // when throttle last computed the speed limits
	headrooms        []headroom
	headroomsValid   bool // headrooms may be used until they are headroomMaxAge old
	headroomsAt      time.Time
	changedBefore    uint64        // see noteChange
	processDrains    bool          // the entry of its known process said that it drains; Draining is that of the last entry
	drainRemaining   time.Duration // how long it still serves while draining, as of drainRemainingAt; 0: unknown
	drainRemainingAt time.Time
}

// appliedEnd is the end of a run that may be acknowledged to the worker once the job's
// version is in the store.
type appliedEnd struct {
	number  int
	job     *job // nil: the end changes no record
	version uint64
}

// maxLeaseTime returns the longest real time that a lease can last: that on a worker with the
// slowest clock.
func maxLeaseTime(lease time.Duration) time.Duration {
	return converter.Duration(float64(lease)/(1-clockDrift)) + leaseSlack
}

func parseAddress(text string) netip.AddrPort {
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{} // a worker without an address is not polled
	}
	return a
}

// worker returns the worker with an ID. A missing worker is added.
func (o *Orchestrator) worker(id string) *worker {
	w := o.workers[id]
	if w == nil {
		w = &worker{WorkerEntry: WorkerEntry{ID: id}, fence: o.confirmedRevision, provenIdle: true, runByKey: make(map[runKey]*run), minSpeed: 100, slowdown: 1}
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
	if !w.listed || w.Draining != e.Draining || w.Capacity != e.Capacity || w.WrittenBy != e.WrittenBy {
		o.emit(Note{Event: EventWorkerListed, Worker: e.ID, Outcome: listOutcome(e),
			Figures: fmt.Sprintf("Service=%s FailureDomain=%s Rack=%s Cores=%.1f GB=%.1f GPUs=%d Used=%.1f WrittenBy=%d Incarnation=%d", e.Service, e.FailureDomain, e.Rack,
				float64(e.Capacity.CPU)/1000, float64(e.Capacity.Memory)/1000, e.Capacity.GPU, float64(w.used.CPU)/1000, e.WrittenBy, w.incarnation)})
	}
	if e.Draining && !w.Draining {
		w.drainRemainingAt = o.now
	}
	if !w.listed {
		o.addressTaken(e.Address, e.ID)
	}
	moved := w.Address != e.Address
	w.WorkerEntry, w.listed = e, true
	if w.mayBeOf(cmp.Or(w.incarnation, w.recordedIncarnation)) {
		w.processDrains = w.Draining
	}
	w.replaced = w.replaced && !moved
	if !w.pollingRequested || moved {
		w.pollingRequested = true
		o.emit(StartPolling{Worker: e})
	}
	o.requestRosterEntry(w)
	o.noteChange(w)
	o.passDue = true
}

func listOutcome(e WorkerEntry) string {
	if e.Draining {
		return "draining"
	}
	return "ready"
}

// requestRosterEntry requests the write of a worker's roster entry. It clears provenIdle, and the
// worker gets no starts before the entry is in the store.
func (o *Orchestrator) requestRosterEntry(w *worker) {
	if w.rosterPending || w.rostered && !w.provenIdle || w.Draining {
		return
	}
	w.provenIdle, w.rostered, w.rosterPending = false, false, true
	o.rosterVersion++
	o.emit(WriteSoon{})
}

// markIdle marks in the roster that no run of any leader can be on a worker.
func (o *Orchestrator) markIdle(w *worker) {
	if !w.provenIdle {
		w.provenIdle, w.rostered, w.rosterPending = true, false, false
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

// usable reports whether a worker may get new work. If not, it also returns
// the reason as a predicate, for example "is draining".
func (o *Orchestrator) usable(w *worker) (bool, string) {
	switch {
	case !w.listed && o.now.Sub(w.unlistedAt) > unlistedGrace:
		return false, "is not listed"
	case w.Draining:
		return false, "is draining"
	case o.evacuations.Any() && o.evacuations.Evacuates(w.FailureDomain):
		return false, "is in an evacuated failure domain"
	case !w.runsKnown || !w.hasClock:
		return false, "has not answered this leader yet"
	case !w.entryCurrent():
		return false, "has a discovery entry of another process than the one that answers"
	case w.unreachable || w.unansweredAt.After(w.answeredPollSentAt):
		return false, "does not answer"
	case !w.rostered:
		return false, "has no roster entry in the store yet"
	case w.leasesBounded:
		return false, "has leases that the stored roster bounds"
	case !o.confirmedSinceFound(w):
		return false, "runs a process that this leader has found since its leadership was last confirmed"
	case len(w.unwanted) > 0:
		return false, "still runs tasks of jobs that have ended"
	case o.mayOutlastLeadership(w):
		return false, "has restarted, and its leases may outlast this leadership"
	case o.now.Before(w.quarantinedUntil):
		return false, "is quarantined after failed runs"
	case w.probe != nil:
		return false, "runs one task at a time after failed runs"
	}
	return true, ""
}

func (o *Orchestrator) pollAnswered(e PollAnswered) {
	w := o.workers[e.Worker]
	if w == nil || !o.inheritedApplied || e.SentAt.Before(w.answeredPollSentAt) {
		// Before the inherited jobs are applied, the leader would acknowledge the ends of their
		// runs and stop the runs that are still active.
		return
	}
	w.markListed(e.Running)
	switch {
	case w.incarnation != 0 && w.incarnation != e.Incarnation:
		o.workerRestarted(w, e)
	case w.incarnation == 0 && w.recordedIncarnation != 0 && w.recordedIncarnation != e.Incarnation:
		o.workerCrashed(w, e.Running)
	default:
		o.workerBack(w, e.Incarnation)
	}
	w.recordedRuns = false
	if w.incarnation == 0 {
		o.processFound(w, e.Incarnation)
	}
	if w.incarnation != e.Incarnation {
		o.rosterVersion++ // the roster names its process
		w.processFoundAt, w.fenceDue = o.now, true
		w.processDrains = w.Draining && w.mayBeOf(e.Incarnation)
		o.emit(WriteSoon{}) // see confirmedSinceFound
	}
	if w.leasesBounded {
		o.rosterVersion++ // the bound is removed
		o.emit(WriteSoon{})
	}
	if w.unreachable {
		o.emit(Note{Event: EventWorkerReached, Worker: w.ID, Outcome: "answers again", Age: o.timeSinceAnswer(w)})
	}
	w.runsKnown = true
	w.incarnation, w.clock, w.clockAt, w.hasClock = e.Incarnation, e.Clock, e.ReceivedAt, true
	w.heardAt = e.ReceivedAt
	w.answeredPollSentAt, w.answeredAt, w.unreachable, w.replaced, w.replacedAt = e.SentAt, e.ReceivedAt, false, false, time.Time{}
	if e.DrainRemaining > 0 {
		w.drainRemaining, w.drainRemainingAt = e.DrainRemaining, o.now
	}
	for _, row := range e.Ended {
		if row.Number <= w.lastAppliedEnd {
			o.work.repeatedEnds++
			continue
		}
		w.lastAppliedEnd = row.Number
		w.noteListedEnd(row)
		o.applyEnd(w, row)
	}
	if len(e.Ended) == 0 {
		w.endsThrough = w.pollNumber
	}
	o.advanceAcks(w)
	o.applyRunning(w, e)
	if w.mayRunInheritedTasks && w.endsThrough >= w.firstPoll {
		w.mayRunInheritedTasks = false
	}
	o.noteChange(w)
	o.passDue = true
}

// applyRunning reconciles the leader's runs on a worker with the runs that the worker lists.
func (o *Orchestrator) applyRunning(w *worker, e PollAnswered) {
	tailRatio := 0.0
	for _, row := range e.Running {
		r := w.runByKey[runKey{row.Task, row.Run}]
		if r == nil {
			r = o.adopt(w, row)
		}
		if r == nil {
			continue
		}
		o.updateRun(r, row)
		tailRatio = max(tailRatio, r.tailRatio)
	}
	w.forgetUnwanted(e.Running)
	o.removeUnlisted(w, e)
	if w.load.latencyCritical > 0 {
		w.tailRatio, w.tailRatioAt = tailRatio, e.ReceivedAt
		o.updateInterference(w, e.Running)
	} else {
		w.tailRatio = 0
	}
	o.throttle(w)
}

// workerRestarted resets the state of a worker for its new incarnation. Runs that the poll's
// answer lists are kept, because a start may have reached the new incarnation already.
func (o *Orchestrator) workerRestarted(w *worker, e PollAnswered) {
	o.emit(Note{Event: EventWorkerLost, Worker: w.ID, Outcome: "restarted", Reason: "a new incarnation answers",
		Figures: fmt.Sprintf("Runs=%d Incarnation=%d Former=%d Clock=%s FormerClock=%s LeaseSentAgo=%s Running=%d", len(w.runs), e.Incarnation, w.incarnation,
			e.Clock, w.clock, o.now.Sub(w.leaseSentAt).Round(time.Millisecond), len(e.Running))})
	if !w.unreachable {
		o.noteSilence(w)
	}
	o.workerCrashed(w, e.Running)
	for _, r := range w.runs {
		r.outlivedWorker, r.heardAt = true, w.heardAt
	}
	bornAfter := e.ReceivedAt.Add(-maxLeaseTime(e.Clock))
	for _, r := range w.unlisted(e) {
		// The end of a run that the new incarnation has accepted may not be listed yet.
		if len(e.Ended) == 0 || r.ackedBefore(bornAfter) {
			r.lostAt = o.now
		}
	}
	for _, r := range slices.Clone(w.runs) {
		if r.startUnanswered {
			o.stopUnansweredStart(r)
		}
	}
	o.emit(WriteSoon{}) // the lost runs expire after the next confirmation
	w.lastAppliedEnd, w.ackedThrough, w.unackedEnds = 0, 0, nil
	w.failureStreak, w.quarantinedUntil, w.probing, w.probe, w.slowdown = 0, time.Time{}, false, nil, 1
	w.speeds = classifier.Worker{}
	// The clock of the new incarnation starts at 0. A lease end on the old clock can therefore be a
	// lease of up to MaxLease.
	w.leasesEnd = o.now.Add(maxLeaseTime(o.settings.MaxLease))
	if w.leaseSentAt.After(e.ReceivedAt.Add(-maxLeaseTime(e.Clock))) {
		w.overlongUntil = w.leasesEnd
	}
	if o.mayOutlastLeadership(w) {
		for _, r := range w.runs {
			if r.lostAt.IsZero() {
				o.stop(r, "the worker has restarted, and the run's lease may outlast this leadership")
			}
		}
	}
}

// mayOutlastLeadership reports whether the leases of a worker's runs may end after the time at
// which another leader, elected right after the last confirmation, would expire them.
func (o *Orchestrator) mayOutlastLeadership(w *worker) bool {
	return !w.overlongUntil.IsZero() && w.overlongUntil.After(o.confirmedAt.Add(maxLeaseTime(o.settings.LeaderLease)))
}

func (o *Orchestrator) pollFailed(e PollFailed) {
	w := o.workers[e.Worker]
	if w == nil {
		return
	}
	switch {
	case e.Fenced && o.fenceRaised(w.ID, e.Fence):
		// This leader's own later call has overtaken the poll.
	case e.Fenced:
		o.stepDown("worker " + w.ID + " has accepted a later leader")
	case e.Replaced && !w.replaced:
		if !w.unreachable {
			o.noteSilence(w)
		}
		o.emit(Note{Event: EventWorkerLost, Worker: w.ID, Outcome: "replaced", Reason: "another worker answers at its address"})
		w.unreachable, w.replaced, w.replacedAt = true, true, o.now
		o.workerCrashed(w, nil)
		w.recordedRuns = false
		o.emit(WriteSoon{})
	case !w.unreachable:
		w.unreachable = true
		if !w.provenIdle {
			o.rosterVersion++ // the roster bounds its leases
		}
		o.noteSilence(w)
		o.emit(Note{Event: EventWorkerLost, Worker: w.ID, Outcome: "unreachable", Reason: "a look got no answer",
			Age: o.timeSinceAnswer(w), Figures: fmt.Sprintf("Runs=%d LeaseLeft=%s", len(w.runs), max(0, w.leasesEnd.Sub(o.now)).Round(time.Millisecond))})
		o.recordSuspects(w)
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
func (o *Orchestrator) workerEnded(w *worker, cause lossCause) {
	for i := len(w.runs) - 1; i >= 0; i-- { // expireRun removes the run
		r := w.runs[i]
		r.heardAt = w.heardAt
		o.expireRun(r, cause)
	}
	o.markIdle(w)
	w.runsKnown, w.mayRunInheritedTasks = true, false
	o.passDue = true
}

// expireLostRuns expires the runs that ended with their worker's process. A later leader may have
// reached that process, and its fence has ended with it, so that nothing tells this leader that it is
// deposed. The runs are this leader's to replace only if the leadership was confirmed after
// their end was found.
func (o *Orchestrator) expireLostRuns(w *worker) {
	if !w.replacedAt.IsZero() && o.confirmedAt.After(w.replacedAt) {
		w.replacedAt = time.Time{}
		o.workerEnded(w, lossWorkerEnd)
	}
	for i := len(w.runs) - 1; i >= 0; i-- { // expireRun removes the run
		if r := w.runs[i]; !r.lostAt.IsZero() && o.confirmedAt.After(r.lostAt) {
			o.expireRun(r, lossWorkerEnd)
		}
	}
}

// tickWorker expires a worker's leases, updates its roster entry and resends commands.
func (o *Orchestrator) tickWorker(w *worker) {
	o.expireLostRuns(w)
	// A worker that a slow leader has not polled yet may run tasks, and list ends that are not acknowledged.
	unreachable := w.unreachable || !w.hasClock && !w.pollingRequested
	// A later leader may have reached the worker and extended its leases. The leases have
	// certainly ended only if this leader was confirmed after their end.
	if unreachable && !w.provenIdle && o.now.After(w.leasesEnd) && o.confirmedAt.After(w.leasesEnd) {
		if len(w.runs) > 0 || w.mayRunInheritedTasks {
			o.emit(Note{Event: EventWorkerLost, Worker: w.ID, Outcome: "leases ended", Age: o.timeSinceAnswer(w),
				Figures: fmt.Sprintf("Runs=%d Unconfirmed=%d Incarnation=%d LeaseSentAgo=%s", len(w.runs), w.unconfirmedRuns(), w.incarnation, o.now.Sub(w.leaseSentAt).Round(time.Millisecond))})
		}
		o.rememberSuspects(w)
		w.recordedRuns = false
		o.workerEnded(w, lossLease)
	}
	if unreachable && w.provenIdle && !w.listed && o.now.Sub(w.unlistedAt) > unlistedGrace {
		delete(o.workers, w.ID)
		o.sortedWorkers = nil
		o.rosterVersion++
		o.emit(StopPolling{ID: w.ID})
		return
	}
	switch {
	case w.Draining && len(w.runs) == 0 && len(w.unackedEnds) == 0 && w.runsKnown && !w.mayRunInheritedTasks:
		// The worker gets no more starts, and the next leader need not wait for its leases.
		o.markIdle(w)
	case !unreachable && w.listed:
		o.requestRosterEntry(w)
	}
	if w.Draining {
		o.stopBeforeDrainEnds(w)
	}
	o.withdrawStarts(w)
	for i := 0; i < len(w.runs); { // resendCommands may remove the run
		r := w.runs[i]
		o.resendCommands(r)
		if i < len(w.runs) && w.runs[i] == r {
			i++
		}
	}
	o.resendUnwantedStops(w)
	if w.load.bestEffort > 0 && w.load.latencyCritical > 0 {
		o.throttle(w)
	}
}

// advanceAcks acknowledges ends in order of their numbers, up to the first whose job's record
// is not in the store yet.
func (o *Orchestrator) advanceAcks(w *worker) {
	n := 0
	for _, e := range w.unackedEnds {
		if e.job != nil && e.job.writtenVersion < e.version {
			break
		}
		w.ackedThrough = e.number
		n++
	}
	w.unackedEnds = slices.Delete(w.unackedEnds, 0, n)
}

// recordRunOutcome updates a worker's streak of failed runs, and quarantines the worker from
// quarantineStreak on. Otherwise a worker on which every run fails immediately would have the
// most free capacity and get most tasks.
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

// quarantine keeps new work from a worker for quarantineTime. After that the worker gets one
// task at a time until one succeeds or a long-running one has run for probeDuration. Its other
// runs continue. n holds the reason.
func (o *Orchestrator) quarantine(w *worker, n Note) {
	if !o.enabled(MechanismQuarantine) {
		return
	}
	w.quarantinedUntil, w.probing, w.probe = o.now.Add(quarantineTime), true, nil
	n.Event, n.Worker, n.Outcome = EventWorkerQuarantined, w.ID, "avoided"
	o.emit(n)
}

// stopBeforeDrainEnds stops the runs that would not end before their draining worker stops serving.
func (o *Orchestrator) stopBeforeDrainEnds(w *worker) {
	left := w.drainRemaining
	if left == 0 {
		left = defaultDrainTime
	}
	left -= o.now.Sub(w.drainRemainingAt)
	for _, r := range w.runs {
		if r.phase != phaseRunning || r.remainingRunTime(o.now, o.stats(r.task.job().Policy.Queue).runTimeRatio) <= left {
			continue
		}
		if !r.task.step.LongRunning && !r.task.step.Checkpoints && r.progressPercent > 50 {
			continue // more than half done, and the worker may serve longer than it reports
		}
		o.stop(r, "the worker is draining")
	}
}
