package limiter

import (
	"slices"
	"time"
)

const (
	// sampleCount is the number of service times kept for each service.
	sampleCount = 256
	// sortInterval is the number of samples after which the quantiles are recomputed.
	sortInterval = 16
	// highQuantile is the part of requests that end within the time that a queued
	// request must have left. With the median, half of the requests started at the
	// last moment would run in vain.
	highQuantile = 0.95
	// sampleMemory is the time in which the estimates halve without a new sample. If
	// every request is dropped because the service was slow, this lets some through.
	sampleMemory = 2 * time.Second
)

// times estimates the service time from the latest samples.
type times struct {
	samples  [sampleCount]time.Duration
	count    int // samples ever added
	latest   time.Time
	average  time.Duration
	middle   time.Duration
	quantile time.Duration
}

func (t *times) add(d time.Duration, now time.Time) {
	t.samples[t.count%sampleCount] = d
	t.count++
	t.latest = now
	if t.count < sortInterval || t.count%sortInterval == 0 {
		t.compute()
	}
}

func (t *times) compute() {
	sorted := slices.Clone(t.samples[:min(t.count, sampleCount)])
	slices.Sort(sorted)
	var sum time.Duration
	for _, d := range sorted {
		sum += d
	}
	t.average = sum / time.Duration(len(sorted))
	t.middle = sorted[len(sorted)/2]
	t.quantile = sorted[int(highQuantile*float64(len(sorted)-1))]
}

func (t *times) mean(now time.Time) time.Duration   { return t.decayed(t.average, now) }
func (t *times) median(now time.Time) time.Duration { return t.decayed(t.middle, now) }
func (t *times) high(now time.Time) time.Duration   { return t.decayed(t.quantile, now) }

// decayed halves d for each sampleMemory since the latest sample.
func (t *times) decayed(d time.Duration, now time.Time) time.Duration {
	for age := now.Sub(t.latest); age >= sampleMemory && d > 0; age -= sampleMemory {
		d /= 2
	}
	return d
}
