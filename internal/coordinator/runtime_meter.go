package coordinator

import (
	runtimemetrics "runtime/metrics"
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

// runtimeMeter measures how long goroutines of this process wait for a processor. A host that is short of processor time
// answers late although no lock is held and no queue is long. Its methods must not be called concurrently.
type runtimeMeter struct {
	samples   []runtimemetrics.Sample
	latencies []uint64 // counts of the buckets as of the last call
	collector float64  // seconds of garbage collection as of the last call
}

// runtimeWork describes the process since the last call of runtimeMeter.take.
type runtimeWork struct {
	MedianWait, HighWait time.Duration // of goroutines for a processor: half and 99 of 100 waited less
	Collector            time.Duration // processor time of the garbage collection
	HeapBytes            uint64
	Goroutines           uint64
}

func (m *runtimeMeter) take() runtimeWork {
	if m.samples == nil {
		for _, name := range []string{metricScheduleLatencies, metricCollectorSeconds, metricHeapObjects, metricGoroutines} {
			m.samples = append(m.samples, runtimemetrics.Sample{Name: name})
		}
	}
	runtimemetrics.Read(m.samples)
	var w runtimeWork
	if v := m.samples[0].Value; v.Kind() == runtimemetrics.KindFloat64Histogram {
		h := v.Float64Histogram()
		counts := make([]uint64, len(h.Counts))
		for i, n := range h.Counts {
			counts[i] = n
			if i < len(m.latencies) {
				counts[i] -= m.latencies[i]
			}
		}
		m.latencies = append(m.latencies[:0], h.Counts...)
		w.MedianWait, w.HighWait = quantile(counts, h.Buckets, 0.5), quantile(counts, h.Buckets, 0.99)
	}
	if v := m.samples[1].Value; v.Kind() == runtimemetrics.KindFloat64 {
		w.Collector = converter.Seconds(v.Float64() - m.collector)
		m.collector = v.Float64()
	}
	if v := m.samples[2].Value; v.Kind() == runtimemetrics.KindUint64 {
		w.HeapBytes = v.Uint64()
	}
	if v := m.samples[3].Value; v.Kind() == runtimemetrics.KindUint64 {
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
