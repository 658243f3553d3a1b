package coordinator

import (
	"context"
	"sync"
	"time"

	"peridotpitch/internal/admitter"
	"peridotpitch/internal/orchestrator"
	"peridotpitch/internal/timekeeper"
)

const (
	// outlookCacheTime is how long an outlook is kept. Hosts ping the leader that often, and one goes through all runs
	// and unfinished tasks.
	outlookCacheTime = 250 * time.Millisecond
	// unansweredRetention is how long a submission without a known outcome is remembered. Callers repeat a request
	// up to 4 times, 3 s each.
	unansweredRetention = time.Minute
	// maxUnanswered bounds the remembered submissions. Beyond it none is refused.
	maxUnanswered = 8192
)

// Outcomes of the decisions in the metrics.
const (
	admissionAccepted  = "accepted"
	admissionRefused   = "refused"
	admissionRepeated  = "repeated"  // the job would be refused, but may have been accepted before
	admissionUnchecked = "unchecked" // the job would be refused, but the store has not said whether it has the job
)

// admission decides which submissions this host accepts.
type admission struct {
	admitter admitter.Admitter

	mu         sync.Mutex
	unanswered map[string]unansweredSubmissions // by ID of the job
}

// unansweredSubmissions are the submissions of one job whose transactions may still be executed.
type unansweredSubmissions struct {
	count int
	at    time.Time // when the last one came
}

// begin remembers a submission whose transaction may be sent from now on.
func (a *admission) begin(id string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.unanswered == nil {
		a.unanswered = make(map[string]unansweredSubmissions)
	}
	if len(a.unanswered) >= maxUnanswered {
		for k, u := range a.unanswered {
			if now.Sub(u.at) > unansweredRetention {
				delete(a.unanswered, k)
			}
		}
	}
	u, known := a.unanswered[id]
	if known || len(a.unanswered) < maxUnanswered {
		a.unanswered[id] = unansweredSubmissions{count: u.count + 1, at: now}
	}
}

// end forgets a submission if the outcome of its transaction is known. Other submissions of the same job, whose outcome
// is unknown, remain: a transaction that was not executed says nothing about theirs. Once one has stored the job, the
// store answers for all.
func (a *admission) end(id string, o Outcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	u, known := a.unanswered[id]
	if !known || o == OutcomeUndecided {
		return
	}
	u.count--
	if o == OutcomeDone || u.count <= 0 {
		delete(a.unanswered, id)
		return
	}
	a.unanswered[id] = u
}

// mayBeStored reports whether a transaction of this host for the job may still be executed.
func (a *admission) mayBeStored(id string, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	u, ok := a.unanswered[id]
	return ok && now.Sub(u.at) <= unansweredRetention || len(a.unanswered) >= maxUnanswered
}

// admitAndSubmit refuses a job that is not expected to end in time, and submits the others. A refusal says that the
// job never runs. A caller that got no answer repeats the submission at any host, so the first one may have been
// stored: a job is refused only if no transaction of this host for it is undecided and the store has neither the job
// nor a record of it. When that can't be known, the job is submitted, because a repeated submission has no further
// effect. What remains is a transaction of another host that the store executes after the reads.
func (c *Coordinator) admitAndSubmit(ctx context.Context, j orchestrator.Job) (Answer, string) {
	if !c.settings.Admission || j.Validate() != nil {
		return c.submitOrForward(ctx, j)
	}
	r, now := j.AdmissionRequest(), timekeeper.Now()
	if ld := c.currentLeadership(); ld != nil {
		o, at := ld.outlook()
		if at.IsZero() {
			at = now // the outlook of an earlier leader does not count any more
		}
		c.admission.admitter.Update(o, at)
	}
	d := c.admission.admitter.Decide(r, now)
	outcome := admissionAccepted
	if !d.Accept {
		outcome = c.checkRefusal(ctx, j.ID, now)
	}
	c.metrics.admissions.WithLabelValues(j.Policy.Queue, outcome).Inc()
	if outcome == admissionRefused {
		c.admission.admitter.Record(r, false, now)
		return Answer{Outcome: OutcomeOverloaded, Reason: d.Figures(), RetryAfter: d.RetryAfter}, ""
	}
	c.admission.begin(j.ID, now)
	a, host := c.submitOrForward(ctx, j)
	c.admission.end(j.ID, a.Outcome)
	if a.Outcome == OutcomeDone && a.Reason == "" {
		c.admission.admitter.Record(r, true, now)
		a.Reason = d.Figures()
	}
	return a, host
}

// checkRefusal returns whether a job may be refused, or why not.
func (c *Coordinator) checkRefusal(ctx context.Context, id string, now time.Time) string {
	if c.admission.mayBeStored(id, now) {
		return admissionRepeated
	}
	if c.storeUnavailable.Load() {
		return admissionUnchecked // the reads would only keep the caller waiting
	}
	// The write of a final record deletes the job, so the job is read first.
	for _, key := range []string{prefixJob + id, prefixRecord + id} {
		e, err := c.store.Get(ctx, key)
		switch {
		case err != nil:
			return admissionUnchecked
		case e.Revision > 0:
			return admissionRepeated
		}
	}
	return admissionRefused
}

// receiveOutlook keeps the outlook in the answer to a ping. sent is when the ping was sent. A leader that gives none
// has been elected just now, or is of another version: the outlook of an earlier leader does not count any more.
func (c *Coordinator) receiveOutlook(a pingAnswer, sent time.Time) {
	if !c.settings.Admission || !a.Leading {
		return
	}
	var o admitter.Outlook
	if len(a.Outlook) > 0 {
		var err error
		if o, err = admitter.Decode(a.Outlook); err != nil {
			c.log.Debug("OutlookUnreadable", "Cause", err.Error())
		}
	}
	c.admission.admitter.Update(o, sent)
}

// outlook returns the leader's outlook and when it was measured, the zero time if there is none.
func (ld *leadership) outlook() (admitter.Outlook, time.Time) {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	return ld.lockedOutlook()
}

// lockedOutlook is outlook for callers that hold ld.mu.
func (ld *leadership) lockedOutlook() (admitter.Outlook, time.Time) {
	if !ld.c.settings.Admission || !ld.loaded || ld.handingOver || ld.failed || ld.deposed.Load() || ld.timeSinceConfirmedWrite() > maxPendingAge {
		return admitter.Outlook{}, time.Time{}
	}
	if now := timekeeper.Now(); now.Sub(ld.outlookMeasuredAt) >= outlookCacheTime {
		ld.outlookMeasuredAt, ld.outlookKnown = now, false
		ld.measureOutlook(now)
	}
	if !ld.outlookKnown {
		return admitter.Outlook{}, time.Time{}
	}
	return ld.lastOutlook, ld.outlookMeasuredAt
}

// measureOutlook sets the outlook. ld.mu must be held.
func (ld *leadership) measureOutlook(now time.Time) {
	defer ld.recoverPanic(nil)
	ld.lastOutlook, ld.outlookKnown = ld.orch.Outlook(now)
}

// encodedOutlook returns the leader's outlook for other hosts, nil if there is none.
func (ld *leadership) encodedOutlook() []byte {
	o, at := ld.outlook()
	if at.IsZero() {
		return nil
	}
	b, err := o.Encode()
	if err != nil {
		ld.c.log.Debug("OutlookNotEncoded", "Cause", err.Error())
		return nil
	}
	return b
}
