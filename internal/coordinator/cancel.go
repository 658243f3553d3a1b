package coordinator

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/time/rate"

	"peridotpitch/internal/orchestrator"
	"peridotpitch/internal/readmitter"
	"peridotpitch/internal/storer"
	"peridotpitch/internal/timekeeper"
)

const (
	// unknownCancelRate is the number of requests to cancel unknown jobs that all hosts together store in a second, a tenth of the
	// writes that the platform's store accepts. With the retention of such requests it bounds how many the store holds.
	unknownCancelRate = 40
	// unknownCancelBurstTime is the time in whose share of unknownCancelRate a host may store at once.
	unknownCancelBurstTime = 2 * time.Second
	// assumedHosts is the number of hosts that a host assumes while no leader has told it.
	assumedHosts = 100
)

// Cancel implements JobService. It stores the cancel request before it answers the caller.
func (c *Coordinator) Cancel(ctx context.Context, id string) Answer {
	begin := time.Now()
	a := c.cancel(ctx, id)
	c.metrics.observeRequest("cancel", "", string(a.Outcome), time.Since(begin))
	c.log.Info("Cancel", "Job", id, "Outcome", string(a.Outcome), "Reason", a.Reason, "Took", time.Since(begin).Round(time.Millisecond).String())
	return a
}

func (c *Coordinator) cancel(ctx context.Context, id string) Answer {
	var allowance unknownCancelAllowance
	for range maxTransactionAttempts {
		job, err := c.store.Get(ctx, prefixJob+id)
		if err != nil {
			return c.unavailableAnswer(err, id, requestPriority)
		}
		if job.Revision == 0 {
			a, changed := c.cancelUnknown(ctx, id, &allowance)
			if changed {
				continue
			}
			return a
		}
		err = c.storeCancel(ctx, id, storer.Condition{Key: prefixJob + id, Revision: job.Revision})
		var conflict *storer.ConflictError
		switch {
		case err == nil:
			return Answer{Outcome: OutcomeDone, State: orchestrator.StateCancelled}
		case !errors.As(err, &conflict):
			// Cancelling is idempotent, so the caller may retry the request.
			return Answer{Outcome: OutcomeUndecided, Reason: err.Error()}
		}
	}
	return Answer{Outcome: OutcomeUnavailable, Reason: "the job or the leader changed during every try",
		RetryAfter: c.retryAfter(readmitter.Refusal{Cause: readmitter.CauseLeaderChange, ID: id})}
}

// cancelValue is the value of a request to cancel a job. Hosts of the build before write their process alone.
type cancelValue struct {
	Process  string
	StoredAt time.Time // by the clock of the host
}

func encodeCancel(v cancelValue) ([]byte, error) { return msgpack.Marshal(&v) }

// cancelRequest returns the request to cancel that an entry under prefixCancel holds. A value of the build before has no time.
func cancelRequest(e storer.Entry, source orchestrator.CancelSource) orchestrator.CancelRequested {
	var v cancelValue
	if err := msgpack.Unmarshal(e.Value, &v); err != nil {
		v = cancelValue{}
	}
	return orchestrator.CancelRequested{ID: strings.TrimPrefix(e.Key, prefixCancel), Revision: e.Revision, StoredAt: v.StoredAt, Source: source}
}

// storeCancel stores a request to cancel a job while the conditions hold, and notifies the leader of it. The request is stored in the
// term that this host knows: a leader that is elected afterwards finds it when it reads the inputs, and one that was elected before
// gets the notice. If another host has been elected, the write fails, and the term is read again for the next try.
func (c *Coordinator) storeCancel(ctx context.Context, id string, conditions ...storer.Condition) error {
	t, known := c.currentTerm()
	if !known {
		var err error
		if t, err = c.readTerm(ctx); err != nil {
			return err
		}
	}
	value, err := encodeCancel(cancelValue{Process: c.processID, StoredAt: time.Now().Round(0)})
	if err != nil {
		return err
	}
	_, err = c.store.Commit(ctx, storer.Transaction{
		Conditions: append(conditions, storer.Condition{Key: keyTerm, Revision: t.Revision}),
		Puts:       []storer.Entry{{Key: prefixCancel + id, Value: value}},
	})
	var conflict *storer.ConflictError
	switch {
	case err == nil:
		c.notifyLeader(notice{Cancel: id})
	case errors.As(err, &conflict) && conflict.Revision(keyTerm) != t.Revision:
		c.refreshTerm(ctx)
	}
	return err
}

// cancelUnknown answers a request to cancel a job that is not among the unfinished jobs. Without a record of the job, its
// submission may still be on the way to the store, so the request is stored on the condition that there is neither: whenever the
// job is accepted, the leader cancels it. changed reports that there is a job by now, or another leader: the caller tries again.
func (c *Coordinator) cancelUnknown(ctx context.Context, id string, allowance *unknownCancelAllowance) (a Answer, changed bool) {
	e, err := c.store.Get(ctx, prefixRecord+id)
	switch {
	case err != nil:
		return c.unavailableAnswer(err, id, requestPriority), false
	case e.Revision > 0 && !finalRecord(e):
		return Answer{}, true // the job was accepted after it was read
	case e.Revision > 0:
		return Answer{Outcome: OutcomeDone, Reason: "it has ended"}, false
	}
	if wait := allowance.take(c); wait > 0 {
		return Answer{Outcome: OutcomeUnavailable, Reason: "too many requests to cancel jobs that are not known", RetryAfter: wait}, false
	}
	err = c.storeCancel(ctx, id, storer.Condition{Key: prefixJob + id}, storer.Condition{Key: prefixRecord + id})
	var conflict *storer.ConflictError
	var unknown *storer.UnknownOutcomeError
	switch {
	case err == nil:
		return Answer{Outcome: OutcomeNoSuchJob, Reason: "no such job; it is cancelled if it is accepted later"}, false
	case errors.As(err, &conflict):
		return Answer{}, true
	case errors.As(err, &unknown):
		return Answer{Outcome: OutcomeUndecided, Reason: err.Error()}, false
	}
	return c.unavailableAnswer(err, id, requestPriority), false
}

// finalRecord reports whether a record is of a job in a final state. One that can't be read counts as such: its job is left out by
// every leader.
func finalRecord(e storer.Entry) bool {
	r, err := orchestrator.DecodeRecord(e.Value)
	return err != nil || r.State.Final()
}

// unknownCancelAllowance is the permission of one call to store a request to cancel an unknown job, which its further tries share.
type unknownCancelAllowance bool

// take returns 0 if the request may be stored, and otherwise how long the caller should wait. The hosts share unknownCancelRate.
func (p *unknownCancelAllowance) take(c *Coordinator) time.Duration {
	if *p {
		return 0
	}
	hosts := int(c.knownHosts.Load())
	if ld := c.currentLeadership(); ld != nil {
		hosts = ld.hosts.count(timekeeper.Now()) + 1
	}
	if hosts == 0 {
		hosts = assumedHosts
	}
	now, interval := timekeeper.Now(), time.Duration(hosts)*time.Second/unknownCancelRate
	c.unknownCancels.SetLimitAt(now, rate.Every(interval))
	c.unknownCancels.SetBurstAt(now, max(1, int(unknownCancelBurstTime/interval)))
	if *p = unknownCancelAllowance(c.unknownCancels.AllowN(now, 1)); !*p {
		return max(defaultRetryAfter, interval)
	}
	return 0
}

const (
	// cancelRemovalInterval is the pause between two removals of requests that no job has come for.
	cancelRemovalInterval = time.Second
	// maxRemovedCancels is the number of requests that one transaction removes. Each takes two conditions and a deletion of the 32
	// entries of a transaction, and the term takes one.
	maxRemovedCancels = 10
	// maxCancelRemovals bounds the transactions in one cancelRemovalInterval. Together they remove as many requests as all hosts
	// may store.
	maxCancelRemovals = 4
)

// removeCancels removes from the store the requests to cancel whose jobs have not come within the retention.
func (ld *leadership) removeCancels(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, cancelRemovalInterval)
		for range maxCancelRemovals {
			if !ld.removeCancelsOnce(ctx) {
				break
			}
		}
	}
}

// removeCancelsOnce removes the oldest requests, and reports whether there may be further ones to be removed now. A request is
// removed only if it is unchanged and its job still has not come: otherwise it is a request to cancel that job.
func (ld *leadership) removeCancelsOnce(ctx context.Context) bool {
	ld.mu.Lock()
	n := min(len(ld.expiredCancels), maxRemovedCancels)
	expired := ld.expiredCancels[:n:n]
	ld.mu.Unlock()
	if n == 0 {
		return false
	}
	tx := storer.Transaction{Conditions: []storer.Condition{{Key: keyTerm, Revision: ld.term.Revision}}}
	for _, e := range expired {
		tx.Conditions = append(tx.Conditions, storer.Condition{Key: prefixJob + e.ID}, storer.Condition{Key: prefixCancel + e.ID, Revision: e.Revision})
		tx.Deletes = append(tx.Deletes, prefixCancel+e.ID)
	}
	_, err := ld.c.store.Commit(ctx, tx)
	var conflict *storer.ConflictError
	if err != nil && !errors.As(err, &conflict) {
		ld.c.log.Debug("CancelsNotRemoved", "Cause", err.Error())
		return false
	}
	var kept []orchestrator.RemoveCancel
	if conflict != nil {
		for _, e := range expired {
			switch unchanged := conflict.Revision(prefixCancel+e.ID) == e.Revision; {
			case unchanged && conflict.Revision(prefixJob+e.ID) > 0:
				ld.apply(orchestrator.CancelRequested{ID: e.ID, Revision: e.Revision, Source: orchestrator.CancelListed})
			case unchanged:
				kept = append(kept, e)
			}
		}
	}
	ld.mu.Lock()
	defer ld.mu.Unlock()
	ld.expiredCancels = append(kept, ld.expiredCancels[n:]...)
	return len(kept) < n && len(ld.expiredCancels) > 0 // all are kept if the term has changed: the next leader removes them
}
