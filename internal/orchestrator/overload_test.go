package orchestrator_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpitch/internal/orchestrator"
)

// finishedWithin returns the number of jobs whose IDs start with prefix and that succeeded
// within limit.
func (w *simulation) finishedWithin(prefix string, limit time.Duration) int {
	n := 0
	for _, e := range w.notes {
		if e.Event == orchestrator.EventJobFinished && strings.HasPrefix(e.Job, prefix) && e.Outcome == string(orchestrator.StateSucceeded) && e.Age <= limit {
			n++
		}
	}
	return n
}

// Identical batch jobs arrive at twice the rate that the workers can process, for much longer
// than the time from a job's submission to its deadline. Guards against ordering by deadline
// alone: every job would get some capacity, nearly all would finish just after their deadline,
// and nearly none in time.
func TestSustainedOverloadFinishesStartedJobs(t *testing.T) {
	is := is.New(t)
	w := newCluster(t, 4, cores(8, 64))
	const seconds = 30
	for i := range 2 * seconds {
		// 16 tasks of one second for each job, and 16 run at a time: one job a second.
		j := simpleJob(fmt.Sprintf("b%02d", i), 8, cores(2, 2))
		j.Steps = append(j.Steps, orchestrator.Step{Count: 8, Size: cores(2, 2), Estimate: time.Second, After: []int{0}})
		j.Policy = orchestrator.Policy{Queue: "batch", Service: "s", Attempts: 3, Priority: 2, Stretch: 2, TargetDuration: time.Second}
		w.submit(j)
		w.run(500 * time.Millisecond)
	}
	w.run(20 * time.Second)
	// Between the steps of a job there are gaps in which the next job runs, so that fewer than
	// one job a second can end in time.
	if n := w.finishedWithin("b", 5*time.Second); n < seconds*2/3 {
		t.Errorf("%d jobs in time, want at least two thirds of the %d that the workers can process", n, seconds)
	}
	for i := range 2 * seconds {
		is.True(w.state(fmt.Sprintf("b%02d", i)).Final() || w.completionTime(fmt.Sprintf("b%02d", i)) < 0)
	}
}

// Tasks of a step have different run times. Guards against deadlines that are based on the
// mean run time: a step with many tasks takes as long as its longest task.
func TestDeadlineAllowsForLongestTask(t *testing.T) {
	w := newCluster(t, 4, cores(16, 64))
	n := 0
	w.runTime = func(string, *simulatedWorker) time.Duration {
		n++
		return []time.Duration{600, 800, 1000, 1200, 1400, 1000}[n%6] * time.Millisecond
	}
	for i := range 40 {
		w.submit(bestEffortJob(fmt.Sprintf("b%02d", i), "calm", 16, cores(1, 1)))
		w.run(2 * time.Second)
	}
	w.submit(bestEffortJob("wide", "calm", 32, cores(1, 1)))
	w.submit(bestEffortJob("narrow", "calm", 1, cores(1, 1)))
	wide, narrow := w.deadlineAfterSubmission("wide"), w.deadlineAfterSubmission("narrow")
	// The longest of 32 of these tasks takes 1.4 times the mean.
	if narrow < 2800*time.Millisecond || narrow > 3300*time.Millisecond {
		t.Errorf("the deadline of a job of one task of about 1 s is %s after its submission, want 2.8 s to 3.3 s", narrow)
	}
	if wide < 3800*time.Millisecond || wide > 5*time.Second {
		t.Errorf("the deadline of a job of 32 tasks of up to 1.4 s is %s after its submission, want 3.8 s to 5 s", wide)
	}
}

// deadlineAfterSubmission returns the time from a job's submission to its deadline from the
// leader's note on the job, -1 if there is no such note.
func (w *simulation) deadlineAfterSubmission(id string) time.Duration {
	for _, e := range w.notes {
		if e.Event == orchestrator.EventJobAdded && e.Job == id {
			_, text, _ := strings.Cut(e.Figures, "Deadline=")
			if d, err := time.ParseDuration(text); err == nil {
				return d
			}
		}
	}
	return -1
}

// A best-effort task is throttled because it interferes with a latency-critical one. Guards
// against a worker that meanwhile gets no other best-effort tasks, although samples show that
// they do not interfere there.
func TestHarmlessTaskStartsBesideThrottledTask(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 1)
	w.addWorker("w0", cores(16, 64), "r0")
	l := w.elect(false)
	l.step(orchestrator.Inherited{Statistics: orchestrator.WorkloadStatistics{
		Pairs: []orchestrator.PairStatistics{
			{Serving: "web", Filler: "calm", Coefficient: 0.01, Samples: 300, Variance: 0.01},
			{Serving: "web", Filler: "loud", Coefficient: 0.1, Samples: 300, Variance: 0.01}, // the actual coefficient is 4
		},
		Images: []orchestrator.ImageStatistics{{Image: "web", Idle: 0.22, Mean: 0.45}},
	}})
	w.run(time.Second)
	w.submit(latencyCriticalJob("s1", "web", 1, cores(8, 8)))
	w.run(time.Second)
	w.runTime = func(string, *simulatedWorker) time.Duration { return time.Minute }
	w.submit(bestEffortJob("loud", "loud", 1, cores(3, 2)))
	for range 60 {
		w.setTailLatencies()
		w.run(50 * time.Millisecond)
	}
	is.Equal(w.runningOn("loud"), []string{"w0"})
	is.True(w.speedOf("loud.0.0.0") < 100)
	w.submit(bestEffortJob("loud2", "loud", 1, cores(3, 2)))
	w.submit(bestEffortJob("calm", "calm", 1, cores(3, 2)))
	w.run(200 * time.Millisecond)
	is.Equal(w.runningOn("calm"), []string{"w0"})
	is.Equal(len(w.runningOn("loud2")), 0)
}

func (w *simulation) speedOf(task string) int {
	for _, k := range w.workers {
		if r := k.runs[task]; r != nil {
			return r.speed
		}
	}
	return -1
}

// Capacity is free only beside a latency-critical task, and the load is not light. Guards
// against best-effort tasks of late jobs that use up the headroom there: only tasks of jobs
// that are on time may do so.
func TestLateBestEffortTaskKeepsHeadroom(t *testing.T) {
	is := is.New(t)
	w := newCluster(t, 1, cores(16, 64))
	w.submit(latencyCriticalJob("s1", "web", 1, cores(10, 8)))
	w.run(time.Second)
	late := bestEffortJob("late", "calm", 1, cores(4, 2))
	late.Submitted = w.now.Add(-time.Minute)
	w.submit(late)
	w.run(300 * time.Millisecond)
	is.Equal(len(w.runningOn("late")), 0)
	w.submit(bestEffortJob("timely", "calm", 1, cores(4, 2)))
	w.run(300 * time.Millisecond)
	is.Equal(w.runningOn("timely"), []string{"w0"})
}

// A worker answers a stop without executing it. Guards against a cancelled task that
// continues because the stop is not sent again.
func TestStopWithoutEffectIsResent(t *testing.T) {
	is := is.New(t)
	w := newCluster(t, 1, cores(8, 64))
	k := w.workers["w0"]
	w.submit(latencyCriticalJob("s1", "web", 2, cores(2, 2)))
	w.run(time.Second)
	k.ignoredStops = 2
	w.cancel("s1")
	w.run(time.Second)
	is.Equal(w.runningOn("s1"), []string{"w0", "w0"})
	w.run(3 * time.Second)
	is.Equal(len(w.runningOn("s1")), 0)
}

// A long-running task waits although the emptiest worker has more free than it needs. Guards against
// a log from which it can't be told what excludes the candidates.
func TestWaitNamesObstacles(t *testing.T) {
	is := is.New(t)
	w := newCluster(t, 4, cores(8, 32))
	first := simpleJob("first", 4, cores(7.5, 2))
	first.Steps[0].LongRunning = true
	w.submit(first)
	w.run(time.Second)
	small := simpleJob("small", 2, cores(0.25, 2))
	small.Steps[0].LongRunning = true
	w.submit(small) // 94% of the processors are taken
	w.run(time.Second)
	notes := w.notesOf(orchestrator.EventWait)
	is.True(len(notes) > 0)
	is.True(strings.HasSuffix(notes[len(notes)-1].Figures, "Needs=0.2/2.0 Free=0.5/30.0 Candidates=4 ShortJobReserve=4"))
}

// A long-running task is larger than the capacity that becomes free when a short task ends.
// Guards against short jobs that use all freed capacity for as long as they arrive.
func TestLargeLongRunningTaskGetsReservedWorker(t *testing.T) {
	is := is.New(t)
	w := newCluster(t, 4, cores(8, 64))
	n := 0
	w.runTime = func(string, *simulatedWorker) time.Duration {
		n++
		return time.Duration(400+170*(n%5)) * time.Millisecond // different, so that tasks end one at a time
	}
	for i := range 200 {
		w.submit(simpleJob(fmt.Sprintf("q%03d", i), 4, cores(3.5, 2)))
		if i == 20 {
			j := latencyCriticalJob("large", "web", 1, cores(6, 8))
			j.Policy = orchestrator.Policy{Queue: "long-running", Service: "s", Attempts: 3, Stretch: 2}
			w.submit(j)
		}
		w.run(50 * time.Millisecond)
	}
	is.Equal(len(w.runningOn("large")), 1) // after less than 9 s, while short jobs still wait
}

// A worker with long-running tasks fails other tasks for a while. After its quarantine it gets
// one task at a time until one succeeds. Guards against counting the long-running tasks that
// ran before as that one task, and against waiting for the end of a long-running task that is
// started as that one task.
func TestRecoveredWorkerGetsWorkBesideLongRunningTasks(t *testing.T) {
	is := is.New(t)
	w := newCluster(t, 1, cores(16, 64))
	k := w.workers["w0"]
	w.submit(latencyCriticalJob("s1", "web", 2, cores(2, 2)))
	w.run(time.Second)
	k.failsTasks = true
	for i := range 6 {
		w.submit(simpleJob(fmt.Sprintf("j%d", i), 1, cores(1, 1)))
		w.run(200 * time.Millisecond)
	}
	w.run(time.Second) // their runs end as failed
	k.failsTasks = false
	for i := range 6 {
		w.cancel(fmt.Sprintf("j%d", i)) // so that a long-running task is tried first
	}
	w.run(4 * time.Second)
	w.submit(latencyCriticalJob("s2", "web", 3, cores(2, 2)))
	w.run(3 * time.Second)
	is.Equal(len(w.runningOn("s2")), 3)
	w.submit(simpleJob("k", 4, cores(1, 1)))
	w.run(100 * time.Millisecond)
	is.Equal(len(w.runningOn("k")), 4)
}

// There are more workers than are scored for one task, and as many tasks as fit on them.
// Guards against free workers that are never used because the same other workers are scored
// each time.
func TestAllWorkersAreUsedWhenSomeAreScored(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 1)
	const many = 700
	for i := range many {
		w.addWorker(fmt.Sprintf("w%03d", i), cores(4, 16), "r0")
	}
	w.elect(false)
	w.run(time.Second)
	w.runTime = func(string, *simulatedWorker) time.Duration { return time.Minute }
	for i := range many / 10 {
		w.submit(simpleJob(fmt.Sprintf("j%d", i), 10, cores(3, 2)))
	}
	w.run(2 * time.Second)
	used := 0
	for i := range many / 10 {
		used += len(w.runningOn(fmt.Sprintf("j%d", i)))
	}
	is.Equal(used, many)
}

// Under a light load a job waits whose image interferes with the only worker's latency-critical
// task. Guards against such jobs that get a short run every two seconds: the platform looks
// once a second and would find nothing running several times in a row.
func TestInterferingJobRunsUnderLightLoad(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 1)
	w.addWorker("w0", cores(16, 64), "r0")
	w.elect(false).step(orchestrator.Inherited{Statistics: interferenceStatistics(2)})
	w.run(time.Second)
	w.submit(latencyCriticalJob("s1", "web", 1, cores(8, 8)))
	w.run(time.Second)
	w.runTime = func(string, *simulatedWorker) time.Duration { return 700 * time.Millisecond }
	w.submit(bestEffortJob("loud", "loud", 4, cores(3, 2)))
	idle := time.Duration(0)
	for range 100 {
		w.run(50 * time.Millisecond)
		if len(w.runningOn("loud")) > 0 || w.state("loud").Final() {
			idle = 0
			continue
		}
		idle += 50 * time.Millisecond
		is.True(idle < time.Second)
	}
	is.Equal(w.state("loud"), orchestrator.StateSucceeded)
}

// interferenceStatistics returns the statistics of an earlier leader in which best-effort tasks
// of image loud interfere with web by coefficient, and those of image mild by 0.1.
func interferenceStatistics(coefficient float64) orchestrator.WorkloadStatistics {
	return orchestrator.WorkloadStatistics{
		Pairs: []orchestrator.PairStatistics{
			{Serving: "web", Filler: "loud", Coefficient: coefficient, Samples: 300, Variance: 0.0001},
			{Serving: "web", Filler: "mild", Coefficient: 0.1, Samples: 300, Variance: 0.0001},
		},
		Images: []orchestrator.ImageStatistics{{Image: "web", Idle: 0.22, Mean: 0.45}},
	}
}

// A best-effort task is throttled, and one of an image that adds 0.019 arrives. Guards against
// a limit for harmless tasks so low that tasks of images that do not interfere wait for
// headroom.
func TestMildTaskIsHarmless(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 1)
	w.addWorker("w0", cores(16, 64), "r0")
	w.elect(false).step(orchestrator.Inherited{Statistics: interferenceStatistics(0.5)})
	w.run(time.Second)
	w.submit(latencyCriticalJob("s1", "web", 1, cores(8, 8)))
	w.run(time.Second)
	w.runTime = func(string, *simulatedWorker) time.Duration { return time.Minute }
	w.submit(bestEffortJob("loud", "loud", 1, cores(3, 2)))
	for range 60 {
		w.setTailLatencies()
		w.run(50 * time.Millisecond)
	}
	is.True(w.speedOf("loud.0.0.0") < 100)
	w.submit(bestEffortJob("mild", "mild", 1, cores(3, 2)))
	w.run(200 * time.Millisecond)
	is.Equal(w.runningOn("mild"), []string{"w0"})
}

// A best-effort task runs at about a quarter of its speed, and another worker is free. Guards
// against moves of tasks that still get on: each move throws work away.
func TestSlowedTaskStays(t *testing.T) {
	is := is.New(t)
	const coefficient = 5.5
	w := newSimulation(t, 1)
	w.addWorker("w0", cores(16, 64), "r0")
	w.elect(false).step(orchestrator.Inherited{Statistics: interferenceStatistics(coefficient)})
	w.run(time.Second)
	w.runTime = func(string, *simulatedWorker) time.Duration { return time.Minute }
	w.submit(latencyCriticalJob("s1", "web", 1, cores(8, 8)))
	w.run(time.Second)
	w.submit(bestEffortJob("loud", "loud", 1, cores(3, 2)))
	step := func(n int) {
		for range n {
			w.interfere(coefficient)
			w.run(50 * time.Millisecond)
		}
	}
	step(60)
	w.addWorker("w1", cores(16, 64), "r0")
	w.leader().step(orchestrator.WorkersListed{Workers: w.listedWorkers()})
	step(60)
	speed := w.speedOf("loud.0.0.0")
	is.True(speed >= 20 && speed < 40)
	is.Equal(w.runningOn("loud"), []string{"w0"})
}

// Each pass takes 100 ms, as on a host whose processor has slowed down, and workers answer every
// 10 ms. Guards against a leader that runs a pass with each answer: the answers wait, leases are not
// renewed, and other hosts depose it.
func TestSlowPassesLeaveTimeForAnswers(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 1)
	var passTime time.Duration
	w.clock = func() time.Time { // read before and after each pass
		passTime += 100 * time.Millisecond
		return w.now.Add(passTime)
	}
	w.addWorker("w0", cores(8, 32), "r0")
	w.elect(false)
	w.run(time.Second)
	before := w.loadFigure(t, "Passes")
	w.run(4 * time.Second)
	passes := w.loadFigure(t, "Passes") - before
	is.True(passes > 10)
	is.True(passes <= 4*5+1)
}

// The process is paused for 10 s in the middle of a pass. Guards against starts that wait for a
// multiple of the pause.
func TestPauseDuringPassDelaysNoStarts(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 1)
	var reads, pausedAt int
	w.clock = func() time.Time {
		if reads++; reads == pausedAt {
			return w.now.Add(10 * time.Second)
		}
		return w.now
	}
	w.addWorker("w0", cores(8, 32), "r0")
	w.elect(false)
	w.run(time.Second)
	pausedAt = reads + 2 - reads%2 // the read after the next pass
	w.run(100 * time.Millisecond)
	is.True(reads >= pausedAt)
	w.submit(simpleJob("j1", 1, cores(1, 1)))
	w.run(600 * time.Millisecond)
	is.Equal(w.starts, 1)
}
