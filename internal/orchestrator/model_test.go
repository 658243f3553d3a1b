package orchestrator_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"peridotpitch/internal/orchestrator"
)

// TestInvariantsUnderFaults guards against two runs of a task at the same time, starts after an
// acknowledged end, starts beyond the attempts and beyond a worker's room, while leaders
// are replaced, cut off and frozen, orders are lost or carried out late, and workers
// restart. world.checkStart fails the test. Afterwards, with all faults over, every job
// must end.
func TestInvariantsUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rt, rapid.Uint64().Draw(rt, "seed"))
		w.faults = faults{dropped: 0.03, appliedLate: 0.05}
		w.succeeds = func(string, int) bool { return w.rng.Float64() > 0.05 }
		w.runTime = func(string, *fakeWorker) time.Duration {
			return 300*time.Millisecond + time.Duration(w.rng.Int64N(int64(2*time.Second)))
		}
		for i := range 5 {
			w.addWorker(fmt.Sprintf("w%d", i), cores(8, 32), fmt.Sprintf("r%d", i%2))
		}
		w.elect(false)
		jobs := 0
		for range rapid.IntRange(5, 25).Draw(rt, "steps") {
			switch rapid.SampledFrom([]string{"job", "job", "lasting", "elect", "hand over", "split", "cut", "heal", "restart", "kill", "freeze", "store", "cancel"}).Draw(rt, "event") {
			case "job":
				jobs++
				w.submit(modelJob(rt, jobs))
			case "lasting":
				jobs++
				j := simpleJob(fmt.Sprintf("j%d", jobs), 2, cores(1, 1))
				j.Steps[0].LongRunning = true
				w.submit(j)
			case "elect":
				w.elect(false)
			case "hand over":
				if l := w.leader(); !l.frozen && !l.noStore && !l.deposed {
					w.elect(l.handOver())
				}
			case "split":
				w.split(rapid.IntRange(0, 31).Draw(rt, "side"))
			case "kill":
				if k := w.workers[rapid.SampledFrom([]string{"w0", "w1"}).Draw(rt, "worker")]; !k.dead {
					k.dead = true
					w.leader().step(orchestrator.WorkerUnlisted{ID: k.entry.ID})
				}
			case "cut":
				k := w.workers[rapid.SampledFrom([]string{"w0", "w1", "w2", "w3", "w4"}).Draw(rt, "worker")]
				k.cut[rapid.SampledFrom(w.leaders).Draw(rt, "leader")] = true
			case "heal":
				w.heal()
			case "restart":
				k := w.workers[rapid.SampledFrom([]string{"w0", "w1", "w2", "w3", "w4"}).Draw(rt, "worker")]
				k.restart(w)
			case "freeze":
				l := rapid.SampledFrom(w.leaders).Draw(rt, "leader")
				l.frozen = !l.frozen
			case "store":
				l := w.leader()
				l.noStore = !l.noStore
			case "cancel":
				if jobs > 0 {
					w.cancel(fmt.Sprintf("j%d", rapid.IntRange(1, jobs).Draw(rt, "job")))
				}
			}
			w.run(time.Duration(rapid.IntRange(50, 4000).Draw(rt, "pause")) * time.Millisecond)
		}
		w.settle(rt, jobs)
	})
}

func modelJob(rt *rapid.T, n int) orchestrator.Job {
	j := simpleJob(fmt.Sprintf("j%d", n), rapid.IntRange(1, 6).Draw(rt, "tasks"), cores(float64(rapid.IntRange(1, 4).Draw(rt, "cores")), 2))
	if rapid.Bool().Draw(rt, "two steps") {
		j.Steps = append(j.Steps, orchestrator.Step{Count: 2, Size: cores(1, 1), Estimate: time.Second, After: []int{0}})
	}
	j.Steps[0].Checkpoints = rapid.Bool().Draw(rt, "checkpoints")
	j.Steps[0].Fills = rapid.Bool().Draw(rt, "fills")
	return j
}

// restart gives a worker a new incarnation under the same name. Orders that are still to
// be carried out late are lost with the old one: nothing in an order tells a new
// incarnation of the same name that it was meant for the old one.
func (k *fakeWorker) restart(w *world) {
	w.pendingCommands = slices.DeleteFunc(w.pendingCommands, func(o pendingCommand) bool { return o.worker == k.entry.ID })
	k.incarnation, k.startedAt, k.fence, k.lease, k.endCount, k.ackedUpto, k.endsBeforeLeaseEnd = w.now.UnixMilli(), w.now, 0, 0, 0, 0, 0
	k.ended = nil
	clear(k.runs)
	clear(k.lastEndedRun)
}

// split cuts the leader off from the store and from some workers, and elects another one
// that reaches only those. side has a bit for each worker.
func (w *world) split(side int) {
	old := w.leader()
	old.noStore = true
	next := w.elect(false)
	for i, n := range slices.Sorted(maps.Keys(w.workers)) {
		if side&(1<<i) != 0 {
			w.workers[n].cut[old] = true
		} else {
			w.workers[n].cut[next] = true
		}
	}
}

// heal ends all cuts.
func (w *world) heal() {
	for _, k := range w.workers {
		clear(k.cut)
	}
	for _, l := range w.leaders {
		l.noStore = false
	}
}

// settle ends all faults and waits for all jobs.
func (w *world) settle(rt *rapid.T, jobs int) {
	w.faults = faults{}
	w.succeeds = func(string, int) bool { return true }
	w.heal()
	for _, l := range w.leaders {
		l.frozen = false
	}
	if w.leader().deposed {
		w.elect(false)
	}
	for i := 1; i <= jobs; i++ {
		if id := fmt.Sprintf("j%d", i); w.jobs[id].Steps[0].LongRunning {
			w.cancel(id)
		}
	}
	w.run(90 * time.Second)
	for i := 1; i <= jobs; i++ {
		id := fmt.Sprintf("j%d", i)
		if s := w.state(id); !s.Final() {
			rt.Fatalf("job %s is %q 90 s after the last fault; runs on %v", id, s, w.runningOn(id))
		}
	}
}
