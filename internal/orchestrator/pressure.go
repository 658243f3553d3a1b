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
	// idleTail is the tail latency of an idle task as a share of its target, until a
	// lower one is seen.
	idleTail = 0.22
	// A task's own load varies between these utilizations. Beyond them, fillers must
	// take part.
	ownLow, ownHigh = 0.18, 0.66
	// pressureBudget is the utilization that fillers may add for a task: its own peak
	// and the budget together stay below the utilization at which the target is reached.
	pressureBudget = 0.12
	// pressureMemory is the time in which an unconfirmed coefficient falls to a third.
	pressureMemory = 40 * time.Second
	// pressureTrials bounds the fillers that are started at the same time beside tasks
	// of an image whose reaction to them is not known.
	pressureTrials = 2
	trialTime      = 1500 * time.Millisecond
	maxCoefficient = 40.0
)

// pair is an image with a latency target and one that fills beside it.
type pair struct{ serving, filler string }

// reaction is what was learnt of a pair.
type reaction struct {
	coefficient float64
	at          time.Time // of the last correction
	samples     int
	trials      []time.Time // starts before there was a sample
}

// pressure predicts how fillers raise the tail latency of the tasks beside them. The
// tail is taken as that of a queue, idle / (1 - utilization), whose utilization is the
// task's own load, which varies, plus for each filler a coefficient of the pair of images
// times the share of the worker's processors that the filler may use. Most pairs do not
// disturb each other; a few do so strongly.
type pressure struct {
	reactions map[pair]*reaction
	idle      map[string]float64 // lowest tail of an image as a share of its target
}

func newPressure() pressure {
	return pressure{reactions: make(map[pair]*reaction), idle: make(map[string]float64)}
}

func (p pressure) reaction(serving, filler string) *reaction {
	k := pair{serving, filler}
	r := p.reactions[k]
	if r == nil {
		r = &reaction{}
		p.reactions[k] = r
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

// utilization returns the utilization that a tail, as a share of the target, stands for.
func (p pressure) utilization(serving string, tail float64) float64 {
	idle, ok := p.idle[serving]
	if !ok {
		idle = idleTail
	}
	if tail < idle {
		idle = tail
		p.idle[serving] = tail
	}
	return 1 - idle/tail
}

// learn takes up a measured tail. It corrects the coefficients only as far as the
// measurement can not be explained by the task's own load.
func (p pressure) learn(serving string, tail float64, loads map[string]float64, now time.Time) {
	u := p.utilization(serving, tail)
	if len(loads) == 0 {
		return
	}
	predicted := p.added(serving, loads)
	wanted := min(max(predicted, u-ownHigh), max(0, u-ownLow))
	square := 0.0
	for _, x := range loads {
		square += x * x
	}
	for f, x := range loads {
		r := p.reaction(serving, f)
		if x > 0 {
			r.samples++
			r.trials = nil
			r.coefficient = min(maxCoefficient, max(0, r.coefficient+(wanted-predicted)*x/square))
		}
		if wanted > predicted {
			r.at = now
		}
	}
}

// fade lets coefficients fall that nothing has confirmed for a while.
func (p pressure) fade(now time.Time, elapsed time.Duration) {
	for _, r := range p.reactions {
		if now.Sub(r.at) > pressureMemory/4 {
			r.coefficient *= math.Exp(-float64(elapsed) / float64(pressureMemory))
		}
	}
}

// outlook is what is predicted for a task with a latency target.
type outlook struct {
	image string
	left  float64 // utilization that fillers may still add
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
	loads := w.fillLoads()
	for _, r := range w.runs {
		image := r.task.step.Image
		if r.task.step.LatencyTarget <= 0 || slices.ContainsFunc(w.outlooks, func(k outlook) bool { return k.image == image }) {
			continue
		}
		w.outlooks = append(w.outlooks, outlook{image: image, left: pressureBudget - o.pressure.added(image, loads)})
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
	loads := w.fillLoads()
	for _, row := range rows {
		r := w.runs[runKey{row.Task, row.Run}]
		if r == nil || r.task.step.LatencyTarget <= 0 || row.Figure <= 0 {
			continue
		}
		o.pressure.learn(r.task.step.Image, r.tail, loads, o.now)
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
			return -pressureBudget
		}
		left = min(left, k.left-r.coefficient*x)
	}
	return left
}

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
	return o.pressure.added(s.Image, w.fillLoads())
}
