package orchestrator

import (
	"fmt"
	"time"
)

// earlyCancel is a request to cancel a job that the leader does not know yet.
type earlyCancel struct {
	at     time.Time // when the leader learned of it
	source CancelSource
}

// cancelJob cancels a job. The request may arrive before the job: notices of hosts overtake each other, and a list of the
// store is in the order of keys. Such a request is kept until the job is added.
func (o *Orchestrator) cancelJob(id string, source CancelSource) {
	j := o.jobs[id]
	if j == nil {
		o.keepEarlyCancel(id, source)
		return
	}
	if j.cancelled || j.state.Final() {
		return
	}
	j.cancelled = true
	o.emit(Note{Event: EventCancelHeard, Job: j.ID, Queue: j.Policy.Queue, Outcome: string(j.state), Reason: string(source), Age: o.now.Sub(j.Submitted),
		Figures: fmt.Sprintf("Runs=%d Inherited=%t", j.runCount, j.inherited)})
	o.finishJob(j, StateCancelled, "cancelled by a caller")
}

// keepEarlyCancel keeps a request to cancel an unknown job, unless the job has finished. A request is only accepted while its
// job is in the store, so the store's rate of writes bounds how many are kept. They are dropped after the retention of
// finished jobs: a job that the store still has then is read together with its request, and a notice of it is long over.
func (o *Orchestrator) keepEarlyCancel(id string, source CancelSource) {
	_, finished := o.finished[id]
	_, kept := o.earlyCancels[id]
	if finished || kept {
		return
	}
	o.earlyCancels[id] = earlyCancel{at: o.now, source: source}
	o.emit(Note{Event: EventCancelEarly, Job: id, Outcome: "kept until the job is known", Reason: string(source), Figures: fmt.Sprintf("Kept=%d", len(o.earlyCancels))})
}

// applyEarlyCancel cancels a job that has just been added if a request to cancel it is kept.
func (o *Orchestrator) applyEarlyCancel(id string) {
	if c, kept := o.earlyCancels[id]; kept {
		delete(o.earlyCancels, id)
		o.cancelJob(id, c.source)
	}
}

// dropEarlyCancels drops the kept requests that are older than the retention of finished jobs.
func (o *Orchestrator) dropEarlyCancels() {
	for id, c := range o.earlyCancels {
		if o.now.Sub(c.at) > o.settings.Retention {
			delete(o.earlyCancels, id)
		}
	}
}
