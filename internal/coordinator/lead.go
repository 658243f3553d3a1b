package coordinator

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/sync/errgroup"

	"peridotpitch/internal/orchestrator"
	"peridotpitch/internal/storer"
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

// load reads what earlier leaders left, and returns the store's revision of the inputs.
func (ld *leader) load(ctx context.Context, handedOff bool) (uint64, error) {
	begin := timekeeper.Now()
	var inherited orchestrator.Inherited
	var inputs uint64
	for {
		if err := ctx.Err(); err != nil {
			return 0, err
		}
		var err error
		if inherited, inputs, err = ld.readState(ctx); err == nil {
			break
		}
		ld.c.log.Warn("LoadFailed", "Epoch", ld.term.Revision, "Cause", err.Error())
		if next, readErr := ld.c.readTerm(ctx); readErr == nil && next.Revision != ld.term.Revision {
			return 0, errDeposed
		}
		sleep(ctx, loadRetry)
	}
	inherited.HandedOff = handedOff
	// Before any worker is looked at: ends of jobs that are not known would be
	// acknowledged, and their runs stopped.
	ld.step(inherited)
	ld.mu.Lock()
	ld.loaded = true
	ld.mu.Unlock()
	ld.c.log.Info("Leading", "Epoch", ld.term.Revision, "Jobs", len(inherited.Jobs), "Finished", len(inherited.Finished),
		"Workers", len(inherited.Roster.Workers), "Took", timekeeper.Now().Sub(begin).Round(time.Millisecond).String())
	return inputs, nil
}

var errDeposed = errors.New("another host was elected")

// readState reads the jobs and their records. Inputs are read first: a job that became
// final between the two reads then has a record.
func (ld *leader) readState(ctx context.Context) (orchestrator.Inherited, uint64, error) {
	var inherited orchestrator.Inherited
	inputs, revision, err := ld.list(ctx, prefixInput)
	if err != nil {
		return inherited, 0, err
	}
	records, _, err := ld.list(ctx, prefixRecord)
	if err != nil {
		return inherited, 0, err
	}
	roster, err := ld.c.peers.Store.Get(ctx, keyRoster)
	ld.c.storeAnswered(err)
	if err != nil {
		return inherited, 0, err
	}
	if roster.Revision > 0 {
		if inherited.Roster, err = orchestrator.DecodeRoster(roster.Value); err != nil {
			return inherited, 0, err
		}
	}
	if inherited.Learnt, err = ld.readLearnt(ctx); err != nil {
		return inherited, 0, err
	}
	known := make(map[string]*orchestrator.Record)
	for _, e := range records {
		r, err := orchestrator.DecodeRecord(e.Value)
		if err != nil {
			return inherited, 0, err
		}
		known[r.ID] = &r
		if r.State.Final() {
			inherited.Finished = append(inherited.Finished, r)
		}
	}
	cancelled := make(map[string]bool)
	for _, e := range inputs {
		if id, ok := strings.CutPrefix(e.Key, prefixCancel); ok {
			cancelled[id] = true
		}
	}
	for _, e := range inputs {
		if !strings.HasPrefix(e.Key, prefixJob) {
			continue
		}
		j, err := orchestrator.DecodeJob(e.Value)
		if err != nil {
			ld.c.log.Error("JobUnreadable", "Key", e.Key, "Cause", err.Error())
			continue
		}
		inherited.Jobs = append(inherited.Jobs, orchestrator.InheritedJob{Job: j, Revision: e.Revision, Record: known[j.ID], Cancelled: cancelled[j.ID]})
	}
	return inherited, revision, nil
}

func (ld *leader) readLearnt(ctx context.Context) (orchestrator.Experience, error) {
	e, err := ld.c.peers.Store.Get(ctx, keyLearnt)
	ld.c.storeAnswered(err)
	if err != nil || e.Revision == 0 {
		return orchestrator.Experience{}, err
	}
	learnt, err := orchestrator.DecodeExperience(e.Value)
	if err != nil {
		// It only saves time: the leader learns anew.
		ld.c.log.Error("ExperienceUnreadable", "Cause", err.Error())
		return orchestrator.Experience{}, nil
	}
	return learnt, nil
}

func (ld *leader) list(ctx context.Context, prefix string) ([]storer.Entry, uint64, error) {
	es, revision, err := ld.c.peers.Store.List(ctx, prefix)
	ld.c.storeAnswered(err)
	return es, revision, err
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

func (ld *leader) writeSoon() {
	select {
	case ld.urgent <- struct{}{}:
	default:
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

// write brings the orchestrator's changes to the store, and head at least every
// headEvery.
func (ld *leader) write(ctx context.Context) {
	t := time.NewTimer(0)
	defer t.Stop()
	for ctx.Err() == nil {
		select {
		case <-ld.urgent:
		case <-t.C:
		case <-ctx.Done():
			return
		}
		pause := headEvery
		if !ld.writeBatch(ctx, false) {
			pause = writeRetry
		} else if ld.unwritten() {
			pause = collectFor
		}
		t.Reset(pause)
	}
}

// writeBatch writes the most urgent changes and reports whether that succeeded.
func (ld *leader) writeBatch(ctx context.Context, all bool) bool {
	ld.writeMu.Lock()
	defer ld.writeMu.Unlock()
	ld.mu.Lock()
	batch, _ := ld.o.NextBatch(batchLimit, all, timekeeper.Now())
	ld.mu.Unlock()
	tx, err := ld.transaction(batch)
	if err != nil {
		ld.c.log.Error("WriteFailed", "Cause", err.Error())
		return false
	}
	sent := timekeeper.Now()
	revision, err := ld.c.peers.Store.Commit(ctx, tx)
	ld.c.storeAnswered(err)
	ld.c.metrics.writes.Inc()
	var conflict *storer.ConflictError
	var unknown *storer.UnknownOutcomeError
	switch {
	case err == nil:
		ld.head = revision
		ld.confirmed(sent, batch)
		if len(batch.Entries) == batchLimit {
			ld.writeSoon()
		}
		return true
	case errors.As(err, &conflict):
		ld.settleConflict(conflict)
	case errors.As(err, &unknown):
		ld.settleUnknown(ctx, tx, batch)
	default:
		ld.c.log.Debug("WriteRefused", "Cause", err.Error())
	}
	return false
}

func (ld *leader) confirmed(sent time.Time, batch orchestrator.Batch) {
	ld.step(orchestrator.Confirmed{SentAt: sent})
	ld.step(orchestrator.Written{Batch: batch})
}

// transaction returns the write of a batch. Its head is unique, so that the leader can
// tell afterwards whether it was executed.
func (ld *leader) transaction(batch orchestrator.Batch) (storer.Transaction, error) {
	head, err := msgpack.Marshal([]any{ld.c.process, timekeeper.Now().UnixNano()})
	if err != nil {
		return storer.Transaction{}, err
	}
	tx := storer.Transaction{
		Conditions: []storer.Condition{{Key: keyTerm, Revision: ld.term.Revision}, {Key: keyHead, Revision: ld.head}},
		Puts:       []storer.Entry{{Key: keyHead, Value: head}},
	}
	for _, e := range batch.Entries {
		key := prefixRecord + e.Record.ID
		if e.Delete {
			tx.Deletes = append(tx.Deletes, key)
			continue
		}
		value, err := orchestrator.EncodeRecord(e.Record)
		if err != nil {
			return storer.Transaction{}, err
		}
		tx.Puts = append(tx.Puts, storer.Entry{Key: key, Value: value})
		if e.Record.State.Final() {
			tx.Deletes = append(tx.Deletes, prefixJob+e.Record.ID, prefixCancel+e.Record.ID)
		}
	}
	if batch.Roster != nil {
		value, err := orchestrator.EncodeRoster(*batch.Roster)
		if err != nil {
			return storer.Transaction{}, err
		}
		tx.Puts = append(tx.Puts, storer.Entry{Key: keyRoster, Value: value})
	}
	if batch.Learnt != nil {
		value, err := orchestrator.EncodeExperience(*batch.Learnt)
		if err != nil {
			return storer.Transaction{}, err
		}
		tx.Puts = append(tx.Puts, storer.Entry{Key: keyLearnt, Value: value})
	}
	return tx, nil
}

// settleConflict finds out whether another host was elected. Otherwise an earlier write
// without an answer has been executed after all.
func (ld *leader) settleConflict(conflict *storer.ConflictError) {
	if r := conflict.Revision(keyTerm); r != ld.term.Revision {
		ld.c.log.Warn("StepDown", "Epoch", ld.term.Revision, "Reason", errDeposed.Error(), "Found", r)
		ld.cancel()
		return
	}
	ld.head = conflict.Revision(keyHead)
}

// settleUnknown reads head back. If the write was executed, so was its batch. If not, it
// can only be executed while head stays as it is, so that the next write settles it.
func (ld *leader) settleUnknown(ctx context.Context, tx storer.Transaction, batch orchestrator.Batch) {
	sent := timekeeper.Now()
	entries, _, err := ld.list(ctx, prefixLead)
	if err != nil {
		return
	}
	for _, e := range entries {
		if e.Key == keyTerm && e.Revision != ld.term.Revision {
			ld.c.log.Warn("StepDown", "Epoch", ld.term.Revision, "Reason", errDeposed.Error(), "Found", e.Revision)
			ld.cancel()
			return
		}
	}
	for _, e := range entries {
		if e.Key == keyHead && bytes.Equal(e.Value, tx.Puts[0].Value) {
			ld.head = e.Revision
			ld.confirmed(sent, batch)
		}
	}
}

// catchUp finds jobs and requests to cancel of which no notice has come.
func (ld *leader) catchUp(ctx context.Context, revision uint64) {
	for ctx.Err() == nil {
		sleep(ctx, catchUpEvery)
		es, err := ld.c.peers.Store.Watch(ctx, prefixInput, revision, time.Millisecond)
		ld.c.storeAnswered(err)
		if err != nil {
			continue
		}
		if es.Compacted {
			list, at, err := ld.list(ctx, prefixInput)
			if err != nil {
				continue
			}
			es = storer.Events{Events: list, StoreRevision: at}
		}
		for _, e := range es.Events {
			ld.takeInput(e)
		}
		revision = max(revision, es.StoreRevision)
	}
}

func (ld *leader) takeInput(e storer.Entry) {
	if e.Deleted {
		return
	}
	if id, ok := strings.CutPrefix(e.Key, prefixCancel); ok {
		ld.step(orchestrator.CancelRequested{ID: id})
		return
	}
	if !strings.HasPrefix(e.Key, prefixJob) {
		return
	}
	j, err := orchestrator.DecodeJob(e.Value)
	if err != nil {
		ld.c.log.Error("JobUnreadable", "Key", e.Key, "Cause", err.Error())
		return
	}
	ld.step(orchestrator.JobAccepted{Job: j, Revision: e.Revision})
}

// discover follows the list of workers.
func (ld *leader) discover(ctx context.Context) {
	var listed time.Time
	var revision uint64
	for ctx.Err() == nil {
		if timekeeper.Now().Sub(listed) > relistEvery {
			at, err := ld.listWorkers(ctx)
			if err != nil {
				sleep(ctx, discoveryRetry)
				continue
			}
			listed, revision = timekeeper.Now(), max(revision, at)
		}
		es, err := ld.c.peers.Store.Watch(ctx, ld.c.peers.Keys.Workers, revision, discoveryWait)
		ld.c.storeAnswered(err)
		if err != nil {
			sleep(ctx, discoveryRetry)
			continue
		}
		for _, e := range es.Events {
			ld.takeWorker(e)
		}
		revision = max(revision, es.StoreRevision)
		if es.Compacted {
			listed = time.Time{}
		}
	}
}

func (ld *leader) listWorkers(ctx context.Context) (uint64, error) {
	es, revision, err := ld.list(ctx, ld.c.peers.Keys.Workers)
	if err != nil {
		return 0, err
	}
	var listed orchestrator.WorkersListed
	for _, e := range es {
		w, err := ld.c.peers.Decoder.Worker(e.Key, e.Value)
		if err != nil {
			ld.c.foreignEntry(e.Key, err)
			continue
		}
		listed.Workers = append(listed.Workers, w)
	}
	ld.step(listed)
	return revision, nil
}

func (ld *leader) takeWorker(e storer.Entry) {
	if e.Deleted {
		ld.step(orchestrator.WorkerUnlisted{ID: strings.TrimPrefix(e.Key, ld.c.peers.Keys.Workers)})
		return
	}
	w, err := ld.c.peers.Decoder.Worker(e.Key, e.Value)
	if err != nil {
		ld.c.foreignEntry(e.Key, err)
		return
	}
	ld.step(orchestrator.WorkerListed{Worker: w})
}

// stepAside hands the leadership over to a host with more processors, once.
func (ld *leader) stepAside(host string) {
	ld.mu.Lock()
	first := ld.loaded && !ld.aside && ld.o.KnowsRuns()
	ld.aside = ld.aside || first
	ld.mu.Unlock()
	if !first {
		return
	}
	ld.c.log.Info("StepAside", "Epoch", ld.term.Revision, "For", host, "Reason", "it has more processors")
	go ld.handOver(context.Background(), host)
}

// handOver stops all orders, writes every record and gives the leadership up, to a
// preferred host if one is named.
func (ld *leader) handOver(ctx context.Context, preferred string) {
	ld.step(orchestrator.HandOver{})
	ld.mu.Lock()
	clean := ld.loaded && ld.o.KnowsRuns()
	ld.handing = true
	for _, k := range ld.lookers {
		k.cancel()
	}
	ld.mu.Unlock()
	deadline := timekeeper.Now().Add(handOverTimeout)
	for clean && ld.unwritten() {
		if ld.writeBatch(ctx, true) {
			continue
		}
		clean = timekeeper.Now().Before(deadline) && ctx.Err() == nil
		sleep(ctx, writeRetry)
	}
	ld.vacate(ctx, clean, preferred)
	ld.cancel()
	<-ld.ended
}

// handOverTimeout bounds the writes of a leader that leaves.
const handOverTimeout = 1500 * time.Millisecond

func (ld *leader) unwritten() bool {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	return ld.o.Unwritten()
}

// vacate writes a term that names no leader.
func (ld *leader) vacate(ctx context.Context, clean bool, preferred string) {
	value, err := msgpack.Marshal(&term{HandedOff: clean, Preferred: preferred, Share: ld.term.Share})
	if err != nil {
		ld.c.log.Error("HandOverFailed", "Cause", err.Error())
		return
	}
	revision, err := ld.c.peers.Store.Commit(ctx, storer.Transaction{
		Conditions: []storer.Condition{{Key: keyTerm, Revision: ld.term.Revision}},
		Puts:       []storer.Entry{{Key: keyTerm, Value: value}},
	})
	ld.c.storeAnswered(err)
	if err != nil {
		ld.c.log.Warn("HandOverFailed", "Epoch", ld.term.Revision, "Cause", err.Error())
		return
	}
	ld.c.log.Info("HandedOver", "Epoch", ld.term.Revision, "Clean", clean, "Revision", revision)
}
