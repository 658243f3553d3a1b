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

// HandleForwarded serves a request that an entry host of another failure domain forwarded. It
// is not forwarded again.
func (d *Dispatcher) HandleForwarded(ctx context.Context, m messenger.ForwardRequest) messenger.ForwardAnswer {
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
	if !d.registerForward(m.Request, q.Deadline) {
		a.Outcome, a.Reason = OutcomeUnknown, "a request with this identity was forwarded here before"
		return a
	}
	switch o := d.serve(ctx, &requestState{request: q, hops: 1}).(type) {
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

// registerForward records the ID of a forwarded request until the request can no longer
// be running. It reports false if the ID is already recorded.
func (d *Dispatcher) registerForward(id string, deadline time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if _, known := d.receivedForwards[id]; known {
		return false
	}
	d.receivedForwards[id] = deadline.Add(router.AbandonMargin)
	return true
}

// headerMap converts headers to a map. Values of repeated headers are joined with commas,
// which HTTP allows for all headers except Set-Cookie. For Set-Cookie the last value is
// kept.
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
