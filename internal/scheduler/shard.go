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
	// TickInterval is how often the owner sends Tick. It bounds the delay of a
	// placement and the number of journal writes.
	TickInterval = 100 * time.Millisecond
	// LeaseDuration is the longest lease of a batch task.
	LeaseDuration = 20 * time.Second
	// ServiceLease is the lease of a service instance. It is long because duplicate
	// instances are harmless and an outage must not stop a service.
	ServiceLease = 10 * time.Minute
	// commandValidity bounds how long after sending a command a worker accepts it, so
	// that a command without an answer is settled after this time.
	commandValidity = 3 * time.Second
	renewEvery      = 5 * time.Second // four renewals fit into one lease
	renewServices   = 2 * time.Minute
	reportEvery     = time.Second
	resendAfter     = time.Second
	// silentAfter is the age of a worker's last answer from which it gets no work and
	// no renewals.
	silentAfter = 5 * time.Second
	// replaceAfter is the silence after which a replacement of an instance is started.
	replaceAfter = 10 * time.Second
	// evictGrace is how long a batch task may take for its last checkpoint.
	evictGrace = 10 * time.Second
	// retireWithin bounds the wait for the replacement of an instance that must go.
	retireWithin = 60 * time.Second
	// maxCommands bounds the commands in one message to a worker.
	maxCommands = 256
	// maxPlacements bounds the placement decisions in one tick.
	maxPlacements      = 200
	defaultMaxAttempts = 3
)

// Placer decides where tasks run. *placer.Placer implements it.
type Placer interface {
	Configure(p placer.Policy, m configurator.Measures)
	Observe(w placer.Worker, now time.Time)
	Place(t placer.Task, ws []placer.Worker, now time.Time) placer.Decision
	Relieve(ws []placer.Worker, now time.Time) []placer.Relief
	TaskEnded(worker, task string, failed bool, now time.Time)
}

// Settings are the fixed parameters of a Shard.
type Settings struct {
	Shard         string // "domain/shard"
	FailureDomain string
	Host          string // owner
	Writer        string // identity of the owner's process
	Placer        Placer
}

// phase is the state of ownership.
type phase string

const (
	phaseWaiting  phase = "waiting" // not claimed yet
	phaseOwned    phase = "owned"
	phaseReleased phase = "released" // the next write gives the shard up
	phaseLost     phase = "lost"
)

// Shard is the state machine of one shard. It is not safe for concurrent use.
type Shard struct {
	settings Settings
	config   *configurator.Configuration
	phase    phase
	journal  Journal // header fields; jobs and instances are in tasks
	tasks    map[string]*task
	workers  map[string]*worker
	records  records

	placing, running, earlierEnds time.Time
	claimedAt                     time.Time
	inherited                     bool // an earlier owner may have started tasks

	version   uint64 // of the last change
	durable   uint64 // last version that the journal holds
	urgent    bool   // changes that wait for nothing but the write interval
	write     pendingWrite
	lastWrite time.Time
	retryAt   time.Time
	storeDown bool
	size      int // estimated size of the encoded journal, bytes
	answers   []pendingAnswer
	imports   []pendingImport

	retrySlots map[slot]time.Time // when a failed instance may be started again
	lastRelief time.Time
	endpoints  []Endpoint
	actions    []Action
}

// task is a batch job or a service instance.
type task struct {
	JobEntry
	kind     commander.TaskKind
	service  string
	index    int
	retiring bool
	retireAt time.Time // when retiring began

	submitted uint64 // version that first listed the task
	changed   uint64 // version of the last change of state
	inherited bool   // listed by an earlier owner's journal

	sent      bool // a start may have reached the worker
	started   bool // the worker has acknowledged or reported the task
	refused   int  // refused starts of this attempt
	startSent time.Time
	renewSent time.Time
	stopSent  time.Time
	// leaseUntil is the latest time at which the worker may still run the task.
	leaseUntil time.Time
	grace      time.Duration
	cause      string // of the eviction
	limit      float64
	limitSent  float64
	lastAction time.Time
	report     commander.TaskReport
	nextTry    time.Time
	waits      int
	lastReason string
}

// NewShard returns a shard that does nothing before Claimed.
func NewShard(s Settings) *Shard {
	return &Shard{
		settings:   s,
		phase:      phaseWaiting,
		tasks:      make(map[string]*task),
		workers:    make(map[string]*worker),
		records:    newRecords(),
		retrySlots: make(map[slot]time.Time),
	}
}

// Step takes an event and returns what the caller must do.
func (s *Shard) Step(e Event, now time.Time) []Action {
	s.actions = nil
	if s.phase == phaseLost {
		s.rejectWhenLost(e)
		return s.actions
	}
	switch e := e.(type) {
	case ConfigurationChanged:
		s.configure(e.Configuration, now)
	case Claimed:
		s.claimed(e, now)
	case TenureChanged:
		s.placing, s.running, s.earlierEnds = e.Placing, e.Running, e.EarlierEnds
	case SuccessorsChanged:
		s.journal.Successors, s.journal.RunningSuccessors = e.Placing, e.Running
		s.urgent = true
	case JobSubmitted:
		s.submit(e, now)
	case CancellationAsked:
		s.cancel(e, now)
	case JobsImported:
		s.importJobs(e, now)
	case WorkerFenced:
		s.workerFenced(e, now)
	case ReportArrived:
		s.reportArrived(e, now)
	case WorkerSilent:
		if w := s.workers[e.Worker]; w != nil {
			w.asking = false
		}
	case WorkerRejected:
		s.workerRejected(e, now)
	case CommandsAnswered:
		s.commandsAnswered(e, now)
	case JournalWritten:
		s.journalWritten(e)
	case JournalFailed:
		s.journalFailed(e, now)
	case JournalUnknown:
		s.storeDown = true
	case JournalLost:
		s.lost(e)
	case RecordsWritten:
		s.recordsWritten(e)
	case HostLeaving:
		if w := s.workers[e.Worker]; w != nil {
			w.leaving = e.Leaving
		}
	case Released:
		s.phase = phaseReleased
		s.urgent = true
	case Tick:
		s.tick(now)
	}
	s.flush(e, now)
	return s.actions
}

func (s *Shard) emit(a Action) { s.actions = append(s.actions, a) }

func (s *Shard) note(r Record, now time.Time) {
	r.Time = now
	s.emit(r)
}

// rejectWhenLost answers what callers wait for after the shard was lost.
func (s *Shard) rejectWhenLost(e Event) {
	const reason = "this host no longer owns the shard"
	switch e := e.(type) {
	case JobSubmitted:
		s.emit(AnswerSubmission{Request: e.Request, Reason: reason})
	case CancellationAsked:
		s.emit(AnswerSubmission{Request: e.Request, Reason: reason})
	}
}

func (s *Shard) lost(e JournalLost) {
	s.phase = phaseLost
	for _, a := range s.answers {
		s.emit(AnswerSubmission{Request: a.request, Unknown: true, Reason: "shard is now owned by " + e.Owner})
	}
	s.answers = nil
	s.emit(PublishEndpoints{})
}

// change marks a task's state as changed. The next write carries it.
func (s *Shard) change(t *task) {
	s.version++
	t.changed = s.version
	s.urgent = true
}

// mayPlace reports whether the owner may start, stop and evict.
func (s *Shard) mayPlace(now time.Time) bool {
	return s.phase == phaseOwned && s.config != nil && now.Before(s.placing)
}

// claimed takes over the journal.
func (s *Shard) claimed(e Claimed, now time.Time) {
	s.journal = e.Journal
	s.phase, s.claimedAt, s.lastWrite = phaseOwned, now, now
	s.inherited = e.Journal.Epoch > 1
	s.records.load(e.Records)
	s.version, s.durable = 1, 1
	for _, b := range e.Journal.Jobs {
		t := &task{JobEntry: b, kind: commander.KindBatch, submitted: 1, changed: 1, inherited: true}
		s.adoptEntry(t)
	}
	for _, i := range e.Journal.Instances {
		t := &task{kind: commander.KindService, service: i.Service, index: i.Index, retiring: i.Retiring, submitted: 1, changed: 1, inherited: true}
		t.Spec.Name, t.Attempt, t.Worker, t.State = i.Task, i.Attempt, i.Worker, JobRunning
		if t.retiring {
			t.State, t.retireAt, t.grace = JobEvicting, now, drainGrace
		}
		s.adoptEntry(t)
	}
	s.journal.Jobs, s.journal.Instances = nil, nil
	if s.config != nil {
		s.configure(s.config, now)
	}
}

// adoptEntry lists a task of an earlier owner. A start may have been sent for it.
func (s *Shard) adoptEntry(t *task) {
	s.tasks[t.Spec.Name] = t
	if t.Worker != "" && !t.State.Ended() {
		t.sent = true
		s.worker(t.Worker).tasks[t.Spec.Name] = t
	}
}

// configure puts a configuration into effect.
func (s *Shard) configure(c *configurator.Configuration, now time.Time) {
	s.config = c
	s.settings.Placer.Configure(policyOf(c), c.Measures)
	listed := make(map[string]bool)
	for _, cw := range c.Workers {
		if cw.FailureDomain+"/"+cw.Shard != s.settings.Shard {
			continue
		}
		listed[cw.Name] = true
		w := s.worker(cw.Name)
		if w.config.Address != cw.Address {
			w.fenced = false
		}
		w.config, w.removed = cw, false
	}
	for _, w := range s.workers {
		if !listed[w.name] {
			w.removed = true
			w.fenced = w.fenced && len(w.tasks) > 0
			if len(w.tasks) == 0 {
				delete(s.workers, w.name)
			}
		}
	}
	s.reconcile(now)
}

// policyOf returns the placer's settings of a configuration.
func policyOf(c *configurator.Configuration) placer.Policy {
	p := placer.Policy{Placement: c.Policy.Placement, Quotas: make(map[string]configurator.Resources)}
	for _, t := range c.Teams {
		p.Quotas[t.Name] = t.Quota
	}
	for _, w := range c.Workers {
		if !slices.Contains(p.Fleet, w.Capacity) {
			p.Fleet = append(p.Fleet, w.Capacity)
		}
	}
	return p
}

// recovered reports whether nothing of an earlier owner can run unnoticed: every
// worker has been fenced, or the earlier owners' tenures and the last leases that they
// may have given have ended.
func (s *Shard) recovered(now time.Time) bool {
	if !s.inherited {
		return true
	}
	if s.earlierLeasesEnded(now) {
		s.inherited = false
		return true
	}
	for _, w := range s.workers {
		if !w.everFenced {
			return false
		}
	}
	s.inherited = false
	return true
}

func (s *Shard) earlierLeasesEnded(now time.Time) bool {
	return !s.earlierEnds.IsZero() && now.After(s.earlierEnds.Add(LeaseDuration+leaseMargin))
}

// settleInherited ends cancelled jobs of an earlier owner that were found nowhere.
func (s *Shard) settleInherited(now time.Time) {
	if !s.recovered(now) {
		return
	}
	for _, t := range s.selected(func(t *task) bool { return t.State == JobCanceling && t.Worker == "" }) {
		s.finish(t, JobCancelled, "cancelled", now)
	}
}

// selected returns the tasks that match, sorted by name. Sorting only those keeps a tick
// cheap when a shard lists thousands of jobs.
func (s *Shard) selected(match func(t *task) bool) []*task {
	var ts []*task
	for _, t := range s.tasks {
		if match(t) {
			ts = append(ts, t)
		}
	}
	slices.SortFunc(ts, func(a, b *task) int { return cmp.Compare(a.Spec.Name, b.Spec.Name) })
	return ts
}

// tick makes the decisions that depend on time.
func (s *Shard) tick(now time.Time) {
	if s.phase != phaseOwned || s.config == nil {
		return
	}
	s.pollWorkers(now)
	s.expireLeases(now)
	s.settleInherited(now)
	if s.mayPlace(now) {
		s.moveFromLeaving(now)
		s.reconcile(now)
		s.relieve(now)
		s.place(now)
	}
	s.publish()
	s.writeRecords(now)
}

// flush sends what the current state allows. Commands wait for the next tick where an
// event may come in thousands, so that a burst of them costs one pass.
func (s *Shard) flush(e Event, now time.Time) {
	if s.phase == phaseWaiting || s.phase == phaseLost {
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
	case WorkerFenced:
		s.sendTo(e.Worker, now)
	case ReportArrived:
		s.sendTo(e.Worker, now)
	case CommandsAnswered:
		s.sendTo(e.Worker, now)
	}
}

func (s *Shard) sendTo(name string, now time.Time) {
	if w := s.workers[name]; w != nil {
		s.sendCommands(w, now)
	}
}

// sortedWorkers makes the order of actions independent of the map's order.
func (s *Shard) sortedWorkers() []*worker {
	ws := make([]*worker, 0, len(s.workers))
	for _, w := range s.workers {
		ws = append(ws, w)
	}
	slices.SortFunc(ws, func(a, b *worker) int { return cmp.Compare(a.name, b.name) })
	return ws
}

// Jobs returns the shard's jobs and recent records, sorted by name.
func (s *Shard) Jobs() []JobStatus {
	var js []JobStatus
	for _, t := range s.tasks {
		if t.kind == commander.KindBatch {
			js = append(js, s.status(&t.JobEntry))
		}
	}
	for i := range s.records.jobs {
		if b := &s.records.jobs[i]; s.tasks[b.Spec.Name] == nil {
			js = append(js, s.status(b))
		}
	}
	slices.SortFunc(js, func(a, b JobStatus) int { return cmp.Compare(a.Spec.Name, b.Spec.Name) })
	return js
}

// Job returns one job.
func (s *Shard) Job(name string) (JobStatus, bool) {
	if t := s.tasks[name]; t != nil && t.kind == commander.KindBatch {
		return s.status(&t.JobEntry), true
	}
	if b := s.records.find(name); b != nil {
		return s.status(b), true
	}
	return JobStatus{}, false
}

// Workers returns the number of workers and how many of them are fenced.
func (s *Shard) Workers() (all, fenced int) {
	for _, w := range s.workers {
		if w.fenced {
			fenced++
		}
	}
	return len(s.workers), fenced
}

// StoreAvailable reports whether the last write to the store succeeded.
func (s *Shard) StoreAvailable() bool { return !s.storeDown }

func (s *Shard) status(b *JobEntry) JobStatus {
	return JobStatus{
		Spec: b.Spec, State: b.State, Shard: s.settings.Shard, Worker: b.Worker, Attempt: b.Attempt,
		Evictions: b.Evictions, Checkpoint: b.Checkpoint, Submitted: b.Submitted, Started: b.Started,
		Ended: b.Ended, Decision: b.Decision,
	}
}

// Released reports whether the shard was given up or lost.
func (s *Shard) Released() bool { return s.phase == phaseLost }
