package placer

import "peridotpitch/internal/configurator"

// classLoad is the load of one interference class on a worker.
type classLoad struct {
	class         int
	cores         float64 // cores in use
	serviceWeight float64 // number of service instances, each weighted by its slowdown
	batchWeight   float64 // share of the worker's cores used by batch tasks, each weighted by the progress that it loses per added slowdown
}

// teamUsage is the capacity that a team's batch tasks hold on a worker.
type teamUsage struct {
	team int32
	used configurator.Resources
}

// spreadCount is the number of members of a spread group on a worker.
type spreadCount struct {
	group   string
	members int32
}

// workerSummary holds sums over a worker's assigned tasks. It is reused while the worker's Version
// stays the same, because summing up 17,000 assigned tasks takes most of the time of a Place call.
type workerSummary struct {
	name                string
	version             uint64
	rack, domain        int32
	committed           configurator.Resources
	declared            configurator.Resources
	committedToServices configurator.Resources // part of committed held by service instances
	classes             []classLoad
	teams               []teamUsage
	spreads             []spreadCount
}

// degradedWeight is the additional weight of a service instance per unit of excess slowdown. The
// weight rises with the slowdown because, near saturation, latency rises faster than slowdown.
const degradedWeight = 2

// committedSize returns the capacity that counts as taken by r. A task without a measurement counts
// with the size expected of its class.
func (p *Placer) committedSize(r *AssignedTask) configurator.Resources {
	out := r.Committed.Max(r.Declared)
	if p.baseline() || r.Measured != (configurator.Resources{}) {
		return out
	}
	return out.Max(p.estimator.expectedSize(p.estimator.classIndex(r.Class), r.Declared))
}

// usedCores returns the measured cores of r or, without a measurement, the declared cores limited by
// its throttle.
func (r *AssignedTask) usedCores() float64 {
	if r.Measured.Cores > 0 {
		return r.Measured.Cores
	}
	if r.Throttled > 0 && r.Throttled < 1 {
		return r.Declared.Cores * r.Throttled
	}
	return r.Declared.Cores
}

// refreshSummaries recomputes the summaries of workers whose Version changed, or of all workers.
func (p *Placer) refreshSummaries(ws []Worker, all bool) {
	if cap(p.workerSummaries) < len(ws) {
		p.workerSummaries = append(p.workerSummaries[:cap(p.workerSummaries)], make([]workerSummary, len(ws)-cap(p.workerSummaries))...)
	}
	p.workerSummaries = p.workerSummaries[:len(ws)]
	for i := range ws {
		w, s := &ws[i], &p.workerSummaries[i]
		if all || w.Version == 0 || s.version != w.Version || s.name != w.Name {
			p.summarise(w, s)
		}
	}
}

func (p *Placer) summarise(w *Worker, s *workerSummary) {
	*s = workerSummary{
		name: w.Name, version: w.Version,
		rack: intern(p.racks, w.Rack), domain: intern(p.domains, w.FailureDomain),
		classes: s.classes[:0], teams: s.teams[:0], spreads: s.spreads[:0],
	}
	for i := range w.AssignedTasks {
		r := &w.AssignedTasks[i]
		committed := p.committedSize(r)
		s.committed = s.committed.Add(committed)
		s.declared = s.declared.Add(r.Declared)
		s.addClass(p.estimator.classIndex(r.Class), r, w.Capacity.Cores)
		if r.Kind == KindService {
			s.committedToServices = s.committedToServices.Add(committed)
		}
		if r.Kind == KindBatch {
			if _, ok := p.policy.Quotas[r.Team]; ok {
				s.addTeam(intern(p.teams, r.Team), committed)
			}
		}
		if r.Spread != "" {
			s.addSpread(r.Spread)
		}
	}
}

func (s *workerSummary) addClass(class int, r *AssignedTask, capacity float64) {
	j := 0
	for j < len(s.classes) && s.classes[j].class != class {
		j++
	}
	if j == len(s.classes) {
		s.classes = append(s.classes, classLoad{class: class})
	}
	c := &s.classes[j]
	c.cores += r.usedCores()
	if r.Kind == KindService {
		c.serviceWeight += 1 + degradedWeight*max(0, r.Slowdown-1)
	} else {
		// Progress is the inverse of the slowdown. The weight is its derivative: a task that
		// is already slowed down loses less progress to one more neighbour.
		slow := max(1, r.Slowdown)
		c.batchWeight += r.usedCores() / (capacity * slow * slow)
	}
}

func (s *workerSummary) addTeam(team int32, committed configurator.Resources) {
	for j := range s.teams {
		if s.teams[j].team == team {
			s.teams[j].used = s.teams[j].used.Add(committed)
			return
		}
	}
	s.teams = append(s.teams, teamUsage{team, committed})
}

func (s *workerSummary) addSpread(group string) {
	for j := range s.spreads {
		if s.spreads[j].group == group {
			s.spreads[j].members++
			return
		}
	}
	s.spreads = append(s.spreads, spreadCount{group, 1})
}

func (s *workerSummary) groupMembers(group string) int32 {
	for j := range s.spreads {
		if s.spreads[j].group == group {
			return s.spreads[j].members
		}
	}
	return 0
}

// intern returns the number that the table assigns to a name. The table does not grow without bound,
// because the names come from the configuration.
func intern(table map[string]int32, name string) int32 {
	n, ok := table[name]
	if !ok {
		n = int32(len(table))
		table[name] = n
	}
	return n
}
