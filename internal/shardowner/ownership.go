package shardowner

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"peridotpitch/internal/configurator"
	"peridotpitch/internal/lessor"
	"peridotpitch/internal/messenger"
	"peridotpitch/internal/placer"
	"peridotpitch/internal/recorder"
	"peridotpitch/internal/scheduler"
	"peridotpitch/internal/storer"
)

// ownedShard is a shard that this host owns.
type ownedShard struct {
	owner   *Owner
	name    string
	epoch   uint64
	context context.Context // ends when this host stops owning the shard
	cancel  context.CancelFunc

	mutex                    sync.Mutex
	shard                    *scheduler.Shard
	placingLease             *lessor.Lease
	runningLease             *lessor.Lease
	lastLeaseEvent           scheduler.OwnershipLeaseChanged // last one passed to shard
	earlierOwnersEndAt       time.Time                       // when the running leases of all earlier owners have ended; zero until known
	earlierRunningSuccessors []string                        // running successors in the journal of the previous owner
	revision                 uint64                          // of the stored journal
	consecutiveWriteFailures int
	successors               successorChange
	pendingRequests          map[uint64]chan scheduler.AnswerSubmission // by request ID
	lastRequestID            uint64
	endpoints                []scheduler.Endpoint
	lost                     bool // the shard was released or another host has claimed it
}

// successorChange holds the possible successors in the stored journal and a newer list that
// may not be stored yet. Until the newer list is stored, the owner needs the promises of the
// hosts in both lists.
type successorChange struct {
	placing, running []string // in the stored journal
	nextPlacing      []string
	nextRunning      []string
	pending          bool
	sequence         uint64 // of the first journal write with the newer list; 0 before that write
}

// startOwnership starts to run a shard that this host has claimed. j is the journal that the
// claim wrote, earlier is the journal before the claim, and sentAt is when the claim was sent.
func (p *Owner) startOwnership(j, earlier scheduler.Journal, jobHistory []byte, revision uint64, sentAt time.Time) {
	ctx, stop := context.WithCancel(p.context)
	p.mutex.Lock()
	c, leaving := p.config, p.leaving
	seed := p.random.Uint64()
	p.mutex.Unlock()
	o := &ownedShard{
		owner: p, name: j.Shard, epoch: j.Epoch, context: ctx, cancel: stop, revision: revision,
		placingLease:             lessor.NewLease(p.placingTTL, j.Successors, sentAt),
		runningLease:             lessor.NewLease(p.runningTTL, j.RunningSuccessors, sentAt),
		earlierRunningSuccessors: earlier.RunningSuccessors,
		pendingRequests:          make(map[uint64]chan scheduler.AnswerSubmission),
	}
	o.successors.placing, o.successors.running = j.Successors, j.RunningSuccessors
	if len(o.earlierRunningSuccessors) == 0 {
		o.earlierOwnersEndAt = time.Now().Add(p.runningTTL)
	}
	newPlacer := p.settings.NewPlacer
	if newPlacer == nil {
		newPlacer = func(string) scheduler.Placer {
			return placer.New(placer.Policy{}, configurator.Measures{}, newRandom(seed))
		}
	}
	o.shard = scheduler.NewShard(scheduler.Settings{
		Shard: j.Shard, FailureDomain: p.settings.FailureDomain, Host: p.settings.Host,
		Writer: p.settings.Incarnation, Placer: newPlacer(j.Shard),
	})
	p.recordOwnerChange(j.Shard, "TenureEnded", fmt.Sprintf("epoch %d, previous owner %q, %d jobs", j.Epoch, earlier.Owner, len(j.Jobs)))
	o.step(scheduler.ConfigurationChanged{Configuration: c})
	o.step(scheduler.Claimed{Journal: j, JobHistory: jobHistory})
	for w := range leaving {
		o.step(scheduler.WorkerLeaving{Worker: w, Leaving: true})
	}
	p.mutex.Lock()
	p.shards[j.Shard] = o
	newest := p.config
	p.mutex.Unlock()
	if newest != c {
		o.step(scheduler.ConfigurationChanged{Configuration: newest})
	}
	o.setSuccessors(p.successors(newest))
	p.background(o.sendTicks)
}

// recordOwnerChange adds a decision record about a change of owner.
func (p *Owner) recordOwnerChange(shard, rule, cause string) {
	p.settings.Record(recorder.Record{Time: time.Now(), Kind: recorder.KindClaim, Subject: shard, Rule: rule, Cause: cause, Outcome: p.settings.Host})
}

// sendTicks passes ticks to the shard until this host stops owning it.
func (o *ownedShard) sendTicks(context.Context) {
	for sleep(o.context, scheduler.TickInterval) {
		o.step(scheduler.Tick{})
	}
}

// step passes an event to the shard and starts the resulting actions. If the ends of the
// leases have changed, the shard receives them before the event.
func (o *ownedShard) step(e scheduler.Event) {
	o.mutex.Lock()
	now := time.Now()
	var records []scheduler.DecisionRecord
	if t := (scheduler.OwnershipLeaseChanged{PlacingUntil: o.placingLease.Expiry(), RunningUntil: o.runningLease.Expiry(), EarlierOwnersEndAt: o.earlierOwnersEndAt}); t != o.lastLeaseEvent {
		o.lastLeaseEvent = t
		records = o.startActions(o.shard.Step(t, now), records)
	}
	records = o.startActions(o.shard.Step(e, now), records)
	o.mutex.Unlock()
	for _, r := range records {
		o.owner.settings.Record(toDecisionRecord(o.name, r))
	}
}

func toDecisionRecord(shard string, r scheduler.DecisionRecord) recorder.Record {
	m := recorder.Record{
		Time: r.Time, Kind: r.Kind, Job: r.ID, Task: r.ID, Worker: r.Worker, Subject: shard,
		Cause: r.Cause, Rule: r.Rule, Outcome: r.Worker,
	}
	for _, c := range r.Candidates {
		m.Candidates = append(m.Candidates, recorder.Candidate{
			Name: c.Name, Age: c.Age, Rejected: c.Rejected,
			Figures: []recorder.Figure{
				{Name: "Score", Value: c.Score}, {Name: "Interference", Value: c.Interference},
				{Name: "FreeCores", Value: c.Free.Cores}, {Name: "FailureRate", Value: c.FailureRate},
			},
		})
	}
	return m
}

// startActions starts the actions and appends the decisions to records. The caller holds
// mutex.
func (o *ownedShard) startActions(actions []scheduler.Action, records []scheduler.DecisionRecord) []scheduler.DecisionRecord {
	for _, a := range actions {
		switch a := a.(type) {
		case scheduler.WriteJournal:
			if o.successors.pending && o.successors.sequence == 0 {
				o.successors.sequence = a.Sequence
			}
			o.owner.background(func(context.Context) { o.writeJournal(a) })
		case scheduler.WriteJobHistory:
			o.owner.background(func(context.Context) { o.writeJobHistory(a) })
		case scheduler.SendFence:
			o.enqueueCall(func(ctx context.Context) { o.sendFence(ctx, a) }, scheduler.PollFailed{Worker: a.Worker})
		case scheduler.RequestReport:
			o.enqueueCall(func(ctx context.Context) { o.requestReport(ctx, a) }, scheduler.PollFailed{Worker: a.Worker})
		case scheduler.SendCommands:
			o.enqueueCall(func(ctx context.Context) { o.sendCommands(ctx, a) }, scheduler.CommandsAnswered{Worker: a.Worker, NotSent: true})
		case scheduler.AnswerSubmission:
			if c := o.pendingRequests[a.Request]; c != nil {
				delete(o.pendingRequests, a.Request)
				c <- a
			}
		case scheduler.AnswerImport:
			o.owner.background(func(ctx context.Context) { o.owner.clearImportedJobs(ctx, a.From, o.name) })
		case scheduler.PublishEndpoints:
			o.endpoints = a.Endpoints
		case scheduler.DecisionRecord:
			records = append(records, a)
		}
	}
	return records
}

// enqueueCall queues a call to a worker. If the queue is full, the call is dropped and the
// shard receives the event full.
func (o *ownedShard) enqueueCall(f func(context.Context), full scheduler.Event) {
	select {
	case o.owner.workerCalls <- f:
	default:
		o.owner.background(func(context.Context) { o.step(full) })
	}
}

// placingLeaseValid reports whether the lease for placing tasks is valid now. It is checked
// right before a fence is sent or the job history is written.
func (o *ownedShard) placingLeaseValid() bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return !o.lost && o.placingLease.Valid(time.Now())
}

// sendFence sends the owner's epoch to a worker.
func (o *ownedShard) sendFence(ctx context.Context, a scheduler.SendFence) {
	if !o.placingLeaseValid() {
		o.step(scheduler.PollFailed{Worker: a.Worker})
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := time.Now()
	f, err := o.owner.settings.Workers.Fence(ctx, a.Address, a.Epoch, o.owner.settings.Host)
	switch {
	case err != nil:
		o.step(scheduler.PollFailed{Worker: a.Worker, Reason: err.Error()})
	case !f.Accepted:
		o.step(scheduler.HigherEpochAccepted{Worker: a.Worker, Epoch: f.Epoch})
	default:
		o.step(scheduler.WorkerEpochAccepted{Worker: a.Worker, Epoch: a.Epoch, Report: f.Report, SentAt: sentAt, ReceivedAt: time.Now()})
	}
}

// requestReport requests a worker's report.
func (o *ownedShard) requestReport(ctx context.Context, a scheduler.RequestReport) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := time.Now()
	r, err := o.owner.settings.Workers.Report(ctx, a.Address)
	if err != nil {
		o.step(scheduler.PollFailed{Worker: a.Worker, Reason: err.Error()})
		return
	}
	o.step(scheduler.ReportArrived{Worker: a.Worker, Report: r, SentAt: sentAt, ReceivedAt: time.Now()})
}

// sendCommands sends commands to a worker unless the lease that allows them has ended.
func (o *ownedShard) sendCommands(ctx context.Context, a scheduler.SendCommands) {
	o.mutex.Lock()
	lost := o.lost
	o.mutex.Unlock()
	if lost || !time.Now().Before(a.Until) {
		o.step(scheduler.CommandsAnswered{Worker: a.Worker, NotSent: true})
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	m, err := o.owner.settings.Workers.Apply(ctx, a.Address, a.Epoch, o.owner.settings.Host, a.Commands)
	switch {
	case err != nil:
		o.step(scheduler.CommandsAnswered{Worker: a.Worker, Unreachable: true})
	case !m.Accepted:
		o.step(scheduler.HigherEpochAccepted{Worker: a.Worker, Epoch: m.Epoch})
	default:
		o.step(scheduler.CommandsAnswered{Worker: a.Worker, Results: m.Results})
	}
}

func journalKey(shard string) string    { return "shards/" + shard }
func jobHistoryKey(shard string) string { return "records/" + shard }

// writeJournal carries out one compare-and-swap of the journal.
func (o *ownedShard) writeJournal(a scheduler.WriteJournal) {
	o.mutex.Lock()
	expect := o.revision
	o.mutex.Unlock()
	ctx, cancel := context.WithTimeout(o.context, callTimeout)
	defer cancel()
	sentAt := time.Now()
	swapped, revision, err := o.owner.settings.Store.CompareAndSwap(ctx, journalKey(o.name), expect, a.Value)
	switch {
	case err == nil && swapped:
		o.journalWritten(a, revision, sentAt)
	case err == nil:
		o.resolveWrite(a, sentAt)
	case writeNotApplied(err):
		o.step(scheduler.JournalFailed{Sequence: a.Sequence, Retry: o.nextRetryDelay(), Reason: err.Error()})
	default:
		o.step(scheduler.JournalOutcomeUnknown{Sequence: a.Sequence})
		o.resolveWrite(a, sentAt)
	}
}

// writeNotApplied reports whether the error of a write shows that it did not take effect.
func writeNotApplied(err error) bool {
	var unavailable *storer.UnavailableError
	var limited *storer.RateLimitedError
	var large *storer.TooLargeError
	return errors.As(err, &unavailable) || errors.As(err, &limited) || errors.As(err, &large)
}

// journalWritten records a journal write that took effect, which renews the leases.
func (o *ownedShard) journalWritten(a scheduler.WriteJournal, revision uint64, sentAt time.Time) {
	o.mutex.Lock()
	o.revision, o.consecutiveWriteFailures = revision, 0
	o.placingLease.RecordRenewal(sentAt)
	o.runningLease.RecordRenewal(sentAt)
	if c := &o.successors; c.pending && c.sequence != 0 && a.Sequence >= c.sequence {
		c.placing, c.running, c.pending = c.nextPlacing, c.nextRunning, false
		o.placingLease.SetSuccessors(c.placing)
		o.runningLease.SetSuccessors(c.running)
	}
	o.mutex.Unlock()
	o.step(scheduler.JournalWritten{Sequence: a.Sequence})
	o.owner.removeIfReleased(o)
}

// resolveWrite reads the journal back until a read succeeds and shows whether the write took
// effect. A write whose outcome is unknown is never repeated.
func (o *ownedShard) resolveWrite(a scheduler.WriteJournal, sentAt time.Time) {
	for o.context.Err() == nil {
		ctx, cancel := context.WithTimeout(o.context, callTimeout)
		entry, err := o.owner.settings.Store.Get(ctx, journalKey(o.name))
		cancel()
		if err != nil {
			sleep(o.context, o.nextRetryDelay())
			continue
		}
		o.resolveFromEntry(a, sentAt, entry)
		return
	}
}

// resolveFromEntry decides by the writer and sequence number of the stored journal whether a
// write took effect.
func (o *ownedShard) resolveFromEntry(a scheduler.WriteJournal, sentAt time.Time, entry storer.Entry) {
	j, err := scheduler.DecodeJournal(o.name, entry.Value)
	switch {
	case entry.Revision == 0:
		o.setRevision(0)
		o.step(scheduler.JournalFailed{Sequence: a.Sequence, Retry: o.nextRetryDelay(), Reason: "the journal was deleted"})
	case err != nil:
		o.owner.rejectJournal(o.name, err)
		o.step(scheduler.JournalFailed{Sequence: a.Sequence, Retry: o.nextRetryDelay(), Reason: err.Error()})
	case j.Writer == a.Writer && j.Sequence == a.Sequence:
		o.journalWritten(a, entry.Revision, sentAt)
	case j.Writer == a.Writer && j.Epoch == o.epoch:
		// The store holds an earlier write of this owner, perhaps one that took effect late.
		o.setRevision(entry.Revision)
		o.step(scheduler.JournalFailed{Sequence: a.Sequence, Retry: o.nextRetryDelay(), Reason: "the write did not take effect"})
	default:
		o.owner.loseShard(o, j)
	}
}

func (o *ownedShard) setRevision(r uint64) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.revision = r
}

// nextRetryDelay counts a failed write and returns the time until the next attempt. From the
// third failure in a row on, the delay is random up to 5 s. This spreads the retries of all
// shards, so that they cause no burst of writes when the store becomes available again.
func (o *ownedShard) nextRetryDelay() time.Duration {
	o.mutex.Lock()
	o.consecutiveWriteFailures++
	n := o.consecutiveWriteFailures
	o.mutex.Unlock()
	switch n {
	case 1:
		return o.owner.randomDuration(100*time.Millisecond, 300*time.Millisecond)
	case 2:
		return o.owner.randomDuration(500*time.Millisecond, time.Second)
	}
	return o.owner.randomDuration(500*time.Millisecond, 5*time.Second)
}

// writeJobHistory replaces the shard's history of ended jobs, which only the owner writes.
func (o *ownedShard) writeJobHistory(a scheduler.WriteJobHistory) {
	if !o.placingLeaseValid() {
		o.step(scheduler.JobHistoryWritten{})
		return
	}
	ctx, cancel := context.WithTimeout(o.context, callTimeout)
	defer cancel()
	entry, err := o.owner.settings.Store.Get(ctx, jobHistoryKey(o.name))
	done := false
	if err == nil {
		done, _, err = o.owner.settings.Store.CompareAndSwap(ctx, jobHistoryKey(o.name), entry.Revision, a.Value)
	}
	o.step(scheduler.JobHistoryWritten{Done: done && err == nil})
}

// setSuccessors changes the possible successors, in the leases at once and in the journal
// with its next write.
func (o *ownedShard) setSuccessors(placing, running []string) {
	o.mutex.Lock()
	c := &o.successors
	last, lastRunning := c.placing, c.running
	if c.pending {
		last, lastRunning = c.nextPlacing, c.nextRunning
	}
	same := slices.Equal(placing, last) && slices.Equal(running, lastRunning)
	if !same {
		// The promises of all hosts in any list that the store may hold are needed until
		// the newest list is stored.
		o.placingLease.SetSuccessors(union(c.placing, c.nextPlacing, placing))
		o.runningLease.SetSuccessors(union(c.running, c.nextRunning, running))
		c.nextPlacing, c.nextRunning, c.pending, c.sequence = placing, running, true, 0
	}
	o.mutex.Unlock()
	if !same {
		o.step(scheduler.SuccessorsChanged{Placing: placing, Running: running})
	}
}

func union(lists ...[]string) []string {
	all := slices.Concat(lists...)
	slices.Sort(all)
	return slices.Compact(all)
}

// recordPromise records a promise of another host, counted from when the heartbeat was sent.
func (o *ownedShard) recordPromise(by string, kind messenger.LeaseKind, sentAt time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if kind == messenger.LeasePlacing {
		o.placingLease.RecordPromise(by, sentAt)
		return
	}
	o.runningLease.RecordPromise(by, sentAt)
	if o.earlierOwnersEndAt.IsZero() && slices.Contains(o.earlierRunningSuccessors, by) {
		// After a promise for this epoch, that host refuses promises to owners of earlier
		// epochs. Their leases for running tasks therefore end within one TTL.
		o.earlierOwnersEndAt = time.Now().Add(o.owner.runningTTL)
	}
}

// awaitAnswer passes a request to the shard as an event and waits for the answer.
func (o *ownedShard) awaitAnswer(ctx context.Context, event func(request uint64) scheduler.Event) (messenger.JobAnswer, error) {
	answer := make(chan scheduler.AnswerSubmission, 1)
	o.mutex.Lock()
	o.lastRequestID++
	request := o.lastRequestID
	o.pendingRequests[request] = answer
	o.mutex.Unlock()
	o.step(event(request))
	select {
	case a := <-answer:
		return messenger.JobAnswer{Accepted: a.Accepted, Reason: a.Reason, Status: a.Status}, nil
	case <-ctx.Done():
		o.mutex.Lock()
		delete(o.pendingRequests, request)
		o.mutex.Unlock()
		return messenger.JobAnswer{}, ctx.Err()
	case <-o.owner.context.Done():
		return messenger.JobAnswer{}, context.Canceled
	}
}

func (o *ownedShard) job(name string) (scheduler.JobStatus, bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.shard.Job(name)
}

func (o *ownedShard) jobs() []scheduler.JobStatus {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.shard.Jobs()
}

func (o *ownedShard) publishedEndpoints() []scheduler.Endpoint {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.endpoints
}

func (o *ownedShard) fillStatus(s *ShardStatus) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	s.Epoch = o.epoch
	s.PlacingUntil, s.RunningUntil = o.placingLease.Expiry(), o.runningLease.Expiry()
	s.Workers, s.WorkersThatAcceptedEpoch = o.shard.Workers()
	s.StoreAvailable = o.shard.StoreAvailable()
	s.Jobs = make(map[scheduler.JobState]int)
	for _, j := range o.shard.Jobs() {
		s.Jobs[j.State]++
	}
}
