package placer

import "peridotpitch/internal/configurator"

// firstFit takes the first worker whose declared sizes leave room. Like bestFit it puts at
// most one member of a spread group on a worker as long as there is another choice.
func (s *search) firstFit() int {
	s.rule = RuleFirstFit
	second := -1
	for i := range s.ws {
		free, ok := s.declaredRoom(i)
		if !ok {
			continue
		}
		if !s.shared(i) {
			s.insert(ranked{index: i, free: free})
			return i
		}
		if second < 0 {
			second = i
		}
	}
	if second >= 0 {
		s.insert(ranked{index: second})
	}
	return second
}

// shared reports whether worker i has a member of the task's spread group.
func (s *search) shared(i int) bool {
	return s.t.Spread != "" && s.p.summaries[i].members(s.t.Spread) > 0
}

// bestFit takes the worker with the least free declared capacity that has room.
func (s *search) bestFit() int {
	s.rule = RuleBestFit
	for i := range s.ws {
		if free, ok := s.declaredRoom(i); ok {
			c := s.ws[i].Capacity
			left := free.Cores / c.Cores
			if c.Memory > 0 {
				left += float64(free.Memory) / float64(c.Memory)
			}
			r := ranked{index: i, score: left, free: free}
			if s.shared(i) {
				r.band = 1
			}
			s.insert(r)
		}
	}
	if s.count == 0 {
		return -1
	}
	return s.ranked[0].index
}

func (s *search) declaredRoom(i int) (configurator.Resources, bool) {
	if reason := s.unavailable(i); reason >= 0 {
		s.rejected[reason]++
		return configurator.Resources{}, false
	}
	free := s.ws[i].Capacity.Sub(s.p.summaries[i].declared)
	if !s.t.Declared.Fits(free) {
		s.rejected[rejectRoom]++
		return free, false
	}
	return free, true
}

// baseline reports whether the policy is one of the baselines.
func (p *Placer) baseline() bool {
	return p.policy.Placement == configurator.PlacementFirstFit || p.policy.Placement == configurator.PlacementBestFit
}
