package limiter

import (
	"slices"
	"time"

	"peridotpitch/internal/converter"
)

const (
	// maxSamples bounds the service times kept for each service.
	maxSamples = 256
	// samplesPerRecompute is the number of samples between two computations of the
	// mean and the quantiles.
	samplesPerRecompute = 16
	// requiredTimeQuantile is the quantile of the service time that must remain until a
	// queued request's deadline. With the median, half of the requests started at the
	// last moment would miss their deadline.
	requiredTimeQuantile = 0.99
	// The safety factor multiplies the quantile. It adapts to the requests that were
	// queued and started but missed their deadline, because each of them occupies its slot
	// until the deadline plus the router's AbandonMargin. With the p95 and no factor,
	// goodput at twice the capacity fell to 84% in simulation.

	// safetyIncrease multiplies the safety factor after each missed deadline.
	safetyIncrease = 1.5
	// safetyDecrease multiplies the safety factor after each queued request that met its
	// deadline. Together with safetyIncrease it leads to about one miss in 800 requests.
	safetyDecrease = 0.9995
	// maxSafetyFactor bounds the safety factor.
	maxSafetyFactor = 8.0
	// sampleHalfLife is the time in which the estimates halve without a new sample. If
	// every request is dropped because the service was slow, the decay admits some again.
	sampleHalfLife = 2 * time.Second
)

// serviceTimes estimates the service time from the latest samples.
type serviceTimes struct {
	samples      [maxSamples]time.Duration
	sampleCount  int // samples ever added
	lastSampleAt time.Time
	meanTime     time.Duration
	medianTime   time.Duration
	highTime     time.Duration // at requiredTimeQuantile
	safetyFactor float64       // values below 1 count as 1
}

func (t *serviceTimes) addSample(d time.Duration, now time.Time) {
	t.samples[t.sampleCount%maxSamples] = d
	t.sampleCount++
	t.lastSampleAt = now
	if t.sampleCount < samplesPerRecompute || t.sampleCount%samplesPerRecompute == 0 {
		t.recompute()
	}
}

func (t *serviceTimes) recompute() {
	sorted := slices.Clone(t.samples[:min(t.sampleCount, maxSamples)])
	slices.Sort(sorted)
	var sum time.Duration
	for _, d := range sorted {
		sum += d
	}
	t.meanTime = sum / time.Duration(len(sorted))
	t.medianTime = sorted[len(sorted)/2]
	t.highTime = sorted[int(requiredTimeQuantile*float64(len(sorted)-1))]
}

func (t *serviceTimes) mean(now time.Time) time.Duration   { return t.decayed(t.meanTime, now) }
func (t *serviceTimes) median(now time.Time) time.Duration { return t.decayed(t.medianTime, now) }

// requiredTime returns the time that must remain until a queued request's deadline.
func (t *serviceTimes) requiredTime(now time.Time) time.Duration {
	return t.decayed(converter.Scale(t.highTime, max(1, t.safetyFactor)), now)
}

// adjustSafetyFactor updates the safety factor after a request that was queued before it
// was started. Missed states whether it missed its deadline.
func (t *serviceTimes) adjustSafetyFactor(missed bool) {
	if missed {
		t.safetyFactor = min(max(1, t.safetyFactor)*safetyIncrease, maxSafetyFactor)
	} else {
		t.safetyFactor *= safetyDecrease
	}
}

// decayed halves d for each sampleHalfLife since the latest sample.
func (t *serviceTimes) decayed(d time.Duration, now time.Time) time.Duration {
	for age := now.Sub(t.lastSampleAt); age >= sampleHalfLife && d > 0; age -= sampleHalfLife {
		d /= 2
	}
	return d
}
