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
	// ownLoadWeight is the weight of one measurement in a task's own load. It is high because
	// the own load varies within seconds.
	ownLoadWeight = 0.5
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
)

// headroom is the predicted utilization that best-effort tasks may still add to the tasks of
// a latency-critical image on a worker.
type headroom struct {
	image       *criticalImage
	utilization float64 // utilization that may still be added; negative: too much is added
}

// headroomMaxAge bounds the age of a worker's cached headrooms. They are computed again after each change of the worker's
// runs, speed limits or own loads; the coefficients, which the answers of all workers change, may be as old as this.
const headroomMaxAge = 250 * time.Millisecond

// bestEffortLoads returns the share of the worker's processors that best-effort tasks may
// use, by image. percent returns the speed limit of a run in percent. The result is valid until
// the next call.
func (o *Orchestrator) bestEffortLoads(w *worker, percent func(*run) int) []imageLoad {
	loads := o.loadsBuffer[:0]
	for _, r := range w.runs {
		if r.task.step.Fills {
			loads = addLoad(loads, o.imageIndex(r.task.step), w.bestEffortLoad(r.task.step.Step, percent(r)))
		}
	}
	o.loadsBuffer = loads
	return loads
}

// imageIndex returns the index of a best-effort step's image in the interference model.
func (o *Orchestrator) imageIndex(s *step) int {
	if !s.imageIndexed {
		s.imageIndexed, s.imageIndex = true, o.interference.index(s.Image)
	}
	return s.imageIndex
}

// criticalImage returns the image of a latency-critical step in the interference model.
func (o *Orchestrator) criticalImage(s *step) *criticalImage {
	if s.critical == nil {
		s.critical = o.interference.image(s.Image)
	}
	return s.critical
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
	loads := o.bestEffortLoads(w, (*run).effectiveSpeed)
	for _, r := range w.runs {
		if r.task.step.LatencyTarget <= 0 {
			continue
		}
		image := o.criticalImage(r.task.step)
		// The allowed addition, less the predicted addition of the present best-effort tasks and
		// a margin for the errors of their coefficients.
		left := min(max(baseBudget, lowTotalUtilization-r.ownLoad), maxBudget, image.utilizationLimit()-maxOwnLoadRise-r.ownLoad) - image.addedUtilization(loads) - marginDeviations*math.Sqrt(image.addedVariance(loads))
		if i := slices.IndexFunc(w.headrooms, func(h headroom) bool { return h.image == image }); i >= 0 {
			w.headrooms[i].utilization = min(w.headrooms[i].utilization, left)
			continue
		}
		w.headrooms = append(w.headrooms, headroom{image: image, utilization: left})
	}
	return w.headrooms
}

// measurementWindow is the time that tail latencies cover, by the platform's description. Answers to polls that follow each other
// sooner, because runs have ended, show mostly the same measurements again.
const measurementWindow = 500 * time.Millisecond

// updateInterference updates the model and the own loads with the tail latencies from a poll
// of a worker, unless its best-effort tasks have changed within measurementDelay. The Figure
// of a latency-critical run is its tail latency in ms, 0 if unknown; the tailRatio of the run
// is computed from it.
func (o *Orchestrator) updateInterference(w *worker, rows []RunningRun) {
	if w.load.latencyCritical == 0 || o.enabled(MechanismSingleMeasurements) && o.now.Sub(w.modelledAt) < measurementWindow {
		return
	}
	for _, r := range w.runs {
		if r.task.step.Fills && (o.now.Sub(r.startedAt) < measurementDelay || o.now.Sub(r.throttleSentAt) < measurementDelay) {
			return
		}
	}
	w.modelledAt = o.now
	loads := o.bestEffortLoads(w, (*run).effectiveSpeed)
	for _, row := range rows {
		r := w.runByKey[runKey{row.Task, row.Run}]
		if r == nil || r.task.step.LatencyTarget <= 0 || row.Figure <= 0 {
			continue
		}
		image := o.criticalImage(r.task.step)
		estimate := &r.task.step.ownLoad
		if !o.enabled(MechanismStepLoad) {
			estimate = &r.ownLoadEstimate
		}
		image.update(estimate, r.tailRatio, loads, o.now)
		o.work.samples++
		own := min(maxOwnLoad, max(minOwnLoad, image.utilization(r.tailRatio)-image.addedUtilization(loads)))
		r.ownLoad += ownLoadWeight * (own - r.ownLoad)
	}
	w.headroomsValid = false
}

// upperCoefficient returns the coefficient with the margin for its errors.
func (e *pairEstimate) upperCoefficient() float64 {
	return e.coefficient + marginDeviations*math.Sqrt(e.covariance(e.index))
}

// headroomWith returns the utilization that best-effort tasks may still add on a worker
// after a task of the step has started there too. It is the lowest value over the worker's
// latency-critical images, and at most baseBudget. Below 0, a tail latency is predicted to come
// near its target.
func (o *Orchestrator) headroomWith(s *step, w *worker) float64 {
	left := baseBudget
	load, index := w.bestEffortLoad(s.Step, 100), o.imageIndex(s)
	for _, h := range o.headrooms(w) {
		e := h.image.pair(index)
		left = min(left, h.utilization-e.upperCoefficient()*load)
	}
	return left
}

// harmless reports whether samples show that a best-effort task of the step interferes with
// no latency-critical task on a worker.
func (o *Orchestrator) harmless(s *step, w *worker) bool {
	load, index := w.bestEffortLoad(s.Step, 100), o.imageIndex(s)
	for _, h := range o.headrooms(w) {
		e := h.image.pair(index)
		if e.samples < harmlessMinSamples || e.upperCoefficient()*load > harmlessUtilization {
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
	load, index := w.bestEffortLoad(s.Step, 100), o.imageIndex(s)
	for _, h := range o.headrooms(w) {
		if add := h.image.pair(index).coefficient * load; add > minThrottledUtilization && add > h.utilization {
			speed = min(speed, h.utilization/add)
		}
	}
	return max(minRunSpeed, int(100*speed))
}

// interferingShare returns the share of the latency-critical images with which a best-effort
// task of the step interferes by at least separationCoefficient. It is at most
// interferingShareMaxAge old.
func (o *Orchestrator) interferingShare(s *step) float64 {
	if !s.interferingAt.IsZero() && o.now.Sub(s.interferingAt) < interferingShareMaxAge {
		return s.interferingShare
	}
	s.interferingAt, s.interferingShare = o.now, 0
	measured, interfering := 0, 0
	for _, c := range o.interference.images {
		if !c.measured {
			continue
		}
		measured++
		if c.pair(o.imageIndex(s)).coefficient >= separationCoefficient {
			interfering++
		}
	}
	if measured > 0 {
		s.interferingShare = float64(interfering) / float64(measured)
	}
	return s.interferingShare
}

// interferingShareMaxAge bounds the age of a step's cached interferingShare.
const interferingShareMaxAge = 250 * time.Millisecond

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
	return o.criticalImage(s).addedUtilization(o.bestEffortLoads(w, (*run).effectiveSpeed))
}
