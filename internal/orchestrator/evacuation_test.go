package orchestrator_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpitch/internal/evacuator"
	"peridotpitch/internal/orchestrator"
)

// newEvacuationCluster returns a simulation with failure domains a, b and c of n workers of 8 cores each.
func newEvacuationCluster(t *testing.T, disabled orchestrator.MechanismSet, n int) *simulation {
	t.Helper()
	w := newSimulation(t, 1)
	w.disabled = disabled
	for _, d := range "abc" {
		for i := range n {
			w.addWorker(fmt.Sprintf("%c%02d", d, i), cores(8, 64), "r"+string(d)).entry.FailureDomain = string(d)
		}
	}
	w.elect(false)
	w.run(time.Second)
	return w
}

// submitSteadily submits a job of four tasks each 100 ms, which use a third of the cluster, for a time.
func (w *simulation) submitSteadily(prefix string, d time.Duration) (jobs int) {
	for end := w.now.Add(d); w.now.Before(end); jobs++ {
		w.submit(simpleJob(fmt.Sprintf("%s%03d", prefix, jobs), 4, cores(1, 1)))
		w.run(100 * time.Millisecond)
	}
	return jobs
}

// A failure domain is evacuated under load, with commands that are lost or executed late, while the leader is replaced,
// frozen or without the store. checkedStart guards against starts there; the jobs must end elsewhere.
func TestNothingStartsInEvacuatedDomain(t *testing.T) {
	t.Parallel()
	for name, disturb := range map[string]func(*simulation){
		"undisturbed":           func(*simulation) {},
		"another leader":        func(w *simulation) { w.elect(false) },
		"hand-over":             func(w *simulation) { w.elect(w.leader().handOver()) },
		"second failure domain": func(w *simulation) { w.evacuate("a") },
		"leader without store":  func(w *simulation) { l := w.leader(); l.storeUnreachable, l.disturbedAt = true, w.now; w.elect(false) },
		"frozen leader":         func(w *simulation) { l := w.leader(); l.frozen, l.disturbedAt = true, w.now; w.elect(false) },
		"failure domain cut off": func(w *simulation) {
			w.inDomain("b", func(k *simulatedWorker) { k.unreachableFrom[w.leader()] = true })
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newEvacuationCluster(t, 0, 8)
			w.faults = faults{dropped: 0.1, appliedLate: 0.1}
			before := w.submitSteadily("x", time.Second)
			w.evacuate("b")
			w.run(100 * time.Millisecond)
			disturb(w)
			after := w.submitSteadily("y", 6*time.Second)
			w.faults = faults{}
			w.heal()
			w.run(25 * time.Second)
			for prefix, n := range map[string]int{"x": before, "y": after} {
				for i := range n {
					is.Equal(w.state(fmt.Sprintf("%s%03d", prefix, i)), orchestrator.StateSucceeded)
				}
			}
			is.Equal(w.runsIn("b"), 0)
		})
	}
}

// The last start before an evacuation gets no answer. Guards against sending it again after the evacuation, and against
// a second run elsewhere while the first may still begin.
func TestUnansweredStartIsNotSentAgainToEvacuatedDomain(t *testing.T) {
	is := is.New(t)
	w := newEvacuationCluster(t, 0, 1)
	w.faults = faults{dropped: 1}
	w.submit(simpleJob("j", 3, cores(6, 1))) // one task for each worker
	w.run(50 * time.Millisecond)
	is.Equal(len(w.notesOf(orchestrator.EventStart)), 3)
	w.evacuate("b")
	w.faults = faults{}
	w.run(8 * time.Second)
	is.Equal(w.state("j"), orchestrator.StateSucceeded)
	for _, n := range w.notesOf(orchestrator.EventResend) {
		if n.Worker[0] == 'b' && n.Outcome == "start" {
			t.Errorf("start of %s was sent again to %s", n.Task, n.Worker)
		}
	}
}

// Batch tasks run in a failure domain when it is evacuated. Guards against work that is stopped although it ends by
// itself.
func TestEvacuationStopsNoBatchTasks(t *testing.T) {
	is := is.New(t)
	w := newEvacuationCluster(t, 0, 4)
	w.runTime = func(string, *simulatedWorker) time.Duration { return 4 * time.Second }
	j := simpleJob("j", 60, cores(1, 1))
	j.Steps[0].Estimate = 4 * time.Second
	w.submit(j)
	w.run(time.Second)
	is.True(w.runsIn("b") > 10)
	w.evacuate("b")
	w.run(4 * time.Second)
	is.Equal(len(w.notesOf(orchestrator.EventStop)), 0)
	is.Equal(w.state("j"), orchestrator.StateSucceeded)
}

// Twelve long-running tasks, of which two may be away, use a third of three failure domains, and one of these is
// evacuated. Reports whether it is empty after 20 s. Guards against more tasks away than allowed.
func longRunningTasksLeaveEvacuatedDomain(t *testing.T, disabled orchestrator.MechanismSet) bool {
	w := newEvacuationCluster(t, disabled, 4)
	j := latencyCriticalJob("s", "web", 12, cores(2.5, 4))
	j.Steps[0].MaxMissing = 2
	w.submit(j)
	w.run(2 * time.Second)
	w.evacuate("a")
	for range 200 {
		w.run(100 * time.Millisecond)
		if n := len(w.runningOn("s")); n < 10 {
			t.Errorf("%d of 12 tasks run", n)
		}
	}
	return w.runsIn("a") == 0
}

// A worker with a task of a step dies just before another failure domain is evacuated, so that its leader can't know
// yet whether the task still runs. Guards against a second task of the step that is stopped meanwhile, and against
// tasks that never leave.
func TestNoTaskIsMovedWhileAnotherIsUnreachable(t *testing.T) {
	is := is.New(t)
	w := newEvacuationCluster(t, 0, 4)
	w.submit(latencyCriticalJob("s", "web", 14, cores(2.5, 4)))
	w.run(2 * time.Second)
	workers := w.runningOn("s")
	evacuated := w.workers[workers[0]].entry.FailureDomain
	other := slices.IndexFunc(workers, func(id string) bool { return w.workers[id].entry.FailureDomain != evacuated })
	is.True(other > 0)
	w.workers[workers[other]].dead = true
	w.run(200 * time.Millisecond)
	w.evacuate(evacuated)
	w.run(3 * time.Second) // less than the leases of the dead worker
	is.Equal(len(w.notesOf(orchestrator.EventStop)), 0)
	w.run(30 * time.Second)
	is.Equal(w.runsIn(evacuated), 0)
}

// Long-running tasks use most of three failure domains when one of them is evacuated. Guards against tasks that are
// stopped and find no room elsewhere, or take what waiting jobs need.
func TestLongRunningTasksStayWithoutRoomElsewhere(t *testing.T) {
	is := is.New(t)
	w := newEvacuationCluster(t, 0, 4)
	w.submit(latencyCriticalJob("s", "web", 20, cores(4, 4)))
	w.run(2 * time.Second)
	there := w.runsIn("b")
	is.True(there >= 5)
	w.evacuate("b")
	w.run(10 * time.Second)
	is.Equal(w.runsIn("b"), there)
	is.Equal(len(w.notesOf(orchestrator.EventStop)), 0)
	for _, d := range w.leader().o.Status(w.now).FailureDomains {
		is.Equal(d.EvacuatedFor > 0, d.Name == "b")
	}
}

// The store is lost while long-running tasks move out of an evacuated failure domain. Guards against a task that is
// stopped shortly before starts are no longer possible, and is away for the rest of the outage.
func TestNoTaskIsMovedWithoutStore(t *testing.T) {
	t.Parallel()
	for offset := time.Duration(0); offset < 500*time.Millisecond; offset += 100 * time.Millisecond {
		t.Run(offset.String(), func(t *testing.T) {
			w := newEvacuationCluster(t, 0, 8)
			w.submit(latencyCriticalJob("s", "web", 72, cores(1, 2)))
			w.run(2*time.Second + offset)
			w.evacuate("a")
			w.run(400 * time.Millisecond)
			w.leader().storeUnreachable = true
			lastComplete := w.now
			for range 70 {
				w.run(100 * time.Millisecond)
				if len(w.runningOn("s")) == 72 {
					lastComplete = w.now
				}
				if d := w.now.Sub(lastComplete); d > time.Second {
					t.Fatalf("a task has been away for %s", d)
				}
			}
		})
	}
}

// One failure domain is evacuated in the moment in which the evacuation of another one is taken back. Guards against a
// wave of moves onto workers that may be slow, and against tasks that move out and back.
func TestNoTaskIsMovedIntoDomainThatHasJustReturned(t *testing.T) {
	is := is.New(t)
	w := newEvacuationCluster(t, 0, 4)
	w.evacuate("b")
	w.evacuate("c")
	w.submit(latencyCriticalJob("s", "web", 6, cores(2, 4)))
	w.run(2 * time.Second)
	is.Equal(w.runsIn("a"), 6)
	w.takeBack("b")
	w.evacuate("a")
	w.run(evacuator.SettleTime - 100*time.Millisecond)
	is.Equal(w.runsIn("b"), 0)
	w.run(10 * time.Second)
	is.Equal(w.runsIn("b"), 6)
}

// Long-running tasks use all memory of three failure domains but few processors, and one of these is evacuated. Guards
// against a search of all workers for each task there, which takes a leader with 1,100 workers and 4,400 tasks 0.3 s at
// a time.
func TestSearchForMovesIsBounded(t *testing.T) {
	is := is.New(t)
	w := newEvacuationCluster(t, 0, 20)
	j := latencyCriticalJob("s", "web", 240, cores(1, 16))
	j.Steps[0].MaxMissing = 240
	w.submit(j)
	w.run(3 * time.Second)
	is.Equal(w.runsIn("a"), 80)
	before := w.loadFigure(t, "Scored")
	w.evacuate("a")
	w.run(10 * time.Second)
	is.Equal(w.runsIn("a"), 80)
	is.True(w.loadFigure(t, "Scored")-before <= 2*20*40) // two searches of 40 workers each second; and not 80 times as many
}

// A long-running task has moved out of an evacuated failure domain. Guards against a worker that stays reserved for it.
func TestReservationEndsWithTheMove(t *testing.T) {
	is := is.New(t)
	w := newEvacuationCluster(t, 0, 1)
	w.submit(latencyCriticalJob("s", "web", 1, cores(2, 4)))
	w.run(2 * time.Second)
	w.evacuate(w.workers[w.runningOn("s")[0]].entry.FailureDomain)
	w.run(600 * time.Millisecond)
	is.Equal(len(w.runningOn("s")), 1)
	w.submit(simpleJob("j", 2, cores(6, 4))) // one task for each worker
	w.run(300 * time.Millisecond)
	is.Equal(len(w.runningOn("j")), 2)
}

// Short jobs take nearly all processors while a long-running task is stopped for a move. Guards against a task that waits
// 4.5 s for the reserve for short jobs beside a worker that is reserved for it.
func TestMovedTaskStartsAtOnceWhenCapacityGetsScarce(t *testing.T) {
	is := is.New(t)
	w := newEvacuationCluster(t, 0, 8)
	w.runTime = func(string, *simulatedWorker) time.Duration { return 10 * time.Second }
	w.submit(latencyCriticalJob("s", "web", 1, cores(2, 4)))
	w.run(2 * time.Second)
	w.evacuate(w.workers[w.runningOn("s")[0]].entry.FailureDomain)
	w.run(100 * time.Millisecond)
	is.Equal(len(w.notesOf(orchestrator.EventStop)), 1)
	j := simpleJob("j", 130, cores(1, 1)) // 128 find room in the two other failure domains
	j.Steps[0].Estimate = 10 * time.Second
	w.submit(j)
	w.run(time.Second)
	is.Equal(len(w.runningOn("s")), 1)
}

// The workers of one failure domain are of another service and idle. Guards against moves that fill the remaining
// workers of a service because those of another one have room.
func TestMovesCountCapacityOfTheirService(t *testing.T) {
	is := is.New(t)
	w := newEvacuationCluster(t, 0, 4)
	w.inDomain("c", func(k *simulatedWorker) { k.entry.Service = "other" })
	w.leader().step(orchestrator.WorkersListed{Workers: w.listedWorkers(), SentAt: w.now})
	w.submit(latencyCriticalJob("s", "web", 54, cores(1, 1)))
	w.run(2 * time.Second)
	evacuated, other := "a", "b"
	if w.runsIn("a") < w.runsIn("b") {
		evacuated, other = "b", "a"
	}
	w.evacuate(evacuated)
	w.run(20 * time.Second)
	is.True(w.runsIn(other) <= 24) // of 32
}

// Jobs wait for capacity when an evacuation is taken back after half a second. Guards against work that does not
// return, and against moves of what runs elsewhere.
func TestWorkReturnsWhenEvacuationIsTakenBack(t *testing.T) {
	is := is.New(t)
	w := newEvacuationCluster(t, 0, 2)
	w.runTime = func(string, *simulatedWorker) time.Duration { return 10 * time.Second }
	w.evacuate("b")
	j := simpleJob("j", 40, cores(1, 1)) // 32 tasks find room in a and c
	j.Steps[0].Estimate = 10 * time.Second
	w.submit(j)
	w.run(500 * time.Millisecond)
	is.Equal(w.runsIn("b"), 0)
	w.takeBack("b")
	w.run(200 * time.Millisecond)
	is.Equal(w.runsIn("b"), 8)
	is.Equal(len(w.notesOf(orchestrator.EventStop)), 0)
}

// All failure domains are evacuated, and one without workers. Guards against starts, stops and silence.
func TestAllFailureDomainsEvacuated(t *testing.T) {
	is := is.New(t)
	w := newEvacuationCluster(t, 0, 2)
	w.submit(latencyCriticalJob("s", "web", 3, cores(2, 4)))
	w.run(time.Second)
	for _, d := range []string{"a", "b", "c", "nowhere"} {
		w.evacuate(d)
	}
	w.submit(simpleJob("j", 4, cores(1, 1)))
	w.run(3 * time.Second)
	is.Equal(w.state("j"), orchestrator.StateQueued)
	is.Equal(len(w.runningOn("s")), 3)
	var reasons []string
	for _, n := range w.notesOf(orchestrator.EventEvacuation) {
		reasons = append(reasons, n.Reason)
	}
	is.Equal(strings.Join(reasons, ";"), ";;all failure domains are evacuated: nothing starts;no worker is in this failure domain")
	w.takeBack("c")
	w.run(2 * time.Second)
	is.Equal(w.state("j"), orchestrator.StateSucceeded)
}
