package orchestrator

import (
	"slices"
	"strconv"
	"time"
)

// beginOccurrences opens the occurrences that are due, as far as the open ones have at most maxTasks tasks then. Occurrences
// that are known and not open don't count: if they used up the bound, none would ever open.
func (o *Orchestrator) beginOccurrences(j *job) {
	for !j.cancelled && !j.state.Final() && j.nextOccurrence < max(1, j.Occurrences) {
		number := j.nextOccurrence
		if j.Occurrences > 0 && o.now.Add(o.wallOffset).Before(j.due(number)) {
			return
		}
		if slices.Contains(j.finishedOccurrences, number) {
			j.nextOccurrence++
			continue
		}
		if n := j.openOccurrences(); n > 0 && (n+1)*j.tasks() > maxTasks {
			return // further ones open when these have finished
		}
		j.nextOccurrence++
		oc := j.occurrence(number)
		if oc == nil {
			oc = o.addOccurrence(j, number, o.now)
		}
		oc.open = true
		o.recount(oc)
	}
}

// openOccurrences returns the number of open occurrences.
func (j *job) openOccurrences() int {
	n := 0
	for _, oc := range j.occurrences {
		if oc.open {
			n++
		}
	}
	return n
}

// due returns when an occurrence of a job with a schedule is due.
func (j *job) due(number int) time.Time {
	return j.First.Add(time.Duration(number) * j.Interval)
}

func (j *job) occurrence(number int) *occurrence {
	i := slices.IndexFunc(j.occurrences, func(oc *occurrence) bool { return oc.number == number })
	if i < 0 {
		return nil
	}
	return j.occurrences[i]
}

// addOccurrence adds an occurrence that is not open. recount must count its tasks before an end of a run is applied.
func (o *Orchestrator) addOccurrence(j *job, number int, now time.Time) *occurrence {
	oc := &occurrence{job: j, number: number, due: j.Submitted}
	if j.Occurrences > 0 {
		oc.due = j.due(number)
	}
	for i := range j.Steps {
		s := &step{Step: &j.Steps[i], occurrence: oc, index: i, readyAt: now}
		s.tasks = make([]*task, s.Count)
		for k := range s.tasks {
			name := j.ID + "." + strconv.Itoa(number) + "." + strconv.Itoa(i) + "." + strconv.Itoa(k)
			s.tasks[k] = &task{step: s, index: k, name: name, nextRun: 1, waitingSince: now}
			if j.inherited && !o.handedOff {
				s.tasks[k].nextRun += runNumberMargin
			}
		}
		oc.steps = append(oc.steps, s)
	}
	j.occurrences = append(j.occurrences, oc)
	return oc
}

// recount recounts the unfinished tasks and steps of an occurrence and updates which steps
// are ready.
func (o *Orchestrator) recount(oc *occurrence) {
	oc.unfinishedSteps = 0
	for _, s := range oc.steps {
		s.unfinished = 0
		for _, t := range s.tasks {
			if !t.done {
				s.unfinished++
			}
		}
		if s.unfinished > 0 {
			oc.unfinishedSteps++
		}
	}
	for _, s := range oc.steps {
		s.unfinishedDependencies = 0
		for i, a := range s.After {
			if oc.steps[a].unfinished > 0 && !slices.Contains(s.After[:i], a) { // a caller may name a step twice
				s.unfinishedDependencies++
			}
		}
		o.updateReady(s)
	}
	o.finishOccurrence(oc)
}

// updateReady adds a step to the ready steps if its tasks may start, and removes it otherwise.
func (o *Orchestrator) updateReady(s *step) {
	j := s.occurrence.job
	if !s.occurrence.open || s.unfinished == 0 || s.unfinishedDependencies > 0 || j.cancelled || j.state.Final() {
		delete(o.ready, s)
		return
	}
	if !o.ready[s] {
		o.ready[s] = true
		s.readyAt = o.now
		if j.runCount == 0 {
			j.idleSince = o.now
		}
		for _, t := range s.tasks {
			t.waitingSince, t.freeSince = o.now, o.now
			if !t.lastRunEnd.IsZero() {
				t.waitingSince = t.lastRunEnd // a leader inherits how long the task has waited
			}
		}
	}
	o.passDue = true
}

// taskDone records that a task has succeeded, and makes steps ready that depended on it.
func (o *Orchestrator) taskDone(t *task) {
	if t.done {
		return
	}
	t.done = true
	t.step.waitingKnown = false
	s, oc := t.step, t.step.occurrence
	s.unfinished--
	if s.unfinished > 0 {
		return
	}
	delete(o.ready, s)
	oc.unfinishedSteps--
	for _, l := range oc.steps {
		if slices.Contains(l.After, s.index) {
			l.unfinishedDependencies--
			o.updateReady(l)
		}
	}
	o.finishOccurrence(oc)
}

// finishOccurrence ends an occurrence without unfinished steps, and its job if it is the last.
func (o *Orchestrator) finishOccurrence(oc *occurrence) {
	j := oc.job
	if oc.unfinishedSteps > 0 || j.state.Final() {
		return
	}
	j.finishedOccurrences = append(j.finishedOccurrences, oc.number)
	j.occurrences = slices.DeleteFunc(j.occurrences, func(k *occurrence) bool { return k == oc })
	o.markDirty(j)
	if len(j.finishedOccurrences) >= max(1, j.Occurrences) {
		o.finishJob(j, StateSucceeded, "every task has ended well")
	}
}
