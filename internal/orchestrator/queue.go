package orchestrator

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// pass is what one scheduling pass has found out.
type pass struct {
	candidates map[string][]*worker // by service and label
	reasons    map[string]string    // why there are none
	refused    map[string]Resources // by service and image, the smallest filler without room
	unreached  []*worker            // on which an earlier leader's runs may be
}

// schedule starts tasks on workers, the most urgent first.
func (o *Orchestrator) schedule() {
	o.spare = o.spareRoom()
	p := &pass{candidates: make(map[string][]*worker), reasons: make(map[string]string), refused: make(map[string]Resources)}
	for _, w := range o.ordered() {
		if w.inherited && !w.resolved && !w.idle {
			p.unreached = append(p.unreached, w)
		}
	}
	starts := 0
	for _, u := range o.queue() {
		if starts >= passLimit {
			o.passDue = true // a later event goes on
			return
		}
		starts += o.scheduleStep(p, u.step)
	}
}

// passPause returns the pause between two passes. A pass looks at all steps that wait.
func (o *Orchestrator) passPause() time.Duration {
	return passEvery + time.Duration(len(o.ready))*passPerStep
}

// urgency is what decides a step's place in the queue.
type urgency struct {
	step      *step
	priority  int
	prospect  prospect
	begun     bool // some of the job's work has been done or is being done
	remaining time.Duration
	deadline  time.Time
}

// queue returns the steps with tasks that wait, the most urgent first.
func (o *Orchestrator) queue() []urgency {
	us := make([]urgency, 0, len(o.ready))
	for s := range o.ready {
		if s.waiting() {
			u := urgency{step: s, priority: s.occurrence.job.Policy.Priority, deadline: s.deadline()}
			u.prospect, u.remaining = o.outlast(s.occurrence)
			u.begun = !s.LongRunning && s.occurrence.begun()
			us = append(us, u)
		}
	}
	slices.SortFunc(us, compareUrgency)
	return us
}

// waiting reports whether a task of the step neither runs nor has ended well.
func (s *step) waiting() bool {
	return slices.ContainsFunc(s.tasks, func(t *task) bool { return !t.done && len(t.runs) == 0 })
}

// plain reports whether only a filler's image and size decide where it can start, so that
// a larger one of the image has no room where a smaller one has none.
func (o *Orchestrator) plain(s *step) bool {
	return s.Fills && !o.spare && s.RequiredLabel == "" && s.RackAffinity == "" && s.MaxPerWorker == 0 && !s.Gang && !s.occurrence.job.Policy.Advised
}

// hopeless reports whether an earlier step of the pass has shown that there is no room.
func (p *pass) hopeless(s *step) bool {
	least, ok := p.refused[s.occurrence.job.Policy.Service+"/"+s.Image]
	return ok && s.Size.CPU >= least.CPU && s.Size.Memory >= least.Memory
}

// spareShare is the share of the processors below which room is spare. The platform says
// that a job must run while less than half is in use. It counts other workers as usable
// than the leader, so that the bound here is higher.
const spareShare = 0.6

// spareRoom reports whether a job with nothing running must be started even where it is
// slowed. It also notes whether room is scarce.
func (o *Orchestrator) spareRoom() bool {
	room, used := 0, 0
	for _, w := range o.ordered() {
		if ok, _ := o.usable(w); ok {
			room += w.Room.CPU
			used += w.used.CPU
		}
	}
	o.scarce = float64(used) > (1-reserve)*float64(room)
	return float64(used) < spareShare*float64(room)
}

// prospect is what a job can still reach.
type prospect string

// lateFactor is how many times its objective a job may take and still be of some use, by
// the platform's accounts.
const lateFactor = 3

// usualDelay is how many times the run times of its longest chain a job takes: its tasks
// wait for places, run slower beside others, and fail.
const usualDelay = 1.75

// begun reports whether some of the occurrence's work has been done or is being done.
func (oc *occurrence) begun() bool {
	for _, s := range oc.steps {
		if s.left < s.Count {
			return true
		}
		for _, t := range s.tasks {
			if len(t.runs) > 0 || t.saved != "" {
				return true
			}
		}
	}
	return false
}

// prospectEvery bounds the age of a prospect.
const prospectEvery = 250 * time.Millisecond

// outlast returns an occurrence's prospect and the run time of its longest remaining
// chain of steps.
func (o *Orchestrator) outlast(oc *occurrence) (prospect, time.Duration) {
	if oc.prospect != "" && o.now.Sub(oc.prospectAt) < prospectEvery {
		return oc.prospect, oc.remaining
	}
	if oc.steps[0].LongRunning {
		// Each moment that such a task is away counts: it never gets late.
		return prospectTimely, 0
	}
	sh := o.shape(oc.job.Policy.Queue)
	ends := make([]time.Duration, len(oc.steps))
	oc.remaining = 0
	for i, s := range oc.steps {
		for _, a := range s.After {
			ends[i] = max(ends[i], ends[a])
		}
		if s.left > 0 {
			took := time.Duration(sh.longest(s.left) * float64(s.expected(sh.ratio)))
			if s.left < s.Count {
				took /= 2 // some of it has been done
			}
			ends[i] += took
		}
		oc.remaining = max(oc.remaining, ends[i])
	}
	likely := oc.remaining
	if !oc.begun() {
		likely = time.Duration(usualDelay * float64(likely))
	}
	end := o.now.Add(likely)
	oc.prospectAt = o.now
	switch {
	case !end.After(oc.deadline()):
		oc.prospect = prospectTimely
	case !end.After(oc.due.Add(lateFactor * oc.deadline().Sub(oc.due))):
		oc.prospect = prospectLate
	default:
		oc.prospect = prospectHopeless
	}
	return oc.prospect, oc.remaining
}

// compareUrgency orders steps: by priority, then by what their jobs can still reach.
// Timely jobs go by their objective. Of the others, those that end soonest go first: many
// jobs that are all begun would all end late.
func compareUrgency(a, b urgency) int {
	if c := cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.prospect, b.prospect)); c != 0 {
		return c
	}
	if a.begun != b.begun {
		if a.begun {
			return -1
		}
		return 1
	}
	if a.prospect != prospectTimely {
		if c := cmp.Compare(a.remaining, b.remaining); c != 0 {
			return c
		}
	}
	return cmp.Or(a.deadline.Compare(b.deadline), cmp.Compare(a.step.occurrence.job.ID, b.step.occurrence.job.ID), cmp.Compare(a.step.index, b.step.index))
}

// deadline returns when the step's tasks should have started or ended.
func (s *step) deadline() time.Time {
	if !s.LongRunning {
		return s.occurrence.deadline()
	}
	oldest := s.readyAt
	for _, t := range s.tasks {
		if len(t.runs) == 0 && t.since.After(oldest) {
			oldest = t.since
		}
	}
	return oldest.Add(lastingWait)
}

func (oc *occurrence) deadline() time.Time {
	return oc.job.deadline.Add(oc.due.Sub(oc.job.Submitted))
}

// noteWait notes why a step waits, once in noteEvery.
func (o *Orchestrator) noteWait(s *step, reason string) {
	if o.now.Sub(s.noteAt) < noteEvery {
		return
	}
	s.noteAt = o.now
	o.do(Note{Event: EventWait, Job: s.occurrence.job.ID, Task: fmt.Sprintf("%s.%d.%d", s.occurrence.job.ID, s.occurrence.number, s.index),
		Reason: reason, Age: o.now.Sub(s.readyAt), Figures: fmt.Sprintf("Left=%d Ready=%d%s", s.left, len(o.ready), o.room(s))})
}

// room returns for a step whose processors count what a task needs and what the usable
// worker with the most unused processors has, as cores/GB.
func (o *Orchestrator) room(s *step) string {
	if s.Fills {
		return ""
	}
	workers, _ := o.candidates(s)
	var most Resources
	for _, w := range workers {
		if free := w.free(); free.CPU > most.CPU {
			most = free
		}
	}
	return fmt.Sprintf(" Needs=%.1f/%.1f Free=%.1f/%.1f", float64(s.Size.CPU)/1000, float64(s.Size.Memory)/1000, float64(most.CPU)/1000, float64(most.Memory)/1000)
}
