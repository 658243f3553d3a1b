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
	index       int // of the best-effort image; sharedIndex: all images beyond maxBestEffortImages
	coefficient float64
	samples     int
	// covariances holds, by index of the best-effort image, the covariance of its coefficient
	// with this one. Missing elements are 0.
	covariances []float64
}

func (e *pairEstimate) covariance(index int) float64 {
	if index >= len(e.covariances) {
		return 0
	}
	return e.covariances[index]
}

func (e *pairEstimate) addCovariance(index int, d float64) {
	for len(e.covariances) <= index {
		e.covariances = append(e.covariances, 0)
	}
	e.covariances[index] += d
}

// criticalImage is what is known of a latency-critical image.
type criticalImage struct {
	name           string
	pairs          []*pairEstimate // by index of the best-effort image; nil: none yet
	estimates      int             // elements of pairs that are not nil
	idleTailRatio  float64         // lowest measured tail latency as a share of the latency target
	meanOwnLoad    float64         // mean own load of the tasks
	measured       bool            // meanOwnLoad is measured
	sampleVariance float64         // variance of a measured utilization around its prediction

	present []imageLoad         // reused by updateCoefficients
	changes []coefficientChange // reused by updateCoefficients
}

// imageLoad is the share of a worker's processors that the best-effort tasks of an image may use.
type imageLoad struct {
	index int
	load  float64
}

// interferenceModel predicts how best-effort tasks raise the tail latency of
// latency-critical tasks on the same worker. The tail latency is modelled as that of a
// queue, idle / (1 - utilization). The utilization is the task's own load, which varies,
// plus for each best-effort task the coefficient of the pair of images times the share of
// the worker's processors that the task may use. Most pairs do not interfere; a few do so
// strongly.
//
// Best-effort images are numbered, because a scheduling pass looks up a pair for each worker
// that it considers.
type interferenceModel struct {
	images  map[string]*criticalImage
	indexes map[string]int // by best-effort image
}

// sharedIndex is the index of the estimate that the best-effort images beyond
// maxBestEffortImages share, and of best-effort tasks without an image.
const sharedIndex = 0

func newInterferenceModel() interferenceModel {
	return interferenceModel{images: make(map[string]*criticalImage), indexes: map[string]int{"": sharedIndex}}
}

// index returns the index of a best-effort image.
func (m interferenceModel) index(bestEffort string) int {
	i, ok := m.indexes[bestEffort]
	if !ok {
		i = len(m.indexes)
		m.indexes[bestEffort] = i
	}
	return i
}

// image returns a latency-critical image.
func (m interferenceModel) image(name string) *criticalImage {
	c := m.images[name]
	if c == nil {
		c = &criticalImage{name: name, idleTailRatio: defaultIdleTailRatio, meanOwnLoad: defaultOwnLoad, sampleVariance: initialSampleVariance}
		m.images[name] = c
	}
	return c
}

// pair returns the estimate for a best-effort image.
func (c *criticalImage) pair(index int) *pairEstimate {
	if index < len(c.pairs) && c.pairs[index] != nil {
		return c.pairs[index]
	}
	if c.estimates >= maxBestEffortImages && index != sharedIndex {
		return c.pair(sharedIndex)
	}
	for len(c.pairs) <= index {
		c.pairs = append(c.pairs, nil)
	}
	e := &pairEstimate{index: index, coefficient: initialCoefficient}
	e.addCovariance(index, initialVariance)
	c.pairs[index] = e
	c.estimates++
	return e
}

// addedUtilization returns the utilization that best-effort tasks add to a task of the image.
func (c *criticalImage) addedUtilization(loads []imageLoad) float64 {
	sum := 0.0
	for _, l := range loads {
		sum += c.pair(l.index).coefficient * l.load
	}
	return sum
}

// addedVariance returns the variance of addedUtilization.
func (c *criticalImage) addedVariance(loads []imageLoad) float64 {
	sum := 0.0
	for _, l := range loads {
		e := c.pair(l.index)
		for _, other := range loads {
			sum += l.load * other.load * e.covariance(c.pair(other.index).index)
		}
	}
	return max(0, sum)
}

// utilization returns the utilization at which the model gives a tail latency. tailRatio is
// the tail latency as a share of the latency target. If tailRatio is the lowest so far,
// utilization also stores it as the idle tail ratio of the image.
func (c *criticalImage) utilization(tailRatio float64) float64 {
	c.idleTailRatio = min(c.idleTailRatio, tailRatio)
	return 1 - c.idleTailRatio/tailRatio
}

// utilizationLimit returns the utilization to which best-effort tasks may raise the tasks of
// the image.
func (c *criticalImage) utilizationLimit() float64 { return 1 - c.idleTailRatio - targetReserve }

// update corrects the model and an own load by a measured tail latency. The residual of the
// prediction is divided between the own load and the coefficients by their variances: if other
// tasks of the step have just shown the own load, nearly all of the residual is interference.
func (c *criticalImage) update(own *ownLoadEstimate, tailRatio float64, loads []imageLoad, now time.Time) {
	e := own.predict(c.meanOwnLoad, now)
	added := c.addedVariance(loads)
	total := c.sampleVariance + e.variance + added
	limit := maxResidualDeviations * math.Sqrt(total)
	residual := c.utilization(tailRatio) - e.mean - c.addedUtilization(loads)
	residual = min(limit, max(-limit, residual))
	c.updateCoefficients(loads, residual, c.sampleVariance+e.variance)
	*own = e.correct(residual, total)
	c.meanOwnLoad += meanLoadWeight * (own.mean - c.meanOwnLoad)
	c.measured = true
	if added < c.sampleVariance { // otherwise the residual tells more about the coefficients
		noise := c.sampleVariance + sampleVarianceWeight*(residual*residual-total)
		c.sampleVariance = min(initialSampleVariance, max(minSampleVariance, noise))
	}
}

// coefficientChange is an estimate that a sample corrects.
type coefficientChange struct {
	estimate   *pairEstimate
	covariance float64 // of the coefficient with the sample
}

// updateCoefficients distributes the residual of a prediction over the coefficients of the
// best-effort images beside a task of the image. It is a Kalman filter whose
// state is the coefficients of the image. If best-effort images always run
// together, samples show only the sum of their effects. The covariances record that the single
// coefficients are uncertain.
func (c *criticalImage) updateCoefficients(loads []imageLoad, residual, sampleVariance float64) {
	c.present = c.present[:0]
	for _, l := range loads {
		if l.load > 0 {
			c.present = addLoad(c.present, c.pair(l.index).index, l.load)
		}
	}
	if len(c.present) == 0 {
		return
	}
	for _, l := range c.present {
		e := c.pair(l.index)
		e.samples++
		e.addCovariance(l.index, varianceDrift)
	}
	total := sampleVariance
	c.changes = c.changes[:0]
	for _, e := range c.pairs {
		if e == nil {
			continue
		}
		covariance, own := 0.0, 0.0
		for _, l := range c.present {
			covariance += e.covariance(l.index) * l.load
			if l.index == e.index {
				own = l.load
			}
		}
		if covariance != 0 {
			c.changes = append(c.changes, coefficientChange{e, covariance})
			total += covariance * own
		}
	}
	if len(c.changes) == 0 {
		return
	}
	highest := c.changes[len(c.changes)-1].estimate.index // pairs are in the order of their indexes
	for _, h := range c.changes {
		gain := h.covariance / total
		h.estimate.coefficient = min(maxCoefficient, max(0, h.estimate.coefficient+gain*residual))
		h.estimate.addCovariance(highest, 0)
		row := h.estimate.covariances
		for _, other := range c.changes {
			row[other.estimate.index] -= gain * other.covariance
		}
	}
}

// addLoad adds a load of an image to loads.
func addLoad(loads []imageLoad, index int, load float64) []imageLoad {
	for i := range loads {
		if loads[i].index == index {
			loads[i].load += load
			return loads
		}
	}
	return append(loads, imageLoad{index, load})
}
