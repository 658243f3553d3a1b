package dispatcher

import (
	"context"
	"time"

	"peridotpitch/internal/configurator"
	"peridotpitch/internal/messenger"
	"peridotpitch/internal/receiver"
	"peridotpitch/internal/router"
)

// Values of messenger.ForwardAnswer.Outcome.
const (
	OutcomeAnswered = "answered"
	OutcomeNotRun   = "not-run"
	OutcomeUnknown  = "unknown"
)

// Forwarded serves a request that came from an entry host of another failure domain. It
// is never forwarded again.
func (d *Dispatcher) Forwarded(ctx context.Context, m messenger.ForwardRequest) messenger.ForwardAnswer {
	timeout := min(m.Timeout, configurator.DefaultMaxRequestTimeout)
	q := receiver.Request{
		ID: m.Request, Service: m.Service, Method: m.Method, Path: m.Path, Tenant: m.Tenant,
		Class: receiver.Class(m.Class), Repeatable: m.Repeatable,
		Deadline: time.Now().Add(timeout), Body: m.Body,
	}
	for n, v := range m.Headers {
		q.Headers = append(q.Headers, receiver.Header{Name: n, Value: v})
	}
	a := messenger.ForwardAnswer{Request: m.Request}
	if !d.arrives(m.Request, q.Deadline) {
		a.Outcome, a.Reason = OutcomeUnknown, "a request with this identity was forwarded here before"
		return a
	}
	switch o := d.serve(ctx, &task{request: q, hops: 1}).(type) {
	case receiver.Answered:
		a.Outcome, a.Status, a.Body = OutcomeAnswered, o.Status, o.Body
		a.Headers = headerMap(o.Headers)
	case receiver.NotRun:
		a.Outcome, a.Reason, a.RetryAfter = OutcomeNotRun, o.Reason, o.RetryAfter
	case receiver.Unknown:
		a.Outcome, a.Reason = OutcomeUnknown, o.Reason
	}
	return a
}

// arrives notes the identity of a forwarded request. It reports false if it is known.
func (d *Dispatcher) arrives(id string, deadline time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if _, known := d.arrived[id]; known {
		return false
	}
	d.arrived[id] = deadline.Add(router.AbandonMargin)
	return true
}

// headerMap joins the values of headers that occur more than once by a comma, which
// HTTP allows for all but Set-Cookie; of that the last one is kept.
func headerMap(headers []receiver.Header) map[string]string {
	m := make(map[string]string, len(headers))
	for _, h := range headers {
		if v, repeated := m[h.Name]; repeated && h.Name != "Set-Cookie" {
			m[h.Name] = v + ", " + h.Value
			continue
		}
		m[h.Name] = h.Value
	}
	return m
}
