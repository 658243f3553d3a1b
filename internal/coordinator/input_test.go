package coordinator

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/time/rate"

	"peridotpitch/internal/orchestrator"
	"peridotpitch/internal/storer"
)

// forgetfulStore has a change that the first watch does not report, although it reports the revision after it.
type forgetfulStore struct {
	storer.TransactionalStore
	change  storer.Entry
	watches *int
}

func (s forgetfulStore) Watch(_ context.Context, _ string, after uint64, _ time.Duration) (storer.Events, error) {
	es := storer.Events{StoreRevision: s.change.Revision + 10}
	if *s.watches++; *s.watches > 1 && after < s.change.Revision {
		es.Events = append(es.Events, s.change)
	}
	return es, nil
}

// A request to cancel is stored while the store drops its history, and its notice to the leader is lost.
// Guards against a confirmed cancel that the leader never learns of: the watch that should report it misses it.
func TestCancelMissedByWatchIsFound(t *testing.T) {
	is := is.New(t)
	store := forgetfulStore{change: storer.Entry{Key: prefixCancel + "j1", Revision: 20}, watches: new(int)}
	ld, _ := newTestLeadership(store)
	ld.apply(orchestrator.Inherited{})
	ld.apply(orchestrator.JobAccepted{Job: orchestrator.Job{ID: "j1", Steps: []orchestrator.Step{{Count: 1}}}})
	var position watchPosition
	position.restart(15, time.Now())
	for range 2 {
		is.NoErr(ld.pollInputsOnce(context.Background(), &position))
	}
	state, known := ld.orch.State("j1")
	is.True(known)
	is.Equal(state, orchestrator.StateCancelled)
}

// Guards against a position that stays behind for ever, and against one that does not stay behind at all.
func TestWatchPositionStaysBehind(t *testing.T) {
	is := is.New(t)
	begin := time.Unix(1e9, 0)
	var p watchPosition
	p.restart(100, begin)
	for i := range 20 {
		now := begin.Add(time.Duration(i+1) * time.Second)
		p.advance(uint64(101+i), now)
		is.True(p.start() <= uint64(101+i)-uint64(watchOverlap/time.Second) || p.start() == 100)
	}
	is.Equal(p.start(), uint64(117)) // current 3 s before the last watch
	p.advance(120, begin.Add(30*time.Second))
	is.Equal(p.start(), uint64(120))
}

// compactedStore has dropped its history: each watch fails, and the inputs must be listed, in the order of their keys.
type compactedStore struct {
	storer.TransactionalStore
	inputs []storer.Entry
}

func (s compactedStore) Watch(context.Context, string, uint64, time.Duration) (storer.Events, error) {
	return storer.Events{Compacted: true}, nil
}

func (s compactedStore) List(context.Context, string) ([]storer.Entry, uint64, error) {
	return s.inputs, 30, nil
}

// Guards against cancelled jobs that run: after the store has dropped its history, a leader lists the inputs, in which each
// request to cancel comes before its job.
func TestCancelListedBeforeItsJobHolds(t *testing.T) {
	is := is.New(t)
	ld, log := newTestLeadership(compactedStore{inputs: []storer.Entry{
		{Key: prefixCancel + "j1", Revision: 21},
		{Key: prefixJob + "j1", Value: encodedJob(t, "j1"), Revision: 20},
	}})
	ld.apply(orchestrator.Inherited{})
	var position watchPosition
	is.NoErr(ld.pollInputsOnce(context.Background(), &position))
	state, known := ld.orch.State("j1")
	is.True(known)
	is.Equal(state, orchestrator.StateCancelled)
	is.True(strings.Contains(log.String(), "InputsListed"))
}

// Guards against cancelled jobs that run: the notice of the cancel reaches the leader before the notice of the job.
func TestCancelNoticeBeforeJobNoticeHolds(t *testing.T) {
	is := is.New(t)
	ld, _ := newTestLeadership(compactedStore{})
	ld.apply(orchestrator.Inherited{})
	ld.handleNotice(notice{Cancel: "j1"})
	ld.handleNotice(notice{Epoch: 1, Job: &orchestrator.Job{ID: "j1", Epoch: 1, Steps: []orchestrator.Step{{Count: 1}}}, Revision: 20})
	state, known := ld.orch.State("j1")
	is.True(known)
	is.Equal(state, orchestrator.StateCancelled)
}

// pagedWorkerStore lists a worker that has begun to drain after the first page was read. The watch from the revision of that page
// reports the worker's earlier state too.
type pagedWorkerStore struct {
	storer.TransactionalStore
	cancel context.CancelFunc
}

func (s pagedWorkerStore) List(context.Context, string) ([]storer.Entry, uint64, error) {
	return []storer.Entry{{Key: "workers/w1", Value: []byte("draining"), Revision: 110}}, 100, nil
}

func (s pagedWorkerStore) Watch(context.Context, string, uint64, time.Duration) (storer.Events, error) {
	s.cancel()
	return storer.Events{StoreRevision: 110, Events: []storer.Entry{
		{Key: "workers/w1", Value: []byte("ready"), Revision: 105},
		{Key: "workers/w1", Value: []byte("draining"), Revision: 110},
	}}, nil
}

// drainDecoder decodes entries of workers that say only whether they drain.
type drainDecoder struct{ Decoder }

func (drainDecoder) Worker(_ string, value []byte) (orchestrator.WorkerEntry, error) {
	return orchestrator.WorkerEntry{ID: "w1", Service: "s", Draining: string(value) == "draining"}, nil
}

// Guards against tasks that start on a draining worker: a watch repeats an earlier state of its entry after the list, whose
// pages are not of one revision.
func TestWatchDoesNotRevertListedWorker(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	ld, log := newTestLeadership(pagedWorkerStore{cancel: cancel})
	ld.c.deps.Keys.Workers, ld.c.deps.Decoder = "workers/", drainDecoder{}
	ld.firstPolls = rate.NewLimiter(0, 0) // the worker is not polled
	ld.apply(orchestrator.Inherited{})
	ld.watchWorkers(ctx)
	is.True(strings.Contains(log.String(), "Outcome=draining"))
	is.True(!strings.Contains(log.String(), "Outcome=ready"))
}
