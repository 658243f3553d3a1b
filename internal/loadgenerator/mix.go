package loadgenerator

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
)

// Mix draws names by weight. It implements flag.Value with the form "a:3,b:1"; a name
// without a weight has weight 1.
type Mix struct {
	names       []string
	weights     []float64
	totalWeight float64
}

// ParseMix parses a mix in the form that Mix describes.
func ParseMix(text string) (Mix, error) {
	var m Mix
	for _, part := range strings.Split(text, ",") {
		name, weight, found := strings.Cut(strings.TrimSpace(part), ":")
		w := 1.0
		if found {
			var err error
			if w, err = strconv.ParseFloat(weight, 64); err != nil || !(w > 0) {
				return Mix{}, fmt.Errorf("weight %q of %q is not a number above 0", weight, name)
			}
		}
		if name == "" {
			return Mix{}, fmt.Errorf("mix %q has an empty name", text)
		}
		m.names, m.weights, m.totalWeight = append(m.names, name), append(m.weights, w), m.totalWeight+w
	}
	return m, nil
}

// String implements flag.Value.
func (m *Mix) String() string {
	parts := make([]string, len(m.names))
	for i, n := range m.names {
		parts[i] = fmt.Sprintf("%s:%g", n, m.weights[i])
	}
	return strings.Join(parts, ",")
}

// Set implements flag.Value.
func (m *Mix) Set(text string) error {
	n, err := ParseMix(text)
	if err == nil {
		*m = n
	}
	return err
}

// Draw returns a name, or "" if the mix is empty.
func (m *Mix) Draw(rnd *rand.Rand) string {
	x := rnd.Float64() * m.totalWeight
	for i, w := range m.weights {
		if x < w || i == len(m.weights)-1 {
			return m.names[i]
		}
		x -= w
	}
	return ""
}
