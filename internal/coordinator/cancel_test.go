package coordinator

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/time/rate"

	"peridotpitch/internal/orchestrator"
	"peridotpitch/internal/storer"
	"peridotpitch/internal/timekeeper"
)

// lateSubmission returns a leader of one worker and a job whose submission has got no answer and is executed after delay.
func lateSubmission(t *testing.T, delay time.Duration) (l lateLeader, j orchestrator.Job, closeLeader func()) {
	t.Helper()
	store := newDelayedStore(8 * time.Millisecond)
	store.forgets = true
	store.lateBy = func() time.Duration { return delay }
	store.lose = func(tx storer.Transaction) bool {
		return slices.ContainsFunc(tx.Puts, func(e storer.Entry) bool { return strings.HasPrefix(e.Key, prefixJob) })
	}
	l, closeLeader = newLateLeader(t, 1, store, &memoryWorkers{runTime: time.Minute})
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
		state, known, _ := l.state(j.ID)
		is.True(known) // else the write was not executed, and the test says nothing
		is.Equal(state, orchestrator.StateCancelled)
	})
}

// A leader is replaced between a request to cancel an unknown job and the job. Guards against a successor that reads the request, finds
// no job for it and forgets it.
func TestUnknownCancelOutlivesLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l, j, closeLeader := lateSubmission(t, time.Minute)
		defer closeLeader()
		is.Equal(l.c.Cancel(t.Context(), j.ID).Outcome, OutcomeNoSuchJob)
		next, _ := newTestLeadership(l.store)
		next.firstPolls = rate.NewLimiter(0, 0) // its workers are not polled
		_, err := next.load(t.Context(), false)
		is.NoErr(err)
		next.handleNotice(notice{Epoch: 1, Job: &j, Revision: 9})
		state, known := next.orch.State(j.ID)
		is.True(known)
		is.Equal(state, orchestrator.StateCancelled)
	})
}

// Guards against a write for each request to cancel a job that does not exist: all hosts share the store's rate of writes, also a
// fleet of 300 whose leader is not known. A caller that returns when it is told to is served.
func TestUnknownCancelsAreLimited(t *testing.T) {
	for name, c := range map[string]struct {
		known int64   // hosts, as the leader has told
		share float64 // of unknownCancelRate
	}{
		"8 hosts":                 {8, 1.0 / 8},
		"300 hosts":               {300, 1.0 / 300},
		"no leader has told them": {0, 1.0 / assumedHosts},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				defer timekeeper.Replace(time.Now)()
				h := New(Settings{Name: "a"}, Dependencies{Store: newDelayedStore(0)}, slog.New(slog.DiscardHandler))
				h.recordStoreResult(nil)
				h.knownHosts.Store(c.known)
				const seconds = 60
				stored, wait := 0, time.Duration(0)
				for i := range seconds * 100 {
					switch a := h.Cancel(t.Context(), fmt.Sprintf("%016x", i)); a.Outcome {
					case OutcomeNoSuchJob:
						stored++
					case OutcomeUnavailable:
						wait = a.RetryAfter
					default:
						t.Fatalf("the answer is %q", a.Outcome)
					}
					time.Sleep(10 * time.Millisecond)
				}
				limit := unknownCancelRate * c.share * (seconds + unknownCancelBurstTime.Seconds())
				is.True(stored >= 1 && float64(stored) <= max(limit, 1)+1)
				is.True(wait >= time.Second)
				time.Sleep(wait)
				is.Equal(h.Cancel(t.Context(), "00000000000000bb").Outcome, OutcomeNoSuchJob)
				time.Sleep(time.Minute) // the tries of the notices end
			})
		})
	}
}

// Guards against a job that can't be cancelled because many other requests are for jobs that don't exist.
func TestKnownJobIsCancelledBesideManyUnknownOnes(t *testing.T) {
	is := is.New(t)
	store := newDelayedStore(0)
	store.entries[prefixJob+"00000000000000aa"] = storer.Entry{Key: prefixJob + "00000000000000aa", Revision: 1}
	h := New(Settings{Name: "a"}, Dependencies{Store: store}, slog.New(slog.DiscardHandler))
	h.recordStoreResult(nil)
	for i := range 50 {
		h.Cancel(t.Context(), fmt.Sprintf("%016x", i))
	}
	is.Equal(h.Cancel(t.Context(), "00000000000000ab").Outcome, OutcomeUnavailable)
	is.Equal(h.Cancel(t.Context(), "00000000000000aa").Outcome, OutcomeDone)
}

// Guards against requests to cancel that stay in the store for ever because their jobs have never come, and against the removal of one
// whose job has come since.
func TestUnknownCancelsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newDelayedStore(0)
		store.forgets = true
		l, closeLeader := newLateLeader(t, 1, store, &memoryWorkers{runTime: time.Second})
		defer closeLeader()
		const cancels = 25
		for i := range cancels {
			is.Equal(l.c.Cancel(t.Context(), fmt.Sprintf("%016x", i)).Outcome, OutcomeNoSuchJob)
			time.Sleep(time.Second)
		}
		var position watchPosition
		is.NoErr(l.pollInputsOnce(t.Context(), &position))
		time.Sleep(l.c.settings.StatusRetention + time.Second)
		arrived := prefixJob + fmt.Sprintf("%016x", 3)
		l.store.mu.Lock()
		l.store.entries[arrived] = storer.Entry{Key: arrived, Revision: l.store.revision} // the leader does not know of it yet
		l.store.mu.Unlock()
		for range cancels {
			l.removeCancelsOnce(t.Context())
		}
		es, _, err := l.store.List(t.Context(), prefixCancel)
		is.NoErr(err)
		is.Equal(len(es), 1)
		is.Equal(es[0].Key, prefixCancel+fmt.Sprintf("%016x", 3))
	})
}

// A job comes after the leader has dropped the request to cancel it, and before the request is removed. Guards against a request that stays
// in the store without effect: its job runs until another leader reads both.
func TestJobThatComesBeforeRemovalIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newDelayedStore(0)
		store.forgets = true
		l, closeLeader := newLateLeader(t, 1, store, &memoryWorkers{runTime: time.Minute})
		defer closeLeader()
		const id = "00000000000000aa"
		is.Equal(l.c.Cancel(t.Context(), id).Outcome, OutcomeNoSuchJob)
		var position watchPosition
		is.NoErr(l.pollInputsOnce(t.Context(), &position))
		time.Sleep(l.c.settings.StatusRetention + 2*time.Second)
		l.submit(id, 1)
		l.removeCancelsOnce(t.Context())
		time.Sleep(visibleTime)
		is.Equal(l.workers.running(id), 0)
		state, _, _ := l.state(id)
		is.Equal(state, orchestrator.StateCancelled)
	})
}

// slowRecordStore takes a time for each read of a record.
type slowRecordStore struct {
	storer.TransactionalStore
	delay time.Duration
}

func (s slowRecordStore) Get(ctx context.Context, key string) (storer.Entry, error) {
	if strings.HasPrefix(key, prefixRecord) {
		time.Sleep(s.delay)
	}
	return s.TransactionalStore.Get(ctx, key)
}

// A job is accepted, and its progress written, between the reads of the job and of its record. Guards against a cancel that is answered as one
// of a job that has ended, while the job runs.
func TestCancelFindsJobAcceptedBetweenReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newDelayedStore(8 * time.Millisecond)
		store.forgets = true
		l, closeLeader := newLateLeader(t, 1, store, &memoryWorkers{runTime: time.Minute})
		defer closeLeader()
		host := New(Settings{Name: "b"}, Dependencies{Store: slowRecordStore{store, 200 * time.Millisecond}}, slog.New(slog.DiscardHandler))
		host.recordStoreResult(nil)
		j := orchestrator.Job{ID: "00000000000000aa", Submitted: time.Now(), Policy: orchestrator.Policy{Queue: "q", Service: "s", Attempts: 3, Guarded: true},
			Steps: []orchestrator.Step{{Count: 1, LongRunning: true, Size: orchestrator.Resources{CPU: 500, Memory: 100}, Estimate: time.Second}}}
		answer := make(chan Answer, 1)
		go func() { answer <- host.Cancel(t.Context(), j.ID) }()
		time.Sleep(time.Millisecond) // it has read the job
		is.Equal(l.c.submit(t.Context(), j).Outcome, OutcomeDone)
		is.Equal((<-answer).Outcome, OutcomeDone)
		var position watchPosition
		is.NoErr(l.pollInputsOnce(t.Context(), &position))
		time.Sleep(visibleTime)
		is.Equal(l.workers.running(j.ID), 0)
	})
}

// arrivingStore accepts a job between the first read of it and the next call.
type arrivingStore struct {
	*delayedStore
	read *bool
}

func (s arrivingStore) Get(ctx context.Context, key string) (storer.Entry, error) {
	e, err := s.delayedStore.Get(ctx, key)
	if strings.HasPrefix(key, prefixJob) && !*s.read {
		*s.read = true
		s.mu.Lock()
		s.entries[key] = storer.Entry{Key: key, Revision: s.revision}
		s.mu.Unlock()
	}
	return e, err
}

// Guards against a request that is answered as one for an unknown job although its job has been accepted meanwhile.
func TestCancelFindsJobThatArrives(t *testing.T) {
	is := is.New(t)
	store := newDelayedStore(0)
	ld, _ := newTestLeadership(arrivingStore{store, new(bool)})
	ld.apply(orchestrator.Inherited{})
	is.Equal(ld.c.Cancel(t.Context(), "00000000000000aa").Outcome, OutcomeDone)
	is.True(store.entries[prefixCancel+"00000000000000aa"].Revision > 0)
}

// Guards against requests of the build before, which hold no time, that can't be read or seem to be old.
func TestRequestsOfBuildBeforeAreRead(t *testing.T) {
	is := is.New(t)
	before := cancelRequest(storer.Entry{Key: prefixCancel + "j1", Value: []byte("entry-1/3d5adf7a50de2dd1"), Revision: 7}, orchestrator.CancelWatched)
	is.Equal(before, orchestrator.CancelRequested{ID: "j1", Revision: 7, Source: orchestrator.CancelWatched})
	at := time.Unix(1e9, 5e6)
	value, err := encodeCancel(cancelValue{Process: "entry-1/3d5adf7a50de2dd1", StoredAt: at})
	is.NoErr(err)
	is.True(cancelRequest(storer.Entry{Key: prefixCancel + "j1", Value: value, Revision: 7}, orchestrator.CancelWatched).StoredAt.Equal(at))
}
