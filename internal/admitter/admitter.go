// Package admitter decides whether a host accepts a job, by an estimate of when the job would end. It does no I/O and
// reads no clock.
package admitter

import (
	"fmt"
	"sync"
	"time"

	"peridotpitch/internal/converter"
)

const (
	// valueFactor is the multiple of a job's objective after which its completion has no value to its caller.
	valueFactor = 3
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller is asked to retry. The backlog
	// changes faster than the estimate of a long wait can tell.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// Request describes a submitted job.
type Request struct {
	ID             string
	Queue          string
	Class          Class
	Exempt         string        // why the job is accepted in any case, empty if it is not
	TaskCores      float64       // of the smallest task of the steps that can start at once
	FirstCores     float64       // of all tasks of the steps that can start at once
	Work           float64       // core-seconds of all tasks, by their estimates
	Chain          time.Duration // longest chain of steps, by their estimates
	Stretch        float64       // see Objective
	TargetDuration time.Duration // see Objective
}

// Objective returns the time from submission within which the caller wants the job to end. ratio is that of
// measured run times to estimates.
func (r Request) Objective(ratio float64) time.Duration {
	return converter.Scale(r.Chain, max(1, r.Stretch)*ratio) + r.TargetDuration
}

// Decision is the answer to a request.
type Decision struct {
	Accept     bool
	Reason     string        // in words
	End        time.Duration // expected time from now to the end of the job; 0: not estimated
	Limit      time.Duration // End up to which the job is accepted
	Age        time.Duration // of the outlook; 0: none
	RetryAfter time.Duration // when the job would fit, if it is refused
}

// Figures formats the figures of the decision for a log line.
func (d Decision) Figures() string {
	if d.End == 0 {
		return d.Reason
	}
	return fmt.Sprintf("%s: end %s, limit %s, outlook %s old", d.Reason, d.End.Round(100*time.Millisecond),
		d.Limit.Round(100*time.Millisecond), d.Age.Round(time.Millisecond))
}

// Admitter decides for one host. The zero value has no outlook, and accepts every job. It is safe for concurrent use.
type Admitter struct {
	mu       sync.Mutex
	outlook  Outlook
	at       time.Time        // when the outlook was requested; zero: there is none
	accepted []acceptedJob    // since the outlook was requested, in the order of their times
	history  map[string]*tail // by queue
}

// acceptedJob is work that the outlook does not contain yet.
type acceptedJob struct {
	at    time.Time
	class Class
	cores float64
	work  float64
	chain time.Duration
}

// Update replaces the outlook. at is when it was requested, on this host's clock. Jobs that were accepted before count
// as part of it, which is optimistic: the leader may not have known them yet.
func (a *Admitter) Update(o Outlook, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if at.Before(a.at) {
		return // a late answer
	}
	a.outlook, a.at = o, at
	kept := a.accepted[:0]
	for _, j := range a.accepted {
		if !j.at.Before(at) {
			kept = append(kept, j)
		}
	}
	a.accepted = kept
}

// Decide decides about a job, without recording the decision.
func (a *Admitter) Decide(r Request, now time.Time) Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.Exempt != "" {
		return Decision{Accept: true, Reason: r.Exempt}
	}
	age := now.Sub(a.at)
	if a.at.IsZero() || age >= MaxAge {
		return Decision{Accept: true, Reason: "no recent outlook"}
	}
	e := a.outlook.entry(r.Class)
	if e == nil || e.Rate <= 0 {
		return Decision{Accept: true, Reason: "no outlook for the job's service and priority"}
	}
	d := estimate(r, *a.withAccepted(*e))
	d.Age = age
	if !d.Accept && a.history[r.Queue].exceeds(r.Work) {
		d.Accept, d.Reason = true, "accepted for its size"
	}
	return d
}

// withAccepted adds the work that this host has accepted since the outlook was requested. Without it, many jobs that
// are submitted at once would all be accepted by the same figures.
func (a *Admitter) withAccepted(e Entry) *Entry {
	for _, j := range a.accepted {
		if j.class.Service != e.Class.Service || j.class.BestEffort != e.Class.BestEffort || j.class.Priority > e.Class.Priority {
			continue
		}
		e.Cores += j.cores
		if j.class.Priority < e.Class.Priority {
			e.Work += j.work
		} else {
			e.AddOwn(j.chain, j.work)
		}
	}
	return &e
}

// Record records what became of a request: whether the host has stored the job, or refused it by a decision. Jobs that
// were neither stored nor refused by a decision must not be recorded.
func (a *Admitter) Record(r Request, accepted bool, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.Exempt != "" {
		return
	}
	if accepted {
		// Without outlooks nothing removes the jobs; those before the last MaxAge are of no use.
		if len(a.accepted) > 0 && now.Sub(a.accepted[0].at) > MaxAge {
			a.accepted = a.accepted[1:]
		}
		a.accepted = append(a.accepted, acceptedJob{at: now, class: r.Class, cores: r.FirstCores, work: r.Work, chain: r.Chain})
	}
	if a.history == nil {
		a.history = make(map[string]*tail)
	}
	if a.history[r.Queue] == nil {
		a.history[r.Queue] = &tail{}
	}
	a.history[r.Queue].add(r.Work, !accepted)
}

// estimate decides by the expected end of a job. The end is a lower bound: the work before the job and that of the job
// take the whole rate, or the longest chain of the job runs after the work before it.
func estimate(r Request, e Entry) Decision {
	if e.Free >= e.Cores+r.TaskCores {
		return Decision{Accept: true, Reason: "there are free cores"}
	}
	ratio := e.Ratio
	if ratio <= 0 {
		ratio = 1
	}
	// The leader computes deadlines by measured run times; callers may count by estimates. The later limit holds.
	limit := valueFactor * r.Objective(max(1, ratio))
	chain := converter.Scale(r.Chain, ratio)
	before := e.before(chain)
	end := max(seconds(before/e.Rate)+chain, seconds((before+ratio*r.Work)/e.Rate))
	d := Decision{Accept: end <= limit, Reason: "expected to end in time", End: end, Limit: limit}
	if !d.Accept {
		d.Reason = "not expected to end in time"
		d.RetryAfter = min(max(end-limit, minRetryAfter), maxRetryAfter)
	}
	return d
}

// seconds converts a number of seconds; it is bounded, so that sums do not overflow.
func seconds(s float64) time.Duration { return converter.Seconds(min(s, 1e6)) }
