package placer

import (
	"fmt"
	"math"
	"slices"
	"time"

	"peridotpitch/internal/configurator"
)

// Settings of preemption. Urgent work starts within 6.1 s: the placer answers in the call,
// waits preemptRetry for the victims and then takes other victims once, which leaves
// 1.1 s for the journal write, the commands and the reports.
const (
	// PreemptGrace is the time that the caller gives victims to checkpoint and stop.
	PreemptGrace = 2 * time.Second
	// preemptRetry is the time after which victims that still hold their capacity are
	// given up and others are chosen.
	preemptRetry = 2500 * time.Millisecond
	// reservedFor is how long freed room is kept for the task that preempted.
	reservedFor = 6 * time.Second
	// maxVictims bounds the tasks stopped for one task.
	maxVictims = 8
	// lostWorkFull is the run time at which the work lost by a stop counts fully; most
	// of it is kept by the checkpoint.
	lostWorkFull = time.Hour
	// urgentVictim is the cost factor of throttling an urgent batch task.
	urgentVictim = 4
)

// reservation keeps the room that victims free for the task that preempted them.
type reservation struct {
	task   string
	worker string
	need   configurator.Resources
	since  time.Time
}

func (p *Placer) reservationOf(task string) *reservation {
	for i := range p.reserved {
		if p.reserved[i].task == task {
			return &p.reserved[i]
		}
	}
	return nil
}

func (p *Placer) dropReservation(task string) {
	p.reserved = slices.DeleteFunc(p.reserved, func(r reservation) bool { return r.task == task })
}

func (p *Placer) expireReservations(now time.Time) {
	p.reserved = slices.DeleteFunc(p.reserved, func(r reservation) bool { return now.Sub(r.since) > reservedFor })
}

// victimCost is what stopping r costs by the operator's weights.
func (p *Placer) victimCost(r *Resident, now time.Time) float64 {
	lost := min(1, float64(now.Sub(r.Started))/float64(lostWorkFull))
	again := 1 + 0.5*float64(max(0, r.Attempt-1)) // a job evicted before costs more
	// The constant keeps the cost above 0 when a weight is 0, so that fewer victims win.
	return 0.01 + p.weights.Evictions*again + p.weights.Throughput*max(0, lost)*r.Declared.Cores
}

// prey is a resident that may be preempted.
type prey struct {
	index  int
	size   configurator.Resources
	cost   float64
	chosen bool
}

type plan struct {
	worker  int
	victims []int
	cost    float64
}

// preempt chooses victims for an urgent task or a service instance, or returns nil.
func (p *Placer) preempt(t Task, ws []Worker, s *search, now time.Time) Decision {
	if !t.Urgent && t.Kind != KindService {
		return nil
	}
	avoid := ""
	if r := s.reserved; r != nil {
		if now.Sub(r.since) < preemptRetry {
			return Wait{Rule: RuleVictims, Reason: fmt.Sprintf("victims on worker %s have not ended yet", r.worker)}
		}
		avoid = r.worker
		p.dropReservation(t.Name)
		s.reserved = nil
	}
	var plans []plan
	for i := range ws {
		if s.unavailable(i) >= 0 || p.failures.quarantined(ws[i].Name) || ws[i].Name == avoid && len(ws) > 1 {
			continue
		}
		limit := math.Inf(1)
		if len(plans) == MaxCandidates {
			limit = plans[MaxCandidates-1].cost
		}
		if cost, ok := p.victims(s, i, limit); ok {
			plans = insertPlan(plans, plan{i, p.chosen(), cost})
		}
	}
	if len(plans) == 0 {
		return nil
	}
	best := plans[0]
	w := &ws[best.worker]
	p.reserved = append(p.reserved, reservation{t.Name, w.Name, s.needOn(w.Capacity), now})
	if len(best.victims) == 0 {
		return Wait{Rule: RuleVictims, Reason: fmt.Sprintf("tasks on worker %s are stopping already", w.Name)}
	}
	d := Preempt{Worker: w.Name, Rule: RuleCheapest}
	for _, v := range best.victims {
		d.Victims = append(d.Victims, w.Residents[v].Name)
	}
	for _, c := range plans {
		cw := &ws[c.worker]
		d.Candidates = append(d.Candidates, Candidate{Name: cw.Name, Free: cw.Capacity.Sub(p.summaries[c.worker].committed), Score: c.cost, Age: now.Sub(cw.ReportedAt)})
	}
	return d
}

// insertPlan keeps the cheapest plans in order.
func insertPlan(plans []plan, n plan) []plan {
	at := len(plans)
	for at > 0 && n.cost < plans[at-1].cost {
		at--
	}
	if at == MaxCandidates {
		return plans
	}
	plans = slices.Insert(plans, at, n)
	return plans[:min(len(plans), MaxCandidates)]
}

// victims chooses, in p.prey, residents of a worker whose end makes room for the task: by
// cost per share of the missing capacity, then without those that turn out not to be
// needed. Tasks that are stopping already count as gone and cost nothing. It gives up if
// the cost cannot be below limit.
func (p *Placer) victims(s *search, index int, limit float64) (float64, bool) {
	w := &s.ws[index]
	free, _ := s.room(index)
	need := s.needOn(w.Capacity)
	if p.baseline() {
		free, need = w.Capacity.Sub(p.summaries[index].declared), s.t.Declared
	}
	p.prey = p.prey[:0]
	cheapest := math.Inf(1)
	for i := range w.Residents {
		r := &w.Residents[i]
		if r.Stopping {
			if s.now.Sub(r.LastAction) > preemptRetry {
				// The worker does not stop its tasks in time.
				return 0, false
			}
			free = free.Add(p.size(r))
			continue
		}
		if r.Kind == KindBatch && !r.Urgent {
			cost := p.victimCost(r, s.now)
			cheapest = min(cheapest, cost)
			p.prey = append(p.prey, prey{index: i, size: p.size(r), cost: cost})
		}
	}
	if !need.Fits(free) && cheapest >= limit {
		return 0, false
	}
	free, ok := p.choose(need, free)
	if !ok {
		return 0, false
	}
	cost := 0.0
	for i := range p.prey {
		v := &p.prey[i]
		if v.chosen && need.Fits(free.Sub(v.size)) {
			free = free.Sub(v.size)
			v.chosen = false
		}
		if v.chosen {
			cost += v.cost
		}
	}
	return cost, cost < limit
}

// choose marks prey until the task fits, and returns the room that it then has.
func (p *Placer) choose(need, free configurator.Resources) (configurator.Resources, bool) {
	for n := 0; !need.Fits(free); n++ {
		missing := need.Sub(free)
		best, bestPrice := -1, 0.0
		for i := range p.prey {
			v := &p.prey[i]
			if v.chosen {
				continue
			}
			share := relieves(missing, v.size)
			if share <= 0 {
				continue
			}
			if price := v.cost / share; best < 0 || price < bestPrice {
				best, bestPrice = i, price
			}
		}
		if best < 0 || n == maxVictims {
			return free, false
		}
		p.prey[best].chosen = true
		free = free.Add(p.prey[best].size)
	}
	return free, true
}

// chosen returns the indices of the chosen residents.
func (p *Placer) chosen() []int {
	var out []int
	for i := range p.prey {
		if p.prey[i].chosen {
			out = append(out, p.prey[i].index)
		}
	}
	return out
}

// size is the capacity that the end of r frees, as the policy counts it.
func (p *Placer) size(r *Resident) configurator.Resources {
	if p.baseline() {
		return r.Declared
	}
	return p.held(r)
}

// relieves returns the sum over dimensions of the missing share that size provides.
func relieves(missing, size configurator.Resources) float64 {
	share := 0.0
	if missing.Cores > 0 {
		share += min(1, size.Cores/missing.Cores)
	}
	if missing.Memory > 0 {
		share += min(1, float64(size.Memory)/float64(missing.Memory))
	}
	if missing.Accelerators > 0 {
		share += min(1, float64(size.Accelerators)/float64(missing.Accelerators))
	}
	return share
}
