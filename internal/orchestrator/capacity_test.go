package orchestrator_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpitch/internal/orchestrator"
)

// A worker's capacity shrinks below what runs there, and grows again. Guards against starts beyond a capacity that has
// shrunk, against runs that are stopped for it, and against capacity that stays unused after it has grown.
func TestCapacityThatShrinksAndGrows(t *testing.T) {
	for _, guarded := range []bool{false, true} {
		t.Run(fmt.Sprintf("guarded=%t", guarded), func(t *testing.T) {
			is := is.New(t)
			w := newCluster(t, 1, cores(8, 32))
			k := w.workers["w0"]
			k.guarded = guarded
			w.runTime = func(string, *simulatedWorker) time.Duration { return 2 * time.Second }
			w.submit(simpleJob("j1", 24, cores(1, 1)))
			w.run(500 * time.Millisecond)
			is.Equal(len(k.runs), 8)
			w.resize(k, cores(3, 32))
			w.run(1400 * time.Millisecond)
			is.Equal(len(k.runs), 8) // no run is stopped
			w.run(4 * time.Second)   // the simulation fails at a start beyond the capacity
			is.Equal(len(k.runs), 3)
			w.resize(k, cores(8, 32))
			w.run(time.Second)
			is.Equal(len(k.runs), 8)
			w.run(8 * time.Second)
			is.Equal(w.state("j1"), orchestrator.StateSucceeded)
			is.Equal(len(w.notesOf(orchestrator.EventStartRefused)), 0)
		})
	}
}

// A leader that has lost the store goes on with tasks for some seconds, while the capacity of a worker that does not
// guard it shrinks. Guards against starts by a capacity that is out of date, and against a leader that starts
// nothing any more on workers that guard theirs.
func TestStaleCapacityIsNotUsedWithoutGuard(t *testing.T) {
	for _, guarded := range []bool{false, true} {
		t.Run(fmt.Sprintf("guarded=%t", guarded), func(t *testing.T) {
			is := is.New(t)
			w := newCluster(t, 1, cores(8, 32))
			k := w.workers["w0"]
			k.guarded = guarded
			w.runTime = func(string, *simulatedWorker) time.Duration { return 2 * time.Second }
			j := simpleJob("j1", 40, cores(1, 1))
			j.Policy = orchestrator.Policy{Service: "s", Attempts: 3, Stretch: 2, TargetDuration: time.Second, Guarded: guarded}
			w.submit(j)
			w.run(500 * time.Millisecond)
			w.leader().storeUnreachable = true
			w.resize(k, cores(3, 32))
			w.run(7500 * time.Millisecond) // the simulation fails at a start beyond the capacity
			running := len(k.runs)
			is.True(running > 0 == guarded)
			w.leader().storeUnreachable = false
			w.run(30 * time.Second)
			is.Equal(w.state("j1"), orchestrator.StateSucceeded)
		})
	}
}

// A schedule has more due occurrences than a leader's memory can hold. Guards against a job that ends each leader in turn by
// its use of memory, and against occurrences that never begin.
func TestDueOccurrencesAreBounded(t *testing.T) {
	is := is.New(t)
	w := newCluster(t, 4, cores(8, 32))
	w.runTime = func(string, *simulatedWorker) time.Duration { return 20 * time.Millisecond }
	j := simpleJob("j1", 2000, cores(1, 1))
	j.Occurrences, j.First = 40, w.now.Add(-time.Hour)
	w.submit(j)
	w.run(time.Second)
	is.True(w.leader().o.Status(w.now).Load.WaitingTasks <= 10000)
	is.True(w.leader().o.Status(w.now).Load.WaitingTasks > 0)
	is.Equal(w.state("j1"), orchestrator.StateRunning)
	w.elect(false)
	w.run(10 * time.Second)
	is.True(w.leader().o.Status(w.now).Load.WaitingTasks <= 10000)

	few := simpleJob("j2", 3, cores(1, 1))
	few.Occurrences, few.First = 40, w.now
	w.submit(few)
	w.cancel("j1")
	w.run(15 * time.Second)
	is.Equal(w.state("j2"), orchestrator.StateSucceeded)
}

// Guards against one job whose tasks need more memory than a leader has, or whose record is larger than a value may be in
// the store, so that no leader can write anything any more.
func TestTasksOfAllStepsAreBounded(t *testing.T) {
	is := is.New(t)
	j := simpleJob("j1", 6000, cores(1, 1))
	is.NoErr(j.Validate())
	j.Steps = append(j.Steps, j.Steps[0])
	var invalid *orchestrator.InvalidJobError
	is.True(errors.As(j.Validate(), &invalid))

	const maxValue = 1 << 20 // bytes, of the platform's store
	r := orchestrator.Record{ID: "0123456789abcdef", State: orchestrator.StateRunning}
	for i := range 10000 {
		r.Tasks = append(r.Tasks, orchestrator.TaskRecord{Occurrence: 100000, Step: 63, Index: i, NextRun: 500, Failed: []int{401, 450},
			Saved: "00000bb87a21d94b", Workers: []string{"i-d4b15e583e"}, LastRunEnd: 1 << 41})
	}
	b, err := orchestrator.EncodeRecord(r)
	is.NoErr(err)
	is.True(len(b) < maxValue)
}
