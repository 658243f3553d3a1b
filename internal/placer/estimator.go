package placer

import (
	"math"
	"time"

	"peridotpitch/internal/configurator"
)

// Settings of the interference estimator. The model is linear: a victim's excess slowdown
// (slowdown - 1) is the sum over its neighbours' classes of a coefficient times the share of
// the worker's cores that the class uses.
const (
	// maxClasses bounds the number of interference classes. Further classes share entry 0.
	maxClasses = 64
	// priorCoefficient is the coefficient assumed for a pair of classes without observations.
	priorCoefficient = 0.3
	// priorCoefficientVariance is the variance of priorCoefficient.
	priorCoefficientVariance = 0.25
	// reportNoiseVariance is the variance of a measured slowdown around the model's prediction.
	reportNoiseVariance = 0.02
	// outlierSigmas is the number of standard deviations to which the deviation of one report
	// from the prediction is clipped.
	outlierSigmas = 3
	// coefficientHalfLife is the time after which an estimated coefficient without new reports
	// has moved half of the way back to the prior.
	coefficientHalfLife = 2 * time.Hour
	// uncertaintySigmas is the number of standard deviations added to an expected coefficient, so
	// that a class without observations counts as worse than a class with a low estimate.
	uncertaintySigmas = 0.5
	// maxReportTimes bounds the number of workers whose last report time is kept.
	maxReportTimes = 4096
	// maxSizeRatio is the largest factor by which a declared size is corrected.
	maxSizeRatio = 8
	// minSizeGain is the least weight of a new measurement in the correction of declared sizes.
	minSizeGain = 0.05
)

// victimModel is the Kalman filter state of one victim class: the coefficients of its
// neighbour classes and their covariance. The covariance records that the effects of classes that
// always run together cannot be told apart; independent variances would hide this.
type victimModel struct {
	mean      [maxClasses]float64
	cov       [maxClasses * maxClasses]float64
	updatedAt time.Time // measurement time of the last report used
}

// runningRatio is a running mean and mean absolute deviation of measured over declared size.
type runningRatio struct{ mean, deviation float64 }

// sizeRatio is the ratio of measured to declared size of a class, for cores and for memory.
type sizeRatio struct {
	cores, memory runningRatio
	count         int
}

// estimator estimates, from workers' reports, the interference between classes and the actual
// sizes of their tasks.
type estimator struct {
	classes        map[string]int           // table index by class name, from 1; 0 is shared by classes beyond maxClasses
	victims        [maxClasses]*victimModel // by victim class; nil without observations
	sizes          [maxClasses]sizeRatio
	lastReports    map[string]time.Time // by worker: measurement time of the last report used
	classLoads     [maxClasses]float64  // scratch of Observe: share of the worker's cores used, by class
	presentClasses []int                // scratch of Observe: classes with a load
}

func newEstimator() *estimator {
	return &estimator{classes: map[string]int{}, lastReports: map[string]time.Time{}}
}

func newVictimModel(at time.Time) *victimModel {
	m := &victimModel{updatedAt: at}
	for i := range maxClasses {
		m.mean[i] = priorCoefficient
		m.cov[i*maxClasses+i] = priorCoefficientVariance
	}
	return m
}

// classIndex returns the table index of a class and adds the class if there is space.
func (e *estimator) classIndex(class string) int {
	i, ok := e.classes[class]
	if ok {
		return i
	}
	if len(e.classes) >= maxClasses-1 {
		return 0
	}
	i = len(e.classes) + 1
	e.classes[class] = i
	return i
}

// classCount returns the number of table entries in use, including entry 0.
func (e *estimator) classCount() int { return len(e.classes) + 1 }

// decayFactor returns the weight that observations keep after the given age.
func decayFactor(age time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(coefficientHalfLife))
}

// minDecayInterval is the shortest time between two decays of a model. Applying the decay for each
// report would cost more than the update with the report.
const minDecayInterval = time.Minute

// decay moves the coefficients of the first count classes and their covariance towards the prior.
func (m *victimModel) decay(at time.Time, count int) {
	age := at.Sub(m.updatedAt)
	if age < minDecayInterval {
		return
	}
	factor := decayFactor(age)
	m.updatedAt = at
	for i := range count {
		m.mean[i] = priorCoefficient + (m.mean[i]-priorCoefficient)*factor
		for j := range count {
			m.cov[i*maxClasses+j] *= factor
		}
		m.cov[i*maxClasses+i] += (1 - factor) * priorCoefficientVariance
	}
}

// coefficient returns the expected slowdown that the neighbour class adds to the victim class
// per share of the worker's cores, and its standard deviation.
func (e *estimator) coefficient(victim, neighbour int, now time.Time) (mean, sigma float64) {
	m := e.victims[victim]
	if m == nil {
		return priorCoefficient, math.Sqrt(priorCoefficientVariance)
	}
	factor := decayFactor(now.Sub(m.updatedAt))
	mean = priorCoefficient + (m.mean[neighbour]-priorCoefficient)*factor
	variance := m.cov[neighbour*maxClasses+neighbour]*factor + priorCoefficientVariance*(1-factor)
	return max(0, mean), math.Sqrt(max(0, variance))
}

// pessimisticCoefficient returns the expected coefficient plus a margin for its uncertainty.
func (e *estimator) pessimisticCoefficient(victim, neighbour int, now time.Time) float64 {
	mean, sigma := e.coefficient(victim, neighbour, now)
	return mean + uncertaintySigmas*sigma
}

// acceptReport reports whether a report is newer than the last one used of the worker. If so, the
// report counts as used.
func (e *estimator) acceptReport(worker string, measuredAt time.Time) bool {
	last, ok := e.lastReports[worker]
	if ok && !measuredAt.After(last) {
		return false
	}
	if !ok && len(e.lastReports) >= maxReportTimes {
		e.evictOldestReport()
	}
	e.lastReports[worker] = measuredAt
	return true
}

func (e *estimator) evictOldestReport() {
	oldest, at := "", time.Time{}
	for w, t := range e.lastReports {
		if oldest == "" || t.Before(at) || t.Equal(at) && w < oldest {
			oldest, at = w, t
		}
	}
	delete(e.lastReports, oldest)
}

// Observe updates the interference model and the size correction from a report. w.AssignedTasks
// must be the tasks and figures that were measured at w.MeasuredAt. A report that is not newer
// than the last one used of the worker changes nothing.
func (p *Placer) Observe(w Worker, now time.Time) {
	e := p.estimator
	if w.Capacity.Cores <= 0 || w.MeasuredAt.After(now) || !e.acceptReport(w.Name, w.MeasuredAt) {
		return
	}
	e.presentClasses = e.presentClasses[:0]
	for i := range w.AssignedTasks {
		r := &w.AssignedTasks[i]
		if r.LastAction.After(w.MeasuredAt) {
			// The report may have been measured before the action took effect.
			return
		}
		if r.Started.After(w.MeasuredAt) {
			continue
		}
		class := e.classIndex(r.Class)
		if e.classLoads[class] == 0 {
			e.presentClasses = append(e.presentClasses, class)
		}
		e.classLoads[class] += r.usedCores() / w.Capacity.Cores
		e.updateSizeRatio(class, r)
	}
	for i := range w.AssignedTasks {
		r := &w.AssignedTasks[i]
		if r.Slowdown > 0 && !r.Started.After(w.MeasuredAt) {
			e.updateCoefficients(e.classIndex(r.Class), r.usedCores()/w.Capacity.Cores, r.Slowdown-1, w.MeasuredAt)
		}
	}
	for _, c := range e.presentClasses {
		e.classLoads[c] = 0
	}
}

// updateCoefficients updates the Kalman filter of a victim class with one measured excess
// slowdown.
func (e *estimator) updateCoefficients(victim int, ownLoad, excess float64, at time.Time) {
	m := e.victims[victim]
	if m == nil {
		m = newVictimModel(at)
		e.victims[victim] = m
	}
	n := e.classCount()
	m.decay(at, n)
	var covLoads [maxClasses]float64 // covariance matrix times the load vector
	predicted, variance := 0.0, reportNoiseVariance
	for _, c := range e.presentClasses {
		load := e.neighbourLoad(c, victim, ownLoad)
		if load <= 0 {
			continue
		}
		predicted += load * m.mean[c]
		for i := range n {
			covLoads[i] += load * m.cov[i*maxClasses+c]
		}
	}
	for _, c := range e.presentClasses {
		variance += e.neighbourLoad(c, victim, ownLoad) * covLoads[c]
	}
	// Clipping limits how much of a slowdown with another cause is attributed to the neighbours.
	bound := outlierSigmas * math.Sqrt(variance)
	innovation := min(bound, max(-bound, excess-predicted))
	for i := range n {
		gain := covLoads[i] / variance
		if gain == 0 {
			continue
		}
		m.mean[i] += gain * innovation
		for j := range n {
			m.cov[i*maxClasses+j] -= gain * covLoads[j]
		}
	}
}

// neighbourLoad returns the load of class c on the victim's worker, without the victim's own load.
func (e *estimator) neighbourLoad(c, victim int, ownLoad float64) float64 {
	if c == victim {
		return max(0, e.classLoads[c]-ownLoad)
	}
	return e.classLoads[c]
}

// updateSizeRatio updates the size correction of a class with one measured size. The measurement
// of a throttled task is ignored, because the throttle limits its usage.
func (e *estimator) updateSizeRatio(class int, r *AssignedTask) {
	if r.Measured.Cores <= 0 || r.Declared.Cores <= 0 || r.Throttled > 0 && r.Throttled < 1 {
		return
	}
	s := &e.sizes[class]
	s.count++
	gain := max(minSizeGain, 1/float64(s.count))
	s.cores.update(r.Measured.Cores/r.Declared.Cores, gain)
	if r.Declared.Memory > 0 {
		s.memory.update(float64(r.Measured.Memory)/float64(r.Declared.Memory), gain)
	}
}

func (r *runningRatio) update(x, gain float64) {
	deviation := x - r.mean
	r.mean += gain * deviation
	if gain == 1 {
		return // the first sample has no deviation
	}
	r.deviation += gain * (math.Abs(deviation) - r.deviation)
}

// factor returns the factor by which a declared size is multiplied, between 1 and maxSizeRatio.
func (r runningRatio) factor() float64 {
	return min(maxSizeRatio, max(1, r.mean+r.deviation))
}

// minSizeSamples is the number of measurements of a class below which its declared sizes are
// not corrected.
const minSizeSamples = 3

// expectedSize returns the size that a task of the class is expected to reach. It is not below
// the declared size.
func (e *estimator) expectedSize(class int, declared configurator.Resources) configurator.Resources {
	s := &e.sizes[class]
	if s.count < minSizeSamples {
		return declared
	}
	declared.Cores *= s.cores.factor()
	declared.Memory = int64(float64(declared.Memory) * s.memory.factor())
	return declared
}

// InterferenceCoefficient returns the expected slowdown that a neighbour of one class adds to a
// victim of another class per share of the worker's cores that the neighbour uses, and its
// standard deviation.
func (p *Placer) InterferenceCoefficient(victim, neighbour string, now time.Time) (mean, sigma float64) {
	return p.estimator.coefficient(p.estimator.classIndex(victim), p.estimator.classIndex(neighbour), now)
}
