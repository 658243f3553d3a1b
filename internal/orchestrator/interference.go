package orchestrator

import (
	"math"
	"slices"
	"time"
)

const (
	// measurementDelay is how long after a change of a worker's best-effort tasks or their
	// speed limits its tail latencies still show the state before the change. Tail latencies
	// cover the last half second and are polled with a delay.
	measurementDelay = 700 * time.Millisecond
	// defaultIdleTailRatio is the tail latency of an idle task as a share of its latency
	// target, until a lower one is measured.
	defaultIdleTailRatio = 0.22
	// defaultOwnLoad is the utilization that a task's own callers cause, until it is measured.
	defaultOwnLoad = 0.44
	// Measured own loads are limited to the range from minOwnLoad to maxOwnLoad; values outside
	// are measurement errors.
	minOwnLoad = 0.15
	maxOwnLoad = 0.72
	// ownLoadWeight is the weight of one measurement in a task's own load. It is high because
	// the own load varies within seconds.
	ownLoadWeight = 0.5
	// targetReserve is the difference between the utilization at which the model gives a tail
	// latency equal to the latency target and the highest that best-effort tasks may cause.
	targetReserve = 0.02
	// maxOwnLoadRise is the reserve for a rise of a task's own load while a best-effort task
	// runs.
	maxOwnLoadRise = 0.08
	// marginDeviations is the margin for the errors of the coefficients before a best-effort
	// task starts, in standard deviations.
	marginDeviations = 0.25
	// baseBudget is the utilization that best-effort tasks may add, unless the difference
	// utilizationLimit - maxOwnLoadRise - own load is smaller.
	baseBudget = 0.06
	// lowTotalUtilization is the sum of own load and added utilization up to which best-effort tasks may
	// add more than baseBudget, but at most maxBudget. When the own load rises, the tasks are
	// throttled.
	lowTotalUtilization = 0.60
	// maxBudget is the most utilization that best-effort tasks may add at a low own load.
	maxBudget = 0.16
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
	// initialOwnLoadVariance is the variance of a step's own load without samples.
	initialOwnLoadVariance = 0.03
	// ownLoadDrift is the variance by which a step's own load may change within a second.
	ownLoadDrift = 0.02
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
	return interferenceModel{pairs: make(map[string]map[string]*pairEstimate), idleTailRatios: make(map[string]float64), meanOwnLoad: make(map[string]float64), sampleVariances: make(map[string]float64)}
}

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
	if added < noise {
		noise += sampleVarianceWeight * (residual*residual - total)
		m.sampleVariances[critical] = min(initialSampleVariance, max(minSampleVariance, noise))
	}
	gain := e.variance / total
	m.updateCoefficients(critical, loads, residual, noise+e.variance)
	e.mean = min(maxOwnLoad, max(minOwnLoad, e.mean+gain*residual))
	e.variance *= 1 - gain
	*own = e
	m.meanOwnLoad[critical] = mean + meanLoadWeight*(e.mean-mean)
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

// headroom is the predicted utilization that best-effort tasks may still add to the tasks of
// a latency-critical image on a worker.
type headroom struct {
	image       string
	utilization float64 // utilization that may still be added; negative: too much is added
}

// headroomMaxAge bounds the age of a worker's cached headrooms.
const headroomMaxAge = 100 * time.Millisecond

// bestEffortLoads returns the share of the worker's processors that best-effort tasks may
// use, by image. percent returns the speed limit of a run in percent.
func (w *worker) bestEffortLoads(percent func(*run) int) map[string]float64 {
	loads := make(map[string]float64)
	for _, r := range w.runs {
		if r.task.step.Fills {
			loads[r.task.step.Image] += w.bestEffortLoad(r.task.step.Step, percent(r))
		}
	}
	return loads
}

// bestEffortLoad returns the share of the worker's processors that a best-effort task of the
// step may use at a speed limit of percent.
func (w *worker) bestEffortLoad(s *Step, percent int) float64 {
	return float64(s.Size.CPU) * float64(percent) / 100 / float64(max(1, w.Capacity.CPU))
}

// headrooms returns the headroom of each latency-critical image on a worker.
func (o *Orchestrator) headrooms(w *worker) []headroom {
	if w.load.latencyCritical == 0 {
		return nil
	}
	if w.headroomsValid && o.now.Sub(w.headroomsAt) < headroomMaxAge {
		return w.headrooms
	}
	w.headroomsValid, w.headroomsAt, w.headrooms = true, o.now, w.headrooms[:0]
	loads := w.bestEffortLoads((*run).effectiveSpeed)
	for _, r := range w.runs {
		if r.task.step.LatencyTarget <= 0 {
			continue
		}
		image := r.task.step.Image
		// The allowed addition, less the predicted addition of the present best-effort tasks and
		// a margin for the errors of their coefficients.
		left := min(max(baseBudget, lowTotalUtilization-r.ownLoad), maxBudget, o.interference.utilizationLimit(image)-maxOwnLoadRise-r.ownLoad) - o.interference.addedUtilization(image, loads) - marginDeviations*math.Sqrt(o.interference.addedVariance(image, loads))
		if i := slices.IndexFunc(w.headrooms, func(h headroom) bool { return h.image == image }); i >= 0 {
			w.headrooms[i].utilization = min(w.headrooms[i].utilization, left)
			continue
		}
		w.headrooms = append(w.headrooms, headroom{image: image, utilization: left})
	}
	return w.headrooms
}

// updateInterference updates the model and the own loads with the tail latencies from a poll
// of a worker, unless its best-effort tasks have changed within measurementDelay. The Figure
// of a latency-critical run is its tail latency in ms, 0 if unknown; the tailRatio of the run
// is computed from it.
func (o *Orchestrator) updateInterference(w *worker, rows []RunningRun) {
	if w.load.latencyCritical == 0 {
		return
	}
	for _, r := range w.runs {
		if r.task.step.Fills && (o.now.Sub(r.startedAt) < measurementDelay || o.now.Sub(r.throttleSentAt) < measurementDelay) {
			return
		}
	}
	loads := w.bestEffortLoads((*run).effectiveSpeed)
	for _, row := range rows {
		r := w.runs[runKey{row.Task, row.Run}]
		if r == nil || r.task.step.LatencyTarget <= 0 || row.Figure <= 0 {
			continue
		}
		image := r.task.step.Image
		estimate := &r.task.step.ownLoad
		if !o.enabled(MechanismStepLoad) {
			estimate = &r.ownLoadEstimate
		}
		o.interference.update(estimate, image, r.tailRatio, loads, o.now)
		own := min(maxOwnLoad, max(minOwnLoad, o.interference.utilization(image, r.tailRatio)-o.interference.addedUtilization(image, loads)))
		r.ownLoad += ownLoadWeight * (own - r.ownLoad)
	}
}

// headroomWith returns the utilization that best-effort tasks may still add on a worker
// after a task of the step has started there too. It is the lowest value over the worker's
// latency-critical images, and at most baseBudget. Below 0, a tail latency is predicted to come
// near its target.
func (o *Orchestrator) headroomWith(s *step, w *worker) float64 {
	left := baseBudget
	load := w.bestEffortLoad(s.Step, 100)
	for _, h := range o.headrooms(w) {
		e := o.interference.pair(h.image, s.Image)
		left = min(left, h.utilization-(e.coefficient+marginDeviations*math.Sqrt(e.covariance[e.bestEffort]))*load)
	}
	return left
}

// harmless reports whether samples show that a best-effort task of the step interferes with
// no latency-critical task on a worker.
func (o *Orchestrator) harmless(s *step, w *worker) bool {
	load := w.bestEffortLoad(s.Step, 100)
	for _, h := range o.headrooms(w) {
		e := o.interference.pair(h.image, s.Image)
		if e.samples < harmlessMinSamples || e.coefficient*load > harmlessUtilization {
			return false
		}
	}
	return true
}

// Bounds for a harmless best-effort task.
const (
	// harmlessMinSamples is the number of samples from which a coefficient may show that a
	// task is harmless.
	harmlessMinSamples = 30
	// harmlessUtilization is the most utilization that a harmless task adds to each
	// latency-critical task beside it.
	harmlessUtilization = 0.02
)

// initialSpeed returns the speed limit in percent with which a task of the step starts on a
// worker: 100, unless the task would add more to a latency-critical image than its headroom.
func (o *Orchestrator) initialSpeed(s *step, w *worker) int {
	if !s.Fills {
		return 100
	}
	speed := 1.0
	load := w.bestEffortLoad(s.Step, 100)
	for _, h := range o.headrooms(w) {
		if add := o.interference.pair(h.image, s.Image).coefficient * load; add > minThrottledUtilization && add > h.utilization {
			speed = min(speed, h.utilization/add)
		}
	}
	return max(minRunSpeed, int(100*speed))
}

// interferingShare returns the share of the latency-critical images with which a best-effort
// task of the step interferes by at least separationCoefficient.
func (o *Orchestrator) interferingShare(s *step) float64 {
	if len(o.interference.meanOwnLoad) == 0 {
		return 0
	}
	n := 0
	for image := range o.interference.meanOwnLoad {
		if o.interference.pair(image, s.Image).coefficient >= separationCoefficient {
			n++
		}
	}
	return float64(n) / float64(len(o.interference.meanOwnLoad))
}

// separationCoefficient is the coefficient from which a pair of images is kept on separate
// workers if possible. With this coefficient, a best-effort task that uses a tenth of a worker
// adds as much as baseBudget.
const separationCoefficient = 0.6

// interferenceOn returns the utilization that a worker's present best-effort tasks would
// add to a latency-critical task of the step.
func (o *Orchestrator) interferenceOn(s *step, w *worker) float64 {
	if w.load.bestEffort == 0 {
		return 0
	}
	return o.interference.addedUtilization(s.Image, w.bestEffortLoads((*run).effectiveSpeed))
}
