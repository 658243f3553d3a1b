package orchestrator_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpitch/internal/orchestrator"
)

// finishedWithin returns how many of the jobs whose IDs start with prefix succeeded within limit.
func (w *world) finishedWithin(prefix string, limit time.Duration) int {
	n := 0
	for _, e := range w.notes {
		if e.Event == orchestrator.EventJobFinished && strings.HasPrefix(e.Job, prefix) && e.Outcome == string(orchestrator.StateSucceeded) && e.Age <= limit {
			n++
		}
	}
	return n
}

// Pattern: batch jobs of equal size come twice as fast as the workers can serve them, for
// many times their objective. Guards against ordering by deadline alone, with which every
// job gets some room, all of them end just after their objective, and nearly none counts.
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
	// Steps of a job leave gaps that the next job fills, so that not all of the capacity
	// of one job a second can end in time.
	if n := w.finishedWithin("b", 5*time.Second); n < seconds*2/3 {
		t.Errorf("%d jobs in time, want at least two thirds of the %d that there is room for", n, seconds)
	}
	for i := range 2 * seconds {
		is.True(w.state(fmt.Sprintf("b%02d", i)).Final() || w.completionTime(fmt.Sprintf("b%02d", i)) < 0)
	}
}

// Pattern: wide jobs of uneven tasks. Guards against objectives that are taken from the
// mean task: a wide step takes as long as its longest task.
func TestDeadlineAllowsForLongestTask(t *testing.T) {
	w := newCluster(t, 4, cores(16, 64))
	n := 0
	w.runTime = func(string, *fakeWorker) time.Duration {
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
		t.Errorf("the objective of one task of about 1 s is %s, want about 3 s", narrow)
	}
	if wide < 3800*time.Millisecond || wide > 5*time.Second {
		t.Errorf("the objective of 32 tasks of up to 1.4 s is %s, want 3.8 s or somewhat more", wide)
	}
}

// deadlineAfterSubmission returns what a leader takes as a job's time from submission to its deadlineAfterSubmission.
func (w *world) deadlineAfterSubmission(id string) time.Duration {
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

// Pattern: one filler that disturbs a task with a latency target is slowed. Guards against
// a worker that takes no other fillers meanwhile, though they disturb nobody there.
func TestHarmlessTaskStartsBesideThrottledTask(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1)
	w.addWorker("w0", cores(16, 64), "r0")
	l := w.elect(false)
	l.step(orchestrator.Inherited{Learnt: orchestrator.Experience{
		Pairs: []orchestrator.PairExperience{
			{Serving: "web", Filler: "calm", Coefficient: 0.01, Samples: 300, Variance: 0.01},
			{Serving: "web", Filler: "loud", Coefficient: 0.1, Samples: 300, Variance: 0.01}, // it is 4 by now
		},
		Images: []orchestrator.ImageExperience{{Image: "web", Idle: 0.22, Mean: 0.45}},
	}})
	w.run(time.Second)
	w.submit(latencyCriticalJob("s1", "web", 1, cores(8, 8)))
	w.run(time.Second)
	w.runTime = func(string, *fakeWorker) time.Duration { return time.Minute }
	w.submit(bestEffortJob("loud", "loud", 1, cores(3, 2)))
	for range 60 {
		w.measureTails()
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

func (w *world) speedOf(task string) int {
	for _, k := range w.workers {
		if r := k.runs[task]; r != nil {
			return r.speed
		}
	}
	return -1
}

// Pattern: late batch jobs and room only beside tasks with a latency target. Guards against
// late work that takes the margin of these tasks as timely work may.
func TestLateBestEffortTaskKeepsHeadroom(t *testing.T) {
	is := is.New(t)
	w := newCluster(t, 1, cores(16, 64))
	w.submit(latencyCriticalJob("s1", "web", 1, cores(9, 8)))
	w.run(time.Second)
	late := bestEffortJob("late", "calm", 1, cores(5, 2))
	late.Submitted = w.now.Add(-time.Minute)
	w.submit(late)
	w.run(300 * time.Millisecond)
	is.Equal(len(w.runningOn("late")), 0)
	w.submit(bestEffortJob("timely", "calm", 1, cores(5, 2)))
	w.run(300 * time.Millisecond)
	is.Equal(w.runningOn("timely"), []string{"w0"})
}

// Guards against a cancelled task that runs on because its worker has answered the stop
// and not carried it out.
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

// Pattern: lasting tasks that lost their workers are larger than the gaps that short jobs
// leave. Guards against short jobs that take each gap for as long as they come.
func TestLargeLongRunningTaskGetsReservedWorker(t *testing.T) {
	is := is.New(t)
	w := newCluster(t, 4, cores(8, 64))
	n := 0
	w.runTime = func(string, *fakeWorker) time.Duration {
		n++
		return time.Duration(400+170*(n%5)) * time.Millisecond // gaps of one task at a time
	}
	for i := range 200 {
		w.submit(simpleJob(fmt.Sprintf("q%03d", i), 4, cores(3.5, 2)))
		if i == 20 {
			j := latencyCriticalJob("large", "web", 1, cores(6, 8))
			j.Policy = orchestrator.Policy{Queue: "lasting", Service: "s", Attempts: 3, Stretch: 2}
			w.submit(j)
		}
		w.run(50 * time.Millisecond)
	}
	is.Equal(len(w.runningOn("large")), 1) // after less than 9 s, while short jobs still wait
}

// Pattern: a worker with lasting tasks fails other tasks for a while. Guards against a
// worker that gets no work for as long as the lasting tasks run, because one task at a
// time may run there, and against a lasting task that is tried first and never ends.
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
		w.cancel(fmt.Sprintf("j%d", i)) // none of them is left to be tried first
	}
	w.run(4 * time.Second)
	w.submit(latencyCriticalJob("s2", "web", 3, cores(2, 2)))
	w.run(3 * time.Second)
	is.Equal(len(w.runningOn("s2")), 3)
	w.submit(simpleJob("k", 4, cores(1, 1)))
	w.run(100 * time.Millisecond)
	is.Equal(len(w.runningOn("k")), 4)
}

// Pattern: more workers than are rated for one task, and as many tasks as they have room
// for. Guards against room that is not found because other workers are rated.
func TestAllWorkersAreUsedWhenSomeAreScored(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1)
	const many = 700
	for i := range many {
		w.addWorker(fmt.Sprintf("w%03d", i), cores(4, 16), "r0")
	}
	w.elect(false)
	w.run(time.Second)
	w.runTime = func(string, *fakeWorker) time.Duration { return time.Minute }
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
