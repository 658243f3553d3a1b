package orchestrator

import (
	"slices"
	"time"
)

const (
	// pressureSettle is how long after a change of a worker's fillers its figures still
	// show what was before: they cover half a second and are looked up with a delay.
	pressureSettle = 700 * time.Millisecond
	// idleTail is the tail latency of an idle task as a share of its target, until a
	// lower one is seen.
	idleTail = 0.22
	// usualLoad is the utilization that a task's own callers cause, until it was measured,
	// and ownWeight the weight of one measurement in it. It varies within seconds; loads
	// outside of leastLoad and mostLoad are taken as errors.
	usualLoad, leastLoad, mostLoad = 0.44, 0.15, 0.72
	ownWeight                      = 0.5
	// limitLoad is the utilization at which a tail is near its target, and loadRise what a
	// task's own load may rise by while a filler runs.
	limitLoad = 0.76
	loadRise  = 0.08
	// doubt is added to each coefficient before a filler starts: small errors of many
	// fillers on one worker add up.
	doubt = 0.08
	// pressureBudget is the utilization that fillers may add. While a task's own load is
	// below idleLoad they may add the difference, up to idleBudget: as it rises, they are
	// slowed.
	pressureBudget = 0.06
	idleLoad       = 0.60
	idleBudget     = 0.16
	// firstCoefficient is taken for pairs of which nothing is known. Most are near 0, some
	// between 1 and 3.
	firstCoefficient = 0.4
	maxCoefficient   = 20.0
	// firstVariance is that of the coefficients of which nothing is known, tailVariance
	// that of one measured utilization around the model: a task's own load varies by a
	// quarter of its mean, and successive samples of a task vary together. driftVariance
	// is added with each sample, so that late samples still count.
	firstVariance = 0.5
	tailVariance  = 0.05
	driftVariance = 0.0002
	// maxFillers bounds the memory for one image. The fillers beyond it share one entry.
	maxFillers = 64
	// meanWeight is the weight of one sample in an image's mean own load.
	meanWeight = 0.02
	// pressureTrials bounds the fillers that are started at the same time beside tasks
	// of an image whose reaction to them is not known.
	pressureTrials = 3
	trialTime      = 1200 * time.Millisecond
)

// reaction is how the fillers of an image disturb tasks of an image with a latency target.
type reaction struct {
	filler      string // empty: all fillers beyond maxFillers
	coefficient float64
	samples     int
	trials      []time.Time // starts before there was a sample
	// covariance is that of the coefficient with those of other fillers, by image.
	covariance map[string]float64
}

// pressure predicts how fillers raise the tail latency of the tasks beside them. The
// tail is taken as that of a queue, idle / (1 - utilization), whose utilization is the
// task's own load, which varies, plus for each filler a coefficient of the pair of images
// times the share of the worker's processors that the filler may use. Most pairs do not
// disturb each other; a few do so strongly.
type pressure struct {
	reactions map[string]map[string]*reaction // by image with a latency target, by filler
	idle      map[string]float64              // lowest tail of an image as a share of its target
	mean      map[string]float64              // mean own load of an image
}

func newPressure() pressure {
	return pressure{reactions: make(map[string]map[string]*reaction), idle: make(map[string]float64), mean: make(map[string]float64)}
}

func (p pressure) reaction(serving, filler string) *reaction {
	fillers := p.reactions[serving]
	if fillers == nil {
		fillers = make(map[string]*reaction)
		p.reactions[serving] = fillers
	}
	r := fillers[filler]
	if r == nil && len(fillers) >= maxFillers {
		filler = ""
		r = fillers[filler]
	}
	if r == nil {
		r = &reaction{filler: filler, coefficient: firstCoefficient, covariance: map[string]float64{filler: firstVariance}}
		fillers[filler] = r
	}
	return r
}

// added returns the utilization that fillers add for a serving image.
func (p pressure) added(serving string, loads map[string]float64) float64 {
	sum := 0.0
	for f, x := range loads {
		sum += p.reaction(serving, f).coefficient * x
	}
	return sum
}

// idleOf returns the tail of an idle task of an image as a share of its target.
func (p pressure) idleOf(serving string) float64 {
	if idle, ok := p.idle[serving]; ok {
		return idle
	}
	return idleTail
}

// utilization returns the utilization that a tail, as a share of the target, stands for.
func (p pressure) utilization(serving string, tail float64) float64 {
	idle := p.idleOf(serving)
	if tail < idle {
		idle = tail
		p.idle[serving] = tail
	}
	return 1 - idle/tail
}

// learn takes up a measured tail. What the fillers do not explain is the task's own load,
// which varies around the image's mean.
func (p pressure) learn(serving string, tail float64, loads map[string]float64) {
	mean, ok := p.mean[serving]
	if !ok {
		mean = usualLoad
	}
	failure := p.utilization(serving, tail) - mean - p.added(serving, loads)
	p.mean[serving] = min(mostLoad, max(leastLoad, mean+meanWeight*failure))
	p.correct(serving, loads, failure)
}

// correct changes the coefficients of the fillers beside a task of a serving image by the
// part of a prediction's error that is probably theirs: a Kalman filter whose state is the
// coefficients of one serving image. Fillers that always run together stay uncertain
// together.
func (p pressure) correct(serving string, loads map[string]float64, failure float64) {
	present := make(map[string]float64, len(loads))
	for f, x := range loads {
		if x > 0 {
			present[p.reaction(serving, f).filler] += x
		}
	}
	for f := range present {
		r := p.reaction(serving, f)
		r.samples++
		r.trials = nil
		r.covariance[f] += driftVariance
	}
	total := tailVariance
	shared := make(map[string]float64) // covariance of each coefficient with the sample
	for f, r := range p.reactions[serving] {
		c := 0.0
		for other, x := range present {
			c += r.covariance[other] * x
		}
		if c != 0 {
			shared[f] = c
			total += c * present[f]
		}
	}
	for f, c := range shared {
		r := p.reaction(serving, f)
		r.coefficient = min(maxCoefficient, max(0, r.coefficient+c/total*failure))
		for other, d := range shared {
			r.covariance[other] -= c * d / total
		}
	}
}

// outlook is what is predicted for the tasks of an image with a latency target.
type outlook struct {
	image string
	left  float64 // utilization that fillers may still add
}

// outlookEvery bounds the age of a worker's predictions.
const outlookEvery = 100 * time.Millisecond

// fillLoads returns the share of the worker's processors that fillers may use at the
// given percent of their speed, by image.
func (w *worker) fillLoads(percent func(*run) int) map[string]float64 {
	loads := make(map[string]float64)
	for _, r := range w.runs {
		if r.task.step.Fills {
			loads[r.task.step.Image] += w.fillLoad(r.task.step.Step, percent(r))
		}
	}
	return loads
}

func (w *worker) fillLoad(s *Step, percent int) float64 {
	return float64(s.Size.CPU) * float64(percent) / 100 / float64(max(1, w.Room.CPU))
}

// outlooks returns the predictions for the tasks with a latency target on a worker.
func (o *Orchestrator) outlooks(w *worker) []outlook {
	if w.load.serving == 0 {
		return nil
	}
	if w.foreseen && o.now.Sub(w.foreseenAt) < outlookEvery {
		return w.outlooks
	}
	w.foreseen, w.foreseenAt, w.outlooks = true, o.now, w.outlooks[:0]
	loads := w.fillLoads((*run).speed)
	total := float64(w.load.filling) / float64(max(1, w.Room.CPU))
	for _, r := range w.runs {
		if r.task.step.LatencyTarget <= 0 {
			continue
		}
		image := r.task.step.Image
		left := min(max(pressureBudget, idleLoad-r.own), idleBudget, limitLoad-loadRise-r.own) - o.pressure.added(image, loads) - doubt*total
		if i := slices.IndexFunc(w.outlooks, func(k outlook) bool { return k.image == image }); i >= 0 {
			w.outlooks[i].left = min(w.outlooks[i].left, left)
			continue
		}
		w.outlooks = append(w.outlooks, outlook{image: image, left: left})
	}
	return w.outlooks
}

// learnPressure takes up the tails of a look at a worker whose fillers have not changed
// for a while.
func (o *Orchestrator) learnPressure(w *worker, rows []RunningRow) {
	if w.load.serving == 0 {
		return
	}
	for _, r := range w.runs {
		if r.task.step.Fills && (o.now.Sub(r.startedAt) < pressureSettle || o.now.Sub(r.paceSent) < pressureSettle) {
			return
		}
	}
	loads := w.fillLoads((*run).speed)
	for _, row := range rows {
		r := w.runs[runKey{row.Task, row.Run}]
		if r == nil || r.task.step.LatencyTarget <= 0 || row.Figure <= 0 {
			continue
		}
		image := r.task.step.Image
		o.pressure.learn(image, r.tail, loads)
		own := min(mostLoad, max(leastLoad, o.pressure.utilization(image, r.tail)-o.pressure.added(image, loads)))
		r.own += ownWeight * (own - r.own)
	}
}

// besides returns the least utilization that fillers may still add on a worker once one
// of the step runs there too; below 0 a task would come near its target.
func (o *Orchestrator) besides(s *step, w *worker) float64 {
	left := pressureBudget
	x := w.fillLoad(s.Step, 100)
	for _, k := range o.outlooks(w) {
		r := o.pressure.reaction(k.image, s.Image)
		if r.samples == 0 && r.trying(o.now) >= pressureTrials {
			return -limitLoad
		}
		left = min(left, k.left-(r.coefficient+doubt)*x)
	}
	return left
}

// harmless reports whether a filler of the step is known to disturb no task with a
// latency target on a worker.
func (o *Orchestrator) harmless(s *step, w *worker) bool {
	x := w.fillLoad(s.Step, 100)
	for _, k := range o.outlooks(w) {
		r := o.pressure.reaction(k.image, s.Image)
		if r.samples < knownSamples || r.coefficient*x > harmlessLoad {
			return false
		}
	}
	return true
}

// A filler is harmless if it adds at most harmlessLoad to the utilization of each task
// beside it, by a coefficient from at least knownSamples samples.
const (
	knownSamples = 30
	harmlessLoad = 0.01
)

// startPace returns the pace at which a filler of the step starts on a worker: the whole,
// unless a task there would come near its target.
func (o *Orchestrator) startPace(s *step, w *worker) int {
	if !s.Fills {
		return 100
	}
	pace := 1.0
	x := w.fillLoad(s.Step, 100)
	for _, k := range o.outlooks(w) {
		if add := o.pressure.reaction(k.image, s.Image).coefficient * x; add > negligible && add > k.left {
			pace = min(pace, k.left/add)
		}
	}
	return max(paceFloor, int(100*pace))
}

// disturbs returns the share of the images with a latency target that a filler of the
// step would disturb.
func (o *Orchestrator) disturbs(s *step) float64 {
	if len(o.pressure.mean) == 0 {
		return 0
	}
	n := 0
	for image := range o.pressure.mean {
		if o.pressure.reaction(image, s.Image).coefficient >= disturbing {
			n++
		}
	}
	return float64(n) / float64(len(o.pressure.mean))
}

// disturbing is the coefficient from which a pair is kept apart if possible: with it a
// filler of a tenth of a worker uses up most of the budget.
const disturbing = 0.6

// trying returns the number of recent starts of a filler whose effect is not known.
func (r *reaction) trying(now time.Time) int {
	r.trials = slices.DeleteFunc(r.trials, func(t time.Time) bool { return now.Sub(t) > trialTime })
	return len(r.trials)
}

// try records the start of a filler beside images that were never seen beside it.
func (o *Orchestrator) try(s *step, w *worker) {
	if !s.Fills {
		return
	}
	for _, k := range o.outlooks(w) {
		if r := o.pressure.reaction(k.image, s.Image); r.samples == 0 {
			r.trials = append(r.trials, o.now)
		}
	}
	w.foreseen = false
}

// endures returns the utilization that a worker's present fillers add for a task with a
// latency target.
func (o *Orchestrator) endures(s *step, w *worker) float64 {
	if w.load.filling == 0 {
		return 0
	}
	return o.pressure.added(s.Image, w.fillLoads((*run).speed))
}
