package coordinator

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"peridotpitch/internal/orchestrator"
	"peridotpitch/internal/timekeeper"
)

const (
	// runLease is the lease of runs. It covers the time until a successor of a leader
	// that went silent has reached the workers; longer leases delay the restart of what
	// ran on a lost worker.
	runLease = 4500 * time.Millisecond
	// leaderAuthority bounds the leases that a leader without the store hands out. A
	// successor waits as long for workers that it can not reach.
	leaderAuthority = 7 * time.Second
	// headEvery is the longest time between two writes of a leader. It is the leader's
	// sign of life in the store.
	headEvery = 300 * time.Millisecond
	// collectFor is the pause after a write while there are changes that no caller waits
	// for.
	collectFor = 90 * time.Millisecond
	// batchLimit is the number of jobs in one write: a final state puts a record and
	// deletes two keys, and a transaction takes 32 entries.
	batchLimit = 9
	// writeRetry is the pause after a failed write.
	writeRetry = 60 * time.Millisecond
	// tickEvery is the interval at which time passes for the orchestrator.
	tickEvery = 50 * time.Millisecond
	// catchUpEvery is the interval at which the leader looks for jobs and requests to
	// cancel of which it has got no notice.
	catchUpEvery = time.Second
	// discoveryWait is how long one watch of the workers lasts, discoveryRetry the pause
	// after a failed one. After relistEvery the whole list is read again.
	discoveryWait  = 2 * time.Second
	discoveryRetry = 200 * time.Millisecond
	relistEvery    = 6 * time.Second
	// loadRetry is the pause after a failed read of what an earlier leader left.
	loadRetry = 100 * time.Millisecond
)

// leader is this host's leadership of one term.
type leader struct {
	c      *Coordinator
	term   term
	cancel context.CancelFunc
	ended  chan struct{}
	urgent chan struct{} // wakes the writer

	mu      sync.Mutex // guards the fields below
	o       *orchestrator.Orchestrator
	loaded  bool
	handing bool // no more orders
	aside   bool // it is being handed over to a better suited host
	lookers map[string]*looker

	confirmedAt atomic.Int64 // timekeeper time at which the last confirmed write was sent, Unix ns

	writeMu sync.Mutex // held during a write of the leader; guards head
	head    uint64     // revision of keyHead
}

// lead starts a leadership, which ends by itself when another host is elected.
func (c *Coordinator) lead(ctx context.Context, t term, handedOff bool, sent time.Time) {
	inner, cancel := context.WithCancel(ctx)
	ld := &leader{
		c: c, term: t, cancel: cancel, ended: make(chan struct{}), urgent: make(chan struct{}, 1),
		o:       orchestrator.New(c.orchestratorSettings(t.Revision, sent, timekeeper.Now())),
		lookers: make(map[string]*looker), head: t.Revision,
	}
	ld.confirmedAt.Store(sent.UnixNano())
	c.mu.Lock()
	c.term, c.known, c.leader = t, true, ld
	c.mu.Unlock()
	c.metrics.leading.Set(1)
	go func() {
		defer close(ld.ended)
		ld.run(inner, handedOff)
		cancel()
		c.mu.Lock()
		c.leader = nil
		c.mu.Unlock()
		c.metrics.leading.Set(0)
	}()
}

func (ld *leader) run(ctx context.Context, handedOff bool) {
	inputs, err := ld.load(ctx, handedOff)
	if err != nil {
		ld.c.log.Warn("LeadershipEnded", "Epoch", ld.term.Revision, "Cause", err.Error())
		return
	}
	group, inner := errgroup.WithContext(ctx)
	group.Go(func() error { ld.write(inner); return nil })
	group.Go(func() error { ld.catchUp(inner, inputs); return nil })
	group.Go(func() error { ld.discover(inner); return nil })
	group.Go(func() error { ld.tick(inner); return nil })
	if err := group.Wait(); err != nil {
		ld.c.log.Error("LeadershipEnded", "Epoch", ld.term.Revision, "Cause", err.Error())
	}
	ld.mu.Lock()
	for _, k := range ld.lookers {
		k.cancel()
	}
	ld.mu.Unlock()
}

// step applies an event and carries out the actions.
func (ld *leader) step(e orchestrator.Event) {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	for _, a := range ld.o.Step(e, timekeeper.Now()) {
		ld.carryOut(a)
	}
}

// carryOut starts an action. ld.mu is held.
func (ld *leader) carryOut(a orchestrator.Action) {
	switch a := a.(type) {
	case orchestrator.StartRun:
		ld.c.metrics.starts.Inc()
		ld.order(a.Worker, a)
	case orchestrator.StopRun:
		ld.order(a.Worker, a)
	case orchestrator.PaceRun:
		ld.order(a.Worker, a)
	case orchestrator.WatchWorker:
		ld.watch(a.Worker)
	case orchestrator.ForgetWorker:
		ld.forget(a.ID)
	case orchestrator.AskAdvice:
		go ld.advise(a)
	case orchestrator.WriteSoon:
		ld.writeSoon()
	case orchestrator.StepDown:
		ld.c.log.Warn("StepDown", "Epoch", ld.term.Revision, "Reason", a.Reason)
		ld.cancel()
	case orchestrator.Note:
		ld.c.note(a)
	}
}

func (ld *leader) tick(ctx context.Context) {
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			ld.step(orchestrator.Tick{WallOffset: timekeeper.WallOffset()})
		case <-ctx.Done():
			return
		}
	}
}

// notice takes up what another host has written to the store.
func (ld *leader) notice(n notice) {
	if n.Job != nil && n.Epoch == ld.term.Revision {
		ld.step(orchestrator.JobAccepted{Job: *n.Job, Revision: n.Revision})
	}
	if n.Cancel != "" {
		ld.step(orchestrator.CancelRequested{ID: n.Cancel})
	}
}

// state returns a job's state, whether it is known and whether this leader knows all
// jobs.
func (ld *leader) state(id string) (orchestrator.State, bool, bool) {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	s, known := ld.o.State(id)
	return s, known, ld.loaded && !ld.handing
}

// pending returns nil while not all jobs are known.
func (ld *leader) pending() map[string]int {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	if !ld.loaded || ld.handing {
		return nil
	}
	return ld.o.Pending()
}
