package orchestrator

import (
	"cmp"
	"peridotpitch/internal/converter"
	"slices"
	"time"
)

// scheduleGang starts all tasks of a gang or none, and returns the number of starts.
func (o *Orchestrator) scheduleGang(p *pass, s *step) int {
	number := 0
	for _, t := range s.tasks {
		if t.done || len(t.runs) > 0 {
			return 0
		}
		if reason := o.blocked(p, t); reason != "" {
			o.noteWait(s, reason)
			return 0
		}
		number = max(number, t.nextRun)
	}
	workers, reason := o.cachedCandidates(p.survey, s)
	if len(workers) == 0 {
		o.noteWait(s, reason)
		return 0
	}
	plan := o.planGang(s, workers)
	if plan == nil {
		o.noteWait(s, "no set of workers has enough free capacity for all tasks of the gang")
		return 0
	}
	saved := ""
	for _, t := range s.tasks {
		saved = cmp.Or(saved, t.saved)
	}
	s.rack = plan[0].Rack
	for i, t := range s.tasks {
		t.saved = saved // one member's saved state is valid for all
		o.launch(t, plan[i], number, 0)
	}
	return len(s.tasks)
}

// planGang returns a worker for each member of a gang, or nil if there is not enough free
// capacity. If the step needs one rack, it plans for several racks only after rackWait.
func (o *Orchestrator) planGang(s *step, workers []*worker) []*worker {
	if s.SameRack {
		racks := make(map[string][]*worker)
		for _, w := range workers {
			racks[w.Rack] = append(racks[w.Rack], w)
		}
		var best []*worker
		for _, ws := range racks {
			plan := o.planMembers(s, ws)
			if plan != nil && (best == nil || plan[0].Rack == s.RackAffinity || plan[0].Rack < best[0].Rack && best[0].Rack != s.RackAffinity) {
				best = plan
			}
		}
		if best != nil || o.now.Sub(s.readyAt) < o.rackWait(s, racks) {
			return best
		}
	}
	return o.planMembers(s, workers)
}

// rackWait returns how long a gang waits for free capacity on one rack: as much as its run
// time would grow on several racks, 0 if no rack is large enough.
func (o *Orchestrator) rackWait(s *step, racks map[string][]*worker) time.Duration {
	for _, ws := range racks {
		fit := 0
		for _, w := range ws {
			n := s.Count
			if s.Size.CPU > 0 {
				n = w.Capacity.CPU / s.Size.CPU
			}
			if s.MaxPerWorker > 0 {
				n = min(n, s.MaxPerWorker)
			}
			fit += n
		}
		if fit >= s.Count {
			return converter.Scale(s.expectedRunTime(o.stats(s.occurrence.job.Policy.Queue).runTimeRatio), o.settings.RemoteSlowdown-1)
		}
	}
	return 0
}

// planMembers returns a worker for each member of a gang, or nil if there is none for one of
// them. While it places a member, it counts the members placed before as running.
func (o *Orchestrator) planMembers(s *step, workers []*worker) []*worker {
	taken := make(map[*worker]int, len(s.tasks))
	defer func() {
		for w, n := range taken {
			for range n {
				w.addUsage(s.Step, -1)
			}
		}
	}()
	var plan []*worker
	for _, t := range s.tasks {
		free := slices.DeleteFunc(slices.Clone(workers), func(w *worker) bool {
			return s.MaxPerWorker > 0 && taken[w] >= s.MaxPerWorker
		})
		w, _ := o.choose(t, free)
		if w == nil {
			return nil
		}
		w.addUsage(s.Step, 1)
		taken[w]++
		plan = append(plan, w)
	}
	return plan
}
