package coordinator

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpitch/internal/orchestrator"
	"peridotpitch/internal/storer"
	"peridotpitch/internal/timekeeper"
)

// Guards against a host that stays ready, and leader, while the store rate-limits all of its
// calls. The leases of its runs would expire although no other host was elected.
func TestRateLimitedHostBecomesUnready(t *testing.T) {
	is := is.New(t)
	c := New(Settings{Name: "a"}, Dependencies{}, slog.New(slog.DiscardHandler))
	c.config.Store(&Configuration{Version: 1})
	c.recordStoreResult(nil)
	is.True(c.Ready())
	c.lastStoreSuccess.Store(timekeeper.Now().Add(-maxReadyStoreSilence).UnixNano())
	c.recordStoreResult(&storer.RateLimitedError{})
	is.True(!c.Ready())
	c.recordStoreResult(&storer.ConflictError{}) // the store has served the call
	is.True(c.Ready())
}

// Guards against a leader that reports to other hosts that it reaches the store, because its
// reads are served, while none of its writes are.
func TestLeaderReportsStoreSilenceWithoutWrites(t *testing.T) {
	is := is.New(t)
	c := New(Settings{Name: "a"}, Dependencies{}, slog.New(slog.DiscardHandler))
	c.recordStoreResult(nil)
	ld := &leadership{c: c}
	ld.lastConfirmedSent.Store(timekeeper.Now().UnixNano())
	c.leadership = ld
	a, err := c.servePing(context.Background(), pingRequest{})
	is.NoErr(err)
	is.True(a.Leading && a.StoreSilence < maxLeaderStoreAnswerAge)
	ld.lastConfirmedSent.Store(timekeeper.Now().Add(-maxLeaderStoreAnswerAge).UnixNano())
	a, err = c.servePing(context.Background(), pingRequest{})
	is.NoErr(err)
	is.True(a.StoreSilence >= maxLeaderStoreAnswerAge)
}

// silentStore answers no call.
type silentStore struct {
	storer.TransactionalStore
	commits, reads int
}

func (s *silentStore) Commit(context.Context, storer.Transaction) (uint64, error) {
	s.commits++
	return 0, &storer.UnknownOutcomeError{}
}

func (s *silentStore) Get(context.Context, string) (storer.Entry, error) {
	s.reads++
	return storer.Entry{}, &storer.UnavailableError{}
}

// A leader that hands over cancels its calls to the store. Guards against a host that then logs the
// store as lost and counts a failure.
func TestCancelledCallIsNoStoreFailure(t *testing.T) {
	is := is.New(t)
	c := New(Settings{Name: "a"}, Dependencies{Store: &silentStore{}}, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := c.store.Get(ctx, "key")
	is.True(err != nil)
	is.True(!c.storeUnavailable.Load())
	_, err = c.store.Get(context.Background(), "key")
	is.True(err != nil)
	is.True(c.storeUnavailable.Load())
}

// termStore answers reads of the term.
type termStore struct {
	storer.TransactionalStore
	reads chan string
}

func (s termStore) Get(_ context.Context, key string) (storer.Entry, error) {
	s.reads <- key
	return storer.Entry{Key: key}, nil
}

// The only call of a host to the store is one that brings a large configuration, for seconds.
// Guards against a host that reports itself as not ready and refuses submissions meanwhile,
// although the store answers.
func TestStoreIsProbedDuringLongTransfer(t *testing.T) {
	is := is.New(t)
	store := termStore{reads: make(chan string, 10)}
	c := New(Settings{Name: "a"}, Dependencies{Store: store}, slog.New(slog.DiscardHandler))
	c.config.Store(&Configuration{Version: 1})
	c.recordStoreResult(nil)
	c.probeStore(context.Background()) // the store has just answered
	is.Equal(len(store.reads), 0)

	c.lastStoreSuccess.Store(timekeeper.Now().Add(-maxReadyStoreSilence).UnixNano())
	is.True(!c.Ready())
	c.probeStore(context.Background())
	is.Equal(<-store.reads, keyTerm)
	for !c.Ready() {
		time.Sleep(time.Millisecond)
	}

	c.recordStoreResult(&storer.UnavailableError{})
	c.lastStoreSuccess.Store(timekeeper.Now().Add(-maxReadyStoreSilence).UnixNano())
	c.probeStore(context.Background()) // other calls are repeated
	is.Equal(len(store.reads), 0)
}

// A transfer of the configuration lasts or stalls after a call has failed. Guards against a host that makes no other call, so that it
// takes the store for lost until the transfer ends, and against one that takes the stalled transfer itself for an outage.
func TestStoreIsProbedDuringLongTransferAfterFailure(t *testing.T) {
	is := is.New(t)
	defer freezeClock()()
	store := termStore{reads: make(chan string, 10)}
	c := New(Settings{Name: "a"}, Dependencies{Store: store}, slog.New(slog.DiscardHandler))
	c.recordStoreResult(nil)
	c.recordStoreResult(&storer.UnavailableError{Incomplete: true})
	is.True(!c.storeUnavailable.Load())

	c.recordStoreResult(&storer.UnavailableError{})
	is.True(c.storeUnavailable.Load())
	c.lastStoreSuccess.Store(timekeeper.Now().Add(-maxReadyStoreSilence).UnixNano())
	c.configCall.Store(&configurationCallInFlight{call: callRead, sent: timekeeper.Now().Add(-storeProbeSilence / 2)})
	c.probeStore(context.Background()) // the read may soon be repeated
	is.Equal(len(store.reads), 0)
	c.configCall.Store(&configurationCallInFlight{call: callRead, sent: timekeeper.Now().Add(-storeProbeSilence)})
	c.probeStore(context.Background())
	is.Equal(<-store.reads, keyTerm)
	for c.storeUnavailable.Load() {
		time.Sleep(time.Millisecond)
	}
}

// The store stops answering while callers submit jobs. Guards against submissions that wait
// for the store although this host knows that it serves no call: callers could try again in
// time. Guards also against a refusal as not executed of a submission that was sent.
func TestSubmissionDuringStoreOutage(t *testing.T) {
	is := is.New(t)
	store := &silentStore{}
	c := New(Settings{Name: "a"}, Dependencies{Store: store}, slog.New(slog.DiscardHandler))
	c.term, c.termKnown = term{Revision: 7}, true
	c.recordStoreResult(nil)
	j := orchestrator.Job{ID: "j1", Steps: []orchestrator.Step{{Count: 1}}}

	a := c.Submit(context.Background(), j) // the outage is not known yet
	is.Equal(a.Outcome, OutcomeUndecided)
	is.Equal(store.commits, 1)
	is.Equal(store.reads, 1) // no second read of a store that does not answer

	c.lastStoreSuccess.Store(timekeeper.Now().Add(-minOutageSilence).UnixNano())
	a = c.Submit(context.Background(), j)
	is.Equal(a.Outcome, OutcomeUnavailable)
	is.True(a.RetryAfter > 0)
	is.Equal(store.commits, 1) // nothing was sent

	c.recordStoreResult(nil) // another call was served
	is.Equal(c.Submit(context.Background(), j).Outcome, OutcomeUndecided)
	is.Equal(store.commits, 2)
}

// The leader applies events late for seconds. Guards against a leader that falls silent without a word,
// and against a line for every event.
func TestLeaderBehindIsLogged(t *testing.T) {
	is := is.New(t)
	var log bytes.Buffer
	c := New(Settings{Name: "a"}, Dependencies{}, slog.New(slog.NewTextHandler(&log, nil)))
	ld := &leadership{c: c, term: term{Revision: 7}}
	ld.recordLag(minLoggedLag / 2)
	is.Equal(log.Len(), 0)
	for range 5 {
		ld.recordLag(1200 * time.Millisecond)
	}
	is.Equal(strings.Count(log.String(), "msg=LeaderBehind Epoch=7 Lag=1.2s"), 1)
}
