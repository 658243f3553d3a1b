package coordinator

import (
	"context"
	"errors"
	"time"

	"peridotpitch/internal/messenger"
	"peridotpitch/internal/orchestrator"
	"peridotpitch/internal/readmitter"
	"peridotpitch/internal/timekeeper"
)

const (
	// maxForwardedSubmissions bounds the submissions that a host forwards at the same time. Each holds a
	// connection to the leader and its job in memory.
	maxForwardedSubmissions = 64
	// maxServedSubmissions bounds the forwarded submissions that the leader stores at the same time, for all hosts
	// together. Each holds its job in memory and a call to the store, which the leader's own writes need too. Four hosts
	// reach it at their own bounds.
	maxServedSubmissions = 256
	// maxForwardTime bounds the wait for the leader's answer. The leader needs some milliseconds; a leader that
	// needs longer has lost the store or its processor.
	maxForwardTime = time.Second
	// forwardAnswerMargin is the part of the caller's time that is left for this host's own answer.
	forwardAnswerMargin = 50 * time.Millisecond
	// maxLeaderPingAge is the age up to which the leader's answer to a ping is relied on. It allows for one
	// yieldingPingInterval and the answer. Where the leader asks for a longer interval, that one replaces it.
	maxLeaderPingAge = yieldingPingInterval + pingAnswerTime
	// pingAnswerTime is the time within which the answer to a ping is expected.
	pingAnswerTime = 100 * time.Millisecond
	// maxForwardStoreSilence is how long the store may not have served the leader. An idle leader writes each
	// headWriteInterval.
	maxForwardStoreSilence = 500 * time.Millisecond
)

// submitRequest forwards a caller's submission to the leader. The job has its time of submission and the policy by the
// configuration of the sending host.
type submitRequest struct {
	Host    string // the sending host
	Job     orchestrator.Job
	Timeout time.Duration // for which the sending host waits
}

type submitAnswer struct {
	Outcome    Outcome
	Reason     string
	RetryAfter time.Duration
}

// leaderPing is an answer of the leader to a ping.
type leaderPing struct {
	answer pingAnswer
	term   term
	sent   time.Time // timekeeper time at which the ping was sent
}

// submitOrForward stores a job, or has the leader store it if the store does not serve this host. It also returns
// the name of the host to which the job was sent, or an empty string.
func (c *Coordinator) submitOrForward(ctx context.Context, j orchestrator.Job) (Answer, string) {
	if err := j.Validate(); err != nil {
		return Answer{Outcome: OutcomeInvalid, Reason: err.Error()}, ""
	}
	j.Submitted = time.Now().Round(0)
	if c.needsForwarding() {
		if t, obstacle := c.forwardingLeader(); obstacle == "" {
			return c.forward(ctx, t, j)
		}
	}
	a := c.submit(ctx, j)
	if a.Outcome != OutcomeUnavailable && a.Outcome != OutcomeUndecided || !c.needsForwarding() || !forwardTimeLeft(ctx) {
		return a, ""
	}
	t, obstacle := c.forwardingLeader()
	if obstacle != "" {
		a.Reason += "; not forwarded: " + obstacle
		return a, ""
	}
	// The store has failed during this submission.
	f, host := c.forward(ctx, t, j)
	if a.Outcome == OutcomeUndecided && f.Outcome != OutcomeDone {
		// This host's own transaction may still be executed, whatever the leader says.
		return Answer{Outcome: OutcomeUndecided, Reason: a.Reason + "; leader: " + f.Reason}, host
	}
	return f, host
}

// needsForwarding reports whether the store does not serve this host and the settings allow for forwarding. While nothing
// else happens, a host's only call is a watch of a second, so storeProbeSilence and not a shorter time without a served
// call counts as a failure.
func (c *Coordinator) needsForwarding() bool {
	return c.settings.Forwarding && c.currentLeadership() == nil &&
		(c.storeUnavailable.Load() || c.timeSinceStoreSuccess() >= storeProbeSilence)
}

// answeringHost returns the last answer to a ping of the leader's host, or what speaks against relying on it. The answer may be
// maxAge old, or longer if the leader asks for fewer pings.
func (c *Coordinator) answeringHost(maxAge time.Duration) (p *leaderPing, obstacle string) {
	p = c.lastLeaderPing.Load()
	if p == nil {
		return nil, "the leader has answered no ping"
	}
	if age := timekeeper.Now().Sub(p.sent); age >= max(maxAge, time.Duration(c.leaderPingInterval.Load())+pingAnswerTime) {
		return nil, "the leader's last answer to a ping is " + age.Round(time.Millisecond).String() + " old"
	}
	return p, ""
}

// forwardingLeader returns the term of the leader that can store submissions, or what speaks against it.
func (c *Coordinator) forwardingLeader() (t term, obstacle string) {
	p, obstacle := c.answeringHost(maxLeaderPingAge)
	if obstacle != "" {
		return term{}, obstacle
	}
	switch a := p.answer; {
	case a.Process != p.term.Process || !a.Leading:
		return term{}, "the host of the last leader does not lead"
	case !a.Loaded:
		return term{}, "the leader has not loaded its state"
	case a.StoreSilence >= maxForwardStoreSilence:
		return term{}, "the store has not served the leader for " + a.StoreSilence.Round(time.Millisecond).String()
	}
	return p.term, ""
}

// forwardTimeLeft reports whether the caller's time allows for forwarding.
func forwardTimeLeft(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return !ok || time.Until(deadline) > forwardAnswerMargin
}

// forward sends a submission to the leader of term t and returns its answer and the leader's host. The host is empty if
// nothing was sent.
func (c *Coordinator) forward(ctx context.Context, t term, j orchestrator.Job) (Answer, string) {
	select {
	case c.forwardSlots <- struct{}{}:
		defer func() { <-c.forwardSlots }()
	default:
		c.metrics.forwardOutcomes.WithLabelValues("busy").Inc()
		return c.storeSilentAnswer(j, "this host already forwards as many submissions as it may"), ""
	}
	timeout := maxForwardTime
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline)-forwardAnswerMargin)
	}
	var s submitAnswer
	err := c.client(t.address()).Invoke(ctx, timeout, methodSubmit, &submitRequest{Host: c.settings.Name, Job: j, Timeout: timeout}, &s)
	var notSent *messenger.NotSentError
	switch {
	case errors.As(err, &notSent):
		c.metrics.forwardOutcomes.WithLabelValues("not sent").Inc()
		return c.storeSilentAnswer(j, err.Error()), ""
	case err != nil:
		// Also after an error that the leader has reported: a panic may have ended the call after the write.
		s = submitAnswer{Outcome: OutcomeUndecided, Reason: err.Error()}
	}
	c.recentForwards.add(timekeeper.Now())
	a := Answer{Outcome: s.Outcome, Reason: s.Reason}
	switch s.Outcome {
	case OutcomeDone, OutcomeInvalid, OutcomeUndecided:
	case OutcomeUnavailable:
		a.RetryAfter = max(s.RetryAfter, defaultRetryAfter)
	default: // of another version
		a = Answer{Outcome: OutcomeUndecided, Reason: "the leader gave an unknown outcome: " + string(s.Outcome)}
	}
	c.metrics.forwardOutcomes.WithLabelValues(string(a.Outcome)).Inc()
	return a, t.Host
}

// storeSilentAnswer refuses a submission that was not sent anywhere, because the store does not serve this host.
func (c *Coordinator) storeSilentAnswer(j orchestrator.Job, reason string) Answer {
	return Answer{Outcome: OutcomeUnavailable,
		RetryAfter: c.retryAfter(readmitter.Refusal{Cause: readmitter.CauseOutage, ID: j.ID, Priority: j.Policy.Priority}),
		Reason:     "the store has served no call for " + c.timeSinceStoreSuccess().Round(time.Millisecond).String() + "; " + reason}
}

// serveSubmit stores a job that another host has forwarded.
func (c *Coordinator) serveSubmit(ctx context.Context, r submitRequest) (submitAnswer, error) {
	begin := time.Now()
	ctx, cancel := context.WithTimeout(ctx, min(r.Timeout, maxForwardTime))
	defer cancel()
	a := c.submitForwarded(ctx, r.Job)
	c.log.Info("SubmitForwarded", "Job", r.Job.ID, "From", r.Host, "Outcome", string(a.Outcome), "Reason", a.Reason,
		"Took", time.Since(begin).Round(time.Millisecond).String())
	return submitAnswer{Outcome: a.Outcome, Reason: a.Reason, RetryAfter: a.RetryAfter}, nil
}

// submitForwarded stores a job if this host leads, has loaded its state and is served by the store. It never forwards.
func (c *Coordinator) submitForwarded(ctx context.Context, j orchestrator.Job) Answer {
	if ld := c.currentLeadership(); !c.settings.Forwarding || ld == nil || ld.pending() == nil {
		return Answer{Outcome: OutcomeUnavailable, Reason: "the host that was asked does not lead, or has not loaded its state",
			RetryAfter: c.retryAfter(readmitter.Refusal{Cause: readmitter.CauseLeaderChange, ID: j.ID, Priority: j.Policy.Priority})}
	}
	if c.storeUnavailable.Load() {
		return c.storeSilentAnswer(j, "the leader has lost the store")
	}
	select {
	case c.servedSlots <- struct{}{}:
		defer func() { <-c.servedSlots }()
	default:
		// CauseOutage, because hundreds of callers are refused together: urgent ones return first.
		return Answer{Outcome: OutcomeUnavailable, Reason: "the leader already stores as many forwarded submissions as it may",
			RetryAfter: c.retryAfter(readmitter.Refusal{Cause: readmitter.CauseOutage, ID: j.ID, Priority: j.Policy.Priority})}
	}
	if !c.settings.Admission {
		return c.submit(ctx, j)
	}
	// The caller may repeat the submission at this host, which must know then that the job may have been stored.
	c.admission.begin(j.ID, timekeeper.Now())
	a := c.submit(ctx, j)
	c.admission.end(j.ID, a.Outcome)
	return a
}
