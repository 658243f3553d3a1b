package receiver

import (
	"fmt"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics are the receiver's metrics. The configuration bounds the set of label values.
// Service and tenant are labels of different histograms, so that the number of time series
// grows with the sum of services and tenants and not with their product.
type metrics struct {
	byService *prometheus.HistogramVec
	byTenant  *prometheus.HistogramVec
	outcomes  *prometheus.CounterVec
	refusals  *prometheus.CounterVec
}

func newMetrics(registry *prometheus.Registry) (*metrics, error) {
	buckets := prometheus.ExponentialBucketsRange(0.001, 30, 16) // seconds, up to MaxRequestTimeout
	m := &metrics{
		byService: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "peridotpitch_request_seconds", Buckets: buckets,
			Help: "Time from the receipt of a request to its final outcome, by service and class.",
		}, []string{"service", "class"}),
		byTenant: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "peridotpitch_tenant_request_seconds", Buckets: buckets,
			Help: "Time from the receipt of a request to its final outcome, by tenant and class.",
		}, []string{"tenant", "class"}),
		outcomes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "peridotpitch_requests_total",
			Help: "Requests with a final outcome.",
		}, []string{"service", "class", "outcome"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "peridotpitch_requests_refused_total",
			Help: "Requests refused because of their form.",
		}, []string{"code"}),
	}
	for _, c := range []prometheus.Collector{m.byService, m.byTenant, m.outcomes, m.refusals} {
		if err := registry.Register(c); err != nil {
			return nil, fmt.Errorf("register the receiver's metrics: %w", err)
		}
	}
	return m, nil
}

func (m *metrics) recordOutcome(service, tenant string, class Class, o Outcome, took time.Duration) {
	m.byService.WithLabelValues(service, string(class)).Observe(took.Seconds())
	m.byTenant.WithLabelValues(tenant, string(class)).Observe(took.Seconds())
	name := OutcomeUnknown
	switch o.(type) {
	case Answered:
		name = OutcomeAnswered
	case NotRun:
		name = OutcomeNotRun
	}
	m.outcomes.WithLabelValues(service, string(class), name).Inc()
}

func (m *metrics) countRefusal(code string) { m.refusals.WithLabelValues(code).Inc() }
