package orchestrator_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A leader has lost the store, and its successor can't reach one of the workers. The worker's
// process restarts under the same ID; its clock begins anew, so that a lease end on the old clock
// lets runs last for the longest lease, longer than the successor waits for. Guards against two
// runs of a task: one that the old leader starts on the worker, and one that the successor starts
// elsewhere.
func TestRestartedWorkerDoesNotOutlastLeadership(t *testing.T) {
	is := is.New(t)
	w := newCluster(t, 2, cores(8, 32))
	j := simpleJob("j1", 1, cores(2, 2))
	j.Steps[0].LongRunning = true
	w.submit(j)
	w.run(5 * time.Second)
	is.Equal(len(w.runningOn("j1")), 1)
	restarted := w.workers[w.runningOn("j1")[0]]

	old := w.leader()
	old.storeUnreachable = true
	next := w.elect(false)
	for _, k := range w.workers {
		if k == restarted {
			k.unreachableFrom[next] = true
		} else {
			k.unreachableFrom[old] = true
		}
	}
	w.run(50 * time.Millisecond)
	restarted.restart(w)
	w.run(20 * time.Second) // the simulation fails at a second run
	is.Equal(len(w.runningOn("j1")), 1)
}
