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

// task is one request on its way to its final outcome.
type task struct {
	request receiver.Request
	hops    int // failure domains that it was forwarded through
	limited limiter.Request
	tried   []string // instances
}

// Handle gives a caller's request its final outcome.
func (d *Dispatcher) Handle(ctx context.Context, q receiver.Request) receiver.Outcome {
	return d.serve(ctx, &task{request: q})
}

func (d *Dispatcher) serve(ctx context.Context, t *task) receiver.Outcome {
	q := t.request
	ctx, cancel := context.WithDeadline(ctx, q.Deadline)
	defer cancel()
	t.limited = limiter.Request{
		ID: q.ID, Service: q.Service, Tenant: q.Tenant,
		Urgent: q.Class == receiver.ClassUrgent, Deadline: q.Deadline,
	}
	if outcome := d.overflow(ctx, t); outcome != nil {
		return outcome
	}
	switch v := d.admit(ctx, t).(type) {
	case start:
		return d.attempts(ctx, t, v)
	case limiter.Drop:
		d.record(t, DecisionRefuse, string(v.Reason), "admission", "not-run", nil)
		return receiver.NotRun{
			Reason:     string(v.Reason),
			Quota:      v.Reason == limiter.ReasonTenantQuota,
			RetryAfter: v.RetryAfter,
		}
	case router.None:
		d.record(t, DecisionRefuse, v.Reason, "routing", "not-run", v.Candidates)
		return receiver.NotRun{Reason: v.Reason, RetryAfter: until(v.FreeAt)}
	case error:
		d.record(t, DecisionRefuse, v.Error(), "identity", "unknown", nil)
		return receiver.Unknown{Reason: v.Error()}
	default:
		reason := "given up while waiting for a slot: " + context.Cause(ctx).Error()
		d.record(t, DecisionRefuse, reason, "deadline", "not-run", nil)
		return receiver.NotRun{Reason: reason}
	}
}

// until is the time left until t, at least 0. A zero t is unknown and yields 0.
func until(t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return max(0, time.Until(t))
}

// overflow forwards the request to another failure domain if this one has no free slot.
// Nil means that the request must be served here.
func (d *Dispatcher) overflow(ctx context.Context, t *task) receiver.Outcome {
	q := t.request
	if d.settings.Overflow == nil || t.hops > 0 {
		return nil
	}
	d.mutex.Lock()
	busy := d.services[q.Service] > 0 || d.settings.Router.Free(q.Service, time.Now()) == 0
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
	outcome := forwarded(q.ID, a, sent, err)
	result := "answered"
	switch o := outcome.(type) {
	case receiver.NotRun:
		result = "not-run: " + o.Reason
	case receiver.Unknown:
		result = "unknown: " + o.Reason
	}
	d.record(t, DecisionForward, "no free slot in the failure domain", "entry host "+host, result, nil)
	if _, notRun := outcome.(receiver.NotRun); notRun && ctx.Err() == nil {
		return nil // it did not run there, so it may still run here
	}
	return outcome
}

// forwarded is the outcome of a request at another entry host.
func forwarded(id string, a messenger.ForwardAnswer, sent bool, err error) receiver.Outcome {
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

// errDuplicate refuses a request whose identity is already waiting. The other one may
// run, so the outcome is unknown.
var errDuplicate = errors.New("a request with the same identity is waiting")

// admit waits until the request may start, is dropped, or is given up (nil).
func (d *Dispatcher) admit(ctx context.Context, t *task) any {
	w := &waiter{verdict: make(chan any, 1), service: t.request.Service}
	now := time.Now()
	d.mutex.Lock()
	if d.waiting[t.request.ID] != nil {
		d.mutex.Unlock()
		return errDuplicate
	}
	d.waiting[t.request.ID] = w
	d.services[w.service]++
	dropAt := t.request.Deadline
	actions := d.settings.Limiter.Offer(t.limited, now)
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
		case v := <-w.verdict:
			return v
		case <-timer.C:
			d.expire(w.service)
			// Service times may have become shorter since; then it still waits.
			timer.Reset(startInterval)
		case <-ctx.Done():
			return d.cancel(t, w)
		}
	}
}

func (d *Dispatcher) expire(service string) {
	now := time.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.apply(d.settings.Limiter.Expire(service, now), now)
}

// cancel ends the wait of a given-up request. If it was started at the same time, the
// slot is returned: nothing was sent.
func (d *Dispatcher) cancel(t *task, w *waiter) any {
	now := time.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.waiting[t.request.ID] == w {
		d.settings.Limiter.Cancel(t.limited, now)
		d.forget(t.request.ID, w)
		return nil
	}
	s, started := (<-w.verdict).(start)
	if started {
		d.settings.Router.Done(s.choice, router.Outcome{Kind: router.OutcomeUnused}, now)
		d.settings.Limiter.Release(t.limited, 0, false, now)
		d.startWaiting(t.request.Service, now)
	}
	return nil
}

// attempts sends a started request, and sends it again where that is allowed.
func (d *Dispatcher) attempts(ctx context.Context, t *task, s start) receiver.Outcome {
	cause := "new request"
	if s.waited > 0 {
		cause = fmt.Sprintf("waited %v", s.waited.Round(time.Microsecond))
	}
	choice := s.choice
	// ran is true from the first attempt on that may have run.
	ran := false
	for attempt := 1; ; attempt++ {
		d.record(t, DecisionRoute, cause, choice.Reason, choice.Name, choice.Candidates)
		t.tried = append(t.tried, choice.Name)
		sentAt := time.Now()
		result := d.settings.Sender.Send(ctx, attemptOf(t.request, attempt, choice))
		again := d.settle(ctx, t, choice, result, attempt, time.Since(sentAt))
		if _, unknown := result.(forwarder.Unknown); unknown {
			ran = true
		}
		if again == nil {
			return final(result, ran)
		}
		choice, cause = *again, "retry"
	}
}

func attemptOf(q receiver.Request, attempt int, c router.Instance) forwarder.Request {
	headers := make([]forwarder.Header, len(q.Headers))
	for i, h := range q.Headers {
		headers[i] = forwarder.Header(h)
	}
	return forwarder.Request{
		ID: q.ID, Attempt: attempt, Instance: c.Name, Address: c.Address, Connections: c.Connections,
		Method: q.Method, Path: q.Path, Headers: headers, Body: q.Body, Deadline: q.Deadline,
	}
}

// settle returns the slot of an attempt and either picks the instance of the next one or
// ends the request's admission.
func (d *Dispatcher) settle(ctx context.Context, t *task, c router.Instance, result forwarder.Result, attempt int, took time.Duration) *router.Instance {
	now := time.Now()
	d.mutex.Lock()
	d.settings.Router.Done(c, outcomeOf(result, took), now)
	var again *router.Instance
	rule := mayRepeat(ctx, t.request, result)
	if rule == nil {
		again, rule = d.pickAgain(t, attempt, now)
	}
	if again == nil {
		_, notRun := result.(forwarder.NotRun)
		d.settings.Limiter.Release(t.limited, took, !notRun, now)
	}
	d.startWaiting(t.request.Service, now)
	d.mutex.Unlock()
	switch {
	case again != nil:
		d.record(t, DecisionRetry, reasonOf(result), fmt.Sprintf("retry %d, within budget", attempt), again.Name, again.Candidates)
	case !errors.Is(rule, errAnswered):
		d.record(t, DecisionRetry, reasonOf(result), rule.Error(), "not retried", nil)
	}
	return again
}

// Reasons against another attempt.
var (
	errAnswered      = errors.New("the request was answered")
	errNotRepeatable = errors.New("a byte was written and the request may not be repeated")
	errGivenUp       = errors.New("the caller gave up or the deadline passed")
	errBudget        = errors.New("the service's retry budget is used up")
)

// mayRepeat returns nil if the result allows another attempt.
func mayRepeat(ctx context.Context, q receiver.Request, result forwarder.Result) error {
	switch r := result.(type) {
	case forwarder.Answered:
		return errAnswered
	case forwarder.NotRun:
		// A rejected request was written, which is enough to forbid a repetition.
		if r.Rejected && !q.Repeatable {
			return errNotRepeatable
		}
	default:
		if !q.Repeatable {
			return errNotRepeatable
		}
	}
	if ctx.Err() != nil {
		return errGivenUp
	}
	return nil
}

// pickAgain chooses another instance within the retry budget. The mutex must be held.
func (d *Dispatcher) pickAgain(t *task, attempt int, now time.Time) (*router.Instance, error) {
	choice := d.settings.Router.Pick(router.Request{
		ID: t.request.ID, Service: t.request.Service, Deadline: t.request.Deadline, Exclude: t.tried,
	}, now)
	c, found := choice.(router.Instance)
	if !found {
		return nil, errors.New("no other instance: " + choice.(router.None).Reason)
	}
	if !d.settings.Limiter.RetryAllowed(t.request.Service, attempt, now) {
		d.settings.Router.Done(c, router.Outcome{Kind: router.OutcomeUnused}, now)
		return nil, errBudget
	}
	return &c, nil
}

func outcomeOf(result forwarder.Result, took time.Duration) router.Outcome {
	switch r := result.(type) {
	case forwarder.Answered:
		return router.Outcome{Kind: router.OutcomeAnswered, Latency: took, SlotsUsed: r.SlotsUsed}
	case forwarder.NotRun:
		return router.Outcome{Kind: router.OutcomeNotRun, Latency: took, SlotsUsed: r.SlotsUsed}
	default:
		return router.Outcome{Kind: router.OutcomeAbandoned, Latency: took, SlotsUsed: -1}
	}
}

func reasonOf(result forwarder.Result) string {
	switch r := result.(type) {
	case forwarder.NotRun:
		return r.Reason
	case forwarder.Unknown:
		return r.Reason
	default:
		return "answered"
	}
}

// final is the outcome after the last attempt. A request of which an earlier attempt may
// have run is not "not run", even if the last one was.
func final(result forwarder.Result, ran bool) receiver.Outcome {
	switch r := result.(type) {
	case forwarder.Answered:
		o := receiver.Answered{Status: r.Status, Body: r.Body}
		for _, h := range r.Headers {
			o.Headers = append(o.Headers, receiver.Header(h))
		}
		return o
	case forwarder.NotRun:
		if ran {
			return receiver.Unknown{Reason: "an earlier attempt may have run; the last one: " + r.Reason}
		}
		return receiver.NotRun{Reason: r.Reason}
	default:
		return receiver.Unknown{Reason: reasonOf(result)}
	}
}
