package orchestrator_test

import (
	"maps"
	"slices"
	"time"

	"peridotpitch/internal/orchestrator"
)

// evacuationBound is the time after an operator's request from which no task may start in an evacuated failure domain.
// The platform allows 5 s; this is the project's own target.
const evacuationBound = time.Second

// evacuationModel holds the operators' requests in the store.
type evacuationModel struct {
	since map[string]time.Time // by failure domain
}

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
