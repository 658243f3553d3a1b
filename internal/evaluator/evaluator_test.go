package evaluator

import (
	"bytes"
	"testing"
	"time"

	"github.com/matryer/is"
)

func scenario(t *testing.T, name string) Scenario {
	for _, s := range Scenarios() {
		if s.Name == name {
			return s
		}
	}
	t.Fatalf("no scenario %q", name)
	return Scenario{}
}

// TestDeterministic guards against runs that depend on map order, on the clock or on other
// runs at the same time.
func TestDeterministic(t *testing.T) {
	is := is.New(t)
	var out [2]bytes.Buffer
	for i := range out {
		rows := Evaluate(Firms()[:1], []Scenario{scenario(t, "noisy+host"), scenario(t, "rolling")}, []Policies{Product}, []uint64{101}, time.Minute)
		is.NoErr(Print(&out[i], rows))
	}
	is.Equal(out[0].String(), out[1].String())
}
