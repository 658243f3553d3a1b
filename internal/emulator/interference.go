package emulator

import (
	"fmt"
	"iter"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// DefaultStrength is the upper bound of the coefficients in the hidden matrix: a
	// full machine of the worst neighbours then slows a task by a factor of about 3.
	DefaultStrength = 1.0
	// usageSpread is how far used sizes are from declared ones, as a share: declared
	// sizes are very inaccurate, but most are over the use.
	usageLow, usageHigh = 0.4, 1.3
	// measureNoise is the relative error of measured slowdowns.
	measureNoise = 0.05
)

// Interference is the hidden rule by which tasks slow each other. It is a function of
// the seed, so that runs repeat.
type Interference struct {
	seed     uint64
	strength float64
	pairs    map[[2]string]float64
}

// NewInterference returns a rule whose coefficients are drawn from 0 to strength.
func NewInterference(seed uint64, strength float64) *Interference {
	return &Interference{seed: seed, strength: strength, pairs: make(map[[2]string]float64)}
}

// Set fixes the coefficient by which other slows class. It is called before use.
func (i *Interference) Set(class, other string, coefficient float64) {
	i.pairs[[2]string{class, other}] = coefficient
}

// Coefficient returns how much other slows class: the slowdown, less 1, that a machine
// full of other would cause at low total load.
func (i *Interference) Coefficient(class, other string) float64 {
	if c, ok := i.pairs[[2]string{class, other}]; ok {
		return c
	}
	return i.strength * i.unit("pair", class, other)
}

// unit returns a number from 0 to 1 that depends on the seed and the words.
func (i *Interference) unit(words ...string) float64 {
	h := xxhash.Sum64String(fmt.Sprintf("%d %q", i.seed, words))
	return float64(h>>11) / (1 << 53)
}

// usage returns used size divided by declared size of a task.
func (i *Interference) usage(name string) float64 {
	return usageLow + (usageHigh-usageLow)*i.unit("usage", name)
}

// slowdown returns the run time of class per unit of work, relative to an empty machine.
// It grows with the square of the total load, and above full load with the shortage.
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

// measured adds the error of measurement.
func (i *Interference) measured(slowdown float64, name string, at time.Duration) float64 {
	return slowdown * (1 + measureNoise*(2*i.unit("noise", name, at.String())-1))
}
