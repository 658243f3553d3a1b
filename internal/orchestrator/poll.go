package orchestrator

import "time"

// PollRequest holds the parameters of the next poll of a worker.
type PollRequest struct {
	Incarnation  int64         // the worker's process that the lease and the acknowledgement are meant for; 0: not known
	Fence        uint64        // see worker.fence
	LeaseEnd     time.Duration // on the worker's clock; 0: leases are not extended
	AckedThrough int           // ends up to this number are in the store
	ShortWait    bool          // the worker's tail latencies or runs are needed soon, so it waits for changes only briefly
	NoWait       bool          // the answer is needed at once: further ended runs, or that an unreachable worker answers
	Unreachable  bool          // the last poll failed
}

// NextPoll returns the parameters of the next poll of a worker, and false if the worker must
// not be polled any more.
func (o *Orchestrator) NextPoll(id string, now time.Time) (PollRequest, bool) {
	w := o.workers[id]
	if w == nil || o.steppedDown || o.leaving {
		return PollRequest{}, false
	}
	o.now = now
	w.fenceDue = w.fenceDue || w.unreachable
	raised := w.fenceDue && o.raiseFence(w) // the sooner the worker answers, the sooner it refuses calls from before
	r := PollRequest{Incarnation: w.incarnation, Fence: w.fence, AckedThrough: w.ackedThrough, ShortWait: w.fenceDue || w.leasesBounded || w.measured() || len(w.runs) == 0 && !w.runsKnown}
	// An unreachable worker gets no commands before it answers a poll, so it must not hold that poll.
	r.Unreachable = w.unreachable
	r.NoWait = w.unreachable || raised || w.endsMissing()
	// A poll without an answer may still have reached the worker. If each such poll extended
	// the leases of an unreachable worker, its runs would never expire.
	if len(w.runs) > 0 && !w.unreachable {
		r.LeaseEnd, _ = o.grantLease(w)
	}
	if w.unreachable {
		r.AckedThrough = 0 // the worker may have restarted, and its ends are numbered from 1 again
	}
	return r, true
}

// PollNeededSoon reports whether the next poll of a worker must not be put off: what the leader knows of the worker's runs is
// incomplete, or their speed limits follow from measurements.
func (o *Orchestrator) PollNeededSoon(id string) bool {
	w := o.workers[id]
	return w == nil || w.unreachable || w.fenceDue || w.leasesBounded || !w.runsKnown || w.measured() || w.endsMissing()
}

// measured reports whether the speed limits of a worker's runs follow from measurements in its answers to polls.
func (w *worker) measured() bool { return w.load.latencyCritical > 0 && w.load.bestEffort > 0 }

// endsMissing reports whether a worker that answers has ends to list that this leader needs.
func (w *worker) endsMissing() bool { return w.runsKnown && (w.unaccounted > 0 || w.unreached()) }

// Acknowledged reports whether all ends that a worker has listed are in the store.
func (o *Orchestrator) Acknowledged(id string) bool {
	w := o.workers[id]
	return w == nil || len(w.unackedEnds) == 0
}

// grantLease returns the end, on the worker's clock, of a lease that begins now, and updates
// leasesEnd. It returns false if the lease would be shorter than minLease, or the stored roster bounds the worker's leases.
func (o *Orchestrator) grantLease(w *worker) (time.Duration, bool) {
	lease := min(o.settings.Lease, o.confirmedAt.Add(o.settings.LeaderLease).Sub(o.now))
	if !w.hasClock || w.leasesBounded || lease < minLease {
		return 0, false
	}
	w.leaseSentAt = o.now
	leaseEnd := w.clock + o.now.Sub(w.clockAt) + lease
	if end := w.clockAt.Add(maxLeaseTime(leaseEnd - w.clock)); end.After(w.leasesEnd) {
		w.leasesEnd = end
	}
	return leaseEnd.Truncate(time.Millisecond), true
}
