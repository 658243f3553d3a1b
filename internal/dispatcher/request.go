package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"time"

	"peridotpitch/internal/forwarder"
	"peridotpitch/internal/limiter"
	"peridotpitch/internal/messenger"
	"peridotpitch/internal/receiver"
	"peridotpitch/internal/router"
)

// requestState is the state of one request until its final outcome.
type requestState struct {
	request        receiver.Request
	hops           int // number of times the request was forwarded
	limiterRequest limiter.Request
	triedInstances []string // names of the instances of earlier attempts
}

// Handle serves a caller's request and returns its final outcome.
func (d *Dispatcher) Handle(ctx context.Context, q receiver.Request) receiver.Outcome {
	return d.serve(ctx, &requestState{request: q})
}

// serve forwards, admits or refuses the request and returns its final outcome.
func (d *Dispatcher) serve(ctx context.Context, r *requestState) receiver.Outcome {
	q := r.request
	ctx, cancel := context.WithDeadline(ctx, q.Deadline)
	defer cancel()
	r.limiterRequest = limiter.Request{
		ID: q.ID, Service: q.Service, Tenant: q.Tenant,
		Urgent: q.Class == receiver.ClassUrgent, Deadline: q.Deadline,
	}
	if outcome := d.forwardIfBusy(ctx, r); outcome != nil {
		return outcome
	}
	switch v := d.admit(ctx, r).(type) {
	case admitted:
		return d.runAttempts(ctx, r, v)
	case limiter.Drop:
		d.record(r, DecisionRefuse, string(v.Reason), "admission", "not-run", nil)
		return receiver.NotRun{
			Reason:        string(v.Reason),
			QuotaExceeded: v.Reason == limiter.ReasonTenantQuota,
			RetryAfter:    v.RetryAfter,
		}
	case router.NoInstance:
		d.record(r, DecisionRefuse, v.Reason, "routing", "not-run", v.Candidates)
		return receiver.NotRun{Reason: v.Reason, RetryAfter: timeLeft(v.FreeAt)}
	case error:
		d.record(r, DecisionRefuse, v.Error(), "identity", "unknown", nil)
		return receiver.Unknown{Reason: v.Error()}
	default:
		reason := "given up while waiting for a slot: " + context.Cause(ctx).Error()
		d.record(r, DecisionRefuse, reason, "deadline", "not-run", nil)
		return receiver.NotRun{Reason: reason}
	}
}

// timeLeft returns the time from now until t, or 0 if t has passed or is zero (unknown).
func timeLeft(t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return max(0, time.Until(t))
}

// forwardIfBusy forwards the request to another failure domain if this one has no free slot.
// It returns nil if the request must be served in this failure domain.
func (d *Dispatcher) forwardIfBusy(ctx context.Context, r *requestState) receiver.Outcome {
	q := r.request
	if d.settings.Overflow == nil || r.hops > 0 {
		return nil
	}
	d.mutex.Lock()
	busy := d.waitingByService[q.Service] > 0 || d.settings.Router.Free(q.Service, time.Now()) == 0
	d.mutex.Unlock()
	if !busy {
		return nil
	}
	host, found := d.settings.Overflow.Target(q.Service)
	if !found {
		return nil
	}
	m := messenger.ForwardRequest{
		Request: q.ID, Service: q.Service, Path: q.Path, Method: q.Method, Tenant: q.Tenant,
		Class: string(q.Class), Repeatable: q.Repeatable, Timeout: time.Until(q.Deadline),
		Headers: headerMap(q.Headers), Body: q.Body,
	}
	a, sent, err := d.settings.Overflow.Forward(ctx, host, m)
	outcome := forwardOutcome(q.ID, a, sent, err)
	result := "answered"
	switch o := outcome.(type) {
	case receiver.NotRun:
		result = "not-run: " + o.Reason
	case receiver.Unknown:
		result = "unknown: " + o.Reason
	}
	d.record(r, DecisionForward, "no free slot in the failure domain", "entry host "+host, result, nil)
	if _, notRun := outcome.(receiver.NotRun); notRun && ctx.Err() == nil {
		return nil // the request did not run at the other host and can still run here
	}
	return outcome
}

// forwardOutcome returns the outcome of a request that was forwarded to another entry
// host.
func forwardOutcome(id string, a messenger.ForwardAnswer, sent bool, err error) receiver.Outcome {
	switch {
	case err != nil && !sent:
		return receiver.NotRun{Reason: "forwarding failed before sending: " + err.Error()}
	case err != nil:
		return receiver.Unknown{Reason: "forwarding failed: " + err.Error()}
	case a.Request != id:
		return receiver.Unknown{Reason: "the forwarded request was answered with another identity"}
	}
	switch a.Outcome {
	case OutcomeAnswered:
		o := receiver.Answered{Status: a.Status, Body: a.Body}
		for n, v := range a.Headers {
			o.Headers = append(o.Headers, receiver.Header{Name: n, Value: v})
		}
		return o
	case OutcomeNotRun:
		return receiver.NotRun{Reason: a.Reason, RetryAfter: a.RetryAfter}
	default:
		return receiver.Unknown{Reason: a.Reason}
	}
}

// errDuplicate refuses a request while another one with the same ID waits. The waiting
// request may still run, so the outcome for this ID is unknown.
var errDuplicate = errors.New("a request with the same identity is waiting")

// admit queues the request and waits for its admission result. It returns errDuplicate if
// another request with the same ID waits, and nil if the request was canceled or its deadline
// passed.
func (d *Dispatcher) admit(ctx context.Context, r *requestState) any {
	w := &waiter{result: make(chan any, 1), service: r.request.Service}
	now := time.Now()
	d.mutex.Lock()
	if d.waiting[r.request.ID] != nil {
		d.mutex.Unlock()
		return errDuplicate
	}
	d.waiting[r.request.ID] = w
	d.waitingByService[w.service]++
	dropAt := r.request.Deadline
	actions := d.settings.Limiter.Offer(r.limiterRequest, now)
	for _, a := range actions {
		if a, queued := a.(limiter.Queue); queued {
			dropAt = a.DropAt
		}
	}
	d.apply(actions, now)
	d.startWaiting(w.service, now)
	d.mutex.Unlock()

	timer := time.NewTimer(time.Until(dropAt))
	defer timer.Stop()
	for {
		select {
		case v := <-w.result:
			return v
		case <-timer.C:
			d.expireWaiting(w.service)
			// The request is still queued if service times have become shorter since
			// dropAt was computed.
			timer.Reset(startInterval)
		case <-ctx.Done():
			return d.cancelWait(r, w)
		}
	}
}

// expireWaiting drops the waiting requests of a service that can no longer finish before
// their deadline.
func (d *Dispatcher) expireWaiting(service string) {
	now := time.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.apply(d.settings.Limiter.Expire(service, now), now)
}

// cancelWait ends the wait of a canceled request. If the request was started before the
// mutex was taken, its slot is returned unused.
func (d *Dispatcher) cancelWait(r *requestState, w *waiter) any {
	now := time.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.waiting[r.request.ID] == w {
		d.settings.Limiter.Cancel(r.limiterRequest, now)
		d.removeWaiter(r.request.ID, w)
		return nil
	}
	s, started := (<-w.result).(admitted)
	if started {
		d.settings.Router.Done(s.choice, router.Outcome{Kind: router.OutcomeUnused}, now)
		d.settings.Limiter.Release(r.limiterRequest, 0, false, now)
		d.startWaiting(r.request.Service, now)
	}
	return nil
}

// runAttempts sends an admitted request and retries it where that is allowed.
func (d *Dispatcher) runAttempts(ctx context.Context, r *requestState, s admitted) receiver.Outcome {
	cause := "new request"
	if s.waited > 0 {
		cause = fmt.Sprintf("waited %v", s.waited.Round(time.Microsecond))
	}
	choice := s.choice
	// mayHaveRun is true once an attempt has ended with an unknown outcome.
	mayHaveRun := false
	for attempt := 1; ; attempt++ {
		d.record(r, DecisionRoute, cause, choice.Reason, choice.Name, choice.Candidates)
		r.triedInstances = append(r.triedInstances, choice.Name)
		sentAt := time.Now()
		result := d.settings.Sender.Send(ctx, newAttempt(r.request, attempt, choice))
		next := d.finishAttempt(ctx, r, choice, result, attempt, time.Since(sentAt))
		if _, unknown := result.(forwarder.Unknown); unknown {
			mayHaveRun = true
		}
		if next == nil {
			return finalOutcome(result, mayHaveRun)
		}
		choice, cause = *next, "retry"
	}
}

func newAttempt(q receiver.Request, attempt int, c router.ChosenInstance) forwarder.Request {
	headers := make([]forwarder.Header, len(q.Headers))
	for i, h := range q.Headers {
		headers[i] = forwarder.Header(h)
	}
	return forwarder.Request{
		ID: q.ID, Attempt: attempt, Instance: c.Name, Address: c.Address, Connections: c.Connections,
		Method: q.Method, Path: q.Path, Headers: headers, Body: q.Body, Deadline: q.Deadline,
	}
}

// finishAttempt returns the slot of an attempt. It returns the instance for a retry, or
// releases the request at the limiter and returns nil.
func (d *Dispatcher) finishAttempt(ctx context.Context, r *requestState, c router.ChosenInstance, result forwarder.Result, attempt int, took time.Duration) *router.ChosenInstance {
	now := time.Now()
	d.mutex.Lock()
	d.settings.Router.Done(c, routerOutcome(result, took), now)
	var next *router.ChosenInstance
	rule := checkRetry(ctx, r.request, result)
	if rule == nil {
		next, rule = d.pickForRetry(r, attempt, now)
	}
	if next == nil {
		_, notRun := result.(forwarder.NotRun)
		d.settings.Limiter.Release(r.limiterRequest, took, !notRun, now)
	}
	d.startWaiting(r.request.Service, now)
	d.mutex.Unlock()
	switch {
	case next != nil:
		d.record(r, DecisionRetry, resultReason(result), fmt.Sprintf("retry %d, within the retry budget", attempt), next.Name, next.Candidates)
	case !errors.Is(rule, errAnswered):
		d.record(r, DecisionRetry, resultReason(result), rule.Error(), "not retried", nil)
	}
	return next
}

// Reasons for not retrying a request.
var (
	errAnswered      = errors.New("the request was answered")
	errNotRepeatable = errors.New("the request was written at least in part and is not repeatable")
	errRequestEnded  = errors.New("the caller canceled the request or its deadline passed")
	errRetryBudget   = errors.New("the retry budget of the service is exhausted")
)

// checkRetry returns nil if the result of an attempt allows a retry, or the reason why it
// does not.
func checkRetry(ctx context.Context, q receiver.Request, result forwarder.Result) error {
	switch r := result.(type) {
	case forwarder.Answered:
		return errAnswered
	case forwarder.NotRun:
		// A rejected request has been written. It is sent again only if it is repeatable.
		if r.Rejected && !q.Repeatable {
			return errNotRepeatable
		}
	default:
		if !q.Repeatable {
			return errNotRepeatable
		}
	}
	if ctx.Err() != nil {
		return errRequestEnded
	}
	return nil
}

// pickForRetry picks an instance that was not tried yet, if the retry budget allows another
// attempt. The mutex must be held.
func (d *Dispatcher) pickForRetry(r *requestState, attempt int, now time.Time) (*router.ChosenInstance, error) {
	choice := d.settings.Router.Pick(router.Request{
		ID: r.request.ID, Service: r.request.Service, Deadline: r.request.Deadline, Exclude: r.triedInstances,
	}, now)
	c, found := choice.(router.ChosenInstance)
	if !found {
		return nil, errors.New("no other instance available: " + choice.(router.NoInstance).Reason)
	}
	if !d.settings.Limiter.RetryAllowed(r.request.Service, attempt, now) {
		d.settings.Router.Done(c, router.Outcome{Kind: router.OutcomeUnused}, now)
		return nil, errRetryBudget
	}
	return &c, nil
}

func routerOutcome(result forwarder.Result, took time.Duration) router.Outcome {
	switch r := result.(type) {
	case forwarder.Answered:
		return router.Outcome{Kind: router.OutcomeAnswered, Latency: took, SlotsUsed: r.SlotsUsed}
	case forwarder.NotRun:
		return router.Outcome{Kind: router.OutcomeNotRun, Latency: took, SlotsUsed: r.SlotsUsed}
	default:
		return router.Outcome{Kind: router.OutcomeAbandoned, Latency: took, SlotsUsed: -1}
	}
}

func resultReason(result forwarder.Result) string {
	switch r := result.(type) {
	case forwarder.NotRun:
		return r.Reason
	case forwarder.Unknown:
		return r.Reason
	default:
		return "answered"
	}
}

// finalOutcome returns the outcome of a request after its last attempt. If an earlier
// attempt may have run, the outcome is unknown even if the last attempt did not run.
func finalOutcome(result forwarder.Result, mayHaveRun bool) receiver.Outcome {
	switch r := result.(type) {
	case forwarder.Answered:
		o := receiver.Answered{Status: r.Status, Body: r.Body}
		for _, h := range r.Headers {
			o.Headers = append(o.Headers, receiver.Header(h))
		}
		return o
	case forwarder.NotRun:
		if mayHaveRun {
			return receiver.Unknown{Reason: "an earlier attempt may have run; the last one: " + r.Reason}
		}
		return receiver.NotRun{Reason: r.Reason}
	default:
		return receiver.Unknown{Reason: resultReason(result)}
	}
}
