package coordinator

import (
	"context"
	"errors"
	"time"

	"peridotpitch/internal/orchestrator"
	"peridotpitch/internal/storer"
	"peridotpitch/internal/timekeeper"
)

const (
	// submitTries bounds the transactions of one submission; a changed term makes a
	// second one necessary.
	submitTries = 4
	// retryAfter is when a refused caller should come back: a store that is over its
	// rate or restarting is usually back by then.
	retryAfter = time.Second
)

// Submit implements Jobs. The job is stored by whichever host the caller reaches; the
// leader only starts its tasks.
func (c *Coordinator) Submit(ctx context.Context, j orchestrator.Job) Answer {
	begin := time.Now()
	a := c.submit(ctx, j)
	c.metrics.request("submit", j.Policy.Queue, string(a.Outcome), time.Since(begin))
	c.log.Info("Submit", "Job", j.ID, "Queue", j.Policy.Queue, "Outcome", string(a.Outcome), "Reason", a.Reason,
		"Took", time.Since(begin).Round(time.Millisecond).String(), "Version", c.configVersion())
	return a
}

func (c *Coordinator) submit(ctx context.Context, j orchestrator.Job) Answer {
	if err := j.Validate(); err != nil {
		return Answer{Outcome: OutcomeInvalid, Reason: err.Error()}
	}
	j.Submitted = time.Now().Round(0)
	t, known := c.currentTerm()
	if !known {
		var err error
		if t, err = c.readTerm(ctx); err != nil {
			return refusal(err)
		}
	}
	for range submitTries {
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
			c.tell(notice{Epoch: t.Revision, Job: &j, Revision: revision})
			return Answer{Outcome: OutcomeDone}
		}
		var conflict *storer.ConflictError
		if !errors.As(err, &conflict) {
			return c.resolve(ctx, j.ID, err)
		}
		if conflict.Revision(prefixJob+j.ID) > 0 || conflict.Revision(prefixRecord+j.ID) > 0 {
			return Answer{Outcome: OutcomeDone, Reason: "it was accepted before"}
		}
		if t, err = c.readTerm(ctx); err != nil {
			return refusal(err)
		}
	}
	return Answer{Outcome: OutcomeUnavailable, Reason: "the leader changed during every try", RetryAfter: retryAfter}
}

// resolve answers for a submission whose transaction was not answered with success.
// If its outcome is unknown, a job that is there now was accepted, but one that is not
// there may still come.
func (c *Coordinator) resolve(ctx context.Context, id string, cause error) Answer {
	var unknown *storer.UnknownOutcomeError
	if !errors.As(cause, &unknown) {
		return refusal(cause)
	}
	for _, key := range []string{prefixJob + id, prefixRecord + id} {
		e, err := c.store.Get(ctx, key)
		if err == nil && e.Revision > 0 {
			return Answer{Outcome: OutcomeDone, Reason: "found after a lost answer"}
		}
	}
	return Answer{Outcome: OutcomeUndecided, Reason: "the store did not answer: " + cause.Error()}
}

// refusal is the answer to a request of which the store has done nothing.
func refusal(cause error) Answer {
	a := Answer{Outcome: OutcomeUnavailable, Reason: cause.Error(), RetryAfter: retryAfter}
	var limited *storer.RateLimitedError
	if errors.As(cause, &limited) {
		a.RetryAfter = max(retryAfter, limited.RetryAfter)
	}
	return a
}

// State implements Jobs. The leader knows best; without it the store tells whether the
// job exists and how it ended.
func (c *Coordinator) State(ctx context.Context, id string) Answer {
	begin := time.Now()
	a := c.state(ctx, id)
	c.metrics.request("state", "", string(a.Outcome), time.Since(begin))
	if a.Outcome != OutcomeDone {
		c.log.Info("State", "Job", id, "Outcome", string(a.Outcome), "Reason", a.Reason)
	}
	return a
}

func (c *Coordinator) state(ctx context.Context, id string) Answer {
	s, err := c.askState(ctx, id)
	if err == nil && s.Leading && s.Known {
		return Answer{Outcome: OutcomeDone, State: s.State}
	}
	e, err := c.store.Get(ctx, prefixRecord+id)
	if err != nil {
		return refusal(err)
	}
	if e.Revision > 0 {
		r, err := orchestrator.DecodeRecord(e.Value)
		if err != nil {
			return refusal(err)
		}
		return Answer{Outcome: OutcomeDone, State: r.State}
	}
	e, err = c.store.Get(ctx, prefixJob+id)
	if err != nil {
		return refusal(err)
	}
	if e.Revision > 0 {
		return Answer{Outcome: OutcomeDone, State: orchestrator.StateQueued}
	}
	// A final record takes the job's place: it may have been written between the reads.
	e, err = c.store.Get(ctx, prefixRecord+id)
	if err != nil {
		return refusal(err)
	}
	if e.Revision > 0 {
		return Answer{Outcome: OutcomeDone, State: orchestrator.StateRunning}
	}
	return Answer{Outcome: OutcomeGone, Reason: "no such job"}
}

// Cancel implements Jobs. The request to cancel stands in the store before it is
// acknowledged.
func (c *Coordinator) Cancel(ctx context.Context, id string) Answer {
	begin := time.Now()
	a := c.cancel(ctx, id)
	c.metrics.request("cancel", "", string(a.Outcome), time.Since(begin))
	c.log.Info("Cancel", "Job", id, "Outcome", string(a.Outcome), "Reason", a.Reason, "Took", time.Since(begin).Round(time.Millisecond).String())
	return a
}

func (c *Coordinator) cancel(ctx context.Context, id string) Answer {
	for range submitTries {
		job, err := c.store.Get(ctx, prefixJob+id)
		if err != nil {
			return refusal(err)
		}
		if job.Revision == 0 {
			return c.cancelEnded(ctx, id)
		}
		_, err = c.store.Commit(ctx, storer.Transaction{
			Conditions: []storer.Condition{{Key: prefixJob + id, Revision: job.Revision}},
			Puts:       []storer.Entry{{Key: prefixCancel + id, Value: []byte(c.process)}},
		})
		var conflict *storer.ConflictError
		switch {
		case err == nil:
			c.tell(notice{Cancel: id})
			return Answer{Outcome: OutcomeDone, State: orchestrator.StateCancelled}
		case !errors.As(err, &conflict):
			// Repeating the request is harmless, so that the caller may do so.
			return Answer{Outcome: OutcomeUndecided, Reason: err.Error()}
		}
	}
	return Answer{Outcome: OutcomeUnavailable, Reason: "the job changed during every try", RetryAfter: retryAfter}
}

// cancelEnded answers for a job that is not stored as unfinished.
func (c *Coordinator) cancelEnded(ctx context.Context, id string) Answer {
	e, err := c.store.Get(ctx, prefixRecord+id)
	switch {
	case err != nil:
		return refusal(err)
	case e.Revision > 0:
		return Answer{Outcome: OutcomeDone, Reason: "it has ended"}
	}
	return Answer{Outcome: OutcomeGone, Reason: "no such job"}
}

// pendingAge is how old a count of pending jobs may be, from the platform's description.
const pendingAge = 1800 * time.Millisecond

// Pending implements Jobs.
func (c *Coordinator) Pending(queue string) (int, bool) {
	if ld := c.leading(); ld != nil {
		p := ld.pending()
		return p[queue], p != nil
	}
	p := c.lastPending.Load()
	if p == nil || timekeeper.Now().Sub(p.at) > pendingAge {
		return 0, false
	}
	return p.byQueue[queue], true
}

// pendingCount is the leader's count of pending jobs.
type pendingCount struct {
	byQueue map[string]int
	at      time.Time
}
