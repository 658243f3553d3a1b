package orchestrator

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"peridotpitch/internal/evacuator"
)

const (
	// evacuationMoveInterval is the pause between two searches for long-running tasks that can move out of
	// evacuated failure domains. Each goes through all runs there.
	evacuationMoveInterval = 500 * time.Millisecond
	// evacuationMoveReservation is how long a worker is reserved for a task that moves to it. It covers the stop of
	// the present run, which takes up to a second, and the poll that lists its end.
	evacuationMoveReservation = 2 * time.Second
	// evacuationMoveConfirmation is how long ago the leadership may last have been confirmed for a move. A leader writes
	// each 300 ms. Without the store, the start could be refused for up to the rest of an outage: the workers' capacities
	// count as known for maxCapacityAge only, and the end of leases is limited by the last confirmation.
	evacuationMoveConfirmation = time.Second
)

// listEvacuations replaces the evacuated failure domains. From then on nothing starts there; what runs there goes on.
func (o *Orchestrator) listEvacuations(domains []string) {
	for _, c := range o.evacuations.Update(domains, o.now) {
		workers, runs := 0, 0
		for _, w := range o.workers {
			if w.FailureDomain == c.FailureDomain {
				workers++
				runs += len(w.runs)
			}
		}
		o.emit(Note{Event: EventEvacuation, Outcome: string(c.Outcome), Age: c.Lasted, Reason: o.evacuationWarning(c, workers),
			Figures: fmt.Sprintf("FailureDomain=%s Workers=%d Runs=%d Evacuated=%d", c.FailureDomain, workers, runs, len(domains))})
		o.passDue = true
	}
	for _, w := range o.workersByID() {
		o.withdrawStarts(w)
	}
}

// evacuationWarning returns what an operator should know about a change, or an empty string.
func (o *Orchestrator) evacuationWarning(c evacuator.Change, workers int) string {
	switch {
	case c.Outcome != evacuator.OutcomeBegun || !o.inheritedApplied || len(o.workers) == 0:
		return "" // no worker is known yet
	case workers == 0:
		return "no worker is in this failure domain"
	case !slices.ContainsFunc(o.workersByID(), func(w *worker) bool { return !o.evacuations.Evacuates(w.FailureDomain) }):
		return "all failure domains are evacuated: nothing starts"
	}
	return ""
}

// withdrawStarts ends the runs on a worker of an evacuated failure domain whose start has got no answer. Their starts
// are not sent again: they would come after the evacuation. Runs whose start may still be executed are stopped.
func (o *Orchestrator) withdrawStarts(w *worker) {
	if !o.evacuations.Evacuates(w.FailureDomain) {
		return
	}
	for _, r := range slices.Clone(w.runs) {
		if r.phase == phaseStarting && !r.inFlight && r.lostAt.IsZero() {
			o.startNotExecuted(r)
		}
	}
}

// moveOutOfEvacuated stops long-running tasks in evacuated failure domains that can start elsewhere at once. A worker
// there is reserved for each. Tasks that find no such worker stay.
func (o *Orchestrator) moveOutOfEvacuated() {
	if !o.evacuations.Any() || !o.enabled(MechanismEvacuationMoves) || o.now.Sub(o.movedOutAt) < evacuationMoveInterval ||
		o.now.Sub(o.confirmedAt) > evacuationMoveConfirmation {
		return
	}
	o.movedOutAt = o.now
	byService := o.evacuationSurroundings()
	stay := make(map[*step]bool) // steps of which no further task moves now
	targets := make(map[string][]*worker)
	for _, r := range o.movableRuns() {
		t, size := r.task, r.task.step.Size.CPU
		surroundings := byService[t.job().Policy.Service]
		if stay[t.step] || surroundings == nil || evacuator.MovesAllowed(*surroundings, size) == 0 {
			continue
		}
		if !t.step.mayStopOne() {
			stay[t.step] = true
			continue
		}
		target, _ := o.choose(t, o.moveTargets(targets, t.step))
		if target == nil {
			stay[t.step] = !t.suspected() // its other tasks have the same size, and no run to be kept apart from
			continue
		}
		target.reservedFor, target.reservedUntil = t, o.now.Add(evacuationMoveReservation)
		t.moveTarget = target
		o.stop(r, "its failure domain is evacuated, and worker "+target.ID+" has room")
		surroundings.Moving++
		surroundings.Used += size
	}
}

// moveTargets returns the workers to which tasks of a step may move. known holds those of steps with the same
// requirements.
func (o *Orchestrator) moveTargets(known map[string][]*worker, s *step) []*worker {
	p := s.occurrence.job.Policy
	key := p.Service + "/" + s.RequiredLabel
	if ws, ok := known[key]; ok && !p.Advised {
		return ws
	}
	ws := slices.DeleteFunc(slices.Clone(o.surveyedCandidates(s)), func(w *worker) bool { return o.evacuations.Settles(w.FailureDomain, o.now) })
	if !p.Advised {
		known[key] = ws
	}
	return ws
}

// endMove releases the worker that is reserved for a task that moves, because the task starts.
func (t *task) endMove() {
	if w := t.moveTarget; w != nil && w.reservedFor == t {
		w.reservedFor = nil
	}
	t.moveTarget = nil
}

// evacuationSurroundings returns the load outside the evacuated failure domains, by service. Services without usable
// workers are left out.
func (o *Orchestrator) evacuationSurroundings() map[string]*evacuator.Surroundings {
	byService := make(map[string]*evacuator.Surroundings)
	for _, w := range o.workers {
		if ok, _ := o.usable(w); !ok {
			continue
		}
		s := byService[w.Service]
		if s == nil {
			s = &evacuator.Surroundings{}
			byService[w.Service] = s
		}
		s.Workers++
		s.Capacity += w.Capacity.CPU
		s.Used += w.used.CPU + w.load.bestEffort
	}
	for st := range o.ready {
		s := byService[st.occurrence.job.Policy.Service]
		if s == nil {
			continue
		}
		for _, t := range st.tasks {
			switch {
			case t.done || slices.ContainsFunc(t.runs, func(r *run) bool { return r.phase != phaseStopping }):
			case len(t.runs) > 0 && o.evacuations.Evacuates(t.runs[0].worker.FailureDomain):
				s.Moving++
			default:
				s.Waiting++
			}
		}
	}
	return byService
}

// movableRuns returns the runs of long-running tasks at work in evacuated failure domains, the shortest ones first: their
// callers have the least to lose.
func (o *Orchestrator) movableRuns() []*run {
	var rs []*run
	for _, w := range o.workersByID() {
		if !o.evacuations.Evacuates(w.FailureDomain) {
			continue
		}
		for _, r := range w.runs {
			if r.task.step.LongRunning && r.atWork() {
				rs = append(rs, r)
			}
		}
	}
	slices.SortStableFunc(rs, func(a, b *run) int {
		return cmp.Or(b.startedAt.Compare(a.startedAt), cmp.Compare(a.task.name, b.task.name))
	})
	return rs
}

// atWork reports whether a long-running task has finished its start and certainly runs: its worker answers.
func (r *run) atWork() bool {
	return r.phase == phaseRunning && r.progressPercent >= 100 && r.lostAt.IsZero() && !r.worker.unreachable
}

// mayStopOne reports whether the system may stop a task of a long-running step now: fewer tasks of it than MaxMissing are
// away. Of a step without MaxMissing, one may be away at a time.
func (s *step) mayStopOne() bool {
	away := 0
	for _, t := range s.tasks {
		if !slices.ContainsFunc(t.runs, (*run).atWork) {
			away++
		}
	}
	return away < max(1, s.MaxMissing)
}
