package orchestrator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"peridotpitch/internal/orchestrator"
)

// Guards against a job that is shown as succeeded while tasks of an occurrence have never run: a new leader finds a run of an
// occurrence that it has not begun. simulation.checkSucceeded fails the test then.
func TestOccurrenceFoundByItsRunsIsWhole(t *testing.T) {
	t.Run("time of day behind", func(t *testing.T) {
		is := is.New(t)
		w := newCluster(t, 1, cores(2, 32))
		w.runTime = func(string, *simulatedWorker) time.Duration { return 400 * time.Millisecond }
		j := simpleJob("j1", 4, cores(1, 1))
		j.Occurrences, j.First, j.Interval, j.Policy.Guarded = 2, w.now, 2*time.Second, true
		w.submit(j)
		w.run(1900 * time.Millisecond)
		w.leader().storeUnreachable = true // the records do not name the second occurrence
		for len(w.runningOn("j1.1")) == 0 {
			w.run(10 * time.Millisecond)
		}
		w.leaderOffset = -5 * time.Second
		w.elect(false)
		w.run(30 * time.Second)
		is.Equal(w.state("j1"), orchestrator.StateSucceeded)
		is.Equal(len(w.notesOf(orchestrator.EventOccurrenceFound)), 1)
	})
	t.Run("bound on tasks", func(t *testing.T) {
		is := is.New(t)
		w := newCluster(t, 4, cores(64, 256))
		w.runTime = func(string, *simulatedWorker) time.Duration { return 200 * time.Millisecond }
		j := simpleJob("j1", 2500, cores(0.1, 0))
		j.Occurrences, j.First, j.Interval, j.Policy.Guarded = 6, w.now, 10*time.Millisecond, true
		w.submit(j)
		for len(w.runningOn("j1.0")) == 0 {
			w.run(10 * time.Millisecond)
		}
		w.leader().storeUnreachable = true // the end of the first occurrence is not in the store when the fifth begins
		for len(w.runningOn("j1.4")) == 0 {
			w.run(10 * time.Millisecond)
		}
		w.elect(false)
		w.run(20 * time.Second)
		is.Equal(w.state("j1"), orchestrator.StateSucceeded)
		is.True(len(w.notesOf(orchestrator.EventOccurrenceFound)) > 0)
	})
}

// Guards against jobs that are shown as succeeded too early, and against occurrences that start early or never, while leaders
// with different times of day follow each other, cleanly or not, and workers restart or are cut off.
func TestOccurrencesUnderFaults(t *testing.T) { rapid.Check(t, checkOccurrences) }

func checkOccurrences(rt *rapid.T) {
	const maxOffset = 2 * time.Second // between the times of day of two hosts
	w := newSimulation(rt, rapid.Uint64().Draw(rt, "seed"))
	w.faults = faults{dropped: 0.03, appliedLate: 0.03}
	w.checkDue = maxOffset
	w.succeeds = func(string, int) bool { return w.rng.Float64() > 0.03 }
	w.runTime = func(string, *simulatedWorker) time.Duration {
		return 200*time.Millisecond + time.Duration(w.rng.Int64N(int64(time.Second)))
	}
	for i := range 3 {
		w.addWorker(fmt.Sprintf("w%d", i), cores(4, 32), "r0")
	}
	elect := func(handedOff bool) {
		w.leaderOffset = time.Duration(rapid.Int64Range(-int64(maxOffset), int64(maxOffset)).Draw(rt, "offset"))
		w.elect(handedOff)
	}
	elect(false)
	jobs := 0
	for range rapid.IntRange(4, 14).Draw(rt, "steps") {
		switch rapid.SampledFrom([]string{"job", "job", "elect", "elect", "hand over", "disconnect", "heal", "restart", "toggle store", "cancel"}).Draw(rt, "event") {
		case "job":
			jobs++
			j := modelJob(rt, jobs, false)
			j.Policy.Attempts = 20 // few jobs fail
			j.Occurrences = rapid.IntRange(1, 6).Draw(rt, "occurrences")
			j.First = w.now.Add(time.Duration(rapid.IntRange(-3000, 3000).Draw(rt, "first")) * time.Millisecond)
			j.Interval = time.Duration(rapid.IntRange(0, 3000).Draw(rt, "interval")) * time.Millisecond
			w.submit(j)
		case "elect":
			elect(false)
		case "hand over":
			if l := w.leader(); !l.storeUnreachable && !l.deposed {
				elect(l.handOver())
			}
		case "disconnect":
			k := w.workers[rapid.SampledFrom([]string{"w0", "w1", "w2"}).Draw(rt, "worker")]
			k.unreachableFrom[rapid.SampledFrom(w.leaders).Draw(rt, "leader")] = true
		case "heal":
			w.heal()
		case "restart":
			w.workers[rapid.SampledFrom([]string{"w0", "w1", "w2"}).Draw(rt, "worker")].restart(w)
		case "toggle store":
			l := w.leader()
			l.storeUnreachable, l.disturbedAt = !l.storeUnreachable, w.now
		case "cancel":
			if jobs > 0 {
				w.cancel(fmt.Sprintf("j%d", rapid.IntRange(1, jobs).Draw(rt, "job")))
			}
		}
		w.run(time.Duration(rapid.IntRange(50, 3000).Draw(rt, "pause")) * time.Millisecond)
	}
	w.endFaults()
	w.finishAll(rt, jobs)
}
