package placer

import (
	"math"
	"time"

	"peridotpitch/internal/configurator"
)

// Settings of the estimator. Interference is modelled as the victim's slowdown minus 1,
// equal to the sum over its neighbours' classes of a coefficient times the share of the
// worker's cores that the class uses.
const (
	// maxClasses bounds the table of pairs. Further classes share entry 0.
	maxClasses = 64
	// priorHarm and priorVariance describe a pair of classes that was never observed.
	priorHarm     = 0.3
	priorVariance = 0.25
	// reportNoise is the variance of one measured slowdown around the model.
	reportNoise = 0.02
	// harmHalfLife is the time after which half of what is known about a pair has been
	// replaced by the prior.
	harmHalfLife = 2 * time.Hour
	// cautionSigmas is how many standard deviations are added to the expected harm to a
	// service, so that an unknown neighbour counts as worse than a known mild one.
	cautionSigmas = 0.5
	// maxWorkersSeen bounds the table of report times.
	maxWorkersSeen = 4096
	// maxSizeRatio bounds the correction of declared sizes.
	maxSizeRatio = 8
	// sizeGain is the weight of a new measurement in the correction of declared sizes.
	sizeGain = 0.05
)

// row is what is known about one victim class: the coefficients of its neighbours and
// their covariance. Classes that always appear together stay uncertain together, which
// independent variances would hide.
type row struct {
	mean [maxClasses]float64
	cov  [maxClasses * maxClasses]float64
	at   time.Time // when the last used report was measured
}

// ratio is a running mean and absolute deviation of measured over declared size.
type ratio struct{ mean, deviation float64 }

type sizeRatio struct {
	cores, memory ratio
	count         int
}

type estimator struct {
	classes map[string]int
	rows    [maxClasses]*row // by victim, nil: nothing observed
	sizes   [maxClasses]sizeRatio
	seen    map[string]time.Time // by worker: when the last used report was measured
	loads   [maxClasses]float64  // scratch
	present []int                // scratch: classes with a load
}

func newEstimator() *estimator {
	return &estimator{classes: map[string]int{}, seen: map[string]time.Time{}}
}

func newRow(at time.Time) *row {
	r := &row{at: at}
	for i := range maxClasses {
		r.mean[i] = priorHarm
		r.cov[i*maxClasses+i] = priorVariance
	}
	return r
}

// index returns the table index of a class.
func (e *estimator) index(class string) int {
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

// count returns the number of table entries in use, including entry 0.
func (e *estimator) count() int { return len(e.classes) + 1 }

// kept returns the share of knowledge that remains after a time.
func kept(age time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(harmHalfLife))
}

// fadeStep is the age from which fading is applied to a row; applying it for each report
// would cost more than learning from it.
const fadeStep = time.Minute

// fade moves a row towards the prior.
func (r *row) fade(at time.Time, count int) {
	age := at.Sub(r.at)
	if age < fadeStep {
		return
	}
	keep := kept(age)
	r.at = at
	for i := range count {
		r.mean[i] = priorHarm + (r.mean[i]-priorHarm)*keep
		for j := range count {
			r.cov[i*maxClasses+j] *= keep
		}
		r.cov[i*maxClasses+i] += (1 - keep) * priorVariance
	}
}

// harm returns the expected slowdown per share of cores that neighbour adds to victim,
// and its standard deviation.
func (e *estimator) harm(victim, neighbour int, now time.Time) (mean, sigma float64) {
	r := e.rows[victim]
	if r == nil {
		return priorHarm, math.Sqrt(priorVariance)
	}
	keep := kept(now.Sub(r.at))
	mean = priorHarm + (r.mean[neighbour]-priorHarm)*keep
	variance := r.cov[neighbour*maxClasses+neighbour]*keep + priorVariance*(1-keep)
	return max(0, mean), math.Sqrt(max(0, variance))
}

// cautious returns the expected harm plus a margin for its uncertainty.
func (e *estimator) cautious(victim, neighbour int, now time.Time) float64 {
	mean, sigma := e.harm(victim, neighbour, now)
	return mean + cautionSigmas*sigma
}

// fresh reports whether a report was not used before, and marks it as used.
func (e *estimator) fresh(worker string, measured time.Time) bool {
	last, ok := e.seen[worker]
	if ok && !measured.After(last) {
		return false
	}
	if !ok && len(e.seen) >= maxWorkersSeen {
		e.forgetOldest()
	}
	e.seen[worker] = measured
	return true
}

func (e *estimator) forgetOldest() {
	oldest, at := "", time.Time{}
	for w, t := range e.seen {
		if oldest == "" || t.Before(at) || t.Equal(at) && w < oldest {
			oldest, at = w, t
		}
	}
	delete(e.seen, oldest)
}

// Observe learns from a report: w.Residents must be the tasks and figures of the report
// that was measured at w.ReportedAt. A report that was seen before changes nothing.
func (p *Placer) Observe(w Worker, now time.Time) {
	e := p.estimator
	if w.Capacity.Cores <= 0 || w.ReportedAt.After(now) || !e.fresh(w.Name, w.ReportedAt) {
		return
	}
	e.present = e.present[:0]
	for i := range w.Residents {
		r := &w.Residents[i]
		if r.LastAction.After(w.ReportedAt) {
			// The figures may stem from before or after the action.
			return
		}
		if r.Started.After(w.ReportedAt) {
			continue
		}
		class := e.index(r.Class)
		if e.loads[class] == 0 {
			e.present = append(e.present, class)
		}
		e.loads[class] += r.cores() / w.Capacity.Cores
		e.learnSize(class, r)
	}
	for i := range w.Residents {
		r := &w.Residents[i]
		if r.Slowdown > 0 && !r.Started.After(w.ReportedAt) {
			e.learnHarm(e.index(r.Class), r.cores()/w.Capacity.Cores, r.Slowdown-1, w.ReportedAt)
		}
	}
	for _, c := range e.present {
		e.loads[c] = 0
	}
}

// learnHarm corrects the coefficients of a victim by one measured excess slowdown: a
// Kalman filter whose state is the victim's row.
func (e *estimator) learnHarm(victim int, ownLoad, excess float64, at time.Time) {
	r := e.rows[victim]
	if r == nil {
		r = newRow(at)
		e.rows[victim] = r
	}
	n := e.count()
	r.fade(at, n)
	var spread [maxClasses]float64 // covariance times the loads
	predicted, variance := 0.0, reportNoise
	for _, c := range e.present {
		x := e.neighbourLoad(c, victim, ownLoad)
		if x <= 0 {
			continue
		}
		predicted += x * r.mean[c]
		for i := range n {
			spread[i] += x * r.cov[i*maxClasses+c]
		}
	}
	for _, c := range e.present {
		variance += e.neighbourLoad(c, victim, ownLoad) * spread[c]
	}
	for i := range n {
		gain := spread[i] / variance
		if gain == 0 {
			continue
		}
		r.mean[i] += gain * (excess - predicted)
		for j := range n {
			r.cov[i*maxClasses+j] -= gain * spread[j]
		}
	}
}

// neighbourLoad is the load of class c that a victim sees: without the victim itself.
func (e *estimator) neighbourLoad(c, victim int, ownLoad float64) float64 {
	if c == victim {
		return max(0, e.loads[c]-ownLoad)
	}
	return e.loads[c]
}

func (e *estimator) learnSize(class int, r *Resident) {
	if r.Measured.Cores <= 0 || r.Declared.Cores <= 0 || r.Throttled > 0 && r.Throttled < 1 {
		return
	}
	s := &e.sizes[class]
	s.count++
	gain := max(sizeGain, 1/float64(s.count))
	s.cores.learn(r.Measured.Cores/r.Declared.Cores, gain)
	if r.Declared.Memory > 0 {
		s.memory.learn(float64(r.Measured.Memory)/float64(r.Declared.Memory), gain)
	}
}

func (r *ratio) learn(x, gain float64) {
	d := x - r.mean
	r.mean += gain * d
	if gain == 1 {
		return // the first sample has no deviation
	}
	r.deviation += gain * (math.Abs(d) - r.deviation)
}

// factor returns by how much a declared size is multiplied, at least 1.
func (r ratio) factor() float64 {
	return min(maxSizeRatio, max(1, r.mean+r.deviation))
}

// minSizeSamples is the number of measurements below which declared sizes are not
// corrected.
const minSizeSamples = 3

// expected returns the size that a task of a class will probably reach, at least the
// declared one.
func (e *estimator) expected(class int, declared configurator.Resources) configurator.Resources {
	s := &e.sizes[class]
	if s.count < minSizeSamples {
		return declared
	}
	declared.Cores *= s.cores.factor()
	declared.Memory = int64(float64(declared.Memory) * s.memory.factor())
	return declared
}

// Estimate returns the expected slowdown that a neighbour of one class adds to a victim of
// another per share of the worker's cores that the neighbour uses, and its standard
// deviation.
func (p *Placer) Estimate(victim, neighbour string, now time.Time) (mean, sigma float64) {
	return p.estimator.harm(p.estimator.index(victim), p.estimator.index(neighbour), now)
}
