package orchestrator

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Batch is a group of changes that are written to the store in one transaction.
type Batch struct {
	Entries       []BatchEntry
	Roster        *Roster             // nil: unchanged
	Statistics    *WorkloadStatistics // nil: not due
	More          bool                // further changes are due and did not fit
	rosterVersion uint64
	enrolled      []string // workers that Roster lists as not idle
}

// BatchEntry is the write or the deletion of one job's record.
type BatchEntry struct {
	Record  Record
	Delete  bool // the record is deleted, after its retention
	version uint64
}

// batchDelay is how long changes that no caller waits for are collected before they are
// written. Ends of runs are acknowledged only after the write; until then each poll lists
// them again.
const batchDelay = 80 * time.Millisecond

// rosterPausePerWorker is the pause between two batches with the roster, for each worker in it. While a new leader reaches
// its workers, the roster changes all the time, and writing that of thousands of workers takes milliseconds of processor
// time.
const rosterPausePerWorker = 250 * time.Microsecond

// statisticsInterval is the pause between two writes of the leader's workload statistics.
const statisticsInterval = 2 * time.Second

// finalRecordKeys is the number of keys that the write of a final record changes: the record, the
// job and the request to cancel it.
const finalRecordKeys = 3

// reservedKeyShare is the share of a batch's keys that final records leave to other changes. Ends of runs are acknowledged
// once they are stored; without a share, a leader with many final records would never acknowledge the ends of other jobs.
const reservedKeyShare = 1.0 / 3

// NextBatch returns the first of NextBatches.
func (o *Orchestrator) NextBatch(limit int, all bool, now time.Time) Batch {
	return o.NextBatches(1, limit, all, now)[0]
}

// NextBatches returns the most urgent changes in one batch to count batches, each of which changes at most limit keys of
// records and jobs. No job is in two of them, so that they can be written at the same time; roster, statistics
// and deletions are in the first one. all includes changes that are younger than batchDelay. Final records go first, because
// callers wait for them, those of urgent queues before others, but leave reservedKeyShare to other changes, of which the
// oldest go first.
func (o *Orchestrator) NextBatches(count, limit int, all bool, now time.Time) []Batch {
	final, other := o.dueChanges(all, now)
	var batches []Batch
	for len(batches) == 0 || len(batches) < count && len(final)+len(other) > 0 {
		var b Batch
		left := limit
		take := func(jobs []*job, keys, reserved int) []*job {
			for len(jobs) > 0 && left-reserved >= keys {
				b.Entries = append(b.Entries, BatchEntry{Record: jobs[0].record(), version: jobs[0].version})
				left -= keys
				jobs = jobs[1:]
			}
			return jobs
		}
		final = take(final, finalRecordKeys, min(len(other), int(reservedKeyShare*float64(limit))))
		other = take(other, 1, 0)
		final = take(final, finalRecordKeys, 0)
		if len(batches) == 0 {
			o.addSharedChanges(&b, left, all, now)
		}
		batches = append(batches, b)
	}
	batches[len(batches)-1].More = len(final)+len(other) > 0
	return batches
}

// dueChanges returns the jobs whose changes are to be written now, those with a final record apart from the others, each in
// the order in which they are written.
func (o *Orchestrator) dueChanges(all bool, now time.Time) (final, other []*job) {
	for _, j := range o.dirty {
		switch {
		case j.state.Final():
			final = append(final, j)
		case all || now.Sub(j.changedAt) >= batchDelay:
			other = append(other, j)
		}
	}
	byAge := func(a, b *job) int { return cmp.Or(a.changedAt.Compare(b.changedAt), cmp.Compare(a.ID, b.ID)) }
	slices.SortFunc(final, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.Policy.Priority, b.Policy.Priority), byAge(a, b))
	})
	slices.SortFunc(other, byAge)
	return final, other
}

// addSharedChanges adds the changes that are not of one job's progress to a batch with left keys.
func (o *Orchestrator) addSharedChanges(b *Batch, left int, all bool, now time.Time) {
	for _, id := range o.expired[:min(len(o.expired), left)] {
		b.Entries = append(b.Entries, BatchEntry{Record: Record{ID: id}, Delete: true})
	}
	if o.rosterWritten < o.rosterVersion && (all || now.Sub(o.rosterBatchAt) >= time.Duration(len(o.workers))*rosterPausePerWorker) {
		o.rosterBatchAt = now
		b.Roster, b.rosterVersion = &Roster{Incarnations: make(map[string]int64)}, o.rosterVersion
		for _, id := range slices.Sorted(maps.Keys(o.workers)) {
			w := o.workers[id]
			b.Roster.Workers = append(b.Roster.Workers, RosterEntry{ID: id, Service: w.Service, Address: w.Address.String(), Idle: w.provenIdle})
			if i := cmp.Or(w.incarnation, w.recordedIncarnation); i != 0 {
				b.Roster.Incarnations[id] = i
			}
			if !w.provenIdle {
				b.enrolled = append(b.enrolled, id)
			}
		}
		b.Roster.Bounds, b.Roster.Lapsed = o.leaseBounds(now), o.lapsedWorkers(now)
	}
	if now.Sub(o.statisticsAt) >= statisticsInterval {
		o.statisticsAt = now
		b.Statistics = o.workloadStatistics()
	}
}

// HasUnwrittenChanges reports whether records or the roster have changes that are not in the
// store yet.
func (o *Orchestrator) HasUnwrittenChanges() bool {
	return len(o.dirty) > 0 || len(o.expired) > 0 || o.rosterWritten < o.rosterVersion
}

// batchWritten handles a batch that has been written to the store.
func (o *Orchestrator) batchWritten(b Batch) {
	for _, e := range b.Entries {
		if e.Delete {
			o.expired = slices.DeleteFunc(o.expired, func(id string) bool { return id == e.Record.ID })
		}
		j := o.jobs[e.Record.ID]
		if e.Delete || j == nil {
			continue
		}
		j.writtenVersion = max(j.writtenVersion, e.version)
		if j.writtenVersion < j.version {
			j.changedAt = o.now
			continue
		}
		delete(o.dirty, j.ID)
		if j.state.Final() {
			o.finished[j.ID] = finishedJob{queue: j.Policy.Queue, state: j.state, at: j.finishedAt}
			o.removeFinishedJob(j)
		}
	}
	if b.Roster != nil {
		o.rosterWritten = max(o.rosterWritten, b.rosterVersion)
		o.boundsWritten(b.Roster.Bounds)
		for _, id := range b.enrolled {
			if w := o.workers[id]; w != nil && !w.provenIdle {
				w.rostered, w.rosterPending = true, false
				o.noteChange(w)
			}
		}
		o.passDue = true
	}
	for _, w := range o.workers {
		o.advanceAcks(w)
	}
}
