package orchestrator

import (
	"fmt"
	"time"
)

// earlyCancel is a request to cancel a job that the leader does not know yet.
type earlyCancel struct {
	CancelRequested
	at time.Time // when it was stored, or when the leader learned of it if that is not known
}

// cancelJob cancels a job. The request may arrive before the job: notices of hosts overtake each other, a list of the
// store is in the order of keys, and the write of a submission may be executed seconds after the request to cancel. Such
// a request is kept until the job is added.
func (o *Orchestrator) cancelJob(e CancelRequested) {
	j := o.jobs[e.ID]
	if j == nil {
		o.keepEarlyCancel(e)
		return
	}
	if j.cancelled || j.state.Final() {
		return
	}
	j.cancelled = true
	o.emit(Note{Event: EventCancelHeard, Job: j.ID, Queue: j.Policy.Queue, Outcome: string(j.state), Reason: string(e.Source), Age: o.now.Sub(j.Submitted),
		Figures: fmt.Sprintf("Runs=%d Inherited=%t", j.runCount, j.inherited)})
	o.finishJob(j, StateCancelled, "cancelled by a caller")
}

// keepEarlyCancel keeps a request to cancel an unknown job, unless the job has finished. Hosts limit the rate at which they store
// such requests, which bounds how many are kept. They are dropped after the retention of finished jobs, when the write of a submission
// that was under way is long over.
func (o *Orchestrator) keepEarlyCancel(e CancelRequested) {
	if _, finished := o.finished[e.ID]; finished {
		return
	}
	c, kept := o.earlyCancels[e.ID]
	if kept && e.Revision > 0 && e.Revision <= c.Revision {
		return // known
	}
	e.Revision = max(e.Revision, c.Revision)
	at := o.now
	if !e.StoredAt.IsZero() && e.StoredAt.Before(at) {
		at = e.StoredAt // so that the retention does not begin anew with each leader
	}
	o.earlyCancels[e.ID] = earlyCancel{CancelRequested: e, at: at}
	if !kept && e.Source != CancelInherited { // inherit notes all of these in one line
		o.emit(Note{Event: EventCancelEarly, Job: e.ID, Outcome: "kept until the job is known", Reason: string(e.Source), Figures: fmt.Sprintf("Kept=%d", len(o.earlyCancels))})
	}
}

// applyEarlyCancel cancels a job that has just been added if a request to cancel it is kept.
func (o *Orchestrator) applyEarlyCancel(id string) {
	if c, kept := o.earlyCancels[id]; kept {
		delete(o.earlyCancels, id)
		o.cancelJob(c.CancelRequested)
	}
}

// dropEarlyCancels drops the kept requests that are older than the retention of finished jobs, and has them removed from the store.
// A request of which only a notice is known stays there for the next leader.
func (o *Orchestrator) dropEarlyCancels() {
	for id, c := range o.earlyCancels {
		if o.now.Sub(c.at) <= o.settings.Retention {
			continue
		}
		delete(o.earlyCancels, id)
		if c.Revision > 0 {
			o.emit(RemoveCancel{ID: id, Revision: c.Revision})
		}
	}
}
