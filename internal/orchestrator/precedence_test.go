package orchestrator_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"gopkg.in/ini.v1"

	"peridotpitch/internal/orchestrator"
)

// lossCase is a section of testdata/returning.ini.
type lossCase struct {
	Label        string
	Tasks        int
	MaxPerWorker int
	Memory       int // GB that a task of "old" needs
	Advised      bool
	Gang         bool
}

// Workers of the cases: the first ones have more memory and the label "special", and are lost.
const (
	lossWorkers = 6
	lostWorkers = 2
)

// lose ends workers for good, as if their machines were lost.
func (w *simulation) lose(names ...string) {
	for _, n := range names {
		w.workers[n].dead = true
		clear(w.workers[n].runs)
		w.leader().step(orchestrator.WorkerUnlisted{ID: n})
	}
}

// Tasks of a long-running job lose the only workers that they may run on. Guards against new long-running tasks that wait for 30 s on
// idle workers, because these are kept for tasks that can't run there.
func TestReturningTaskKeepsNoWorkerThatItMayNotUse(t *testing.T) {
	t.Parallel()
	f, err := ini.Load("testdata/returning.ini")
	if err != nil {
		t.Fatal(err)
	}
	for _, section := range f.Sections() {
		if section.Name() == ini.DefaultSection {
			continue
		}
		t.Run(section.Name(), func(t *testing.T) {
			is := is.New(t)
			c := lossCase{Tasks: lostWorkers, Memory: 2}
			is.NoErr(section.StrictMapTo(&c))
			w := newSimulation(t, 1)
			var lost []string
			for i := range lossWorkers {
				name := string(rune('a' + i))
				k := w.addWorker(name, cores(32, 64), "r0")
				if i < lostWorkers {
					lost = append(lost, name)
					k.entry.Capacity = cores(32, 128)
					k.entry.Labels = append(k.entry.Labels, "special")
				}
			}
			w.policy = &policyService{decide: 20 * time.Millisecond, perWorker: 3 * time.Millisecond, validity: 3 * time.Second,
				allows: func(_, worker string) bool { return slices.Contains(lost, worker) }}
			w.elect(false)
			w.run(time.Second)
			old := longRunningJob("old", c.Tasks, cores(6, c.Memory))
			old.Steps[0].RequiredLabel, old.Steps[0].MaxPerWorker, old.Steps[0].Gang = c.Label, c.MaxPerWorker, c.Gang
			old.Policy = orchestrator.Policy{Service: "s", Attempts: 3, Stretch: 2, TargetDuration: time.Second, Advised: c.Advised}
			w.submit(old)
			w.run(3 * time.Second)
			is.Equal(len(w.runningOn("old")), c.Tasks)
			w.lose(lost...)
			w.run(11 * time.Second) // the leases have ended
			w.submit(longRunningJob("new", 8, cores(6, 2)))
			w.run(500 * time.Millisecond)
			is.Equal(len(w.runningOn("new")), 8)
		})
	}
}

// Guards against a returning task that keeps more than the place that it needs.
func TestReturningTaskKeepsOnePlace(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	is.Equal(newTasksBesideReturningOne(t, 0), 1)
}

// Guards against new tasks that take the place of a returning one.
func returningTaskGetsItsPlace(t *testing.T, disabled orchestrator.MechanismSet) bool {
	return newTasksBesideReturningOne(t, disabled) < 2
}

// newTasksBesideReturningOne returns how many of two new long-running tasks start while one of another job waits because its worker was
// replaced. Two workers have room for a new task each at once, and for the returning one as soon as a short task has ended.
func newTasksBesideReturningOne(t *testing.T, disabled orchestrator.MechanismSet) int {
	is := is.New(t)
	w := newClusterWithout(t, disabled, 5, cores(8, 64))
	w.submit(longRunningJob("old", 5, cores(6, 2)))
	w.run(2 * time.Second)
	is.Equal(len(w.runningOn("old")), 5)
	w.addWorker("x", cores(8, 64), "r0")
	w.addWorker("y", cores(8, 64), "r0")
	w.leader().step(orchestrator.WorkersListed{Workers: w.listedWorkers()})
	w.run(time.Second)
	w.runTime = func(string, *simulatedWorker) time.Duration { return 5 * time.Second }
	w.submit(simpleJob("short", 2, cores(5, 2)))
	w.run(200 * time.Millisecond)
	is.Equal(w.runningOn("short"), []string{"x", "y"})
	w.workers["w0"].replaced = true
	clear(w.workers["w0"].runs)
	w.run(time.Second)
	w.submit(longRunningJob("new", 2, cores(3, 2)))
	w.run(time.Second)
	n := len(w.runningOn("new"))
	w.run(4 * time.Second)
	is.Equal(len(w.runningOn("old")) == 5, n < 2) // a place was left
	return n
}

// rackCluster returns a cluster with a full worker on the rack r0, and one on the rack r1 with room for a small task beside a task of the
// job "short". A task whose data is on r0 waits for that rack for half a minute.
func rackCluster(t *testing.T) *simulation {
	w := newSimulation(t, 1)
	w.addWorker("w0", cores(8, 64), "r0")
	w.elect(false)
	w.run(time.Second)
	w.submit(longRunningJob("full", 1, cores(8, 2)))
	w.run(time.Second)
	w.addWorker("w1", cores(8, 64), "r1")
	w.leader().step(orchestrator.WorkersListed{Workers: w.listedWorkers()})
	w.run(time.Second)
	w.runTime = func(string, *simulatedWorker) time.Duration { return time.Minute }
	short := simpleJob("short", 1, cores(5, 2))
	short.Policy.Priority = 2
	w.submit(short)
	w.run(200 * time.Millisecond)
	is.New(t).Equal(w.runningOn("short"), []string{"w1"})
	return w
}

// Guards against runs that are stopped for a task which may not start on their worker.
func TestPreemptionStopsNothingWhereTaskMayNotStart(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := rackCluster(t)
	urgent := simpleJob("urgent", 1, cores(6, 2))
	urgent.Steps[0].RackAffinity, urgent.Steps[0].Estimate = "r0", time.Minute
	w.submit(urgent)
	w.run(5 * time.Second)
	is.Equal(w.stops("short"), 0)
}

// Guards against a worker that is reserved for a task which may not start there: its free capacity stays unused.
func TestNoWorkerIsReservedWhereTaskMayNotStart(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := rackCluster(t)
	large := longRunningJob("large", 1, cores(6, 2))
	large.Steps[0].RackAffinity, large.Steps[0].Estimate = "r0", time.Minute
	large.Policy.Priority = 2
	w.submit(large)
	w.run(6 * time.Second) // longer than long-running tasks wait before a worker is reserved for them
	w.submit(simpleJob("small", 1, cores(2, 2)))
	w.run(500 * time.Millisecond)
	is.Equal(w.runningOn("small"), []string{"w1"})
}

// All workers of one service are busy, those of another one are idle. Guards against a long-running task that waits on idle workers because
// the reserve for short jobs is taken over all services.
func TestFullServiceHoldsUpNoOther(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newSimulation(t, 1)
	for i := range 21 {
		w.addWorker(fmt.Sprintf("w%02d", i), cores(8, 64), "r0")
	}
	w.workers["w20"].entry.Service = "other"
	w.elect(false)
	w.run(time.Second)
	w.runTime = func(string, *simulatedWorker) time.Duration { return time.Minute }
	w.submit(simpleJob("short", 20, cores(8, 2)))
	w.run(time.Second)
	is.Equal(len(w.runningOn("short")), 20)
	j := longRunningJob("job", 1, cores(2, 2))
	j.Policy = orchestrator.Policy{Service: "other", Attempts: 3, Stretch: 2, TargetDuration: time.Second}
	w.submit(j)
	w.run(500 * time.Millisecond)
	is.Equal(w.runningOn("job"), []string{"w20"})
}
