package orchestrator

import (
	"math"
	"slices"
	"time"
)

const (
	// pressureSettle is how long after a change of a worker's fillers its figures still
	// show what was before: they cover half a second and are looked up with a delay.
	pressureSettle = 700 * time.Millisecond
	// pressureGain is the part of a prediction's error that one sample corrects, and
	// pressureNoise keeps samples of small loads from large corrections.
	pressureGain  = 0.4
	pressureNoise = 0.002
	// maxPressure bounds the logarithm of a tail's rise that is learnt from.
	maxPressure = 3.0
	// calmTail is the assumed tail of a task that nothing disturbs, as a share of its
	// target, until it was measured; calmWeight that of one measurement.
	calmTail   = 0.45
	calmWeight = 0.05
)

// pair is an image with a latency target and one that fills beside it.
type pair struct{ serving, filler string }

// pressure predicts how much fillers raise the tail latency of a task beside them. The
// logarithm of the rise is taken as a sum over the fillers' images of a coefficient of
// the pair times the share of the worker's processors that they may use. Most pairs do
// not disturb each other; a few do so strongly.
type pressure struct {
	coefficients map[pair]float64
	calm         map[string]float64 // tail of an undisturbed image as a share of its target
}

func newPressure() pressure {
	return pressure{coefficients: make(map[pair]float64), calm: make(map[string]float64)}
}

// calmOf returns the undisturbed tail of an image as a share of its target.
func (p pressure) calmOf(image string) float64 {
	if c, ok := p.calm[image]; ok {
		return c
	}
	return calmTail
}

// rise returns the predicted logarithm of the rise of a serving image's tail.
func (p pressure) rise(serving string, loads map[string]float64) float64 {
	sum := 0.0
	for f, x := range loads {
		sum += p.coefficients[pair{serving, f}] * x
	}
	return sum
}

// tail returns the predicted tail as a share of its target.
func (p pressure) tail(serving string, loads map[string]float64) float64 {
	return p.calmOf(serving) * math.Exp(min(maxPressure, p.rise(serving, loads)))
}

// learn takes up a measured tail.
func (p pressure) learn(serving string, tail float64, loads map[string]float64) {
	if len(loads) == 0 {
		c := p.calmOf(serving)
		p.calm[serving] = c + calmWeight*(min(tail, 1)-c)
		return
	}
	measured := min(maxPressure, max(0, math.Log(tail/p.calmOf(serving))))
	failure := measured - min(maxPressure, p.rise(serving, loads))
	square := pressureNoise
	for _, x := range loads {
		square += x * x
	}
	for f, x := range loads {
		k := pair{serving, f}
		p.coefficients[k] = max(0, p.coefficients[k]+pressureGain*failure*x/square)
	}
}

// outlook is what is predicted for a task with a latency target, as logarithms.
type outlook struct {
	image string
	rise  float64 // of its tail by the fillers beside it
	slack float64 // further rise that keeps the tail below tailHigh
}

// outlookEvery bounds the age of a worker's predictions.
const outlookEvery = 100 * time.Millisecond

// fillLoads returns the share of the worker's processors that fillers may use, by image.
func (w *worker) fillLoads() map[string]float64 {
	loads := make(map[string]float64)
	for _, r := range w.runs {
		if r.task.step.Fills {
			loads[r.task.step.Image] += w.fillLoad(r.task.step.Step, max(0, r.pace))
		}
	}
	return loads
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
	loads := w.fillLoads()
	for _, r := range w.runs {
		image := r.task.step.Image
		if r.task.step.LatencyTarget <= 0 || slices.ContainsFunc(w.outlooks, func(k outlook) bool { return k.image == image }) {
			continue
		}
		rise := o.pressure.rise(image, loads)
		w.outlooks = append(w.outlooks, outlook{image: image, rise: rise, slack: math.Log(tailHigh/o.pressure.calmOf(image)) - rise})
	}
	return w.outlooks
}

func (w *worker) fillLoad(s *Step, percent int) float64 {
	return float64(s.Size.CPU) * float64(percent) / 100 / float64(max(1, w.Room.CPU))
}

// learnPressure takes up the tails of a look at a worker whose fillers have not changed
// for a while.
func (o *Orchestrator) learnPressure(w *worker, rows []RunningRow) {
	for _, r := range w.runs {
		if r.task.step.Fills && (o.now.Sub(r.startedAt) < pressureSettle || o.now.Sub(r.paceSent) < pressureSettle) {
			return
		}
	}
	if w.load.serving == 0 {
		return
	}
	loads := w.fillLoads()
	for _, row := range rows {
		r := w.runs[runKey{row.Task, row.Run}]
		if r == nil || r.task.step.LatencyTarget <= 0 || row.Figure <= 0 {
			continue
		}
		o.pressure.learn(r.task.step.Image, r.tail, loads)
	}
}

// besides returns the least slack that is predicted to be left on a worker once a filler
// of the step runs there too; below 0 a task would come near its target.
func (o *Orchestrator) besides(s *step, w *worker) float64 {
	left := noSlack
	x := w.fillLoad(s.Step, 100)
	for _, k := range o.outlooks(w) {
		left = min(left, k.slack-o.pressure.coefficients[pair{k.image, s.Image}]*x)
	}
	return left
}

// noSlack stands for the slack of a worker without tasks that have a latency target.
const noSlack = 1.0

// endures returns the predicted rise of the tail of a task with a latency target on a
// worker with its present fillers.
func (o *Orchestrator) endures(s *step, w *worker) float64 {
	if w.load.filling == 0 {
		return 0
	}
	return min(maxPressure, o.pressure.rise(s.Image, w.fillLoads()))
}
