package coordinator

import (
	"context"
	"errors"
	"strings"
	"time"

	"peridotpitch/internal/orchestrator"
	"peridotpitch/internal/storer"
	"peridotpitch/internal/timekeeper"
)

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
	roster, err := ld.c.store.Get(ctx, keyRoster)
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
	e, err := ld.c.store.Get(ctx, keyLearnt)
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
	es, revision, err := ld.c.store.List(ctx, prefix)
	return es, revision, err
}

// catchUp finds jobs and requests to cancel of which no notice has come.
func (ld *leader) catchUp(ctx context.Context, revision uint64) {
	for ctx.Err() == nil {
		sleep(ctx, catchUpEvery)
		es, err := ld.c.store.Watch(ctx, prefixInput, revision, time.Millisecond)
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
		es, err := ld.c.store.Watch(ctx, ld.c.peers.Keys.Workers, revision, discoveryWait)
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
