package coordinator

import (
	"context"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotpitch/internal/orchestrator"
	"peridotpitch/internal/storer"
)

// listedStore is a delayedStore without a history: inputs are always listed.
type listedStore struct{ *delayedStore }

func (s listedStore) Watch(context.Context, string, uint64, time.Duration) (storer.Events, error) {
	return storer.Events{Compacted: true}, nil
}

// lateSubmission returns a leader of one worker and a job whose submission has got no answer and is executed after delay.
func lateSubmission(t *testing.T, delay time.Duration) (l lateLeader, j orchestrator.Job, closeLeader func()) {
	t.Helper()
	store := newDelayedStore(8 * time.Millisecond)
	store.lateBy = func() time.Duration { return delay }
	store.lose = func(tx storer.Transaction) bool {
		return slices.ContainsFunc(tx.Puts, func(e storer.Entry) bool { return strings.HasPrefix(e.Key, prefixJob) })
	}
	l, closeLeader = newLateLeader(t, 1, store, &memoryWorkers{runTime: time.Minute})
	l.c.store = observedStore{TransactionalStore: listedStore{store}, onResult: l.c.recordStoreResult}
	j = orchestrator.Job{ID: "00000000000000aa", Submitted: time.Now(), Policy: orchestrator.Policy{Queue: "q", Service: "s", Attempts: 3, Guarded: true},
		Steps: []orchestrator.Step{{Count: 1, Size: orchestrator.Resources{CPU: 500, Memory: 100}, Estimate: time.Second}}}
	if a := l.c.submit(t.Context(), j); a.Outcome != OutcomeUndecided {
		t.Fatalf("the submission is %q, want %q", a.Outcome, OutcomeUndecided)
	}
	return l, j, closeLeader
}

// A submission gets no answer, and its write is executed two seconds later. Guards against a job that runs although a request
// to cancel it was answered in between: the host found neither the job nor a record, and nothing remembered the request.
func TestCancelHoldsBeforeLateSubmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l, j, closeLeader := lateSubmission(t, 2*time.Second)
		defer closeLeader()
		is.Equal(l.c.Cancel(t.Context(), j.ID).Outcome, OutcomeNoSuchJob)
		var position watchPosition
		for range 5 {
			time.Sleep(inputPollInterval)
			is.NoErr(l.pollInputsOnce(t.Context(), &position))
		}
		l.workers.mu.Lock()
		defer l.workers.mu.Unlock()
		is.Equal(len(l.workers.started), 0)
		state, known := l.orch.State(j.ID)
		is.True(known) // else the write was not executed, and the test says nothing
		is.Equal(state, orchestrator.StateCancelled)
	})
}
