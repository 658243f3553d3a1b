package placer

import "peridotpitch/internal/configurator"

// firstFit takes the first worker whose declared sizes leave room.
func (s *search) firstFit() int {
	s.rule = RuleFirstFit
	for i := range s.ws {
		if free, ok := s.declaredRoom(i); ok {
			s.insert(ranked{index: i, free: free})
			return i
		}
	}
	return -1
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
			s.insert(ranked{index: i, score: left, free: free})
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
