package coordinator

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// metrics are the counters and histograms of one host.
type metrics struct {
	registry      *prometheus.Registry
	requests      *prometheus.HistogramVec
	decisions     *prometheus.CounterVec
	orders        *prometheus.HistogramVec
	jobTime       *prometheus.HistogramVec
	starts        prometheus.Counter
	looks         prometheus.Counter
	writes        prometheus.Counter
	elections     prometheus.Counter
	storeFailures prometheus.Counter
	leading       prometheus.Gauge
	configVersion prometheus.Gauge
}

func newMetrics() *metrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Namespace: "peridotpitch", Name: name, Help: help})
	}
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "peridotpitch", Name: name, Help: help})
	}
	histogram := func(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
		return prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: "peridotpitch", Name: name, Help: help, Buckets: buckets}, labels)
	}
	m := &metrics{
		registry:      prometheus.NewRegistry(),
		requests:      histogram("request_seconds", "Time to answer callers, by call, queue and outcome.", prometheus.ExponentialBuckets(0.002, 2, 12), "call", "queue", "outcome"),
		orders:        histogram("order_seconds", "Time until workers answer orders.", prometheus.ExponentialBuckets(0.001, 2, 10), "order"),
		jobTime:       histogram("job_seconds", "Time from a job's submission to its final state, by queue and state.", prometheus.ExponentialBuckets(0.25, 2, 12), "queue", "state"),
		decisions:     prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "peridotpitch", Name: "decisions_total", Help: "Decisions, by event."}, []string{"event"}),
		starts:        counter("starts_total", "Starts of tasks sent to workers."),
		looks:         counter("looks_total", "Looks that workers answered."),
		writes:        counter("leader_writes_total", "Writes of the leader to the store."),
		elections:     counter("elections_won_total", "Elections that this host won."),
		storeFailures: counter("store_failures_total", "Calls to the store without an answer or with a refusal."),
		leading:       gauge("leading", "1 while this host leads."),
		configVersion: gauge("configuration_version", "Version of the configuration in force."),
	}
	m.registry.MustRegister(m.requests, m.orders, m.jobTime, m.decisions, m.starts, m.looks, m.writes, m.elections, m.storeFailures, m.leading, m.configVersion)
	return m
}

func (m *metrics) request(call, queue, outcome string, took time.Duration) {
	m.requests.WithLabelValues(call, queue, outcome).Observe(took.Seconds())
}

func (m *metrics) order(kind string, begin time.Time) {
	m.orders.WithLabelValues(kind).Observe(time.Since(begin).Seconds())
}

// metricsShutdown bounds the end of the metrics server.
const metricsShutdown = 200 * time.Millisecond

// serve serves the metrics until ctx ends.
func (m *metrics) serve(ctx context.Context, address netip.AddrPort) error {
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{}))
	s := &http.Server{Addr: address.String(), Handler: mux, ReadHeaderTimeout: time.Second}
	stopped := context.AfterFunc(ctx, func() {
		end, cancel := context.WithTimeout(context.Background(), metricsShutdown)
		defer cancel()
		_ = s.Shutdown(end) // scrapes in flight are cut at the end of the time
	})
	defer stopped()
	if err := s.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve metrics: %w", err)
	}
	return nil
}
