package coordinator

import (
	runtimemetrics "runtime/metrics"
	"slices"
	"time"

	"peridotpitch/internal/converter"
)

// Names of the Go runtime's metrics that runtimeMeter reads.
const (
	metricScheduleLatencies = "/sched/latencies:seconds"
	metricCollectorSeconds  = "/cpu/classes/gc/total:cpu-seconds"
	metricHeapObjects       = "/memory/classes/heap/objects:bytes"
	metricGoroutines        = "/sched/goroutines:goroutines"
)

// waitMeter measures how long goroutines of this process wait for a processor. A host that is short of processor time
// answers late although no lock is held and no queue is long, and a ticker does not show it: the runtime runs the goroutine of
// a timer before those that wait. Its methods must not be called concurrently.
type waitMeter struct {
	samples []runtimemetrics.Sample
	counts  []uint64 // of the buckets as of the last call
}

// take returns the waits since the last call: the number of waits by bucket, and the bounds of the buckets in seconds.
func (m *waitMeter) take() (counts []uint64, bounds []float64) {
	if m.samples == nil {
		m.samples = []runtimemetrics.Sample{{Name: metricScheduleLatencies}}
	}
	runtimemetrics.Read(m.samples)
	v := m.samples[0].Value
	if v.Kind() != runtimemetrics.KindFloat64Histogram {
		return nil, nil
	}
	h := v.Float64Histogram()
	counts = slices.Clone(h.Counts)
	for i := range m.counts {
		counts[i] -= m.counts[i]
	}
	m.counts = append(m.counts[:0], h.Counts...)
	return counts, h.Buckets
}

// lagQuantile is the quantile of the waits that counts as this process's lag. Most waits are hand-overs between goroutines,
// which are short on a late process too; those for the network are the long ones.
const lagQuantile = 0.9

// lag returns how long goroutines waited for a processor since the last call.
func (m *waitMeter) lag() time.Duration {
	counts, bounds := m.take()
	return quantile(counts, bounds, lagQuantile)
}

// runtimeMeter measures the process. Its methods must not be called concurrently.
type runtimeMeter struct {
	waits     waitMeter
	samples   []runtimemetrics.Sample
	collector float64 // seconds of garbage collection as of the last call
}

// runtimeWork describes the process since the last call of runtimeMeter.take.
type runtimeWork struct {
	// Waits of goroutines for a processor: half, 90 and 99 of 100 waited less.
	MedianWait, HighWait, LongestWait time.Duration
	Collector                         time.Duration // processor time of the garbage collection
	HeapBytes                         uint64
	Goroutines                        uint64
}

func (m *runtimeMeter) take() runtimeWork {
	if m.samples == nil {
		for _, name := range []string{metricCollectorSeconds, metricHeapObjects, metricGoroutines} {
			m.samples = append(m.samples, runtimemetrics.Sample{Name: name})
		}
	}
	runtimemetrics.Read(m.samples)
	var w runtimeWork
	counts, bounds := m.waits.take()
	w.MedianWait, w.HighWait, w.LongestWait = quantile(counts, bounds, 0.5), quantile(counts, bounds, lagQuantile), quantile(counts, bounds, 0.99)
	if v := m.samples[0].Value; v.Kind() == runtimemetrics.KindFloat64 {
		w.Collector = converter.Seconds(v.Float64() - m.collector)
		m.collector = v.Float64()
	}
	if v := m.samples[1].Value; v.Kind() == runtimemetrics.KindUint64 {
		w.HeapBytes = v.Uint64()
	}
	if v := m.samples[2].Value; v.Kind() == runtimemetrics.KindUint64 {
		w.Goroutines = v.Uint64()
	}
	return w
}

// quantile returns the lower bound of the bucket with the given quantile, 0 without counts. buckets are the bounds
// in seconds, one more than counts.
func quantile(counts []uint64, buckets []float64, q float64) time.Duration {
	var total, below uint64
	for _, n := range counts {
		total += n
	}
	for i, n := range counts {
		below += n
		if float64(below) >= q*float64(total) {
			return converter.Seconds(max(0, buckets[i]))
		}
	}
	return 0
}
