package orchestrator_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpitch/internal/orchestrator"
)

// crashModels are the ways in which a task may crash its worker, and the worker may return.
func crashModels() map[string]crashModel {
	return map[string]crashModel{
		"new ID":                  {delay: 10 * time.Millisecond, down: 3300 * time.Millisecond},
		"same ID":                 {delay: 10 * time.Millisecond, down: 3300 * time.Millisecond, sameID: true},
		"start unanswered":        {unanswered: true, down: 3300 * time.Millisecond},
		"unanswered, same ID":     {unanswered: true, down: 3300 * time.Millisecond, sameID: true},
		"crash while it runs":     {delay: 700 * time.Millisecond, down: 1500 * time.Millisecond},
		"returns after the lease": {delay: 10 * time.Millisecond, down: 9 * time.Second},
		"same ID after the lease": {delay: 10 * time.Millisecond, down: 9 * time.Second, sameID: true},
	}
}

// newCrashCluster returns a cluster in which the tasks of the jobs whose IDs begin with "deadly" and whose
// index is 0 crash the workers that start them.
func newCrashCluster(t *testing.T, workers int, m crashModel) *simulation {
	w := newCluster(t, workers, cores(8, 32))
	w.crash = m
	w.crash.crashes = func(task string) bool { return strings.HasPrefix(task, "deadly") && strings.HasSuffix(task, ".0") }
	return w
}

// Guards against one task that crashes worker after worker: it is started again each time, and each crash
// takes the runs beside it along.
func TestTaskThatCrashesWorkersIsGivenUp(t *testing.T) {
	for name, m := range crashModels() {
		for _, longRunning := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/longRunning=%t", name, longRunning), func(t *testing.T) {
				is := is.New(t)
				w := newCrashCluster(t, 10, m)
				j := simpleJob("deadly", 3, cores(1, 1))
				j.Steps[0].LongRunning = longRunning
				w.submit(j)
				w.run(time.Minute)
				is.Equal(w.state("deadly"), orchestrator.StateFailed)
				is.Equal(len(w.runningOn("deadly")), 0)
			})
		}
	}
}

// Guards against a count of crashes that ends with the leader which has seen them. Leaders are killed or
// hand over while a worker is down, or lose the store.
func TestCrashesCountAcrossLeaders(t *testing.T) {
	changes := map[string]func(w *simulation){
		"kill":      func(w *simulation) { w.leader().deposed = true; w.elect(false) },
		"hand over": func(w *simulation) { w.elect(w.leader().handOver()) },
		"store lost": func(w *simulation) {
			l := w.leader()
			l.storeUnreachable, l.disturbedAt = !l.storeUnreachable, w.now
		},
	}
	for name, m := range crashModels() {
		for change, apply := range changes {
			t.Run(name+"/"+change, func(t *testing.T) {
				is := is.New(t)
				w := newCrashCluster(t, 10, m)
				w.submit(simpleJob("deadly", 3, cores(1, 1)))
				for range 12 {
					w.run(2500 * time.Millisecond) // the simulation fails at a start beyond the limit
					apply(w)
				}
				w.leader().storeUnreachable = false
				w.run(time.Minute)
				is.Equal(w.state("deadly"), orchestrator.StateFailed)
			})
		}
	}
}
