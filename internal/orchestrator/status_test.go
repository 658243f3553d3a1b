package orchestrator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// One of three failure domains is cut off. Guards against a status that hides its workers, counts
// their runs as lost, or grows with the number of workers that are out of reach.
func TestStatusDuringCutOfFailureDomain(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 1)
	for n := range 180 {
		k := w.addWorker(fmt.Sprintf("w%03d", n), cores(8, 32), "r1")
		k.entry.FailureDomain = string("abc"[n/60])
	}
	w.elect(false)
	w.run(time.Second)
	w.submit(latencyCriticalJob("j1", "x", 180, cores(4, 4)))
	w.run(2 * time.Second)
	before := w.leader().o.Status(w.now)
	is.Equal(before.Load.Workers, 180)
	is.Equal(before.Load.Serving, 720)
	is.Equal(len(before.Unusable), 0)
	for n := 60; n < 120; n++ {
		w.workers[fmt.Sprintf("w%03d", n)].unreachableFrom[w.leader()] = true
	}
	w.run(time.Second)
	s := w.leader().o.Status(w.now)
	is.Equal(s.Load.Workers, 120)
	is.Equal(len(s.FailureDomains), 3)
	for n, d := range s.FailureDomains {
		is.Equal(d.Name, string("abc"[n]))
		is.Equal(d.Runs, before.FailureDomains[n].Runs)
		is.Equal(d.Unreachable, map[string]int{"b": 60}[d.Name])
		is.Equal(d.Usable, 60-d.Unreachable)
	}
	is.Equal(len(s.Unusable)+s.Omitted, 60)
	is.True(len(s.Unusable) <= 50)
	is.Equal(s.Unusable[0].ID, "w060")
	is.Equal(s.Unusable[0].Reason, "does not answer")
	is.True(s.Unusable[0].AnsweredAgo > 0)
}
