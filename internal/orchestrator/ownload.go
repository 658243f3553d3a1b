package orchestrator

import "time"

const (
	// defaultOwnLoad is the utilization that a task's own callers cause, until it is measured.
	defaultOwnLoad = 0.44
	// Measured own loads are limited to the range from minOwnLoad to maxOwnLoad; values outside
	// are measurement errors.
	minOwnLoad = 0.15
	maxOwnLoad = 0.72
	// initialOwnLoadVariance is the variance of a step's own load without samples.
	initialOwnLoadVariance = 0.03
	// ownLoadDrift is the variance by which a step's own load may change within a second.
	ownLoadDrift = 0.02
)

// ownLoadEstimate is the estimated utilization that callers cause to each task of a step.
// Callers spread their requests evenly, so that tasks without best-effort tasks beside them
// show the own load of the others.
type ownLoadEstimate struct {
	mean, variance float64
	at             time.Time // of the last sample; zero: none yet
}

// predict returns the estimate for now: the load may have changed since the last sample.
func (e ownLoadEstimate) predict(prior float64, now time.Time) ownLoadEstimate {
	if e.at.IsZero() {
		return ownLoadEstimate{mean: prior, variance: initialOwnLoadVariance, at: now}
	}
	e.variance = min(initialOwnLoadVariance, e.variance+ownLoadDrift*now.Sub(e.at).Seconds())
	e.at = now
	return e
}

// correct returns the estimate after a sample with a residual of the prediction. total is the
// variance of the residual.
func (e ownLoadEstimate) correct(residual, total float64) ownLoadEstimate {
	gain := e.variance / total
	e.mean = min(maxOwnLoad, max(minOwnLoad, e.mean+gain*residual))
	e.variance *= 1 - gain
	return e
}
