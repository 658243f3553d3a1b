package orchestrator_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpitch/internal/orchestrator"
)

// The leader's host has no connections left for some seconds, and 200 tasks wait. Guards against a new run for each start
// that does not leave the host: with 3,000 workers, the leader began 40 runs of a task a second, each with a run number, a
// search for a worker and a line in the log, and served nothing.
func TestStartsWaitForConnections(t *testing.T) {
	is := is.New(t)
	w := newCluster(t, 50, cores(8, 64))
	until := w.now.Add(5 * time.Second)
	deferred := 0
	w.defers = func(string) bool {
		if w.now.Before(until) {
			deferred++
			return true
		}
		return false
	}
	w.submit(simpleJob("j", 200, cores(1, 1)))
	w.run(5 * time.Second)
	is.Equal(w.starts, 0)
	is.True(deferred > 200)
	is.Equal(len(w.notesOf(orchestrator.EventStart)), 200)
	is.Equal(len(w.notesOf(orchestrator.EventStartRefused)), 0)
	is.True(len(w.notesOf(orchestrator.EventStartDeferred)) <= 6) // one a second
	is.True(len(w.notesOf(orchestrator.EventResend)) < 400)
	w.run(4 * time.Second)
	is.Equal(w.starts, 200)
	is.Equal(len(w.notesOf(orchestrator.EventStart)), 200) // the same runs
}

// A job is cancelled, and its worker's failure domain evacuated, while its starts are deferred. Guards against deferred
// starts that are sent afterwards.
func TestDeferredStartsAreWithdrawn(t *testing.T) {
	is := is.New(t)
	w := newCluster(t, 4, cores(8, 64))
	until := w.now.Add(2 * time.Second)
	w.defers = func(string) bool { return w.now.Before(until) }
	w.submit(simpleJob("j", 8, cores(1, 1)))
	w.run(time.Second)
	w.cancel("j")
	w.run(8 * time.Second)
	is.Equal(w.starts, 0)
	is.True(w.state("j").Final())
}

// A task ends while its leader is frozen, and the next leader is too slow to poll the worker before the leases of the
// worker's runs have ended. Guards against a second run of a task whose end the worker lists: with 3,000 workers on hosts of
// 0.16 cores, tasks that had ended as done began again.
func TestWorkerThatWasNotPolledIsNotGivenUp(t *testing.T) {
	is := is.New(t)
	w := newCluster(t, 2, cores(8, 32))
	w.submit(simpleJob("j1", 1, cores(2, 2)))
	w.run(500 * time.Millisecond)
	is.Equal(len(w.runningOn("j1")), 1)
	k := w.workers[w.runningOn("j1")[0]]
	w.leader().frozen = true
	next := w.elect(false)
	k.waitsFor = next
	w.run(20 * time.Second)
	is.Equal(w.starts, 1)
	k.waitsFor = nil
	w.run(2 * time.Second)
	is.Equal(w.starts, 1)
	is.Equal(w.state("j1"), orchestrator.StateSucceeded)
}

// The same with a worker that the next leader polls in vain. Guards against a task that waits for a lost worker forever.
func TestWorkerThatWasPolledInVainIsGivenUp(t *testing.T) {
	is := is.New(t)
	w := newCluster(t, 2, cores(8, 32))
	w.submit(simpleJob("j1", 1, cores(2, 2)))
	w.run(500 * time.Millisecond)
	is.Equal(len(w.runningOn("j1")), 1)
	k := w.workers[w.runningOn("j1")[0]]
	w.leader().frozen = true
	k.unreachableFrom[w.elect(false)] = true
	w.run(20 * time.Second)
	is.Equal(w.starts, 2)
	is.Equal(w.state("j1"), orchestrator.StateSucceeded)
}

// The start of a task is deferred, its worker has a later run too, and drains. Guards against a leader that panics because the deferred start is
// withdrawn while the worker's runs are gone through, and loses its leadership.
func TestDeferredStartOnDrainingWorkerIsWithdrawn(t *testing.T) {
	is := is.New(t)
	w := newCluster(t, 1, cores(8, 32))
	w.runTime = func(string, *simulatedWorker) time.Duration { return time.Minute }
	w.defers = func(task string) bool { return strings.HasPrefix(task, "j1.") }
	w.submit(simpleJob("j1", 1, cores(1, 1)))
	w.run(100 * time.Millisecond)
	w.submit(simpleJob("j2", 1, cores(1, 1)))
	w.run(100 * time.Millisecond)
	is.Equal(w.runningOn("j2"), []string{"w0"})
	k := w.workers["w0"]
	k.entry.Draining = true
	w.leader().step(orchestrator.WorkerListed{Worker: k.entry})
	w.run(time.Second)
	is.Equal(w.starts, 1)
}
