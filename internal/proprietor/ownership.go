package proprietor

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"peridotpitch/internal/configurator"
	"peridotpitch/internal/keeper"
	"peridotpitch/internal/messenger"
	"peridotpitch/internal/placer"
	"peridotpitch/internal/recorder"
	"peridotpitch/internal/scheduler"
	"peridotpitch/internal/storer"
)

// holding is a shard that this host owns.
type holding struct {
	owner   *Proprietor
	name    string
	epoch   uint64
	context context.Context // ends with the ownership
	stop    context.CancelFunc

	mutex       sync.Mutex
	shard       *scheduler.Shard
	placing     *keeper.Tenure
	running     *keeper.Tenure
	told        scheduler.TenureChanged
	earlierEnds time.Time
	earlier     []string // running successors named by the journal taken over
	revision    uint64   // of the journal
	failures    int      // writes that failed in a row
	successors  successorChange
	waiting     map[uint64]chan scheduler.AnswerSubmission
	requests    uint64
	endpoints   []scheduler.Endpoint
	lost        bool
}

// successorChange is a list of possible successors that the store may not hold yet.
// Until it does, the promises of the old ones and the new ones are needed.
type successorChange struct {
	placing, running []string // in force
	nextPlacing      []string
	nextRunning      []string
	pending          bool
	sequence         uint64 // of the first write with the new list; 0: not sent yet
}

// own starts acting as the owner of a shard. sentAt is when the claim was sent.
func (p *Proprietor) own(j, earlier scheduler.Journal, recordsValue []byte, revision uint64, sentAt time.Time) {
	ctx, stop := context.WithCancel(p.context)
	p.mutex.Lock()
	c, leaving := p.config, p.leaving
	seed := p.random.Uint64()
	p.mutex.Unlock()
	h := &holding{
		owner: p, name: j.Shard, epoch: j.Epoch, context: ctx, stop: stop, revision: revision,
		placing: keeper.NewTenure(p.ttl, j.Successors, sentAt),
		running: keeper.NewTenure(p.recovery, j.RunningSuccessors, sentAt),
		earlier: earlier.RunningSuccessors,
		waiting: make(map[uint64]chan scheduler.AnswerSubmission),
	}
	h.successors.placing, h.successors.running = j.Successors, j.RunningSuccessors
	if len(h.earlier) == 0 {
		h.earlierEnds = time.Now().Add(p.recovery)
	}
	newPlacer := p.settings.NewPlacer
	if newPlacer == nil {
		newPlacer = func(string) scheduler.Placer {
			return placer.New(placer.Policy{}, configurator.Measures{}, newRandom(seed))
		}
	}
	h.shard = scheduler.NewShard(scheduler.Settings{
		Shard: j.Shard, FailureDomain: p.settings.FailureDomain, Host: p.settings.Host,
		Writer: p.settings.Incarnation, Placer: newPlacer(j.Shard),
	})
	p.recordClaim(j.Shard, "TenureEnded", fmt.Sprintf("epoch %d, last owner %q, %d jobs", j.Epoch, earlier.Owner, len(j.Jobs)))
	h.step(scheduler.ConfigurationChanged{Configuration: c})
	h.step(scheduler.Claimed{Journal: j, Records: recordsValue})
	for w := range leaving {
		h.step(scheduler.HostLeaving{Worker: w, Leaving: true})
	}
	p.mutex.Lock()
	p.holdings[j.Shard] = h
	newest := p.config
	p.mutex.Unlock()
	if newest != c {
		h.step(scheduler.ConfigurationChanged{Configuration: newest})
	}
	h.setSuccessors(p.successors(newest))
	p.background(h.run)
}

// recordClaim records a change of owner.
func (p *Proprietor) recordClaim(shard, rule, cause string) {
	p.settings.Record(recorder.Record{Time: time.Now(), Kind: recorder.KindClaim, Subject: shard, Rule: rule, Cause: cause, Outcome: p.settings.Host})
}

// run sends ticks until the shard is lost.
func (h *holding) run(context.Context) {
	for sleep(h.context, scheduler.TickInterval) {
		h.step(scheduler.Tick{})
	}
}

// step passes an event to the shard and carries out its actions.
func (h *holding) step(e scheduler.Event) {
	h.mutex.Lock()
	now := time.Now()
	var records []scheduler.Record
	if t := (scheduler.TenureChanged{Placing: h.placing.Until(), Running: h.running.Until(), EarlierEnds: h.earlierEnds}); t != h.told {
		h.told = t
		records = h.do(h.shard.Step(t, now), records)
	}
	records = h.do(h.shard.Step(e, now), records)
	h.mutex.Unlock()
	for _, r := range records {
		h.owner.settings.Record(toRecorder(h.name, r))
	}
}

func toRecorder(shard string, r scheduler.Record) recorder.Record {
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

// do starts the actions. It requires mutex and returns the decisions to record.
func (h *holding) do(actions []scheduler.Action, records []scheduler.Record) []scheduler.Record {
	for _, a := range actions {
		switch a := a.(type) {
		case scheduler.WriteJournal:
			if h.successors.pending && h.successors.sequence == 0 {
				h.successors.sequence = a.Sequence
			}
			h.owner.background(func(context.Context) { h.write(a) })
		case scheduler.WriteRecords:
			h.owner.background(func(context.Context) { h.writeRecords(a) })
		case scheduler.SendFence:
			h.enqueue(func(ctx context.Context) { h.fence(ctx, a) }, scheduler.WorkerSilent{Worker: a.Worker})
		case scheduler.AskReport:
			h.enqueue(func(ctx context.Context) { h.report(ctx, a) }, scheduler.WorkerSilent{Worker: a.Worker})
		case scheduler.SendCommands:
			h.enqueue(func(ctx context.Context) { h.send(ctx, a) }, scheduler.CommandsAnswered{Worker: a.Worker, NotSent: true})
		case scheduler.AnswerSubmission:
			if c := h.waiting[a.Request]; c != nil {
				delete(h.waiting, a.Request)
				c <- a
			}
		case scheduler.AnswerImport:
			h.owner.background(func(ctx context.Context) { h.owner.empty(ctx, a.From, h.name) })
		case scheduler.PublishEndpoints:
			h.endpoints = a.Endpoints
		case scheduler.Record:
			records = append(records, a)
		}
	}
	return records
}

// enqueue hands a message to the pool. If the queue is full, nothing is sent.
func (h *holding) enqueue(f func(context.Context), full scheduler.Event) {
	select {
	case h.owner.pool <- f:
	default:
		h.owner.background(func(context.Context) { h.step(full) })
	}
}

// holds checks the placing tenure right before an effect.
func (h *holding) holds() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return !h.lost && h.placing.Holds(time.Now())
}

func (h *holding) fence(ctx context.Context, a scheduler.SendFence) {
	if !h.holds() {
		h.step(scheduler.WorkerSilent{Worker: a.Worker})
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := time.Now()
	f, err := h.owner.settings.Workers.Fence(ctx, a.Address, a.Epoch, h.owner.settings.Host)
	switch {
	case err != nil:
		h.step(scheduler.WorkerSilent{Worker: a.Worker, Reason: err.Error()})
	case !f.Accepted:
		h.step(scheduler.WorkerRejected{Worker: a.Worker, Epoch: f.Epoch})
	default:
		h.step(scheduler.WorkerFenced{Worker: a.Worker, Epoch: a.Epoch, Report: f.Report, SentAt: sentAt, ReceivedAt: time.Now()})
	}
}

func (h *holding) report(ctx context.Context, a scheduler.AskReport) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := time.Now()
	r, err := h.owner.settings.Workers.Report(ctx, a.Address)
	if err != nil {
		h.step(scheduler.WorkerSilent{Worker: a.Worker, Reason: err.Error()})
		return
	}
	h.step(scheduler.ReportArrived{Worker: a.Worker, Report: r, SentAt: sentAt, ReceivedAt: time.Now()})
}

func (h *holding) send(ctx context.Context, a scheduler.SendCommands) {
	h.mutex.Lock()
	lost := h.lost
	h.mutex.Unlock()
	if lost || !time.Now().Before(a.Until) {
		h.step(scheduler.CommandsAnswered{Worker: a.Worker, NotSent: true})
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	m, err := h.owner.settings.Workers.Apply(ctx, a.Address, a.Epoch, h.owner.settings.Host, a.Commands)
	switch {
	case err != nil:
		h.step(scheduler.CommandsAnswered{Worker: a.Worker, Unreachable: true})
	case !m.Accepted:
		h.step(scheduler.WorkerRejected{Worker: a.Worker, Epoch: m.Epoch})
	default:
		h.step(scheduler.CommandsAnswered{Worker: a.Worker, Results: m.Results})
	}
}

func journalKey(shard string) string { return "shards/" + shard }
func recordsKey(shard string) string { return "records/" + shard }

// write carries out one compare-and-swap of the journal.
func (h *holding) write(a scheduler.WriteJournal) {
	h.mutex.Lock()
	expect := h.revision
	h.mutex.Unlock()
	ctx, cancel := context.WithTimeout(h.context, callTimeout)
	defer cancel()
	sentAt := time.Now()
	swapped, revision, err := h.owner.settings.Store.CompareAndSwap(ctx, journalKey(h.name), expect, a.Value)
	switch {
	case err == nil && swapped:
		h.written(a, revision, sentAt)
	case err == nil:
		h.resolve(a, sentAt)
	case refused(err):
		h.step(scheduler.JournalFailed{Sequence: a.Sequence, Retry: h.backoff(), Reason: err.Error()})
	default:
		h.step(scheduler.JournalUnknown{Sequence: a.Sequence})
		h.resolve(a, sentAt)
	}
}

// refused reports whether a write certainly did not take effect.
func refused(err error) bool {
	var unavailable *storer.UnavailableError
	var limited *storer.RateLimitedError
	var large *storer.TooLargeError
	return errors.As(err, &unavailable) || errors.As(err, &limited) || errors.As(err, &large)
}

func (h *holding) written(a scheduler.WriteJournal, revision uint64, sentAt time.Time) {
	h.mutex.Lock()
	h.revision, h.failures = revision, 0
	h.placing.Renewed(sentAt)
	h.running.Renewed(sentAt)
	if c := &h.successors; c.pending && c.sequence != 0 && a.Sequence >= c.sequence {
		c.placing, c.running, c.pending = c.nextPlacing, c.nextRunning, false
		h.placing.SetSuccessors(c.placing)
		h.running.SetSuccessors(c.running)
	}
	h.mutex.Unlock()
	h.step(scheduler.JournalWritten{Sequence: a.Sequence})
	h.owner.dropIfReleased(h)
}

// resolve reads the journal back until it is known whether the write took effect. A
// write is never repeated blindly.
func (h *holding) resolve(a scheduler.WriteJournal, sentAt time.Time) {
	for h.context.Err() == nil {
		ctx, cancel := context.WithTimeout(h.context, callTimeout)
		entry, err := h.owner.settings.Store.Get(ctx, journalKey(h.name))
		cancel()
		if err != nil {
			sleep(h.context, h.backoff())
			continue
		}
		h.compare(a, sentAt, entry)
		return
	}
}

// compare decides by writer and sequence what became of a write.
func (h *holding) compare(a scheduler.WriteJournal, sentAt time.Time, entry storer.Entry) {
	j, err := scheduler.DecodeJournal(h.name, entry.Value)
	switch {
	case entry.Revision == 0:
		h.setRevision(0)
		h.step(scheduler.JournalFailed{Sequence: a.Sequence, Retry: h.backoff(), Reason: "the journal was deleted"})
	case err != nil:
		h.owner.reject(h.name, err)
		h.step(scheduler.JournalFailed{Sequence: a.Sequence, Retry: h.backoff(), Reason: err.Error()})
	case j.Writer == a.Writer && j.Sequence == a.Sequence:
		h.written(a, entry.Revision, sentAt)
	case j.Writer == a.Writer && j.Epoch == h.epoch:
		// An earlier write of this owner, perhaps one that took effect late.
		h.setRevision(entry.Revision)
		h.step(scheduler.JournalFailed{Sequence: a.Sequence, Retry: h.backoff(), Reason: "the write did not take effect"})
	default:
		h.owner.lose(h, j)
	}
}

func (h *holding) setRevision(r uint64) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.revision = r
}

// backoff returns the time until the next try. After the second failure in a row the
// store counts as down, and the retries of all shards are spread over 5 s, so that its
// return does not cause a burst.
func (h *holding) backoff() time.Duration {
	h.mutex.Lock()
	h.failures++
	n := h.failures
	h.mutex.Unlock()
	switch n {
	case 1:
		return h.owner.between(100*time.Millisecond, 300*time.Millisecond)
	case 2:
		return h.owner.between(500*time.Millisecond, time.Second)
	}
	return h.owner.between(500*time.Millisecond, 5*time.Second)
}

// writeRecords replaces the records of ended jobs. Only the owner writes them.
func (h *holding) writeRecords(a scheduler.WriteRecords) {
	if !h.holds() {
		h.step(scheduler.RecordsWritten{})
		return
	}
	ctx, cancel := context.WithTimeout(h.context, callTimeout)
	defer cancel()
	entry, err := h.owner.settings.Store.Get(ctx, recordsKey(h.name))
	done := false
	if err == nil {
		done, _, err = h.owner.settings.Store.CompareAndSwap(ctx, recordsKey(h.name), entry.Revision, a.Value)
	}
	h.step(scheduler.RecordsWritten{Done: done && err == nil})
}

// setSuccessors changes the possible successors.
func (h *holding) setSuccessors(placing, running []string) {
	h.mutex.Lock()
	c := &h.successors
	last, lastRunning := c.placing, c.running
	if c.pending {
		last, lastRunning = c.nextPlacing, c.nextRunning
	}
	same := slices.Equal(placing, last) && slices.Equal(running, lastRunning)
	if !same {
		// Every list that the store may hold counts until the newest one is written.
		h.placing.SetSuccessors(union(c.placing, c.nextPlacing, placing))
		h.running.SetSuccessors(union(c.running, c.nextRunning, running))
		c.nextPlacing, c.nextRunning, c.pending, c.sequence = placing, running, true, 0
	}
	h.mutex.Unlock()
	if !same {
		h.step(scheduler.SuccessorsChanged{Placing: placing, Running: running})
	}
}

func union(lists ...[]string) []string {
	all := slices.Concat(lists...)
	slices.Sort(all)
	return slices.Compact(all)
}

// promised takes a promise.
func (h *holding) promised(by string, kind messenger.TenureKind, sentAt time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if kind == messenger.TenurePlacing {
		h.placing.Promised(by, sentAt)
		return
	}
	h.running.Promised(by, sentAt)
	if h.earlierEnds.IsZero() && slices.Contains(h.earlier, by) {
		// From its promise for this epoch on, that host refuses promises to earlier
		// owners. Their running tenures therefore end within one TTL.
		h.earlierEnds = time.Now().Add(h.owner.recovery)
	}
}

// ask passes a request to the shard and waits for its answer.
func (h *holding) ask(ctx context.Context, event func(request uint64) scheduler.Event) (messenger.JobAnswer, error) {
	answer := make(chan scheduler.AnswerSubmission, 1)
	h.mutex.Lock()
	h.requests++
	request := h.requests
	h.waiting[request] = answer
	h.mutex.Unlock()
	h.step(event(request))
	select {
	case a := <-answer:
		return messenger.JobAnswer{Accepted: a.Accepted, Reason: a.Reason, Status: a.Status}, nil
	case <-ctx.Done():
		h.mutex.Lock()
		delete(h.waiting, request)
		h.mutex.Unlock()
		return messenger.JobAnswer{}, ctx.Err()
	case <-h.owner.context.Done():
		return messenger.JobAnswer{}, context.Canceled
	}
}

func (h *holding) job(name string) (scheduler.JobStatus, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.shard.Job(name)
}

func (h *holding) jobs() []scheduler.JobStatus {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.shard.Jobs()
}

func (h *holding) published() []scheduler.Endpoint {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.endpoints
}

func (h *holding) describe(s *ShardStatus) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	s.Epoch = h.epoch
	s.Placing, s.Running = h.placing.Until(), h.running.Until()
	s.Workers, s.WorkersFenced = h.shard.Workers()
	s.StoreAvailable = h.shard.StoreAvailable()
	s.Jobs = make(map[scheduler.JobState]int)
	for _, j := range h.shard.Jobs() {
		s.Jobs[j.State]++
	}
}
