package emulator

import (
	"fmt"
	"iter"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// DefaultMaxCoefficient is the upper bound of the interference coefficients. A machine full
	// of neighbours with a coefficient of 1 slows a task by a factor of about 3.
	DefaultMaxCoefficient = 1.0
	// minUsageRatio and maxUsageRatio bound used size divided by declared size: declared
	// sizes are very inaccurate, but most exceed the usage.
	minUsageRatio, maxUsageRatio = 0.4, 1.3
	// maxMeasurementError is the largest relative error of measured slowdowns.
	maxMeasurementError = 0.05
)

// Interference is the model of how tasks on a machine slow each other. The product has no
// access to its coefficients. They depend only on the seed, so that runs are reproducible.
type Interference struct {
	seed           uint64
	maxCoefficient float64
	pairs          map[[2]string]float64
}

// NewInterference returns a model whose coefficients are between 0 and maxCoefficient.
func NewInterference(seed uint64, maxCoefficient float64) *Interference {
	return &Interference{seed: seed, maxCoefficient: maxCoefficient, pairs: make(map[[2]string]float64)}
}

// Set sets the coefficient by which other slows class. It must not be called once a machine
// uses the model.
func (i *Interference) Set(class, other string, coefficient float64) {
	i.pairs[[2]string{class, other}] = coefficient
}

// Coefficient returns how much other slows class: the slowdown minus 1 that tasks of other
// on all cores of the machine would cause at low total load.
func (i *Interference) Coefficient(class, other string) float64 {
	if c, ok := i.pairs[[2]string{class, other}]; ok {
		return c
	}
	return i.maxCoefficient * i.uniform("pair", class, other)
}

// uniform returns a number from 0 to 1 that is a hash of the seed and the words.
func (i *Interference) uniform(words ...string) float64 {
	h := xxhash.Sum64String(fmt.Sprintf("%d %q", i.seed, words))
	return float64(h>>11) / (1 << 53)
}

// usageRatio returns the used size of a task divided by its declared size.
func (i *Interference) usageRatio(name string) float64 {
	return minUsageRatio + (maxUsageRatio-minUsageRatio)*i.uniform("usage", name)
}

// slowdown returns the run time of a task of class per unit of work, relative to a machine
// without other tasks. The effect of neighbours grows with the square of the total load;
// above full load the slowdown is also multiplied by the load.
func (i *Interference) slowdown(class string, others iter.Seq2[string, float64], total, capacity float64) float64 {
	if capacity <= 0 {
		return 1
	}
	load := total / capacity
	s := 1.0
	for o, cores := range others {
		s += i.Coefficient(class, o) * cores / capacity * (1 + load*load)
	}
	return s * max(1, load)
}

// withMeasurementError returns slowdown with a measurement error that depends on the task's
// name and the time.
func (i *Interference) withMeasurementError(slowdown float64, name string, at time.Duration) float64 {
	return slowdown * (1 + maxMeasurementError*(2*i.uniform("noise", name, at.String())-1))
}
