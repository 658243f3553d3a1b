package orchestrator_test

import (
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
