package scheduler

import (
	"cmp"
	"slices"
	"time"

	"peridotpitch/internal/commander"
	"peridotpitch/internal/configurator"
	"peridotpitch/internal/placer"
)

const (
	// TickInterval is the interval at which the owner sends Tick. It bounds the delay of
	// a placement and the rate of journal writes.
	TickInterval = 100 * time.Millisecond
	// BatchLeaseDuration is the longest lease of a batch task.
	BatchLeaseDuration = 20 * time.Second
	// ServiceLeaseDuration is the lease of a service instance. It is long because duplicate
	// instances are harmless and an outage of the owner or of the store must not stop a
	// service.
	ServiceLeaseDuration = 10 * time.Minute
	// commandValidity is the time after sending during which a worker accepts a command.
	// A command without an answer can no longer take effect after this time.
	commandValidity = 3 * time.Second
	// batchRenewalInterval is the time between two renewals of a batch task's lease. It allows
	// four renewals within one lease.
	batchRenewalInterval = 5 * time.Second
	// serviceRenewalInterval is the time between two renewals of a service instance's lease.
	serviceRenewalInterval = 2 * time.Minute
	// pollInterval is the time between two requests to a worker: to accept the epoch
	// (SendFence) or to report (RequestReport).
	pollInterval = time.Second
	// startResendInterval is the time after which an unconfirmed start may be sent again.
	startResendInterval = time.Second
	// unresponsiveTimeout is the age of a worker's last answer from which the worker gets
	// no new tasks and no lease renewals.
	unresponsiveTimeout = 5 * time.Second
	// instanceReplacementTimeout is the age of a worker's last answer from which its
	// service instances are replaced.
	instanceReplacementTimeout = 10 * time.Second
	// evictionGracePeriod is the time that an evicted batch task has for its last
	// checkpoint.
	evictionGracePeriod = 10 * time.Second
	// retirementTimeout bounds how long a retiring instance waits for its replacement.
	retirementTimeout = 60 * time.Second
	// maxCommandsPerMessage bounds the commands in one message to a worker.
	maxCommandsPerMessage = 256
	// maxPlacementsPerTick bounds the placement decisions in one tick.
	maxPlacementsPerTick = 200
	// defaultMaxAttempts is the number of failed runs after which a job fails if its
	// class sets no limit.
	defaultMaxAttempts = 3
)

// Placer decides where tasks run. *placer.Placer implements it.
type Placer interface {
	Configure(p placer.Policy, m configurator.Measures)
	Observe(w placer.Worker, now time.Time)
	Place(t placer.Task, ws []placer.Worker, now time.Time) placer.Decision
	Mitigate(ws []placer.Worker, now time.Time) []placer.Mitigation
	TaskEnded(worker, task string, failed bool, now time.Time)
}

// Settings are the fixed parameters of a Shard.
type Settings struct {
	Shard         string // "domain/shard"
	FailureDomain string
	Host          string // the shard's owner
	Writer        string // incarnation of the owner's process, which differs after each restart
	Placer        Placer
}

// phase is the state of the ownership of a shard.
type phase string

const (
	phaseUnclaimed phase = "waiting" // not yet claimed by this host
	phaseOwned     phase = "owned"
	phaseReleasing phase = "released" // the next journal write clears the owner
	phaseEnded     phase = "lost"     // released, or owned by another host
)

// Shard is the state machine of one shard. It is not safe for concurrent use.
type Shard struct {
	settings Settings
	config   *configurator.Configuration
	phase    phase
	journal  Journal // header fields only; jobs and instances are in tasks
	tasks    map[string]*task
	workers  map[string]*worker
	history  jobHistory

	// placingUntil is the end of the owner's lease for placing tasks, and runningUntil the
	// end of its lease for running tasks. earlierOwnersEndAt is the time at which the leases
	// for running tasks of all earlier owners have ended; it is zero until known.
	placingUntil, runningUntil, earlierOwnersEndAt time.Time
	claimedAt                                      time.Time
	recoveryPending                                bool // there may be tasks of an earlier owner that have not been found yet

	version          uint64 // counts the changes that the journal must hold
	durableVersion   uint64 // last version that the stored journal holds
	writeSoon        bool   // write after minWriteInterval instead of maxWriteInterval
	lastWrite        journalWrite
	lastWriteAt      time.Time
	writeRetryAt     time.Time
	storeUnavailable bool
	journalBytes     int             // estimated size of the encoded journal
	pendingAnswers   []pendingAnswer // answers that wait for a journal write
	pendingImports   []pendingImport // imports that wait for a journal write

	instanceRetryAt  map[instanceKey]time.Time // earliest restart of a failed instance
	lastMitigationAt time.Time
	endpoints        []Endpoint
	actions          []Action
}

// task is a batch job or a service instance.
type task struct {
	JobEntry
	kind          commander.TaskKind
	service       string
	index         int  // of the instance among the service's instances in the failure domain
	retiring      bool // the instance is to be stopped
	retiringSince time.Time

	submittedVersion uint64 // version of the change that added the task
	changedVersion   uint64 // version of the last change of state
	inherited        bool   // listed by an earlier owner's journal

	maybeStarted   bool // a start command may have reached the worker
	startConfirmed bool // the worker has acknowledged or reported the task
	refusedStarts  int  // refused starts of this attempt
	startSentAt    time.Time
	renewSentAt    time.Time
	stopSentAt     time.Time
	// leaseUntil is the latest time at which the worker may still run the task.
	leaseUntil        time.Time
	gracePeriod       time.Duration // time that a stop command allows for the last checkpoint or for draining
	evictionCause     string
	throttleLimit     float64 // share of the declared cores; 0 or 1 is no limit
	throttleLimitSent float64
	lastActionAt      time.Time // last throttle, eviction or stop
	report            commander.TaskReport
	nextPlacementAt   time.Time
	postponements     int
	lastReason        string // rule of the last recorded postponement, or reason of the last recorded refusal of a start
}

// NewShard returns a shard that takes no action before the event Claimed.
func NewShard(s Settings) *Shard {
	return &Shard{
		settings:        s,
		phase:           phaseUnclaimed,
		tasks:           make(map[string]*task),
		workers:         make(map[string]*worker),
		history:         newJobHistory(),
		instanceRetryAt: make(map[instanceKey]time.Time),
	}
}

// Step applies an event and returns the actions that the caller must carry out.
func (s *Shard) Step(e Event, now time.Time) []Action {
	s.actions = nil
	if s.phase == phaseEnded {
		s.rejectWhenLost(e)
		return s.actions
	}
	switch e := e.(type) {
	case ConfigurationChanged:
		s.applyConfiguration(e.Configuration, now)
	case Claimed:
		s.handleClaimed(e, now)
	case OwnershipLeaseChanged:
		s.placingUntil, s.runningUntil, s.earlierOwnersEndAt = e.PlacingUntil, e.RunningUntil, e.EarlierOwnersEndAt
	case SuccessorsChanged:
		s.journal.Successors, s.journal.RunningSuccessors = e.Placing, e.Running
		s.writeSoon = true
	case JobSubmitted:
		s.handleSubmission(e, now)
	case CancellationRequested:
		s.handleCancellation(e, now)
	case JobsImported:
		s.importJobs(e, now)
	case WorkerEpochAccepted:
		s.handleEpochAccepted(e, now)
	case ReportArrived:
		s.handleReport(e, now)
	case PollFailed:
		if w := s.workers[e.Worker]; w != nil {
			w.pollOutstanding = false
		}
	case HigherEpochAccepted:
		s.handleHigherEpoch(e, now)
	case CommandsAnswered:
		s.handleCommandsAnswered(e, now)
	case JournalWritten:
		s.handleJournalWritten(e)
	case JournalFailed:
		s.handleJournalFailed(e, now)
	case JournalOutcomeUnknown:
		s.storeUnavailable = true
	case JournalLost:
		s.handleJournalLost(e)
	case JobHistoryWritten:
		s.handleHistoryWritten(e)
	case WorkerLeaving:
		if w := s.workers[e.Worker]; w != nil {
			w.leaving = e.Leaving
		}
	case ReleaseRequested:
		s.phase = phaseReleasing
		s.writeSoon = true
	case Tick:
		s.tick(now)
	}
	s.flush(e, now)
	return s.actions
}

func (s *Shard) emit(a Action) { s.actions = append(s.actions, a) }

func (s *Shard) recordDecision(r DecisionRecord, now time.Time) {
	r.Time = now
	s.emit(r)
}

// rejectWhenLost rejects submissions and cancellations that arrive after the shard was
// lost.
func (s *Shard) rejectWhenLost(e Event) {
	const reason = "this host no longer owns the shard"
	switch e := e.(type) {
	case JobSubmitted:
		s.emit(AnswerSubmission{Request: e.Request, Reason: reason})
	case CancellationRequested:
		s.emit(AnswerSubmission{Request: e.Request, Reason: reason})
	}
}

func (s *Shard) handleJournalLost(e JournalLost) {
	s.phase = phaseEnded
	for _, a := range s.pendingAnswers {
		s.emit(AnswerSubmission{Request: a.request, Unknown: true, Reason: "shard is now owned by " + e.Owner})
	}
	s.pendingAnswers = nil
	s.emit(PublishEndpoints{})
}

// markChanged marks a task's state as changed; the next journal write includes it.
func (s *Shard) markChanged(t *task) {
	s.version++
	t.changedVersion = s.version
	s.writeSoon = true
}

// mayPlace reports whether the owner may start, stop and evict tasks.
func (s *Shard) mayPlace(now time.Time) bool {
	return s.phase == phaseOwned && s.config != nil && now.Before(s.placingUntil)
}

// handleClaimed restores the state of the shard from the claimed journal.
func (s *Shard) handleClaimed(e Claimed, now time.Time) {
	s.journal = e.Journal
	s.phase, s.claimedAt, s.lastWriteAt = phaseOwned, now, now
	s.recoveryPending = e.Journal.Epoch > 1
	s.history.load(e.JobHistory)
	s.version, s.durableVersion = 1, 1
	for _, entry := range e.Journal.Jobs {
		t := &task{JobEntry: entry, kind: commander.KindBatch, submittedVersion: 1, changedVersion: 1, inherited: true}
		s.restoreTask(t)
	}
	for _, i := range e.Journal.Instances {
		t := &task{kind: commander.KindService, service: i.Service, index: i.Index, retiring: i.Retiring, submittedVersion: 1, changedVersion: 1, inherited: true}
		t.Spec.Name, t.Attempt, t.Worker, t.State = i.Task, i.Attempt, i.Worker, JobRunning
		if t.retiring {
			t.State, t.retiringSince, t.gracePeriod = JobEvicting, now, instanceDrainPeriod
		}
		s.restoreTask(t)
	}
	s.journal.Jobs, s.journal.Instances = nil, nil
	if s.config != nil {
		s.applyConfiguration(s.config, now)
	}
}

// restoreTask adds a task of an earlier owner. A task with a worker counts as possibly
// started, because the earlier owner may have sent the start command.
func (s *Shard) restoreTask(t *task) {
	s.tasks[t.Spec.Name] = t
	if t.Worker != "" && !t.State.Ended() {
		t.maybeStarted = true
		s.ensureWorker(t.Worker).tasks[t.Spec.Name] = t
	}
}

// applyConfiguration puts a configuration into effect.
func (s *Shard) applyConfiguration(c *configurator.Configuration, now time.Time) {
	s.config = c
	s.settings.Placer.Configure(placerPolicy(c), c.Measures)
	listed := make(map[string]bool)
	for _, cw := range c.Workers {
		if cw.FailureDomain+"/"+cw.Shard != s.settings.Shard {
			continue
		}
		listed[cw.Name] = true
		w := s.ensureWorker(cw.Name)
		if w.config.Address != cw.Address {
			w.epochAccepted = false
		}
		w.config, w.removed = cw, false
	}
	for _, w := range s.workers {
		if !listed[w.name] {
			w.removed = true
			w.epochAccepted = w.epochAccepted && len(w.tasks) > 0
			if len(w.tasks) == 0 {
				delete(s.workers, w.name)
			}
		}
	}
	s.reconcile(now)
}

// placerPolicy returns the placer's policy for a configuration.
func placerPolicy(c *configurator.Configuration) placer.Policy {
	p := placer.Policy{Placement: c.Policy.Placement, Quotas: make(map[string]configurator.Resources)}
	for _, t := range c.Teams {
		p.Quotas[t.Name] = t.Quota
	}
	for _, w := range c.Workers {
		if !slices.Contains(p.WorkerSizes, w.Capacity) {
			p.WorkerSizes = append(p.WorkerSizes, w.Capacity)
		}
	}
	return p
}

// recovered reports whether every task that an earlier owner started has been found or
// has ended. This is the case once every worker has reported its tasks under this owner's
// epoch, or once every batch lease that an earlier owner may have granted has ended.
func (s *Shard) recovered(now time.Time) bool {
	if !s.recoveryPending {
		return true
	}
	if s.earlierLeasesEnded(now) {
		s.recoveryPending = false
		return true
	}
	for _, w := range s.workers {
		if !w.epochAcceptedOnce {
			return false
		}
	}
	s.recoveryPending = false
	return true
}

// earlierLeasesEnded reports whether every batch lease that an earlier owner may have
// granted has ended.
func (s *Shard) earlierLeasesEnded(now time.Time) bool {
	return !s.earlierOwnersEndAt.IsZero() && now.After(s.earlierOwnersEndAt.Add(BatchLeaseDuration+leaseDriftMargin))
}

// finishUnfoundCancellations ends the jobs that are being cancelled and that no worker has
// reported by the time at which recovery is complete.
func (s *Shard) finishUnfoundCancellations(now time.Time) {
	if !s.recovered(now) {
		return
	}
	for _, t := range s.selectTasks(func(t *task) bool { return t.State == JobCanceling && t.Worker == "" }) {
		s.finish(t, JobCancelled, "cancelled", now)
	}
}

// selectTasks returns the matching tasks sorted by name. Only the matches are sorted, so
// that a tick stays cheap in a shard with thousands of jobs.
func (s *Shard) selectTasks(match func(t *task) bool) []*task {
	var ts []*task
	for _, t := range s.tasks {
		if match(t) {
			ts = append(ts, t)
		}
	}
	slices.SortFunc(ts, func(a, b *task) int { return cmp.Compare(a.Spec.Name, b.Spec.Name) })
	return ts
}

// tick does the periodic work of the owner.
func (s *Shard) tick(now time.Time) {
	if s.phase != phaseOwned || s.config == nil {
		return
	}
	s.pollWorkers(now)
	s.expireLeases(now)
	s.finishUnfoundCancellations(now)
	if s.mayPlace(now) {
		s.evacuateLeavingWorkers(now)
		s.reconcile(now)
		s.mitigateInterference(now)
		s.place(now)
	}
	s.publishEndpoints()
	s.writeHistory(now)
}

// flush emits the journal write and the commands that are due after an event. Events that
// may arrive by the thousand, such as submissions, send no commands: the next tick sends
// them in one pass over the workers.
func (s *Shard) flush(e Event, now time.Time) {
	if s.phase == phaseUnclaimed || s.phase == phaseEnded {
		return
	}
	s.writeJournal(now)
	if s.phase != phaseOwned || s.config == nil {
		return
	}
	switch e := e.(type) {
	case Tick, JournalWritten:
		for _, w := range s.sortedWorkers() {
			s.sendCommands(w, now)
		}
	case WorkerEpochAccepted:
		s.sendCommandsTo(e.Worker, now)
	case ReportArrived:
		s.sendCommandsTo(e.Worker, now)
	case CommandsAnswered:
		s.sendCommandsTo(e.Worker, now)
	}
}

func (s *Shard) sendCommandsTo(name string, now time.Time) {
	if w := s.workers[name]; w != nil {
		s.sendCommands(w, now)
	}
}

// sortedWorkers returns the workers sorted by name, so that the order of actions does not
// depend on map iteration.
func (s *Shard) sortedWorkers() []*worker {
	ws := make([]*worker, 0, len(s.workers))
	for _, w := range s.workers {
		ws = append(ws, w)
	}
	slices.SortFunc(ws, func(a, b *worker) int { return cmp.Compare(a.name, b.name) })
	return ws
}

// Jobs returns the shard's jobs, including those in the job history, sorted by name.
func (s *Shard) Jobs() []JobStatus {
	var js []JobStatus
	for _, t := range s.tasks {
		if t.kind == commander.KindBatch {
			js = append(js, s.status(&t.JobEntry))
		}
	}
	for i := range s.history.jobs {
		if e := &s.history.jobs[i]; s.tasks[e.Spec.Name] == nil {
			js = append(js, s.status(e))
		}
	}
	slices.SortFunc(js, func(a, b JobStatus) int { return cmp.Compare(a.Spec.Name, b.Spec.Name) })
	return js
}

// Job returns the status of the named job and whether the shard lists it.
func (s *Shard) Job(name string) (JobStatus, bool) {
	if t := s.tasks[name]; t != nil && t.kind == commander.KindBatch {
		return s.status(&t.JobEntry), true
	}
	if e := s.history.find(name); e != nil {
		return s.status(e), true
	}
	return JobStatus{}, false
}

// Workers returns the number of workers and the number that have accepted the owner's
// epoch.
func (s *Shard) Workers() (all, accepted int) {
	for _, w := range s.workers {
		if w.epochAccepted {
			accepted++
		}
	}
	return len(s.workers), accepted
}

// StoreAvailable reports whether the store counts as available: no journal write has failed
// or ended with an unknown outcome since the last successful one.
func (s *Shard) StoreAvailable() bool { return !s.storeUnavailable }

func (s *Shard) status(e *JobEntry) JobStatus {
	return JobStatus{
		Spec: e.Spec, State: e.State, Shard: s.settings.Shard, Worker: e.Worker, Attempt: e.Attempt,
		Evictions: e.Evictions, Checkpoint: e.Checkpoint, Submitted: e.Submitted, Started: e.Started,
		Ended: e.Ended, Decision: e.Decision,
	}
}

// Ended reports whether the shard was released or lost.
func (s *Shard) Ended() bool { return s.phase == phaseEnded }
