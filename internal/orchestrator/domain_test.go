package orchestrator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpitch/internal/orchestrator"
)

// newDomains returns a simulation with failure domains a to e of n workers each, on which latency-critical
// tasks run.
func newDomains(t *testing.T, n, tasks int) *simulation {
	t.Helper()
	w := newSimulation(t, 1)
	for d := range 5 {
		for i := range n {
			k := w.addWorker(fmt.Sprintf("%c%03d", 'a'+d, i), cores(8, 64), fmt.Sprintf("r%d", d))
			k.entry.FailureDomain = string(rune('a' + d))
		}
	}
	w.elect(false)
	w.run(time.Second)
	w.submit(latencyCriticalJob("s", "x", tasks, cores(3, 4)))
	w.run(2 * time.Second)
	if w.starts != tasks {
		t.Fatalf("%d starts", w.starts)
	}
	return w
}

// inDomain calls f for each worker of a failure domain.
func (w *simulation) inDomain(name string, f func(*simulatedWorker)) {
	for _, k := range w.workers {
		if k.entry.FailureDomain == name {
			f(k)
		}
	}
}

// One of five failure domains is cut off for less than a lease, twice, while jobs arrive. Guards against
// runs that are started again elsewhere or stopped although they went on, and against starts that are sent to
// workers out of reach.
func TestShortCutsOfFailureDomainMoveNothing(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newDomains(t, 44, 300)
	starts := 300
	for cut := range 2 {
		w.inDomain("b", func(k *simulatedWorker) { k.unreachableFrom[w.leader()] = true })
		w.run(time.Second) // polls fail
		lost := len(w.notes)
		w.submit(simpleJob(fmt.Sprintf("q%d", cut), 700, cores(1, 1))) // fill most of the reachable workers
		starts += 700
		w.run(2 * time.Second)
		for _, n := range w.notes[lost:] {
			if n.Event == orchestrator.EventStart && n.Worker[0] == 'b' {
				t.Errorf("task %s started on %s", n.Task, n.Worker)
			}
		}
		w.inDomain("b", func(k *simulatedWorker) { delete(k.unreachableFrom, w.leader()) })
		w.run(2 * time.Second)
		is.Equal(w.state(fmt.Sprintf("q%d", cut)), orchestrator.StateSucceeded)
	}
	is.Equal(w.starts, starts)
	is.Equal(len(w.notesOf(orchestrator.EventStop)), 0)
}

// The workers of one failure domain flap: every 1.4 s they can't be reached for 0.7 s. Guards against a storm of
// starts, stops and moves; the runs on these workers go on.
func TestFlappingFailureDomainCausesNoStorm(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newDomains(t, 44, 300)
	for range 10 {
		w.inDomain("c", func(k *simulatedWorker) { k.unreachableFrom[w.leader()] = true })
		w.run(700 * time.Millisecond)
		w.inDomain("c", func(k *simulatedWorker) { delete(k.unreachableFrom, w.leader()) })
		w.run(700 * time.Millisecond)
	}
	is.Equal(w.starts, 300)
	is.Equal(len(w.notesOf(orchestrator.EventStop)), 0)
	for _, d := range w.leader().o.Status(w.now).FailureDomains {
		is.Equal(d.Usable, 44)
	}
}

// One failure domain is lost for good. Guards against long-running tasks that stay away for more than 2 s after
// the leases of their runs.
func TestLostFailureDomainComesBackElsewhere(t *testing.T) {
	is := is.New(t)
	w := newDomains(t, 44, 300)
	lost := 0
	w.inDomain("d", func(k *simulatedWorker) {
		lost += len(k.runs)
		k.dead = true
	})
	is.True(lost > 0)
	w.run(w.lease + 2*time.Second)
	is.Equal(w.starts, 300+lost)
	running := 0
	for _, k := range w.workers {
		if !k.dead {
			running += len(k.runs)
		}
	}
	is.Equal(running, 300)
}
