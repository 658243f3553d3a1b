package orchestrator_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"peridotpitch/internal/orchestrator"
)

// evacuationBound is the time after an operator's request from which no task may start in an evacuated failure domain.
// The platform allows 5 s; this is the project's own target.
const evacuationBound = time.Second

// evacuationModel holds the operators' requests in the store.
type evacuationModel struct {
	since   map[string]time.Time // by failure domain
	present map[string]present   // by long-running task
}

// present is when a long-running task was last at a worker that ran, other than in a run that was being stopped.
type present struct {
	run int // the highest number at that time
	at  time.Time
}

// awayGrace is how long a task may be away before its leader must know: a stopped run lasts 300 ms, and polls are 100 ms
// apart.
const awayGrace = 500 * time.Millisecond

// domains returns the evacuated failure domains, sorted.
func (m *evacuationModel) domains() []string { return slices.Sorted(maps.Keys(m.since)) }

// evacuate stores the request to evacuate a failure domain, which leaders that reach the store read at once.
func (w *simulation) evacuate(domain string) {
	if w.evacuations.since == nil {
		w.evacuations.since = make(map[string]time.Time)
	}
	if _, ok := w.evacuations.since[domain]; !ok {
		w.evacuations.since[domain] = w.now
	}
	w.tellEvacuations()
}

// takeBack deletes the request to evacuate a failure domain.
func (w *simulation) takeBack(domain string) {
	delete(w.evacuations.since, domain)
	w.tellEvacuations()
}

func (w *simulation) tellEvacuations() {
	for _, l := range w.leaders {
		if !l.storeUnreachable {
			l.step(orchestrator.EvacuationsListed{FailureDomains: w.evacuations.domains()})
		}
	}
}

// checkedStart executes a start, and fails the test if it begins in a failure domain that has been evacuated for
// evacuationBound. Starts that the worker executes late and those of leaders that were disturbed do not count.
func (k *simulatedWorker) checkedStart(w *simulation, c pendingCommand, a orchestrator.StartRun) orchestrator.StartOutcome {
	before := w.starts
	outcome := k.startRun(w, c.leader, a)
	if r := k.runs[a.Task]; w.starts > before && r != nil {
		r.late = c.worker != ""
	}
	at, evacuated := w.evacuations.since[k.entry.FailureDomain]
	if w.starts > before && evacuated && w.now.Sub(at) > evacuationBound && c.worker == "" && !c.leader.storeUnreachable && w.now.Sub(c.leader.disturbedAt) >= disturbed {
		w.t.Fatalf("%s: run %d of %s starts on %s, whose failure domain %s was evacuated %s before%s", w.elapsed(), a.Run, a.Task, k.entry.ID,
			k.entry.FailureDomain, w.now.Sub(at), w.history(a.Task))
	}
	return outcome
}

// runsIn returns the number of runs in a failure domain.
func (w *simulation) runsIn(domain string) int {
	n := 0
	w.inDomain(domain, func(k *simulatedWorker) { n += len(k.runs) })
	return n
}

// notePresentTasks notes which long-running tasks are present.
func (w *simulation) notePresentTasks() {
	if w.evacuations.present == nil {
		w.evacuations.present = make(map[string]present)
	}
	for _, k := range w.workers {
		for _, r := range k.runs {
			if p := w.evacuations.present[r.task]; !k.dead && !r.stopping && r.persists && (w.now.After(p.at) || r.number > p.run) {
				w.evacuations.present[r.task] = present{r.number, w.now}
			}
		}
	}
}

// checkEvacuationStop fails the test if an undisturbed leader stops a long-running task because of an evacuation while
// max(1, MaxMissing) or more other tasks of its step are away. A task is away if the leader itself has stopped its last run,
// or if it has not been present for awayGrace.
func (l *simulatedLeader) checkEvacuationStop(n orchestrator.Note) {
	w := l.w
	if n.Event != orchestrator.EventStop || n.Job == "" {
		return
	}
	if l.stopped == nil {
		l.stopped = make(map[string]int)
	}
	l.stopped[n.Task] = max(l.stopped[n.Task], n.Run)
	if !strings.HasPrefix(n.Reason, "its failure domain is evacuated") || l.id != w.currentLeader || l.storeUnreachable || w.now.Sub(l.disturbedAt) < disturbed {
		return
	}
	step := n.Task[:strings.LastIndexByte(n.Task, '.')+1]
	var number, index, task int
	if _, err := fmt.Sscanf(n.Task[len(n.Job):], ".%d.%d.%d", &number, &index, &task); err != nil {
		w.t.Fatalf("task %q has no step: %v", n.Task, err)
	}
	s := w.jobs[n.Job].Steps[index]
	var away []string
	for i := range s.Count {
		other := fmt.Sprintf("%s%d", step, i)
		if p := w.evacuations.present[other]; i != task && (w.now.Sub(p.at) > awayGrace || l.stopped[other] >= p.run) {
			away = append(away, other)
		}
	}
	if len(away) >= max(1, s.MaxMissing) {
		w.t.Fatalf("%s: leader %d stops run %d of %s for an evacuation while %v are away, of which %d may be%s", w.elapsed(), l.id, n.Run, n.Task,
			away, s.MaxMissing, w.history(n.Task))
	}
}
