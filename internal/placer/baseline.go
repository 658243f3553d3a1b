package placer

import "peridotpitch/internal/configurator"

// firstFit chooses the first worker on which the declared sizes of the assigned tasks leave enough
// capacity. Like bestFit, it puts a second member of a spread group on a worker only if no other
// worker has enough capacity.
func (s *search) firstFit() int {
	s.rule = RuleFirstFit
	fallback := -1
	for i := range s.ws {
		free, ok := s.freeDeclared(i)
		if !ok {
			continue
		}
		if !s.hasGroupMember(i) {
			s.insert(ranked{worker: i, free: free})
			return i
		}
		if fallback < 0 {
			fallback = i
		}
	}
	if fallback >= 0 {
		s.insert(ranked{worker: fallback})
	}
	return fallback
}

// hasGroupMember reports whether worker i has a member of the task's spread group.
func (s *search) hasGroupMember(i int) bool {
	return s.t.Spread != "" && s.p.workerSummaries[i].groupMembers(s.t.Spread) > 0
}

// bestFit chooses, among the workers where the task fits, the one with the least free capacity:
// the free share of cores plus the free share of memory, by the declared sizes of its assigned
// tasks.
func (s *search) bestFit() int {
	s.rule = RuleBestFit
	for i := range s.ws {
		if free, ok := s.freeDeclared(i); ok {
			c := s.ws[i].Capacity
			freeShare := free.Cores / c.Cores
			if c.Memory > 0 {
				freeShare += float64(free.Memory) / float64(c.Memory)
			}
			r := ranked{worker: i, score: freeShare, free: free}
			if s.hasGroupMember(i) {
				r.tier = 1 // ranks after all workers without a member of the group
			}
			s.insert(r)
		}
	}
	if s.count == 0 {
		return -1
	}
	return s.ranked[0].worker
}

// freeDeclared returns the capacity of worker i that the declared sizes of its assigned tasks leave
// free, and whether the worker can take the task.
func (s *search) freeDeclared(i int) (configurator.Resources, bool) {
	if reason := s.unavailable(i); reason >= 0 {
		s.rejected[reason]++
		return configurator.Resources{}, false
	}
	free := s.ws[i].Capacity.Sub(s.p.workerSummaries[i].declared)
	if !s.t.Declared.Fits(free) {
		s.rejected[rejectCapacity]++
		return free, false
	}
	return free, true
}

// baseline reports whether the placement policy is FirstFit or BestFit. These are baselines
// for comparison, without the interference model.
func (p *Placer) baseline() bool {
	return p.policy.Placement == configurator.PlacementFirstFit || p.policy.Placement == configurator.PlacementBestFit
}
