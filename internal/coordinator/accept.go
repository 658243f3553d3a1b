package coordinator

import (
	"context"
	"errors"
	"sync"
	"time"

	"peridotpitch/internal/orchestrator"
	"peridotpitch/internal/readmitter"
	"peridotpitch/internal/storer"
	"peridotpitch/internal/timekeeper"
)

const (
	// maxTransactionAttempts bounds the transactions of one submission or cancel request. A
	// submission is retried if the term has changed, and a cancel request if the job has
	// changed.
	maxTransactionAttempts = 4
	// defaultRetryAfter is how long a refused caller should wait before it retries. A store
	// that limits the request rate or restarts usually serves requests again by then.
	defaultRetryAfter = time.Second
	// minOutageSilence is how long the store must have served no call, while calls fail, until
	// submissions are refused without a call. It is longer than the timeout of one call, so that
	// a single lost answer is no outage.
	minOutageSilence = 800 * time.Millisecond
)

// Submit implements JobService. Any host can store a job; the leader then starts its tasks.
func (c *Coordinator) Submit(ctx context.Context, j orchestrator.Job) Answer {
	begin := time.Now()
	a, host := c.admitAndSubmit(ctx, j)
	c.metrics.observeRequest("submit", j.Policy.Queue, string(a.Outcome), time.Since(begin))
	fields := []any{"Job", j.ID, "Queue", j.Policy.Queue, "Outcome", string(a.Outcome), "Reason", a.Reason,
		"Took", time.Since(begin).Round(time.Millisecond).String(), "Version", c.configVersion(),
		"CheckedAgo", c.timeSinceConfigurationCheck().Round(time.Millisecond).String()}
	if host != "" {
		fields = append(fields, "Forwarded", host)
	}
	if a.RetryAfter > 0 && a.Outcome != OutcomeOverloaded && c.settings.ReturnRate() > 0 {
		c.returns.add(timekeeper.Now(), a.RetryAfter)
		c.metrics.retryAfter.WithLabelValues(j.Policy.Queue).Observe(a.RetryAfter.Seconds())
		fields = append(fields, "RetryAfter", a.RetryAfter.String())
	}
	c.log.Info("Submit", fields...)
	return a
}

// submit stores a job through this host's own connection to the store.
func (c *Coordinator) submit(ctx context.Context, j orchestrator.Job) Answer {
	if err := j.Validate(); err != nil {
		return Answer{Outcome: OutcomeInvalid, Reason: err.Error()}
	}
	if silence := c.timeSinceStoreSuccess(); c.storeUnavailable.Load() && silence >= minOutageSilence {
		// Waiting for the store would use up the caller's time. The watch of the configuration
		// and the pings of the leader notice when the store is back.
		return Answer{Outcome: OutcomeUnavailable,
			RetryAfter: c.retryAfter(readmitter.Refusal{Cause: readmitter.CauseOutage, ID: j.ID, Priority: j.Policy.Priority}),
			Reason:     "the store has served no call for " + silence.Round(time.Millisecond).String()}
	}
	t, known := c.currentTerm()
	if !known {
		var err error
		if t, err = c.readTerm(ctx); err != nil {
			return c.unavailableAnswer(err, j.ID, j.Policy.Priority)
		}
	}
	for range maxTransactionAttempts {
		j.Epoch = t.Revision
		value, err := orchestrator.EncodeJob(j)
		if err != nil {
			return Answer{Outcome: OutcomeInvalid, Reason: err.Error()}
		}
		revision, err := c.store.Commit(ctx, storer.Transaction{
			Conditions: []storer.Condition{{Key: prefixJob + j.ID}, {Key: prefixRecord + j.ID}, {Key: keyTerm, Revision: t.Revision}},
			Puts:       []storer.Entry{{Key: prefixJob + j.ID, Value: value}},
		})
		if err == nil {
			c.notifyLeader(notice{Epoch: t.Revision, Job: &j, Revision: revision})
			return Answer{Outcome: OutcomeDone}
		}
		var conflict *storer.ConflictError
		if !errors.As(err, &conflict) {
			return c.resolveSubmission(ctx, j, err)
		}
		if conflict.Revision(prefixJob+j.ID) > 0 || conflict.Revision(prefixRecord+j.ID) > 0 {
			return Answer{Outcome: OutcomeDone, Reason: "it was accepted before"}
		}
		if t, err = c.readTerm(ctx); err != nil {
			return c.unavailableAnswer(err, j.ID, j.Policy.Priority)
		}
	}
	return Answer{Outcome: OutcomeUnavailable, Reason: "the leader changed during every try",
		RetryAfter: c.retryAfter(readmitter.Refusal{Cause: readmitter.CauseLeaderChange, ID: j.ID, Priority: j.Policy.Priority})}
}

// resolveSubmission answers a submission whose transaction failed. If the outcome of the
// transaction is unknown and the job is in the store, it was accepted. If the job is not in
// the store, the transaction may still be executed later, so the outcome is undecided.
func (c *Coordinator) resolveSubmission(ctx context.Context, j orchestrator.Job, cause error) Answer {
	var unknown *storer.UnknownOutcomeError
	if !errors.As(cause, &unknown) {
		return c.unavailableAnswer(cause, j.ID, j.Policy.Priority)
	}
	for _, key := range []string{prefixJob + j.ID, prefixRecord + j.ID} {
		if _, obstacle := c.forwardingLeader(); obstacle == "" && c.needsForwarding() {
			break // the leader finds the job or stores it, without a second wait for a silent store
		}
		e, err := c.store.Get(ctx, key)
		if err != nil {
			break // the next read would only keep the caller waiting
		}
		if e.Revision > 0 {
			return Answer{Outcome: OutcomeDone, Reason: "found after a lost answer"}
		}
	}
	return Answer{Outcome: OutcomeUndecided, Reason: "the store did not answer: " + cause.Error()}
}

// unavailableAnswer answers a request about the job with the given ID that changed nothing in the store.
func (c *Coordinator) unavailableAnswer(err error, id string, priority int) Answer {
	r := readmitter.Refusal{ID: id, Priority: priority}
	var limited *storer.RateLimitedError
	var unavailable *storer.UnavailableError
	var unknown *storer.UnknownOutcomeError
	switch {
	case errors.As(err, &limited):
		r.Cause, r.Limited = readmitter.CauseRateLimit, limited.RetryAfter
	case errors.As(err, &unavailable), errors.As(err, &unknown):
		r.Cause = readmitter.CauseOutage
	}
	return Answer{Outcome: OutcomeUnavailable, Reason: err.Error(), RetryAfter: c.retryAfter(r)}
}

// requestPriority is the priority of requests that submit nothing, for which the store's rate of reads suffices.
const requestPriority = 0

// retryAfter returns the time after which a refused caller should retry. It completes r with what this host knows
// about the store and the other callers.
func (c *Coordinator) retryAfter(r readmitter.Refusal) time.Duration {
	if r.ReturnRate = c.settings.ReturnRate(); r.ReturnRate <= 0 {
		return max(defaultRetryAfter, r.Limited)
	}
	if n := c.config.Load(); n != nil {
		for _, q := range n.Queues {
			r.Priorities = append(r.Priorities, q.Policy.Priority)
		}
	}
	r.StoreSilence = c.timeSinceStoreSuccess()
	r.Waiting = c.returns.waiting(timekeeper.Now()) + 1
	r.Hosts = int(c.knownHosts.Load())
	if ld := c.currentLeadership(); ld != nil {
		r.Hosts = ld.hosts.count(timekeeper.Now()) + 1
	}
	if _, obstacle := c.forwardingLeader(); obstacle == "" {
		// The store serves the leader, so this host is cut off alone or with some others, and its callers are
		// served wherever else they return.
		r.Hosts, r.StoreSilence = 1, 0
	}
	return readmitter.RetryAfter(r)
}

// returnCounter counts the refused callers that have not been due to return yet. It is safe for concurrent use.
type returnCounter struct {
	mu      sync.Mutex // guards returns
	returns readmitter.Returns
}

func (r *returnCounter) add(now time.Time, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.returns.Add(now, wait)
}

func (r *returnCounter) waiting(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.returns.Waiting(now)
}

// NotConfigured implements JobService.
func (c *Coordinator) NotConfigured() Answer {
	return Answer{Outcome: OutcomeUnavailable, Reason: "no configuration yet, or none since a pause of this process",
		RetryAfter: c.retryAfter(readmitter.Refusal{Cause: readmitter.CauseNotConfigured})}
}

// State implements JobService. The leader has the current state. If it does not answer or does
// not know the job, the state comes from the store, where it may be older.
func (c *Coordinator) State(ctx context.Context, id string) Answer {
	begin := time.Now()
	a := c.state(ctx, id)
	c.metrics.observeRequest("state", "", string(a.Outcome), time.Since(begin))
	if a.Outcome != OutcomeDone {
		c.log.Info("State", "Job", id, "Outcome", string(a.Outcome), "Reason", a.Reason)
	}
	return a
}

func (c *Coordinator) state(ctx context.Context, id string) Answer {
	s, err := c.requestState(ctx, id)
	if err == nil && s.Leading && s.Known {
		return Answer{Outcome: OutcomeDone, State: s.State}
	}
	e, err := c.store.Get(ctx, prefixRecord+id)
	if err != nil {
		return c.unavailableAnswer(err, id, requestPriority)
	}
	if e.Revision > 0 {
		return c.recordAnswer(id, e)
	}
	e, err = c.store.Get(ctx, prefixJob+id)
	if err != nil {
		return c.unavailableAnswer(err, id, requestPriority)
	}
	if e.Revision > 0 {
		return Answer{Outcome: OutcomeDone, State: orchestrator.StateQueued}
	}
	// The write of a final record deletes the job, possibly between the two reads above.
	e, err = c.store.Get(ctx, prefixRecord+id)
	if err != nil {
		return c.unavailableAnswer(err, id, requestPriority)
	}
	if e.Revision > 0 {
		return c.recordAnswer(id, e)
	}
	return Answer{Outcome: OutcomeNoSuchJob, Reason: "no such job"}
}

// recordAnswer returns the state in a job's record.
func (c *Coordinator) recordAnswer(id string, e storer.Entry) Answer {
	r, err := orchestrator.DecodeRecord(e.Value)
	if err != nil {
		return c.unavailableAnswer(err, id, requestPriority)
	}
	return Answer{Outcome: OutcomeDone, State: r.State}
}

// maxPendingAge is how old the reported count of pending jobs may be. The platform specifies
// this limit.
const maxPendingAge = 1800 * time.Millisecond

// Pending implements JobService.
func (c *Coordinator) Pending(queue string) (int, bool) {
	n, known := c.pending(queue)
	outcome := OutcomeDone
	if !known {
		outcome = OutcomeUnavailable
	}
	c.log.Info("Pending", "Queue", queue, "Outcome", string(outcome), "Jobs", n, "Version", c.configVersion(),
		"CheckedAgo", c.timeSinceConfigurationCheck().Round(time.Millisecond).String())
	return n, known
}

func (c *Coordinator) pending(queue string) (int, bool) {
	if ld := c.currentLeadership(); ld != nil {
		p := ld.pending()
		return p[queue], p != nil
	}
	p := c.leaderPending.Load()
	if p == nil || timekeeper.Now().Sub(p.at) > maxPendingAge {
		return 0, false
	}
	return p.byQueue[queue], true
}

// pendingCounts is the number of pending jobs by queue that the leader reported. at is when
// the ping was sent that the leader answered.
type pendingCounts struct {
	byQueue map[string]int
	at      time.Time
}
