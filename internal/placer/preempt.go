package placer

import (
	"fmt"
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
		if v, cost, ok := p.victims(&ws[i], s, i); ok {
			plans = insertPlan(plans, plan{i, v, cost})
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

// victims chooses residents of w whose end makes room for the task: by cost per share of
// the missing capacity, then without those that turn out not to be needed. Tasks that
// are stopping already count as gone and cost nothing.
func (p *Placer) victims(w *Worker, s *search, index int) ([]int, float64, bool) {
	free, _ := s.room(index)
	if s.baseline() {
		free = w.Capacity.Sub(p.summaries[index].declared)
	}
	for i := range w.Residents {
		if w.Residents[i].Stopping {
			free = free.Add(p.size(&w.Residents[i]))
		}
	}
	need := s.needOn(w.Capacity)
	if s.baseline() {
		need = s.t.Declared
	}
	var chosen []int
	for !need.Fits(free) {
		best, bestPrice := -1, 0.0
		for i := range w.Residents {
			r := &w.Residents[i]
			if r.Kind != KindBatch || r.Urgent || r.Stopping || slices.Contains(chosen, i) {
				continue
			}
			share := relieves(need.Sub(free), p.size(r))
			if share <= 0 {
				continue
			}
			if price := p.victimCost(r, s.now) / share; best < 0 || price < bestPrice {
				best, bestPrice = i, price
			}
		}
		if best < 0 || len(chosen) == maxVictims {
			return nil, 0, false
		}
		chosen = append(chosen, best)
		free = free.Add(p.size(&w.Residents[best]))
	}
	cost := 0.0
	for k := len(chosen) - 1; k >= 0; k-- {
		size := p.size(&w.Residents[chosen[k]])
		if need.Fits(free.Sub(size)) {
			free = free.Sub(size)
			chosen = slices.Delete(chosen, k, k+1)
			continue
		}
		cost += p.victimCost(&w.Residents[chosen[k]], s.now)
	}
	return chosen, cost, true
}

// size is the capacity that the end of r frees, as the policy counts it.
func (p *Placer) size(r *Resident) configurator.Resources {
	if p.baseline() {
		return r.Declared
	}
	return r.held()
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
