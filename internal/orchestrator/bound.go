package orchestrator

import "time"

// LeaseBounds tells a later leader when the leases on workers that don't answer end at the latest, so that it need not wait for
// them anew. From the write of a bound on, no leader extends the worker's leases before a roster without it is in the store.
// Programs that don't know the field don't keep to that, see Settings.BoundsSince.
type LeaseBounds struct {
	Epoch   uint64                // of the leader that wrote them
	Workers map[string]LeaseBound // by worker ID
}

// LeaseBound is what a leader knows of a worker that does not answer. Both times are from the write, because the clocks of two hosts
// have nothing in common.
type LeaseBound struct {
	Left   int64 // until the end of the last lease, in ms
	Silent int64 // since the last answer, in ms; 0: not known
}

// boundRefreshInterval is the pause between two writes of the bounds of workers that stay silent. After the unclean end of a
// leader, its successor waits longer by up to this time.
const boundRefreshInterval = time.Second

// silent reports whether the worker has not answered this leader since a poll failed, or an earlier leader has left a bound of
// its leases and it has not answered this leader yet.
func (w *worker) silent() bool {
	return w.unreachable || w.leasesBounded && w.answeredAt.IsZero()
}

// leaseBounds returns the bounds of the leases on silent workers, nil if there are none. No lease of them is extended before a
// roster without the bound is in the store: whether this one will be is not known until then.
func (o *Orchestrator) leaseBounds(now time.Time) *LeaseBounds {
	var b *LeaseBounds
	for id, w := range o.workers {
		if w.provenIdle || !w.silent() {
			continue
		}
		if b == nil {
			b = &LeaseBounds{Epoch: o.settings.Epoch, Workers: make(map[string]LeaseBound)}
		}
		k := LeaseBound{Left: (max(0, w.leasesEnd.Sub(now)) + time.Millisecond - 1).Milliseconds()} // rounded up
		if !w.heardAt.IsZero() {
			k.Silent = now.Sub(w.heardAt).Milliseconds()
		}
		b.Workers[id] = k
		w.leasesBounded = true
	}
	return b
}

// boundsWritten handles a roster with bounds that is in the store.
func (o *Orchestrator) boundsWritten(b *LeaseBounds) {
	for id, w := range o.workers {
		bounded := false
		if b != nil {
			_, bounded = b.Workers[id]
		}
		if w.leasesBounded && !bounded {
			w.leasesBounded = false
			o.noteChange(w)
		}
	}
}

// inheritBound takes over the bound of a worker's leases from the roster of an earlier leader. All leaders since Settings.BoundsSince have
// kept to the bounds of their predecessors.
func (o *Orchestrator) inheritBound(w *worker, b *LeaseBounds) {
	if b == nil {
		return
	}
	k, bounded := b.Workers[w.ID]
	w.leasesBounded = bounded
	if k.Silent > 0 {
		w.heardAt = o.settings.ElectedAt.Add(-min(time.Duration(k.Silent)*time.Millisecond, maxInheritedWait))
	}
	if !bounded || o.settings.BoundsSince == 0 || b.Epoch < o.settings.BoundsSince {
		return
	}
	if k.Left >= 0 { // the roster was written before the election, so that the time since then may be left out
		w.leasesEnd = o.settings.ElectedAt.Add(time.Duration(k.Left) * time.Millisecond)
	}
}

// processFound handles the first answer of a worker to this leader, by the process with an incarnation. The bound of an earlier leader
// holds for the process that the roster names. Another one may have executed calls for that one, and taken a lease end on the former
// clock for up to the longest lease.
func (o *Orchestrator) processFound(w *worker, incarnation int64) {
	if !w.mayRunInheritedTasks || w.recordedIncarnation == incarnation {
		return
	}
	end := o.settings.ElectedAt.Add(maxLeaseTime(o.settings.LeaderLease))
	if longest := o.now.Add(maxLeaseTime(o.settings.MaxLease)); w.recordedIncarnation != 0 && longest.After(end) {
		end = longest
	}
	if end.After(w.leasesEnd) {
		w.leasesEnd = end
	}
}

// inheritWaits sets since when the long-running tasks on workers that did not answer the earlier leader may have been without a run.
func (o *Orchestrator) inheritWaits() {
	for _, j := range o.jobs {
		for _, oc := range j.occurrences {
			for _, s := range oc.steps {
				for _, t := range s.tasks {
					for _, id := range t.recordedWorkers {
						if w := o.workers[id]; s.LongRunning && w != nil && w.leasesBounded {
							t.waitsSince(w.heardAt)
						}
					}
				}
			}
		}
	}
}

// waitsSince sets since when the task waits if it may have been without a run since an earlier time than is known: the last answer of
// its worker.
func (t *task) waitsSince(heardAt time.Time) {
	if !heardAt.IsZero() && heardAt.Before(t.lastRunEnd) {
		t.waitingSince, t.lastRunEnd = heardAt, heardAt
	}
}

// refreshBounds has the bounds of silent workers written again, so that a later leader learns how much of the wait is over.
func (o *Orchestrator) refreshBounds() {
	if o.now.Sub(o.boundsAt) < boundRefreshInterval {
		return
	}
	for _, w := range o.workers {
		if w.silent() && !w.provenIdle && o.now.Before(w.leasesEnd) {
			o.boundsAt = o.now
			o.rosterVersion++
			return
		}
	}
}
