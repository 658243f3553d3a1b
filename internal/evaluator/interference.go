package evaluator

import (
	"math"
	"math/rand/v2"
)

// batchClasses are the classes of jobs, including noisyClass.
var batchClasses = []string{"dents", "valves", "dies", "records", "archive"}

// noisyClass is the class that slows its neighbours most, with coefficients from 1.5 to 3.5, and
// whose tasks have bursts. The coefficients of other classes are below 1.8.
const noisyClass = "archive"

// interferenceModel holds the interference coefficients, which the policies cannot read: the
// slowdown added to a victim class per share of the worker's cores used by a neighbour
// class, at half utilisation. The effect grows with utilisation.
type interferenceModel struct {
	coefficients map[[2]string]float64 // by victim and neighbour class
}

func newInterferenceModel(services []string, rnd *rand.Rand) interferenceModel {
	t := interferenceModel{coefficients: map[[2]string]float64{}}
	classes := append(append([]string{}, services...), batchClasses...)
	for _, victim := range classes {
		for _, neighbour := range classes {
			c := 0.6 * rnd.Float64()
			if rnd.Float64() < 0.25 {
				c *= 3 // a quarter of the pairs interferes strongly
			}
			if neighbour == noisyClass {
				c = 1.5 + 2*rnd.Float64()
			}
			t.coefficients[[2]string{victim, neighbour}] = c
		}
	}
	return t
}

// slowdown returns the slowdown of a task by its neighbours on the worker, and by
// utilisation beyond the worker's cores.
func (t *interferenceModel) slowdown(w *worker, victim *task) float64 {
	sum, used := 0.0, 0.0
	for _, o := range w.tasks {
		cores := o.coresInUse()
		used += cores
		if o != victim {
			sum += t.coefficients[[2]string{victim.Class, o.Class}] * cores
		}
	}
	capacity := w.capacity.Cores
	utilisation := used / capacity
	return (1 + sum/capacity*(0.5+min(1, utilisation))) * max(1, utilisation)
}

// lognormal returns a sample of the log-normal distribution with the given mean and sigma.
func lognormal(rnd *rand.Rand, mean, sigma float64) float64 {
	return mean * math.Exp(sigma*rnd.NormFloat64()-sigma*sigma/2)
}
