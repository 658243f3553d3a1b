package classifier_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpitch/internal/classifier"
)

// slowRun is a run of a step of 0.8 s at the time when it is found to be slow.
func slowRun(projected time.Duration) classifier.Run {
	return classifier.Run{Elapsed: 700 * time.Millisecond, Repeated: 700 * time.Millisecond, Projected: projected, Expected: 800 * time.Millisecond}
}

// queueWithLongTasks has seen 200 tasks, of which each thirtieth takes seven times as long as the others.
func queueWithLongTasks() classifier.Queue {
	var q classifier.Queue
	for i := range 200 {
		q.Observe(i%30 == 0)
	}
	return q
}

// normalWorker has ended eight runs in the usual time.
func normalWorker() classifier.Worker {
	var w classifier.Worker
	for range 8 {
		w.Observe(false)
	}
	return w
}

// A queue has long tasks. Guards against stopping them on workers that run others in the usual time.
func TestLongTasksStay(t *testing.T) {
	is := is.New(t)
	is.True(!slowRun(5600 * time.Millisecond).Moves(classifier.Blame(queueWithLongTasks(), normalWorker())))
}

// A worker turns to a third of its speed while queues have long tasks or none. Guards against runs that stay there: the
// second slow run of a worker at the latest must move.
func TestRunsLeaveSlowWorkers(t *testing.T) {
	is := is.New(t)
	w := normalWorker()
	for range 3 {
		w.Observe(true)
	}
	is.True(slowRun(2400 * time.Millisecond).Moves(classifier.Blame(queueWithLongTasks(), w)))
	var unknown classifier.Worker
	is.True(slowRun(2400 * time.Millisecond).Moves(classifier.Blame(classifier.Queue{}, unknown)))
	unknown.Observe(true)
	is.True(slowRun(2400 * time.Millisecond).Moves(classifier.Blame(queueWithLongTasks(), unknown)))
}

// A run was taken for slow because of its worker and took as long elsewhere. Guards against a worker that is avoided for
// the task's sake.
func TestWorkerIsForgiven(t *testing.T) {
	is := is.New(t)
	w := normalWorker()
	before := classifier.Blame(queueWithLongTasks(), w)
	w.Observe(true)
	is.Equal(classifier.Compare(5600*time.Millisecond, 5*time.Second), classifier.CauseTask)
	w.Forgive()
	is.True(classifier.Blame(queueWithLongTasks(), w) < 10*before)
	is.Equal(classifier.Compare(2400*time.Millisecond, 900*time.Millisecond), classifier.CauseWorker)
}

// A run with a checkpoint repeats little. Guards against treating it as if all its work were lost.
func TestCheckpointMakesMovesCheaper(t *testing.T) {
	is := is.New(t)
	r := slowRun(5600 * time.Millisecond)
	is.True(!r.Moves(0.05))
	r.Repeated = 100 * time.Millisecond
	is.True(r.Moves(0.05))
}
