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
	highQuantile = 0.99
	// A request that waited, was started and then missed its deadline did not have enough
	// time left: the time needed is multiplied by safetyStep, up to maxSafety, and by
	// safetyDecay after each one that did not miss. This settles at about one miss in
	// 800. Each miss costs the rest of the deadline and the router's AbandonMargin: with
	// the p95 alone, goodput at twice the capacity fell to 84% in simulation.
	safetyStep  = 1.5
	safetyDecay = 0.9995
	maxSafety   = 8.0
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
	safety   float64 // at least 1; 0 stands for 1
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

// high is the time that a queued request must have left.
func (t *times) high(now time.Time) time.Duration {
	return t.decayed(time.Duration(float64(t.quantile)*max(1, t.safety)), now)
}

// judge adjusts the safety factor after a request that had waited.
func (t *times) judge(missed bool) {
	if missed {
		t.safety = min(max(1, t.safety)*safetyStep, maxSafety)
	} else {
		t.safety *= safetyDecay
	}
}

// decayed halves d for each sampleMemory since the latest sample.
func (t *times) decayed(d time.Duration, now time.Time) time.Duration {
	for age := now.Sub(t.latest); age >= sampleMemory && d > 0; age -= sampleMemory {
		d /= 2
	}
	return d
}
