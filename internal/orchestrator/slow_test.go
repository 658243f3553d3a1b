package orchestrator_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpitch/internal/orchestrator"
)

// submitWithLongTasks submits 150 jobs of four tasks of a second, one each 100 ms. One task of each third job takes seven
// seconds on every worker.
func (w *simulation) submitWithLongTasks() {
	runTime := w.runTime
	w.runTime = func(task string, k *simulatedWorker) time.Duration {
		var job int
		if _, err := fmt.Sscanf(task, "q%d.", &job); err == nil && job%3 == 0 && strings.HasSuffix(task, ".0") {
			return 7 * runTime(task, k)
		}
		return runTime(task, k)
	}
	for i := range 150 {
		j := simpleJob(fmt.Sprintf("q%03d", i), 4, cores(1, 1))
		j.Policy.Queue = "quick"
		w.submit(j)
		w.run(100 * time.Millisecond)
	}
	w.run(15 * time.Second)
}

// A task in twelve takes seven times as long as the others. Reports whether all of the last third of the jobs end within
// the time that their longest task needs and a second more: a task that is started anew takes longer.
func longTasksAreNotRestarted(t *testing.T, disabled orchestrator.MechanismSet) bool {
	w := newClusterWithout(t, disabled, 20, cores(8, 64))
	w.submitWithLongTasks()
	for i := 100; i < 150; i++ {
		if d := w.completionTime(fmt.Sprintf("q%03d", i)); d < 0 || d > 8*time.Second {
			return false
		}
	}
	return true
}

// The same, and then two of 20 workers run at a third of the speed. Guards against runs that stay on slow workers because
// the queue has long tasks, and against workers that count as slow because of these.
func TestRunsLeaveSlowWorkersBesideLongTasks(t *testing.T) {
	is := is.New(t)
	w := newCluster(t, 20, cores(8, 64))
	slow := make(map[string]bool)
	w.runTime = func(_ string, k *simulatedWorker) time.Duration {
		if slow[k.entry.ID] {
			return 3 * time.Second
		}
		return time.Second
	}
	w.submitWithLongTasks()
	slow["w3"], slow["w7"] = true, true
	last := len(w.notes)
	for i := range 100 {
		j := simpleJob(fmt.Sprintf("s%03d", i), 4, cores(1, 1))
		j.Policy.Queue = "quick"
		w.submit(j)
		w.run(100 * time.Millisecond)
	}
	w.run(10 * time.Second)
	left, causes := 0, 0
	for _, n := range w.notes[last:] {
		if n.Event == orchestrator.EventStop && slow[n.Worker] {
			left++
		}
		if n.Event == orchestrator.EventSlowRun && n.Outcome == "worker" {
			causes++
		}
	}
	t.Logf("%d runs left slow workers, %d were due to them", left, causes)
	is.True(left > 0)
	is.True(causes > 0)
	late := 0
	for i := 50; i < 100; i++ {
		if w.completionTime(fmt.Sprintf("s%03d", i)) > 3*time.Second {
			late++
		}
	}
	is.Equal(late, 0) // by then new tasks avoid the slow workers
}
