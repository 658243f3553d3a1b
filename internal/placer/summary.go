package placer

import "peridotpitch/internal/configurator"

// classLoad is what the residents of one class mean for interference on a worker.
type classLoad struct {
	class    int
	cores    float64 // cores in use
	services float64 // service instances, weighted by how close they are to being degraded
	batch    float64 // batch tasks
}

type teamUse struct {
	team int32
	used configurator.Resources
}

type spreadUse struct {
	group string
	count int32
}

// summary holds sums over a worker's residents. It is reused while the worker's Version
// stays the same, because summing 17,000 residents for each Place took most of its time.
type summary struct {
	name         string
	version      uint64
	rack, domain int32
	committed    configurator.Resources
	declared     configurator.Resources
	classes      []classLoad
	teams        []teamUse
	spreads      []spreadUse
}

// degradedWeight is how much more harm to an instance counts per unit of slowdown it
// already has: latency rises faster than slowdown near saturation.
const degradedWeight = 4

// held returns the capacity that counts as taken by r. A task that has not been measured
// counts with the size that tasks of its class usually reach.
func (p *Placer) held(r *Resident) configurator.Resources {
	out := r.Committed.Max(r.Declared)
	if p.baseline() || r.Measured != (configurator.Resources{}) {
		return out
	}
	return out.Max(p.estimator.expected(p.estimator.index(r.Class), r.Declared))
}

// cores returns the cores that r uses as far as known.
func (r *Resident) cores() float64 {
	if r.Measured.Cores > 0 {
		return r.Measured.Cores
	}
	if r.Throttled > 0 && r.Throttled < 1 {
		return r.Declared.Cores * r.Throttled
	}
	return r.Declared.Cores
}

// refresh brings the summaries up to date with ws.
func (p *Placer) refresh(ws []Worker, all bool) {
	if cap(p.summaries) < len(ws) {
		p.summaries = append(p.summaries[:cap(p.summaries)], make([]summary, len(ws)-cap(p.summaries))...)
	}
	p.summaries = p.summaries[:len(ws)]
	for i := range ws {
		w, s := &ws[i], &p.summaries[i]
		if all || w.Version == 0 || s.version != w.Version || s.name != w.Name {
			p.summarise(w, s)
		}
	}
}

func (p *Placer) summarise(w *Worker, s *summary) {
	*s = summary{
		name: w.Name, version: w.Version,
		rack: intern(p.racks, w.Rack), domain: intern(p.domains, w.FailureDomain),
		classes: s.classes[:0], teams: s.teams[:0], spreads: s.spreads[:0],
	}
	for i := range w.Residents {
		r := &w.Residents[i]
		held := p.held(r)
		s.committed = s.committed.Add(held)
		s.declared = s.declared.Add(r.Declared)
		s.addClass(p.estimator.index(r.Class), r)
		if r.Kind == KindBatch {
			if _, ok := p.policy.Quotas[r.Team]; ok {
				s.addTeam(intern(p.teams, r.Team), held)
			}
		}
		if r.Spread != "" {
			s.addSpread(r.Spread)
		}
	}
}

func (s *summary) addClass(class int, r *Resident) {
	j := 0
	for j < len(s.classes) && s.classes[j].class != class {
		j++
	}
	if j == len(s.classes) {
		s.classes = append(s.classes, classLoad{class: class})
	}
	c := &s.classes[j]
	c.cores += r.cores()
	if r.Kind == KindService {
		c.services += 1 + degradedWeight*max(0, r.Slowdown-1)
	} else {
		c.batch++
	}
}

func (s *summary) addTeam(team int32, held configurator.Resources) {
	for j := range s.teams {
		if s.teams[j].team == team {
			s.teams[j].used = s.teams[j].used.Add(held)
			return
		}
	}
	s.teams = append(s.teams, teamUse{team, held})
}

func (s *summary) addSpread(group string) {
	for j := range s.spreads {
		if s.spreads[j].group == group {
			s.spreads[j].count++
			return
		}
	}
	s.spreads = append(s.spreads, spreadUse{group, 1})
}

func (s *summary) members(group string) int32 {
	for j := range s.spreads {
		if s.spreads[j].group == group {
			return s.spreads[j].count
		}
	}
	return 0
}

// intern returns a small number for a name. Names come from the configuration, which
// bounds their count.
func intern(table map[string]int32, name string) int32 {
	n, ok := table[name]
	if !ok {
		n = int32(len(table))
		table[name] = n
	}
	return n
}
