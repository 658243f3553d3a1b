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

// NextBatch returns the most urgent changes, which change at most limit keys of records and jobs.
// all includes changes that are
// younger than batchDelay. Final records go first, because callers wait for them, and then the
// others by the age of their changes.
func (o *Orchestrator) NextBatch(limit int, all bool, now time.Time) Batch {
	var b Batch
	due := make([]*job, 0, len(o.dirty))
	for _, j := range o.dirty {
		if j.state.Final() || all || now.Sub(j.changedAt) >= batchDelay {
			due = append(due, j)
		}
	}
	slices.SortFunc(due, func(a, b *job) int {
		if a.state.Final() != b.state.Final() {
			if a.state.Final() {
				return -1
			}
			return 1
		}
		return cmp.Or(a.changedAt.Compare(b.changedAt), cmp.Compare(a.ID, b.ID))
	})
	for _, j := range due {
		keys := 1
		if j.state.Final() {
			keys = finalRecordKeys
		}
		if keys > limit {
			b.More = true
			break
		}
		limit -= keys
		b.Entries = append(b.Entries, BatchEntry{Record: j.record(), version: j.version})
	}
	for _, id := range o.expired[:min(len(o.expired), limit)] {
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
	}
	if now.Sub(o.statisticsAt) >= statisticsInterval {
		o.statisticsAt = now
		b.Statistics = o.workloadStatistics()
	}
	return b
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
		for _, id := range b.enrolled {
			if w := o.workers[id]; w != nil && !w.provenIdle {
				w.rostered, w.rosterPending = true, false
			}
		}
		o.passDue = true
	}
	for _, w := range o.workers {
		o.advanceAcks(w)
	}
}
