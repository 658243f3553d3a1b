package orchestrator_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpitch/internal/orchestrator"
)

// bestEffortJob returns a job of best-effort tasks.
func bestEffortJob(id, image string, tasks int, size orchestrator.Resources) orchestrator.Job {
	j := simpleJob(id, tasks, size)
	j.Steps[0].Fills, j.Steps[0].Image, j.Steps[0].Checkpoints = true, image, true
	j.Policy = orchestrator.Policy{Queue: "batch", Service: "s", Attempts: 3, Priority: 2, Stretch: 2, TargetDuration: time.Second}
	return j
}

// latencyCriticalJob returns a job of latency-critical tasks.
func latencyCriticalJob(id, image string, tasks int, size orchestrator.Resources) orchestrator.Job {
	j := simpleJob(id, tasks, size)
	j.Steps[0].LongRunning, j.Steps[0].Image, j.Steps[0].LatencyTarget = true, image, 18*time.Millisecond
	return j
}

// completionTime returns the virtual time from a job's submission to its final state, -1 if
// it has not finished.
func (w *simulation) completionTime(id string) time.Duration {
	for _, n := range w.notes {
		if n.Event == orchestrator.EventJobFinished && n.Job == id {
			return n.Age
		}
	}
	return -1
}

// A step names the same earlier step twice. Guards against a job that waits for good: the step counted two dependencies, and the end of
// the earlier step settled one.
func TestDependencyNamedTwiceIsOne(t *testing.T) {
	is := is.New(t)
	w := newCluster(t, 1, cores(4, 16))
	j := simpleJob("j1", 2, cores(1, 1))
	j.Steps = append(j.Steps, j.Steps[0], j.Steps[0])
	j.Steps[1].After, j.Steps[2].After = []int{0, 0}, []int{1, 0, 1}
	w.submit(j)
	w.run(10 * time.Second)
	is.Equal(w.state("j1"), orchestrator.StateSucceeded)
}

// A worker with running tasks dies. Guards against polls of the dead worker that extend its
// leases: the runs would never expire and the tasks never start elsewhere.
func TestTasksOfDeadWorkerRestart(t *testing.T) {
	is := is.New(t)
	w := newCluster(t, 1, cores(4, 16))
	dead := w.workers["w0"]
	j := simpleJob("j1", 2, cores(1, 1))
	j.Steps[0].LongRunning = true
	w.submit(j)
	w.run(time.Second)
	is.Equal(w.runningOn("j1"), []string{"w0", "w0"})
	w.addWorker("w1", cores(4, 16), "r0")
	w.leader().step(orchestrator.WorkersListed{Workers: w.listedWorkers()})
	dead.dead = true
	// 6 s are enough for the lease of 4.5 s on a clock that is 2% slow, a poll and the start.
	// The runs of the dead worker stay listed in the simulation.
	w.run(6 * time.Second)
	is.Equal(w.runningOn("j1"), []string{"w0", "w0", "w1", "w1"})
}

// A failure domain is cut off for 5.5 s and then reached again. Guards against leases that end
// just before the end of such a cut: the tasks would run as long without a leader, and then
// start anew.
func TestRunsOutlastShortCut(t *testing.T) {
	for _, c := range []struct {
		lease time.Duration
		holds bool
	}{
		{6500 * time.Millisecond, true}, // the lease of the coordinator
		{4500 * time.Millisecond, false},
	} {
		t.Run(c.lease.String(), func(t *testing.T) {
			is := is.New(t)
			w := newSimulation(t, 1)
			w.lease = c.lease
			w.addWorker("w0", cores(4, 16), "r0")
			w.addWorker("w1", cores(4, 16), "r1")
			l := w.elect(false)
			w.run(time.Second)
			j := simpleJob("j1", 8, cores(1, 1))
			j.Steps[0].LongRunning = true
			w.submit(j)
			w.run(time.Second)
			before := w.starts
			w.workers["w1"].unreachableFrom[l] = true
			w.run(5500 * time.Millisecond)
			delete(w.workers["w1"].unreachableFrom, l)
			w.run(2 * time.Second)
			is.Equal(len(w.runningOn("j1")), 8)
			is.Equal(w.starts == before, c.holds)
		})
	}
}

// A network partition separates the leader and one worker from the store and the other
// worker, and a successor is elected. Guards against two runs of a task: neither leader may
// start tasks again that may still run on the worker that only the other reaches.
func TestPartitionedLeaderRestartsNothing(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 1)
	w.addWorker("w0", cores(4, 16), "r0")
	w.addWorker("w1", cores(4, 16), "r1")
	w.elect(false)
	w.run(time.Second)
	j := simpleJob("j1", 8, cores(1, 1))
	j.Steps[0].LongRunning = true
	w.submit(j)
	w.run(time.Second)
	before := w.starts
	w.partition(0b00010) // the old leader reaches w0, its successor w1
	w.run(8 * time.Second)
	is.Equal(w.starts, before) // each must assume that the runs on the other worker continue
	w.heal()
	w.run(15 * time.Second)
	is.Equal(len(w.runningOn("j1")), 8)
}

// A leader hands over cleanly, as in a rolling restart, and one worker dies meanwhile. Guards
// against a successor that waits for that worker's leases before it starts new jobs, although
// the records name the workers of all runs.
func TestCleanHandOverStartsWorkAtOnce(t *testing.T) {
	is := is.New(t)
	w := newCluster(t, 4, cores(4, 16))
	w.submit(simpleJob("j1", 4, cores(1, 1)))
	w.run(200 * time.Millisecond)
	clean := w.leader().handOver()
	is.True(clean)
	w.workers["w3"].dead = true // not reached by the successor
	w.elect(clean)
	w.submit(simpleJob("j2", 2, cores(1, 1)))
	w.run(1500 * time.Millisecond)
	is.Equal(w.state("j2"), orchestrator.StateSucceeded)
}

// A worker fails all its runs, but answers polls normally. Guards against such a worker
// getting most of the tasks because it always has free capacity, and against a quarantine that
// never ends.
func TestFailingWorkerIsQuarantined(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 1)
	for i := range 4 {
		w.addWorker(fmt.Sprintf("w%d", i), cores(8, 32), "r0")
	}
	w.workers["w0"].failsTasks = true
	w.elect(false)
	w.run(time.Second)
	for i := range 30 {
		w.submit(simpleJob(fmt.Sprintf("j%d", i), 2, cores(1, 1)))
		w.run(200 * time.Millisecond)
	}
	w.run(10 * time.Second)
	failed := 0
	for i := range 30 {
		if w.state(fmt.Sprintf("j%d", i)) != orchestrator.StateSucceeded {
			failed++
		}
	}
	is.Equal(failed, 0)
	is.True(len(w.workers["w0"].ended) <= 12) // at most a fifth of the 60 tasks: the first few and the probes
	w.workers["w0"].failsTasks = false
	w.workers["w0"].ended = nil
	for i := range 20 {
		w.submit(simpleJob(fmt.Sprintf("k%d", i), 2, cores(1, 1)))
		w.run(300 * time.Millisecond)
	}
	is.True(w.workers["w0"].endCount > 0)
}

// Tasks make no progress on one worker. Guards against jobs that wait for hung tasks for
// ever: the tasks must be moved to the other worker.
func TestHungTaskMoves(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 1)
	w.addWorker("w0", cores(8, 32), "r0")
	w.addWorker("w1", cores(8, 32), "r0")
	w.workers["w0"].hangsTasks = true
	w.elect(false)
	w.run(time.Second)
	w.submit(simpleJob("j1", 4, cores(2, 2)))
	w.run(6 * time.Second)
	is.Equal(w.state("j1"), orchestrator.StateSucceeded)
}

// A long queue of long-running tasks waits for capacity. Guards against a short job that
// starts only after a pass over the whole queue, up to 200 ms late.
func TestShortJobPassesWaitingLongRunningTasks(t *testing.T) {
	is := is.New(t)
	w := newCluster(t, 1, cores(8, 64))
	for i := range 30 {
		j := simpleJob(fmt.Sprintf("l%d", i), 1, cores(6, 1))
		j.Steps[0].LongRunning = true
		w.submit(j)
	}
	w.run(5 * time.Second)
	w.runTime = func(string, *simulatedWorker) time.Duration { return 300 * time.Millisecond }
	w.submit(simpleJob("j1", 1, cores(1, 1)))
	w.run(100 * time.Millisecond)
	is.Equal(w.runningOn("j1"), []string{"w0"})
}

// A burst of wide batch jobs arrives. Guards against running all of them at the same time,
// so that none meets its deadline: the jobs must finish one after another.
func TestBurstFinishesJobsInOrder(t *testing.T) {
	is := is.New(t)
	w := newCluster(t, 4, cores(8, 64))
	for i := range 12 {
		j := simpleJob(fmt.Sprintf("b%02d", i), 16, cores(2, 2))
		j.Steps = append(j.Steps, orchestrator.Step{Count: 16, Size: cores(2, 2), Estimate: time.Second, After: []int{0}})
		j.Policy = orchestrator.Policy{Queue: "batch", Service: "s", Attempts: 3, Priority: 2, Stretch: 2, TargetDuration: time.Second}
		w.submit(j)
	}
	w.run(40 * time.Second)
	for i := range 12 {
		took := w.completionTime(fmt.Sprintf("b%02d", i))
		is.True(took > 0)
		// 16 tasks run at a time, so that each job takes 2 s of all workers. A quarter is
		// added for the delay until ends are reported and for steps of the next job that run
		// in gaps.
		if limit := time.Duration(i+1)*2500*time.Millisecond + time.Second; took > limit {
			t.Errorf("job %d ended after %s, want at most %s if jobs finish one after another", i, took, limit)
		}
	}
}

// Best-effort tasks run beside latency-critical ones, and one pair of images interferes.
// Guards against missed latency targets after the pair's coefficient has been measured, and
// against throttling or starving tasks that do not interfere.
func TestInterferingTasksAreSeparated(t *testing.T) {
	is := is.New(t)
	w := newCluster(t, 6, cores(16, 64))
	w.submit(latencyCriticalJob("s1", "web", 3, cores(8, 8)))
	w.submit(latencyCriticalJob("s2", "api", 3, cores(8, 8)))
	w.run(time.Second)
	w.runTime = func(string, *simulatedWorker) time.Duration { return 2 * time.Second }
	overTarget, samples := 0, 0
	for i := range 40 {
		w.submit(bestEffortJob(fmt.Sprintf("loud%d", i), "loud", 2, cores(3, 2)))
		w.submit(bestEffortJob(fmt.Sprintf("calm%d", i), "calm", 2, cores(3, 2)))
		for range 10 {
			o, n := w.setTailLatencies()
			if i >= 10 {
				overTarget, samples = overTarget+o, samples+n
			}
			w.run(50 * time.Millisecond)
		}
	}
	// After the first 10 rounds at most 5% of the samples may be over the target. The image
	// loud interferes only with web.
	is.True(overTarget*20 <= samples)
	w.run(30 * time.Second)
	for i := range 40 {
		is.Equal(w.state(fmt.Sprintf("loud%d", i)), orchestrator.StateSucceeded)
		is.Equal(w.state(fmt.Sprintf("calm%d", i)), orchestrator.StateSucceeded)
	}
}

// setTailLatencies sets the tail latency of each latency-critical task to that of a queue with
// 4 ms without load. The utilization is 0.45, and higher for tasks of s1 (image web) beside
// tasks of the image loud. It returns the number of tasks over the target of 18 ms and of all
// tasks.
func (w *simulation) setTailLatencies() (overTarget, all int) { return w.interfere(4) }

// interfere is like setTailLatencies, with another coefficient of web and loud.
func (w *simulation) interfere(coefficient float64) (overTarget, all int) {
	for _, k := range w.workers {
		loud := 0.0
		for name, r := range k.runs {
			if strings.HasPrefix(name, "loud") {
				loud += 3.0 / 16 * float64(r.speed) / 100
			}
		}
		for name := range k.runs {
			u := 0.45
			switch {
			case strings.HasPrefix(name, "s1."):
				u += coefficient * loud
			case !strings.HasPrefix(name, "s2."):
				continue
			}
			k.tailLatencyMs[name] = int(4 / (1 - min(u, 0.98)))
			all++
			if k.tailLatencyMs[name] > 18 {
				overTarget++
			}
		}
	}
	return overTarget, all
}

// Batch tasks use the whole memory. Guards against a long-running task of higher priority
// that waits although stopping batch tasks would free enough memory for it.
func TestLongRunningTaskPreemptsBatch(t *testing.T) {
	is := is.New(t)
	w := newCluster(t, 1, cores(32, 16))
	w.runTime = func(string, *simulatedWorker) time.Duration { return 30 * time.Second }
	w.submit(bestEffortJob("b1", "x", 8, cores(1, 2)))
	w.run(time.Second)
	is.Equal(len(w.runningOn("b1")), 8)
	w.submit(latencyCriticalJob("s1", "web", 1, cores(2, 4)))
	w.run(3 * time.Second)
	is.Equal(w.runningOn("s1"), []string{"w0"})
	is.Equal(len(w.runningOn("b1")), 6)
}

// Every run of a job fails. Guards against more starts than the allowed attempts, and against
// a job that never gets the state failed.
func TestFailingJobFailsAfterItsAttempts(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 1)
	for i := range 5 {
		w.addWorker(fmt.Sprintf("w%d", i), cores(8, 32), "r0")
	}
	w.succeeds = func(task string, _ int) bool { return !strings.HasPrefix(task, "p") }
	w.elect(false)
	w.run(time.Second)
	w.submit(simpleJob("p1", 1, cores(1, 1)))
	w.submit(simpleJob("j1", 1, cores(1, 1)))
	w.run(10 * time.Second)
	is.Equal(w.state("p1"), orchestrator.StateFailed)
	is.Equal(w.state("j1"), orchestrator.StateSucceeded)
	is.Equal(w.starts, 4)
}

// A job with running and waiting tasks is cancelled. Guards against running tasks that
// continue, and against starts of the waiting ones.
func TestCancelStopsAndStartsNothing(t *testing.T) {
	is := is.New(t)
	w := newCluster(t, 1, cores(4, 32))
	w.runTime = func(string, *simulatedWorker) time.Duration { return time.Minute }
	w.submit(simpleJob("j1", 8, cores(1, 1)))
	w.run(500 * time.Millisecond)
	started := w.starts
	w.cancel("j1")
	is.Equal(w.state("j1"), orchestrator.StateCancelled)
	w.run(time.Second)
	is.Equal(len(w.runningOn("j1")), 0)
	is.Equal(w.starts, started)
}

// The leader applies events a second late. Guards against scheduling passes that take the time which
// stops, renewals and confirmations need: passes wait for as long as the leader is behind, cancels
// don't.
func TestLeaderBehindPutsOffStarts(t *testing.T) {
	is := is.New(t)
	w := newCluster(t, 2, cores(4, 16))
	w.lag = time.Second
	w.runTime = func(string, *simulatedWorker) time.Duration { return time.Minute }
	w.submit(simpleJob("j0", 1, cores(1, 1)))
	w.run(1100 * time.Millisecond)
	is.Equal(len(w.runningOn("j0")), 1)
	passes := make(map[time.Time]bool)
	for i := range 40 {
		w.submit(simpleJob(fmt.Sprintf("j%d", i+1), 1, cores(0.1, 0)))
		before := len(w.notesOf(orchestrator.EventStart))
		w.run(50 * time.Millisecond)
		if len(w.notesOf(orchestrator.EventStart)) > before {
			passes[w.now] = true
		}
	}
	is.True(len(passes) <= 2) // in two seconds
	w.cancel("j0")
	w.run(400 * time.Millisecond) // a stop takes 300 ms
	is.Equal(len(w.runningOn("j0")), 0)
}

// A task has failed three times on workers that the successor of the leader can't reach; the store was
// away, so no record has these ends. The successor adopts the fourth run, which fails as well. Guards
// against a fifth start: the ends of the first three are taken note of later, and the task had no
// attempts left.
func TestFailuresOnUnreachableWorkersCountAsAttempts(t *testing.T) {
	is := is.New(t)
	w := newCluster(t, 4, cores(1, 4))
	w.succeeds = func(string, int) bool { return false }
	runs := 0
	w.runTime = func(string, *simulatedWorker) time.Duration {
		if runs++; runs == 4 {
			return time.Second
		}
		return 100 * time.Millisecond
	}
	j := simpleJob("poison", 1, cores(1, 1))
	j.Policy.Attempts = 4
	w.submit(j)
	old := w.leader()
	old.storeUnreachable = true
	for w.starts < 4 {
		w.run(10 * time.Millisecond)
	}
	last := w.runningOn("poison")
	is.Equal(len(last), 1)

	next := w.elect(false)
	for n, k := range w.workers {
		if n == last[0] {
			k.unreachableFrom[old] = true
		} else {
			k.unreachableFrom[next] = true
		}
	}
	w.run(4 * time.Second) // the leases of the old leader last for longer
	is.Equal(w.starts, 4)
	w.heal()
	w.run(2 * time.Second)
	is.Equal(w.state("poison"), orchestrator.StateFailed)
	is.Equal(w.starts, 4)
}

// A request to cancel is stored, and the leader is replaced before it hears of it. Guards against a
// successor that starts tasks of the cancelled job, or leaves its runs alone.
func TestCancelBeforeLeaderChangeIsCarriedOut(t *testing.T) {
	is := is.New(t)
	w := newCluster(t, 2, cores(4, 16))
	w.submit(simpleJob("short", 2, cores(1, 1))) // its end lets tasks of j1 start
	j := simpleJob("j1", 10, cores(1, 1))
	j.Steps[0].LongRunning = true
	w.submit(j)
	w.run(850 * time.Millisecond)
	is.True(len(w.runningOn("j1")) > 0)
	old := w.leader()
	old.storeUnreachable = true
	w.cancelRequests["j1"] = true
	w.elect(false)
	starts := len(w.notesOf(orchestrator.EventStart))
	w.run(100 * time.Millisecond) // before the successor reads new inputs from the store
	is.Equal(w.state("j1"), orchestrator.StateCancelled)
	w.run(900 * time.Millisecond)
	is.Equal(len(w.runningOn("j1")), 0)
	for _, n := range w.notesOf(orchestrator.EventStart)[starts:] {
		is.True(n.Job != "j1")
	}
	is.True(old.deposed)
}

// Gangs need all their tasks on one rack. Guards against members that start without the
// others or on another rack.
func TestGangStartsTogetherOnOneRack(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 1)
	for i := range 4 {
		w.addWorker(fmt.Sprintf("w%d", i), cores(4, 32), fmt.Sprintf("r%d", i/2))
	}
	w.elect(false)
	w.run(time.Second)
	w.runTime = func(string, *simulatedWorker) time.Duration { return 5 * time.Second }
	w.submit(simpleJob("j1", 4, cores(1, 1)))
	w.run(200 * time.Millisecond)
	g := simpleJob("g1", 6, cores(1, 1))
	g.Steps[0].Gang, g.Steps[0].SameRack, g.Steps[0].Estimate = true, true, 5*time.Second
	w.submit(g)
	w.run(time.Second)
	workers := w.runningOn("g1")
	is.Equal(len(workers), 6) // each rack has 6 cores left
	workers = slices.Compact(workers)
	is.True(slices.Equal(workers, []string{"w0", "w1"}) || slices.Equal(workers, []string{"w2", "w3"}))
	h := simpleJob("g2", 6, cores(1, 1))
	h.Steps[0].Gang, h.Steps[0].SameRack, h.Steps[0].Estimate = true, true, 5*time.Second
	w.submit(h)
	w.run(time.Second)
	n := len(w.runningOn("g2"))
	is.True(n == 0 || n == 6)
}

// A job has a schedule. Guards against occurrences that start before their due time.
func TestOccurrencesStartWhenDue(t *testing.T) {
	is := is.New(t)
	w := newCluster(t, 1, cores(4, 32))
	j := simpleJob("j1", 1, cores(1, 1))
	j.Occurrences, j.First, j.Interval = 3, w.now.Add(2*time.Second), 3*time.Second
	w.submit(j)
	w.run(1700 * time.Millisecond)
	is.Equal(w.starts, 0)
	w.run(600 * time.Millisecond)
	is.Equal(w.starts, 1)
	w.run(8 * time.Second)
	is.Equal(w.starts, 3)
	is.Equal(w.state("j1"), orchestrator.StateSucceeded)
}

// Tasks have a rack affinity. Guards against tasks that run away from their data while its
// rack has free capacity, and against tasks that wait for that rack too long.
func TestTaskRunsOnRackOfItsData(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 1)
	w.addWorker("w0", cores(8, 32), "r0")
	w.addWorker("w1", cores(2, 32), "r1")
	w.elect(false)
	w.run(time.Second)
	w.runTime = func(string, *simulatedWorker) time.Duration { return 3 * time.Second }
	j := simpleJob("j1", 3, cores(1, 1))
	j.Steps[0].RackAffinity = "r1"
	w.submit(j)
	w.run(300 * time.Millisecond)
	is.Equal(w.runningOn("j1"), []string{"w1", "w1"})
	w.run(time.Second)
	is.Equal(w.runningOn("j1"), []string{"w0", "w1", "w1"})
}

// A worker with long-running tasks drains. Guards against tasks that stay there until the
// worker ends, and against new starts there.
func TestDrainingWorkerIsEvacuated(t *testing.T) {
	is := is.New(t)
	w := newCluster(t, 1, cores(8, 32))
	j := simpleJob("j1", 2, cores(1, 1))
	j.Steps[0].LongRunning = true
	w.submit(j)
	w.run(time.Second)
	w.addWorker("w1", cores(8, 32), "r0")
	w.workers["w0"].entry.Draining = true
	w.leader().step(orchestrator.WorkersListed{Workers: w.listedWorkers()})
	w.run(1500 * time.Millisecond)
	is.Equal(w.runningOn("j1"), []string{"w1", "w1"})
}

// A worker drains and leaves with no runs, and then the leader dies. Guards against a
// successor that waits for the leases of that worker before it starts jobs.
func TestSuccessorDoesNotWaitForIdleWorkerThatLeft(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 1)
	w.addWorker("w0", cores(8, 32), "r0")
	left := w.addWorker("w1", cores(8, 32), "r0")
	w.elect(false)
	w.run(time.Second)
	left.entry.Draining = true
	w.leader().step(orchestrator.WorkersListed{Workers: w.listedWorkers()})
	w.run(time.Second)
	w.leader().frozen = true // it neither starts the job nor records that the worker has left
	left.dead = true
	w.submit(simpleJob("j1", 1, cores(1, 1))) // not started before the leader dies
	w.elect(false)
	w.run(2 * time.Second)
	is.Equal(w.state("j1"), orchestrator.StateSucceeded)
}

// Guards against accepting jobs with impossible sizes, counts or dependencies.
func TestInvalidJobs(t *testing.T) {
	is := is.New(t)
	for name, change := range map[string]func(*orchestrator.Job){
		"no steps":         func(j *orchestrator.Job) { j.Steps = nil },
		"no tasks":         func(j *orchestrator.Job) { j.Steps[0].Count = 0 },
		"negative size":    func(j *orchestrator.Job) { j.Steps[0].Size.CPU = -1 },
		"depends on self":  func(j *orchestrator.Job) { j.Steps[0].After = []int{0} },
		"negative step":    func(j *orchestrator.Job) { j.Steps[0].After = []int{-1} },
		"negative times":   func(j *orchestrator.Job) { j.Occurrences = -1 },
		"negative limit":   func(j *orchestrator.Job) { j.Steps[0].MaxPerWorker = -1 },
		"negative latency": func(j *orchestrator.Job) { j.Steps[0].LatencyTarget = -1 },
	} {
		j := simpleJob("j1", 1, cores(1, 1))
		is.NoErr(j.Validate())
		change(&j)
		err := j.Validate()
		if err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}
