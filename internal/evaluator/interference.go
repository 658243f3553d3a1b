package evaluator

import (
	"math"
	"math/rand/v2"
)

// batchClasses are the classes of jobs. The last one is noisy.
var batchClasses = []string{"dents", "valves", "dies", "records", "archive"}

const noisyClass = "archive"

// truth is the hidden interference: how much a neighbour slows a victim, for each share of
// the worker's cores that the neighbour uses at half utilisation. It grows with load.
type truth struct {
	harm map[[2]string]float64
}

func newTruth(services []string, rnd *rand.Rand) truth {
	t := truth{harm: map[[2]string]float64{}}
	classes := append(append([]string{}, services...), batchClasses...)
	for _, victim := range classes {
		for _, neighbour := range classes {
			h := 0.6 * rnd.Float64()
			if rnd.Float64() < 0.25 {
				h *= 3 // a few pairs disturb each other strongly
			}
			if neighbour == noisyClass {
				h = 1.5 + 2*rnd.Float64()
			}
			t.harm[[2]string{victim, neighbour}] = h
		}
	}
	return t
}

// slowdown returns the slowdown of one task on a worker with the given utilisation.
func (t *truth) slowdown(w *host, victim *task) float64 {
	sum, used := 0.0, 0.0
	for _, o := range w.tasks {
		cores := o.cores()
		used += cores
		if o != victim {
			sum += t.harm[[2]string{victim.Class, o.Class}] * cores
		}
	}
	capacity := w.capacity.Cores
	utilisation := used / capacity
	return (1 + sum/capacity*(0.5+min(1, utilisation))) * max(1, utilisation)
}

// lognormal returns a sample with the given mean and shape.
func lognormal(rnd *rand.Rand, mean, sigma float64) float64 {
	return mean * math.Exp(sigma*rnd.NormFloat64()-sigma*sigma/2)
}
