package coordinator

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// metrics are the Prometheus metrics of one host.
type metrics struct {
	registry        *prometheus.Registry
	requestDuration *prometheus.HistogramVec
	decisions       *prometheus.CounterVec
	commandDuration *prometheus.HistogramVec
	commandWait     prometheus.Histogram
	jobDuration     *prometheus.HistogramVec
	jobStart        *prometheus.HistogramVec
	events          *prometheus.CounterVec
	eventWait       *prometheus.CounterVec
	eventWork       *prometheus.CounterVec
	admissions      *prometheus.CounterVec
	taskStarts      prometheus.Counter
	polls           prometheus.Counter
	leaderWrites    prometheus.Counter
	electionsWon    prometheus.Counter
	storeFailures   prometheus.Counter
	inputFailures   prometheus.Counter
	cancelNotices   *prometheus.CounterVec
	retryAfter      *prometheus.HistogramVec
	forwardOutcomes *prometheus.CounterVec
	routes          *prometheus.CounterVec
	panics          prometheus.Counter
	leading         prometheus.Gauge
	leaderLag       prometheus.Gauge
	configVersion   prometheus.Gauge
	configBytes     prometheus.Gauge
	configReads     *prometheus.HistogramVec
	evacuated       prometheus.Gauge
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
	counters := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "peridotpitch", Name: name, Help: help}, labels)
	}
	m := &metrics{
		registry:        prometheus.NewRegistry(),
		requestDuration: histogram("request_seconds", "Time to answer callers, by call, queue and outcome.", prometheus.ExponentialBuckets(0.002, 2, 12), "call", "queue", "outcome"),
		commandDuration: histogram("order_seconds", "Time until workers answer orders.", prometheus.ExponentialBuckets(0.001, 2, 10), "order"),
		jobDuration:     histogram("job_seconds", "Time from a job's submission to its final state, by queue and state.", prometheus.ExponentialBuckets(0.25, 2, 12), "queue", "state"),
		jobStart:        histogram("job_start_seconds", "Time from a job's submission until a worker has accepted its first task, by queue.", prometheus.ExponentialBuckets(0.005, 2, 12), "queue"),
		commandWait: prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: "peridotpitch", Name: "order_wait_seconds",
			Help: "Time from the decision on an order until it is sent.", Buckets: prometheus.ExponentialBuckets(0.001, 2, 12)}),
		events:          counters("leader_events_total", "Events that the leader has applied, by event.", "event"),
		eventWait:       counters("leader_event_wait_seconds_total", "Time that events waited until the leader applied them, by event.", "event"),
		eventWork:       counters("leader_event_work_seconds_total", "Time that the leader took to apply events, with the passes that they caused, by event.", "event"),
		decisions:       counters("decisions_total", "Decisions, by event.", "event"),
		admissions:      counters("admission_decisions_total", "Decisions on submissions by what can still end in time, by queue and outcome.", "queue", "outcome"),
		taskStarts:      counter("starts_total", "Starts of tasks sent to workers."),
		polls:           counter("looks_total", "Looks that workers answered."),
		leaderWrites:    counter("leader_writes_total", "Writes of the leader to the store."),
		electionsWon:    counter("elections_won_total", "Elections that this host won."),
		storeFailures:   counter("store_failures_total", "Calls to the store without an answer or with a refusal."),
		inputFailures:   counter("input_read_failures_total", "Reads of jobs and requests to cancel that failed while this host led."),
		cancelNotices:   counters("cancel_notices_total", "Tries to tell the leader of a request to cancel, by outcome.", "outcome"),
		retryAfter:      histogram("retry_after_seconds", "Time after which refused submissions should be repeated, by queue.", prometheus.LinearBuckets(1, 1, 6), "queue"),
		forwardOutcomes: prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "peridotpitch", Name: "submissions_forwarded_total", Help: "Submissions forwarded to the leader, by outcome."}, []string{"outcome"}),
		routes:          counters("routes_total", "Requests by the configuration by which their queue was found: that of this host, the leader's, one of this host that may have been replaced, or none.", "basis"),
		panics:          counter("panics_total", "Panics of the scheduler or of a request's handler that were contained."),
		leading:         gauge("leading", "1 while this host leads."),
		leaderLag:       gauge("leader_lag_seconds", "How late the leader's last regular event was applied."),
		configVersion:   gauge("configuration_version", "Version of the configuration in force."),
		configBytes:     gauge("configuration_bytes", "Size of the configuration in force, before it is encoded for the transfer."),
		configReads:     histogram("configuration_read_seconds", "Time of the store's answers to reads and watches of the configuration, by call and outcome.", prometheus.ExponentialBuckets(0.004, 2, 12), "call", "outcome"),
		evacuated:       gauge("evacuated_failure_domains", "Failure domains that operators evacuate, as this host knows while it leads."),
	}
	m.registry.MustRegister(m.requestDuration, m.commandDuration, m.commandWait, m.jobDuration, m.jobStart, m.events, m.eventWait, m.eventWork, m.decisions, m.admissions, m.taskStarts, m.polls, m.leaderWrites, m.electionsWon, m.storeFailures, m.inputFailures, m.cancelNotices,
		m.evacuated, m.panics, m.retryAfter, m.forwardOutcomes, m.routes, m.leading, m.leaderLag, m.configVersion, m.configBytes, m.configReads,
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}), collectors.NewGoCollector())
	return m
}

// registerConfigurationAge registers the metric of the age of the configuration in effect.
func (m *metrics) registerConfigurationAge(age func() time.Duration) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "peridotpitch", Name: "configuration_age_seconds",
		Help: "Time since the configuration in force is known to have been the newest one."}, func() float64 { return age().Seconds() }))
}

func (m *metrics) observeRequest(call, queue, outcome string, took time.Duration) {
	m.requestDuration.WithLabelValues(call, queue, outcome).Observe(took.Seconds())
}

func (m *metrics) observeCommand(kind string, begin time.Time) {
	m.commandDuration.WithLabelValues(kind).Observe(time.Since(begin).Seconds())
}

// metricsShutdownTimeout bounds the shutdown of the metrics server.
const metricsShutdownTimeout = 200 * time.Millisecond

// serve serves the metrics and the fleet's status over HTTP until ctx is done.
func (m *metrics) serve(ctx context.Context, address netip.AddrPort, status http.HandlerFunc) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+StatusPath, status)
	mux.Handle("/metrics", promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{}))
	s := &http.Server{Addr: address.String(), Handler: mux, ReadHeaderTimeout: time.Second}
	stopped := context.AfterFunc(ctx, func() {
		end, cancel := context.WithTimeout(context.Background(), metricsShutdownTimeout)
		defer cancel()
		_ = s.Shutdown(end) // scrapes that exceed the timeout are cut off
	})
	defer stopped()
	if err := s.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve metrics: %w", err)
	}
	return nil
}
