package orchestrator

import (
	"fmt"
	"time"

	"peridotpitch/internal/converter"
)

// noteOtherProcess notes a start that was answered by another process of its worker than the one it was meant for. The clocks of two
// processes have nothing in common, so that the run's lease may end at any time up to MaxLease later. The worker client prevents it as
// long as connections end with their process.
func (o *Orchestrator) noteOtherProcess(w *worker, e StartAnswered) {
	if e.Clock == 0 || !w.hasClock || e.Incarnation != w.incarnation {
		return
	}
	earliest, latest := w.clockBounds(e.SentAt, e.ReceivedAt)
	if e.Clock >= earliest-leaseSlack && e.Clock <= latest+leaseSlack {
		return
	}
	o.emit(Note{Event: EventOtherProcess, Job: jobID(e.Task), Task: e.Task, Run: e.Run, Worker: w.ID, Outcome: string(e.Outcome), Age: o.timeSinceAnswer(w),
		Figures: fmt.Sprintf("Incarnation=%d Clock=%s Earliest=%s Latest=%s LeaseEnd=%s", w.incarnation, e.Clock, earliest, latest, w.leasesEnd.Sub(o.now).Round(time.Millisecond))})
}

// clockBounds returns what the clock of the worker's known process shows at the earliest and at the latest at some time between from
// and to.
func (w *worker) clockBounds(from, to time.Time) (earliest, latest time.Duration) {
	return w.clock + slowest(from.Sub(w.clockAt)), w.clock + fastest(to.Sub(w.answeredPollSentAt))
}

// slowest and fastest return the least and the most by which a worker's clock may advance in a real time d, which may be negative.
func slowest(d time.Duration) time.Duration { return min(d, converter.Scale(d, 1-clockDrift)) }

func fastest(d time.Duration) time.Duration { return max(d, converter.Scale(d, 1-clockDrift)) }

// entryCurrent reports whether a worker's discovery entry is of the process that answers its polls, as far as both are known. A worker
// may start again under its ID with another service, other labels or another capacity, and writes its entry with its next heartbeat
// only: until then, nothing is known of the process that answers. The leader may also read the entry of a process before it has polled it.
func (w *worker) entryCurrent() bool { return w.mayBeOf(w.incarnation) }

// mayBeOf reports whether a process of the worker may have written the entry. Each of them may be unknown.
func (e *WorkerEntry) mayBeOf(incarnation int64) bool {
	return e.WrittenBy == 0 || incarnation == 0 || e.WrittenBy == incarnation
}

// unconfirmedRuns returns the number of runs that no answer to a poll has listed yet.
func (w *worker) unconfirmedRuns() int {
	n := 0
	for _, r := range w.runs {
		if r.listedIn == 0 {
			n++
		}
	}
	return n
}

// stopUnansweredStart stops a run whose worker has restarted, if its start got no answer.
func (o *Orchestrator) stopUnansweredStart(r *run) {
	if r.phase == phaseStarting {
		o.stop(r, "its worker has restarted, and its unanswered start must not be executed later")
	}
}

// raiseFence gives the calls to a worker a higher fence, and reports whether it did: without a confirmation of the leadership since
// the fence was last raised there is none, and fenceDue stays set. A call without an answer may be executed seconds later, also by
// the worker's next process, which knows no fence. Once the worker has answered a poll with the higher one, it refuses all such calls
// from before. Each confirmation is a write of this leader, so that its revision is above earlier fences and below the epochs of later
// leaders.
func (o *Orchestrator) raiseFence(w *worker) bool {
	if o.confirmedRevision <= w.fence {
		return false
	}
	w.fence, w.fenceDue = o.confirmedRevision, false
	return true
}

// fenceRaised reports whether calls to a worker now have a higher fence than a call that the worker refused, so that the refusal says
// nothing of a later leader. Of a worker that this leader has dropped, it reports whether they may have had.
func (o *Orchestrator) fenceRaised(id string, fence uint64) bool {
	highest := o.confirmedRevision
	if w := o.workers[id]; w != nil {
		highest = w.fence
	}
	return fence != 0 && fence < highest
}

// confirmedSinceFound reports whether the leadership has been confirmed since the worker's present process was found. Before that, no
// start may be sent: the fence of a later leader may have ended with the former process, so that nothing on the present one tells a
// leader that it is deposed. A leader that is elected after the confirmation puts its fence on the present process or a later one.
func (o *Orchestrator) confirmedSinceFound(w *worker) bool {
	return o.confirmedAt.After(w.processFoundAt)
}
