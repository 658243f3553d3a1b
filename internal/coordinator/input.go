package coordinator

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"peridotpitch/internal/orchestrator"
	"peridotpitch/internal/storer"
	"peridotpitch/internal/timekeeper"
)

// load passes the state that earlier leaders stored to the orchestrator. It returns the
// store's revision at which the inputs were read.
func (ld *leadership) load(ctx context.Context, handedOff bool) (uint64, error) {
	begin := timekeeper.Now()
	var inherited orchestrator.Inherited
	var inputRevision uint64
	for {
		if err := ctx.Err(); err != nil {
			return 0, err
		}
		var err error
		if inherited, inputRevision, err = ld.readInherited(ctx); err == nil {
			// The evacuations are known before the first start, and read last, so that they are recent.
			if err = ld.readEvacuations(ctx); err == nil {
				break
			}
		}
		ld.c.log.Warn("LoadFailed", "Epoch", ld.term.Revision, "Cause", err.Error())
		if next, readErr := ld.c.readTerm(ctx); readErr == nil && next.Revision != ld.term.Revision {
			return 0, errOtherHostElected
		}
		sleep(ctx, loadRetryDelay)
	}
	// A clean hand-over names the workers of all runs, but with an unreadable roster these workers
	// may be unknown.
	inherited.HandedOff = handedOff && !slices.ContainsFunc(inherited.Roster.Workers, func(e orchestrator.RosterEntry) bool { return e.ID == unknownWorkers })
	// This event comes before the first poll of a worker. Otherwise ended runs of jobs that
	// are not loaded would be acknowledged, and their current runs stopped.
	ld.apply(inherited)
	ld.mu.Lock()
	ld.loaded, ld.inheritedHandedOff = true, inherited.HandedOff
	ld.mu.Unlock()
	ld.c.log.Info("Leading", "Epoch", ld.term.Revision, "Jobs", len(inherited.Jobs), "Finished", len(inherited.Finished),
		"Workers", len(inherited.Roster.Workers), "Took", timekeeper.Now().Sub(begin).Round(time.Millisecond).String())
	return inputRevision, nil
}

var errOtherHostElected = errors.New("another host was elected")

// readInherited reads the state that earlier leaders stored. Inputs are read before records,
// so that a job that reaches a final state between the two reads has a record.
func (ld *leadership) readInherited(ctx context.Context) (orchestrator.Inherited, uint64, error) {
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
			ld.c.log.Error("RosterUnreadable", "Key", keyRoster, "Revision", roster.Revision, "Cause", err.Error(),
				"Outcome", "unfinished tasks wait until all leases of earlier leaders have ended")
			inherited.Roster = orchestrator.Roster{Workers: []orchestrator.RosterEntry{{ID: unknownWorkers}}}
		}
	}
	if inherited.Statistics, err = ld.readWorkloadStatistics(ctx); err != nil {
		return inherited, 0, err
	}
	recordByID := make(map[string]*orchestrator.Record)
	unreadable := make(map[string]bool) // by ID of the job
	for _, e := range records {
		r, err := orchestrator.DecodeRecord(e.Value)
		if err == nil && r.ID != strings.TrimPrefix(e.Key, prefixRecord) {
			err = &recordIDError{ID: r.ID}
		}
		if err != nil {
			ld.c.log.Error("RecordUnreadable", "Key", e.Key, "Revision", e.Revision, "Cause", err.Error(), "Outcome", "the job is left out")
			unreadable[strings.TrimPrefix(e.Key, prefixRecord)] = true
			continue
		}
		recordByID[r.ID] = &r
		if r.State.Final() {
			inherited.Finished = append(inherited.Finished, r)
		}
	}
	cancelled := make(map[string]storer.Entry) // requests by ID of the job
	for _, e := range inputs {
		if id, ok := strings.CutPrefix(e.Key, prefixCancel); ok {
			cancelled[id] = e
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
		if unreadable[j.ID] {
			continue // without its progress, tasks that have succeeded would run again
		}
		inherited.Jobs = append(inherited.Jobs, orchestrator.InheritedJob{Job: j, Revision: e.Revision, Record: recordByID[j.ID], Cancelled: cancelled[j.ID].Revision > 0})
		delete(cancelled, j.ID)
	}
	for _, id := range slices.Sorted(maps.Keys(cancelled)) {
		inherited.EarlyCancels = append(inherited.EarlyCancels, cancelRequest(cancelled[id], orchestrator.CancelInherited))
	}
	return inherited, revision, nil
}

// unknownWorkers stands for all workers that an unreadable roster may list. No worker answers under
// this ID, so that inherited tasks wait for the end of its leases.
const unknownWorkers = "(unreadable roster)"

// recordIDError reports a record that names another job than its key.
type recordIDError struct{ ID string }

func (e *recordIDError) Error() string { return "the record is of job " + strconv.Quote(e.ID) }

func (ld *leadership) readWorkloadStatistics(ctx context.Context) (orchestrator.WorkloadStatistics, error) {
	e, err := ld.c.store.Get(ctx, keyWorkloadStatistics)
	if err != nil || e.Revision == 0 {
		return orchestrator.WorkloadStatistics{}, err
	}
	statistics, err := orchestrator.DecodeWorkloadStatistics(e.Value)
	if err != nil {
		// The statistics can be collected again, so an unreadable value does not stop
		// the leader.
		ld.c.log.Error("ExperienceUnreadable", "Cause", err.Error())
		return orchestrator.WorkloadStatistics{}, nil
	}
	return statistics, nil
}

func (ld *leadership) list(ctx context.Context, prefix string) ([]storer.Entry, uint64, error) {
	es, revision, err := ld.c.store.List(ctx, prefix)
	return es, revision, err
}

// pollInputs reads new jobs and cancel requests from the store, in case their notices were
// lost.
func (ld *leadership) pollInputs(ctx context.Context, revision uint64) {
	var position watchPosition
	position.restart(revision, time.Now())
	late := lateInputs{readAt: time.Now()}
	for ctx.Err() == nil {
		sleep(ctx, inputPollInterval)
		sent := time.Now()
		if err := ld.pollInputsOnce(ctx, &position); err != nil {
			ld.noteInputFailure(&late, err)
			continue
		}
		late = lateInputs{readAt: sent}
	}
}

// lateInputs is the state of the reads of the inputs since the last one that succeeded.
type lateInputs struct {
	readAt   time.Time // when that read was sent
	failures int
	loggedAt time.Time
}

const (
	// minLateInputs is the age of the inputs from which a leader counts as behind. A request to cancel must take effect
	// within 3 s, also if its notice was lost.
	minLateInputs = 2 * time.Second
	// lateInputsLogInterval is the shortest time between two lines on late inputs.
	lateInputsLogInterval = 2 * time.Second
)

// noteInputFailure logs a failed read of the inputs if the last one that succeeded is old.
func (ld *leadership) noteInputFailure(late *lateInputs, err error) {
	late.failures++
	ld.c.metrics.inputFailures.Inc()
	age := time.Since(late.readAt)
	if age < minLateInputs || time.Since(late.loggedAt) < lateInputsLogInterval {
		return
	}
	late.loggedAt = time.Now()
	ld.c.log.Warn("InputsLate", "Epoch", ld.term.Revision, "Age", age.Round(time.Millisecond).String(), "Failures", late.failures, "Cause", err.Error(),
		"Outcome", "jobs and requests to cancel are known by notices only")
}

// maxInputWait bounds what the lag of this host adds to the wait for inputs.
const maxInputWait = 2 * time.Second

// pollInputsOnce applies the inputs that the store reports from a position on. Most of them are known
// already, and applying these again has no effect.
func (ld *leadership) pollInputsOnce(ctx context.Context, position *watchPosition) error {
	begin, source := time.Now(), orchestrator.CancelWatched
	// The wait allows for a late leader, which would take the answer for missing. There is an answer at once if there are changes.
	es, err := ld.c.store.Watch(ctx, prefixInput, position.start(), time.Millisecond+min(maxInputWait, time.Duration(ld.lag.Load())))
	if err != nil {
		return err
	}
	if es.Compacted {
		list, at, err := ld.list(ctx, prefixInput)
		if err != nil {
			return err
		}
		ld.c.log.Info("InputsListed", "Inputs", len(list), "After", position.start(), "Revision", at, "Reason", "the store has dropped its history")
		es = storer.Events{Events: list, StoreRevision: at}
		position.restart(at, begin)
		source = orchestrator.CancelListed
	}
	for _, e := range es.Events {
		ld.applyInput(e, source)
	}
	position.advance(es.StoreRevision, begin)
	return nil
}

func (ld *leadership) applyInput(e storer.Entry, source orchestrator.CancelSource) {
	if e.Deleted {
		return
	}
	if strings.HasPrefix(e.Key, prefixCancel) {
		ld.apply(cancelRequest(e, source))
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
	ld.apply(orchestrator.JobAccepted{Job: j, Revision: e.Revision})
}

// decodedWorker is an entry of the list of workers as of a revision. The list is read again at workerRelistInterval, and
// with thousands of workers most of the cost is decoding entries that have not changed.
type decodedWorker struct {
	revision uint64
	entry    orchestrator.WorkerEntry
}

// watchWorkers passes changes of the store's list of workers to the orchestrator.
func (ld *leadership) watchWorkers(ctx context.Context) {
	var listed time.Time
	var revision uint64
	for ctx.Err() == nil {
		if timekeeper.Now().Sub(listed) > workerRelistInterval+time.Duration(max(0, len(ld.decodedWorkers)-relistedWorkers))*relistPausePerWorker {
			at, err := ld.listWorkers(ctx)
			if err != nil {
				sleep(ctx, workerWatchRetryDelay)
				continue
			}
			listed, revision = timekeeper.Now(), max(revision, at)
		}
		sent := timekeeper.Now()
		es, err := ld.c.store.Watch(ctx, ld.c.deps.Keys.Workers, revision, workerWatchTimeout)
		if err != nil {
			sleep(ctx, workerWatchRetryDelay)
			continue
		}
		for _, e := range es.Events {
			if e.Revision > ld.decodedWorkers[e.Key].revision { // else the list has had it, or a later state of the key
				ld.applyWorkerEvent(e)
			}
		}
		if !es.Compacted {
			ld.apply(orchestrator.WorkersWatched{SentAt: sent})
			sleep(ctx, workerWatchPause-timekeeper.Now().Sub(sent))
		}
		revision = max(revision, es.StoreRevision)
		if es.Compacted {
			listed = time.Time{}
		}
	}
}

func (ld *leadership) listWorkers(ctx context.Context) (uint64, error) {
	listed := orchestrator.WorkersListed{SentAt: timekeeper.Now()}
	es, revision, err := ld.list(ctx, ld.c.deps.Keys.Workers)
	if err != nil {
		return 0, err
	}
	decoded := make(map[string]decodedWorker, len(es))
	for _, e := range es {
		d, ok := ld.decodedWorkers[e.Key]
		if !ok || d.revision != e.Revision {
			w, err := ld.c.decodeWorker(e)
			if err != nil {
				ld.c.logInvalidWorkerEntry(e.Key, err)
				continue
			}
			d = decodedWorker{revision: e.Revision, entry: w}
		}
		decoded[e.Key] = d
		listed.Workers = append(listed.Workers, d.entry)
	}
	ld.decodedWorkers = decoded
	ld.apply(listed)
	return revision, nil
}

// applyWorkerEvent passes a changed entry to the orchestrator. An entry that names no worker is as good as none, as in the
// whole list: a worker whose entry another program has overwritten stays usable until it has had time to write it again.
func (ld *leadership) applyWorkerEvent(e storer.Entry) {
	if !e.Deleted {
		w, err := ld.c.decodeWorker(e)
		if err == nil {
			ld.apply(orchestrator.WorkerListed{Worker: w})
			return
		}
		ld.c.logInvalidWorkerEntry(e.Key, err)
	}
	ld.apply(orchestrator.WorkerUnlisted{ID: strings.TrimPrefix(e.Key, ld.c.deps.Keys.Workers)})
}

// decoderPanicError reports a panic of the decoder of workers' entries.
type decoderPanicError struct{ Value any }

func (e *decoderPanicError) Error() string {
	return fmt.Sprintf("the decoder panicked: %.200v", e.Value)
}

// decodeWorker decodes a worker's entry. A panic of the decoder is an error: any program may write entries, and each leader
// in turn would end with the one that reads it.
func (c *Coordinator) decodeWorker(e storer.Entry) (w orchestrator.WorkerEntry, err error) {
	defer func() {
		if p := recover(); p != nil {
			c.metrics.panics.Inc()
			err = &decoderPanicError{p}
		}
	}()
	return c.deps.Decoder.Worker(e.Key, e.Value)
}
