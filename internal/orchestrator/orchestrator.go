package orchestrator

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"peridotpitch/internal/classifier"
	"peridotpitch/internal/converter"
	"peridotpitch/internal/evacuator"
	"peridotpitch/internal/pacer"
)

// Settings are the fixed parameters of an Orchestrator.
type Settings struct {
	Epoch          uint64        // store revision of the leader's election
	ElectedAt      time.Time     // when the leader learned that it had won the election
	ConfirmedAt    time.Time     // when the request that won the election was sent
	Lease          time.Duration // length of the leases of runs
	BoundsSince    uint64        // all leaders from this epoch on have kept to the lease bounds of their predecessors; 0: not known
	LeaderLease    time.Duration // leases of runs end at most this long after the last confirmation of the leadership
	MaxLease       time.Duration // workers shorten longer leases to this
	Retention      time.Duration // how long the records of finished jobs are kept
	RemoteSlowdown float64       // slowdown of a task away from its data, or of a gang on several racks
	Disabled       MechanismSet  // mechanisms of the policy that are not in use
	// Clock returns the present time. It measures how long scheduling passes take; nil: they are not
	// measured.
	Clock func() time.Time
}

const (
	// clockDrift is the share by which a worker's clock may run slower than real time, as the
	// platform's description of its workers allows.
	clockDrift = 0.02
	// leaseSlack covers the rounding of leases to milliseconds and the delay of timers.
	leaseSlack = 100 * time.Millisecond
	// minLease is the shortest lease with which a run is started or its lease extended.
	minLease = 500 * time.Millisecond
	// runNumberMargin is added to the run numbers from an earlier leader's records, which may
	// lack its last starts. A task has at most a few starts between two records.
	runNumberMargin = 32
	// defaultAttempts is the number of attempts if the configuration sets none.
	defaultAttempts = 3
)

// Orchestrator is the state machine of the leader.
type Orchestrator struct {
	settings Settings
	now      time.Time
	actions  []Action

	jobs          map[string]*job
	finished      map[string]finishedJob
	ready         map[*step]bool // steps with tasks that could start
	workers       map[string]*worker
	sortedWorkers []*worker              // all workers, sorted by ID; nil: to be sorted again
	queueStats    map[string]*queueStats // by queue
	interference  interferenceModel
	evacuations   evacuator.Evacuator
	unplacedAt    map[string]time.Time // by service: when a pass last found no worker for a best-effort task
	outlookMeter  outlookMeter
	pacer         pacer.Pacer // of starts that can wait for urgent jobs
	urgent        urgentQueue
	loadsBuffer   []imageLoad    // reused by bestEffortLoads
	rankingBuffer []rankedWorker // reused by rank

	inheritedApplied  bool                   // Inherited has been applied
	handedOff         bool                   // the earlier leader handed over cleanly
	capacitiesAt      time.Time              // the workers' entries are known as of this time
	confirmedAt       time.Time              // when it was last certain that no other leader had been elected
	confirmedRevision uint64                 // of the last confirmed write of this leader that later epochs exceed
	statisticsAt      time.Time              // when NextBatch last returned the workload statistics
	boundsAt          time.Time              // when refreshBounds last had the bounds of leases written
	rosterVersion     uint64                 // version of the roster after its last change
	rosterBatchAt     time.Time              // when NextBatch last returned the roster
	rosterWritten     uint64                 // roster version that is in the store
	dirty             map[string]*job        // jobs with unwritten changes, by ID
	earlyCancels      map[string]earlyCancel // requests to cancel unknown jobs, by ID of the job
	lapsed            map[netip.AddrPort]lapsedWorker
	silences          []time.Time             // when workers stopped answering, in the last crashEvidenceTime
	expired           []string                // finished jobs whose records are to be deleted
	precedences       map[string]*precedence  // by service, of the last scheduling pass
	serviceLoads      map[string]*serviceLoad // by service, as of the last survey
	passDue           bool                    // a scheduling pass is due, because a change may let a task start
	loadNotedAt       time.Time               // when noteLoad last ran
	work              passWork                // of the scheduling passes since loadNotedAt
	deferrals         int                     // deferred starts since deferralNotedAt
	deferralNotedAt   time.Time               // when deferred starts were last noted
	movedOutAt        time.Time               // when moveOutOfEvacuated last looked for moves
	lastWork          passWork                // of the scheduling passes before loadNotedAt, since the note before
	tickOffset        int                     // index of the first worker of the last tick
	lastSurvey        *survey                 // nil: none
	passCount         uint64                  // scheduling passes with waiting tasks
	changed           []*worker               // workers that have changed since the last of these passes, see noteChange
	lastChanged       []*worker               // of changed, those of the last of these passes
	failedSearches    map[string]failedSearch // of that pass, by unplacedKey
	lastPassAt        time.Time               // of the last scheduling pass
	lastPassSteps     int                     // steps that the last scheduling pass went through
	lastPassTook      time.Duration           // how long the last scheduling pass took
	scoreOffset       int                     // index of the worker at which choose begins if it scores only some of the workers
	adviser           adviser
	steppedDown       bool          // a later leader exists
	leaving           bool          // this leader hands over
	lag               time.Duration // Lag of the last Tick
	wallOffset        time.Duration // WallOffset of the last Tick
}

// finishedJob is a job whose final state is in the store.
type finishedJob struct {
	queue string
	state State
	at    time.Time
}

// queueStats holds statistics of the run times of a queue's tasks.
type queueStats struct {
	runTimeRatio    float64 // moving average of the ratio of measured run times to estimates
	runTimeVariance float64 // moving average of the variance of the logarithm of run times within a step
	tasks           classifier.Queue
	asked, allowed  float64 // recent answers of the outside policy on workers, and how many of them allowed the worker
}

// job is a job that has not finished, or whose final state is not in the store yet.
type job struct {
	Job
	inherited           bool // accepted before this leader's election
	cancelled           bool
	started             bool // a task of it has started
	load                *serviceLoad
	state               State
	finishedAt          time.Time
	occurrences         []*occurrence // not finished: the open ones, and others that records or runs of earlier leaders name
	nextOccurrence      int           // the next occurrence to begin
	finishedOccurrences []int
	deadline            time.Time // of a job without occurrences
	runCount            int       // present runs of all tasks
	idleSince           time.Time // when the last run ended, or a step became ready without any run

	version        uint64    // version of the record after its last change
	writtenVersion uint64    // record version that is in the store
	changedAt      time.Time // of the oldest change that is not in the store
}

// occurrence is one execution of a job's steps. A job without a schedule has one.
type occurrence struct {
	job             *job
	number          int
	due             time.Time
	open            bool // this leader has begun it: its tasks may start
	steps           []*step
	unfinishedSteps int // steps with unfinished tasks

	forecast         forecast // as of forecastAt; empty: none yet
	forecastAt       time.Time
	remainingRunTime time.Duration // expected run time of the longest chain of unfinished steps, as of forecastAt
}

type step struct {
	*Step
	occurrence             *occurrence
	index                  int
	tasks                  []*task
	unfinished             int    // tasks that have not succeeded
	unfinishedDependencies int    // different steps in After with unfinished tasks
	rack                   string // of the first task that started
	readyAt                time.Time
	waitingKnown           bool          // waiting is up to date
	waiting                bool          // see hasWaitingTasks
	meanRunTime            time.Duration // of the measured tasks
	runTimeSamples         int           // number of measured tasks
	waitNotedAt            time.Time     // when a reason for waiting was last noted
	advice                 advice
	ownLoad                ownLoadEstimate // of latency-critical tasks
	critical               *criticalImage  // image of a latency-critical step in the interference model; nil: not looked up
	imageIndexed           bool            // imageIndex is set
	imageIndex             int             // index of a best-effort step's image in the interference model
	interferingShare       float64         // as of interferingAt
	interferingAt          time.Time       // zero: not computed
}

type task struct {
	step              *step
	index             int
	name              string
	nextRun           int    // number of the next run
	done              bool   // a run has succeeded
	failed            []int  // numbers of the failed runs
	saved             string // reference to the last checkpoint
	runs              []*run
	expiredRuns       map[int]bool    // runs whose lease or worker ended without a report
	moves             int             // moves because it was throttled, hung or slow, less its preemptions
	moveTarget        *worker         // worker that moveOutOfEvacuated has reserved for its next run; nil: none
	unsuitableWorkers map[string]bool // workers on which a run failed or was too slow
	slow              slowRun         // its last run that was stopped or copied because it was slow
	long              bool            // it takes long on several workers
	waitingSince      time.Time       // when the last run ended, or the step became ready
	freeSince         time.Time       // when this leader learned that the last run had ended, or the step became ready
	lastRunEnd        time.Time       // when the last run that had begun ended; zero: none has
	crashes           []Crash         // crashes of workers under it since it last outlasted crashWindow
	mayHaveCrashed    bool            // its last worker fell silent and has not answered since
	heldUntil         time.Time       // it does not start before if held
	crashVersion      uint64          // version of the job's record after the last crash
	// nextPreemption is the earliest time at which other tasks may be stopped for this one.
	nextPreemption time.Time

	observed        bool     // this leader has started or adopted a run of it
	recordedWorkers []string // workers of its runs in the record of an earlier leader
	recordedRun     int      // number of the run in that record; 0: none, or this leader knows what became of it
	unknownRuns     int      // runs before the adopted one whose ends this leader may not know
}

// New returns the state machine of a leader that has just been elected.
func New(s Settings) *Orchestrator {
	return &Orchestrator{
		settings:          s,
		confirmedAt:       s.ConfirmedAt,
		confirmedRevision: s.Epoch,
		jobs:              make(map[string]*job),
		finished:          make(map[string]finishedJob),
		ready:             make(map[*step]bool),
		workers:           make(map[string]*worker),
		queueStats:        make(map[string]*queueStats),
		interference:      newInterferenceModel(),
		dirty:             make(map[string]*job),
		earlyCancels:      make(map[string]earlyCancel),
		lapsed:            make(map[netip.AddrPort]lapsedWorker),
		unplacedAt:        make(map[string]time.Time),
		precedences:       make(map[string]*precedence),
		serviceLoads:      make(map[string]*serviceLoad),
		passCount:         1, // no worker has been noted before it
	}
}

// Apply applies an event and returns the actions that the caller must execute, in order.
func (o *Orchestrator) Apply(e Event, now time.Time) []Action {
	o.now, o.actions = now, nil
	switch e := e.(type) {
	case Inherited:
		o.inherit(e)
	case JobAccepted:
		o.acceptJob(e.Job, e.Revision)
	case CancelRequested:
		o.cancelJob(e)
	case WorkersListed:
		o.listWorkers(e.Workers)
		o.confirmCapacities(e.SentAt)
	case WorkersWatched:
		o.confirmCapacities(e.SentAt)
	case WorkerListed:
		o.listWorker(e.Worker)
	case WorkerUnlisted:
		o.unlistWorker(e.ID)
	case EvacuationsListed:
		o.listEvacuations(e.FailureDomains)
	case PollAnswered:
		o.pollAnswered(e)
	case PollFailed:
		o.pollFailed(e)
	case StartAnswered:
		o.startAnswered(e)
	case StopAnswered:
		o.stopAnswered(e)
	case ThrottleAnswered:
		o.throttleAnswered(e)
	case Confirmed:
		if e.SentAt.After(o.confirmedAt) {
			o.confirmedAt = e.SentAt
		}
		o.confirmedRevision = max(o.confirmedRevision, e.Revision)
	case Written:
		o.batchWritten(e.Batch)
	case AdviceAnswered:
		o.adviceAnswered(e)
	case HandOver:
		o.handOver()
	case Tick:
		o.wallOffset, o.lag = e.WallOffset, e.Lag
		o.tick()
	}
	if o.leaving {
		return nil
	}
	if o.passDue && o.inheritedApplied && !o.steppedDown && o.now.Sub(o.lastPassAt) >= o.passPause() {
		o.passDue, o.lastPassAt = false, o.now
		o.lastPassTook = o.measure(o.schedule)
		o.work.took += o.lastPassTook
	}
	o.askNext()
	return o.actions
}

// measure calls f and returns how long it took, 0 without a clock.
func (o *Orchestrator) measure(f func()) time.Duration {
	if o.settings.Clock == nil {
		f()
		return 0
	}
	begin := o.settings.Clock()
	f()
	return o.settings.Clock().Sub(begin)
}

// handOver marks the records of all jobs with runs as changed, so that they are written with
// the workers of the runs.
func (o *Orchestrator) handOver() {
	o.leaving = true
	for _, w := range o.workers {
		if w.silent() && !w.provenIdle {
			o.rosterVersion++ // the bounds of its leases are written anew
		}
		for _, r := range w.runs {
			o.markDirty(r.task.job())
		}
	}
}

// RecordsNameAllRuns reports whether the records after a HandOver name the workers of all
// runs. They do not if an earlier leader, which did not hand over, may have started tasks on a worker
// that has not reported all of their runs to this leader yet.
func (o *Orchestrator) RecordsNameAllRuns() bool {
	if !o.inheritedApplied {
		return false
	}
	for _, w := range o.workers {
		if w.mayRunInheritedTasks && !o.handedOff {
			return false
		}
	}
	return true
}

func (o *Orchestrator) emit(a Action) { o.actions = append(o.actions, a) }

// stepDown ends the leadership because a later leader exists.
func (o *Orchestrator) stepDown(reason string) {
	if !o.steppedDown {
		o.steppedDown = true
		o.emit(StepDown{Reason: reason})
	}
}

// tick does the work that depends only on time: it expires leases, begins occurrences that
// are due and sends commands without an answer again.
func (o *Orchestrator) tick() {
	ws := o.workersByID()
	stride := 1 + len(ws)/workersPerTick
	o.tickOffset = (o.tickOffset + 1) % stride
	for i := o.tickOffset; i < len(ws); i += stride {
		o.tickWorker(ws[i])
	}
	for _, j := range o.jobs {
		o.beginOccurrences(j)
	}
	o.expireFinishedJobs()
	o.refreshBounds()
	o.pacer.Observe(o.lag, o.allowedLag(), o.now)
	o.moveOutOfEvacuated()
	o.passDue = true
	if o.now.Sub(o.loadNotedAt) >= loadNoteInterval {
		o.loadNotedAt = o.now
		o.noteLoad()
		o.forgetLapsed()
		o.dropEarlyCancels()
	}
}

// workersPerTick bounds the workers that one tick goes through, except for the remainder of the
// division: with 1,100 workers and a tick each 50 ms, each worker has its turn after 250 ms.
const workersPerTick = 250

// inherit takes over the state that an earlier leader left in the store.
func (o *Orchestrator) inherit(e Inherited) {
	o.inheritedApplied, o.handedOff, o.passDue, o.lastSurvey = true, e.HandedOff, true, nil
	o.restoreWorkloadStatistics(e.Statistics)
	for _, r := range e.Finished {
		o.finished[r.ID] = finishedJob{queue: r.Queue, state: r.State, at: r.FinishedAt}
	}
	for _, ij := range e.Jobs {
		if ij.Record != nil && ij.Record.State.Final() {
			continue
		}
		if o.jobs[ij.Job.ID] == nil { // else added by a JobAccepted event while the store was read
			o.addJob(ij.Job, ij.Revision, ij.Record)
		}
		if ij.Cancelled {
			o.cancelJob(CancelRequested{ID: ij.Job.ID, Source: CancelInherited})
		}
	}
	for _, c := range e.EarlyCancels {
		o.cancelJob(c)
	}
	if len(e.EarlyCancels) > 0 {
		o.emit(Note{Event: EventCancelEarly, Outcome: "kept until their jobs are known", Reason: string(CancelInherited),
			Figures: fmt.Sprintf("Inherited=%d Kept=%d", len(e.EarlyCancels), len(o.earlyCancels))})
	}
	o.inheritLapsed(e.Roster.Lapsed)
	recorded := o.recordedWorkers()
	for _, r := range e.Roster.Workers {
		w := o.worker(r.ID)
		w.Service, w.provenIdle = r.Service, r.Idle
		w.Address = parseAddress(r.Address)
		w.rostered = true
		if !w.provenIdle {
			w.mayRunInheritedTasks = true
			w.recordedRuns, w.recordedIncarnation = true, e.Roster.Incarnations[r.ID]
			w.leasesEnd = o.settings.ElectedAt.Add(maxLeaseTime(o.settings.LeaderLease))
			o.inheritBound(w, e.Roster.Bounds)
		}
		if !w.pollingRequested && w.Address.IsValid() {
			w.pollingRequested = true
			o.emit(StartPolling{Worker: w.WorkerEntry, Recorded: recorded[r.ID]})
		}
	}
	o.inheritWaits()
}

// acceptJob adds a job whose acceptance is in the store.
func (o *Orchestrator) acceptJob(j Job, revision uint64) {
	if _, ok := o.finished[j.ID]; ok || o.jobs[j.ID] != nil {
		return
	}
	if j.Epoch > o.settings.Epoch {
		o.stepDown("job " + j.ID + " was accepted by a later leader")
		return
	}
	o.addJob(j, revision, nil)
}

// addJob adds a job, with the progress from its record r. r is nil if no record was written.
func (o *Orchestrator) addJob(spec Job, revision uint64, r *Record) {
	j := &job{Job: spec, inherited: spec.Epoch < o.settings.Epoch, state: StateQueued, load: o.serviceLoad(spec.Policy.Service)}
	o.jobs[j.ID] = j
	j.deadline = j.Submitted.Add(converter.Scale(o.longestChain(j), max(1, j.Policy.Stretch)) + j.Policy.TargetDuration)
	o.noteUrgency(j)
	if r != nil {
		o.restore(j, r, o.now)
		j.started = j.state == StateRunning || len(r.Done) > 0 || len(r.Tasks) > 0 || len(r.Finished) > 0
	}
	o.beginOccurrences(j)
	for _, oc := range slices.Clone(j.occurrences) {
		o.recount(oc)
	}
	o.emit(Note{Event: EventJobAdded, Job: j.ID, Queue: j.Policy.Queue, Outcome: string(j.state),
		Figures: fmt.Sprintf("Revision=%d Inherited=%t Steps=%d Deadline=%s", revision, j.inherited, len(j.Steps), j.deadline.Sub(o.now).Round(time.Millisecond))})
	o.applyEarlyCancel(j.ID)
}

// longestChain returns the expected run time of the job's longest chain of steps. Each step
// takes as long as the longest of its tasks.
func (o *Orchestrator) longestChain(j *job) time.Duration {
	qs := o.stats(j.Policy.Queue)
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i, s := range j.Steps {
		for _, a := range s.After {
			ends[i] = max(ends[i], ends[a])
		}
		ends[i] += converter.Scale(s.Estimate, qs.runTimeRatio*qs.longestFactor(s.Count))
		longest = max(longest, ends[i])
	}
	return longest
}

// stats returns the statistics of a queue.
func (o *Orchestrator) stats(queue string) *queueStats {
	s := o.queueStats[queue]
	if s == nil {
		s = &queueStats{runTimeRatio: 1}
		o.queueStats[queue] = s
	}
	return s
}

// finishJob moves a job to a final state, which callers see once it is in the store.
func (o *Orchestrator) finishJob(j *job, s State, reason string) {
	if j.state.Final() {
		return
	}
	j.state, j.finishedAt = s, o.now
	o.markDirty(j)
	for _, oc := range j.occurrences {
		for _, st := range oc.steps {
			delete(o.ready, st)
			for _, t := range st.tasks {
				o.stopRuns(t, reason)
			}
		}
	}
	o.emit(Note{Event: EventJobFinished, Job: j.ID, Queue: j.Policy.Queue, Outcome: string(s), Reason: reason, Age: o.now.Sub(j.Submitted),
		Figures: fmt.Sprintf("Late=%t", o.now.After(j.deadline))})
	o.emit(WriteSoon{})
}

// markDirty marks a job's record in the store as out of date.
func (o *Orchestrator) markDirty(j *job) {
	if j.version == j.writtenVersion {
		j.changedAt = o.now
	}
	j.version++
	o.dirty[j.ID] = j
}

// expireFinishedJobs removes finished jobs after their retention, and requests the deletion
// of their records.
func (o *Orchestrator) expireFinishedJobs() {
	for id, f := range o.finished {
		if o.now.Sub(f.at) > o.settings.Retention {
			delete(o.finished, id)
			o.expired = append(o.expired, id)
		}
	}
}

// State returns a job's state as callers may see it: a final state only once it is in the
// store.
func (o *Orchestrator) State(id string) (State, bool) {
	if f, ok := o.finished[id]; ok {
		return f.state, true
	}
	j := o.jobs[id]
	switch {
	case j == nil:
		return "", false
	case j.cancelled:
		return StateCancelled, true
	case j.state == StateQueued:
		return StateQueued, true
	}
	return StateRunning, true
}

// Pending returns for each queue the number of accepted jobs without a started task.
func (o *Orchestrator) Pending() map[string]int {
	pending := make(map[string]int)
	for _, j := range o.jobs {
		if !j.started && !j.cancelled && !j.state.Final() {
			pending[j.Policy.Queue]++
		}
	}
	return pending
}

func (t *task) job() *job { return t.step.occurrence.job }

// mayBeExhausted reports whether the task has no attempts left if all runs with an unknown end have
// failed.
func (t *task) mayBeExhausted() bool {
	return !t.step.LongRunning && len(t.failed)+t.unknownRuns >= t.maxAttempts()
}

// maxAttempts returns the number of failed runs of the task after which its job fails.
func (t *task) maxAttempts() int {
	if a := t.job().Policy.Attempts; a > 0 {
		return a
	}
	return defaultAttempts
}
