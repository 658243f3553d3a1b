package orchestrator

import (
	"math"
	"time"
)

const (
	// defaultIdleTailRatio is the tail latency of an idle task as a share of its latency
	// target, until a lower one is measured.
	defaultIdleTailRatio = 0.22
	// targetReserve is the difference between the utilization at which the model gives a tail
	// latency equal to the latency target and the highest that best-effort tasks may cause.
	targetReserve = 0.02
	// initialCoefficient is the coefficient of pairs of images without samples. It lies between
	// the coefficients of most pairs, near 0, and those of pairs that interfere, 1 to 3.
	initialCoefficient = 0.4
	// maxCoefficient bounds the measured coefficients.
	maxCoefficient = 20.0
	// initialVariance is the variance of a coefficient without samples.
	initialVariance = 0.5
	// initialSampleVariance is the variance of a measured utilization around its prediction until
	// samples show a lower one.
	initialSampleVariance = 0.05
	// minSampleVariance is the variance that the rounding of tail latencies to milliseconds
	// causes at least.
	minSampleVariance = 0.002
	// sampleVarianceWeight is the weight of one sample in the variance of the samples.
	sampleVarianceWeight = 0.02
	// maxResidualDeviations bounds the effect of one sample, in standard deviations. A slow
	// worker raises the tail latency without any interference.
	maxResidualDeviations = 3
	// varianceDrift is added to a coefficient's variance with each sample, so that later
	// samples never lose their effect.
	varianceDrift = 0.0002
	// maxBestEffortImages bounds the best-effort images with an estimate of their own for one
	// latency-critical image, which limits the memory used. Further images share one estimate.
	maxBestEffortImages = 64
	// meanLoadWeight is the weight of one sample in an image's mean own load.
	meanLoadWeight = 0.02
)

// pairEstimate is the estimated interference of a best-effort image with a
// latency-critical image.
type pairEstimate struct {
	bestEffort  string // empty: all best-effort images beyond maxBestEffortImages
	coefficient float64
	samples     int
	// covariance holds, by best-effort image, the covariance of its coefficient with this one.
	covariance map[string]float64
}

// interferenceModel predicts how best-effort tasks raise the tail latency of
// latency-critical tasks on the same worker. The tail latency is modelled as that of a
// queue, idle / (1 - utilization). The utilization is the task's own load, which varies,
// plus for each best-effort task the coefficient of the pair of images times the share of
// the worker's processors that the task may use. Most pairs do not interfere; a few do so
// strongly.
type interferenceModel struct {
	pairs map[string]map[string]*pairEstimate // by latency-critical image and best-effort image

	// By latency-critical image:
	idleTailRatios  map[string]float64 // lowest measured tail latency as a share of the latency target
	meanOwnLoad     map[string]float64 // mean own load of the tasks
	sampleVariances map[string]float64 // variance of a measured utilization around its prediction
}

func newInterferenceModel() interferenceModel {
	return interferenceModel{
		pairs:           make(map[string]map[string]*pairEstimate),
		idleTailRatios:  make(map[string]float64),
		meanOwnLoad:     make(map[string]float64),
		sampleVariances: make(map[string]float64),
	}
}

func (m interferenceModel) pair(critical, bestEffort string) *pairEstimate {
	pairs := m.pairs[critical]
	if pairs == nil {
		pairs = make(map[string]*pairEstimate)
		m.pairs[critical] = pairs
	}
	e := pairs[bestEffort]
	if e == nil && len(pairs) >= maxBestEffortImages {
		bestEffort = ""
		e = pairs[bestEffort]
	}
	if e == nil {
		e = &pairEstimate{bestEffort: bestEffort, coefficient: initialCoefficient, covariance: map[string]float64{bestEffort: initialVariance}}
		pairs[bestEffort] = e
	}
	return e
}

// addedUtilization returns the utilization that best-effort tasks add to a task of a
// latency-critical image. loads is a result of bestEffortLoads.
func (m interferenceModel) addedUtilization(critical string, loads map[string]float64) float64 {
	sum := 0.0
	for image, load := range loads {
		sum += m.pair(critical, image).coefficient * load
	}
	return sum
}

// idleTailRatio returns the tail latency of an idle task of a latency-critical image as a
// share of the latency target.
func (m interferenceModel) idleTailRatio(critical string) float64 {
	if idle, ok := m.idleTailRatios[critical]; ok {
		return idle
	}
	return defaultIdleTailRatio
}

// utilization returns the utilization at which the model gives a tail latency. tailRatio is
// the tail latency as a share of the latency target. If tailRatio is the lowest so far,
// utilization also stores it as the idle tail ratio of the image.
func (m interferenceModel) utilization(critical string, tailRatio float64) float64 {
	idle := m.idleTailRatio(critical)
	if tailRatio < idle {
		idle = tailRatio
		m.idleTailRatios[critical] = tailRatio
	}
	return 1 - idle/tailRatio
}

// utilizationLimit returns the utilization to which best-effort tasks may raise the tasks of
// a latency-critical image.
func (m interferenceModel) utilizationLimit(critical string) float64 {
	return 1 - m.idleTailRatio(critical) - targetReserve
}

// update corrects the model and an own load by a measured tail latency. The residual of the
// prediction is divided between the own load and the coefficients by their variances: if other
// tasks of the step have just shown the own load, nearly all of the residual is interference.
func (m interferenceModel) update(own *ownLoadEstimate, critical string, tailRatio float64, loads map[string]float64, now time.Time) {
	mean, ok := m.meanOwnLoad[critical]
	if !ok {
		mean = defaultOwnLoad
	}
	noise, ok := m.sampleVariances[critical]
	if !ok {
		noise = initialSampleVariance
	}
	e := own.predict(mean, now)
	added := m.addedVariance(critical, loads)
	total := noise + e.variance + added
	limit := maxResidualDeviations * math.Sqrt(total)
	residual := m.utilization(critical, tailRatio) - e.mean - m.addedUtilization(critical, loads)
	residual = min(limit, max(-limit, residual))
	m.updateCoefficients(critical, loads, residual, noise+e.variance)
	*own = e.correct(residual, total)
	m.meanOwnLoad[critical] = mean + meanLoadWeight*(own.mean-mean)
	if added < noise { // otherwise the residual tells more about the coefficients
		noise += sampleVarianceWeight * (residual*residual - total)
		m.sampleVariances[critical] = min(initialSampleVariance, max(minSampleVariance, noise))
	}
}

// addedVariance returns the variance of addedUtilization.
func (m interferenceModel) addedVariance(critical string, loads map[string]float64) float64 {
	sum := 0.0
	for image, load := range loads {
		e := m.pair(critical, image)
		for other, l := range loads {
			sum += load * l * e.covariance[m.pair(critical, other).bestEffort]
		}
	}
	return max(0, sum)
}

// updateCoefficients distributes the residual of a prediction over the coefficients of the
// best-effort images beside a task of a latency-critical image. It is a Kalman filter whose
// state is the coefficients of that latency-critical image. If best-effort images always run
// together, samples show only the sum of their effects. The covariances record that the single
// coefficients are uncertain.
func (m interferenceModel) updateCoefficients(critical string, loads map[string]float64, residual, sampleVariance float64) {
	present := make(map[string]float64, len(loads))
	for image, load := range loads {
		if load > 0 {
			present[m.pair(critical, image).bestEffort] += load
		}
	}
	for image := range present {
		e := m.pair(critical, image)
		e.samples++
		e.covariance[image] += varianceDrift
	}
	total := sampleVariance
	sampleCovariance := make(map[string]float64) // covariance of each coefficient with the sample
	for image, e := range m.pairs[critical] {
		c := 0.0
		for other, load := range present {
			c += e.covariance[other] * load
		}
		if c != 0 {
			sampleCovariance[image] = c
			total += c * present[image]
		}
	}
	for image, c := range sampleCovariance {
		e := m.pair(critical, image)
		e.coefficient = min(maxCoefficient, max(0, e.coefficient+c/total*residual))
		for other, d := range sampleCovariance {
			e.covariance[other] -= c * d / total
		}
	}
}
