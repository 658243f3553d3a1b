package placer

import (
	"fmt"
	"math"
	"slices"
	"time"

	"peridotpitch/internal/configurator"
)

// Settings of preemption. An urgent task must start within 6.1 s. The first Place call chooses
// victims at once. If they still hold their capacity after victimStopTimeout (2.5 s), other victims
// are chosen once, which may take another 2.5 s to stop. That leaves 1.1 s for the journal write,
// the commands and the reports.
const (
	// PreemptGrace is the time that the caller gives victims to checkpoint and stop.
	PreemptGrace = 2 * time.Second
	// victimStopTimeout is the time after which victims on another worker are chosen because the
	// first victims still hold their capacity.
	victimStopTimeout = 2500 * time.Millisecond
	// reservationTTL is how long the capacity that victims free stays reserved for the task that
	// preempted them.
	reservationTTL = 6 * time.Second
	// maxVictims bounds the number of tasks preempted for one task.
	maxVictims = 8
	// fullLossRunTime is the run time from which stopping a task counts with the full cost of lost
	// work. Below it, the cost is proportional to the run time. The value is high because the
	// checkpoint keeps most of the work.
	fullLossRunTime = time.Hour
	// urgentThrottleCostFactor is the factor on the cost of throttling an urgent batch task.
	urgentThrottleCostFactor = 4
)

// reservation keeps the capacity that victims free for the task that preempted them.
type reservation struct {
	task    string
	worker  string
	size    configurator.Resources
	created time.Time
	// victims are the tasks that were preempted; empty if tasks that were already stopping
	// free enough capacity.
	victims []string
}

// pending reports whether the reserved capacity may still become free in time.
func (r *reservation) pending(ws []Worker, now time.Time) bool {
	if now.Sub(r.created) >= victimStopTimeout {
		return false
	}
	for i := range ws {
		if ws[i].Name != r.worker {
			continue
		}
		for j := range ws[i].AssignedTasks {
			if v := &ws[i].AssignedTasks[j]; v.Stopping || slices.Contains(r.victims, v.Name) {
				return true
			}
		}
	}
	return false
}

func (p *Placer) reservationFor(task string) *reservation {
	for i := range p.reservations {
		if p.reservations[i].task == task {
			return &p.reservations[i]
		}
	}
	return nil
}

func (p *Placer) dropReservation(task string) {
	p.reservations = slices.DeleteFunc(p.reservations, func(r reservation) bool { return r.task == task })
}

func (p *Placer) expireReservations(now time.Time) {
	p.reservations = slices.DeleteFunc(p.reservations, func(r reservation) bool { return now.Sub(r.created) > reservationTTL })
}

// victimCost returns the cost of stopping r, weighted by the operator's measures.
func (p *Placer) victimCost(r *AssignedTask, now time.Time) float64 {
	lostShare := min(1, float64(now.Sub(r.Started))/float64(fullLossRunTime))
	evictionFactor := 1 + 0.5*float64(max(0, r.Attempt-1)) // a job that was evicted before costs more
	// The constant 0.01 keeps the cost above 0 if the weights are 0, so that a choice of fewer
	// victims costs less.
	return 0.01 + p.measures.Evictions*evictionFactor + p.measures.Throughput*max(0, lostShare)*r.Declared.Cores
}

// preemptible is a batch task on the worker under consideration that may be preempted.
type preemptible struct {
	taskIndex int
	size      configurator.Resources
	cost      float64
	chosen    bool
}

// preemptionPlan is a choice of victims on one worker.
type preemptionPlan struct {
	worker  int
	victims []int
	cost    float64
}

// preempt chooses victims for an urgent task or a service instance. It returns nil if the task
// may not preempt or no choice of victims frees enough capacity.
func (p *Placer) preempt(t Task, ws []Worker, s *search, now time.Time) Decision {
	if !t.Urgent && t.Kind != KindService {
		return nil
	}
	excluded := ""
	if r := s.reservation; r != nil {
		if r.pending(ws, now) {
			return Wait{Rule: RuleVictimsStopping, Reason: fmt.Sprintf("victims on worker %s have not ended yet", r.worker)}
		}
		// Either the victims have ended and other tasks on the worker use the freed capacity, or
		// the worker did not stop its tasks in time.
		if now.Sub(r.created) >= victimStopTimeout {
			excluded = r.worker
		}
		p.dropReservation(t.Name)
		s.reservation = nil
	}
	var plans []preemptionPlan
	for i := range ws {
		if s.unavailable(i) >= 0 || p.failures.quarantined(ws[i].Name) || ws[i].Name == excluded && len(ws) > 1 {
			continue
		}
		limit := math.Inf(1)
		if len(plans) == MaxCandidates {
			limit = plans[MaxCandidates-1].cost
		}
		// Instances of one service on the same worker would fail together.
		spreadCost := sameWorkerCost * float64(p.workerSummaries[i].groupMembers(t.Spread))
		if cost, ok := p.planVictims(s, i, limit-spreadCost); ok {
			cost += spreadCost
			plans = insertPreemptionPlan(plans, preemptionPlan{i, p.chosenVictims(), cost})
		}
	}
	if len(plans) == 0 {
		return nil
	}
	best := plans[0]
	w := &ws[best.worker]
	var names []string
	for _, v := range best.victims {
		names = append(names, w.AssignedTasks[v].Name)
	}
	p.reservations = append(p.reservations, reservation{t.Name, w.Name, s.sizeOn(best.worker), now, names})
	if len(best.victims) == 0 {
		return Wait{Rule: RuleVictimsStopping, Reason: fmt.Sprintf("tasks on worker %s are stopping already", w.Name)}
	}
	d := Preempt{Worker: w.Name, Victims: names, Rule: RuleCheapestVictims}
	for _, c := range plans {
		cw := &ws[c.worker]
		d.Candidates = append(d.Candidates, Candidate{Name: cw.Name, Free: cw.Capacity.Sub(p.workerSummaries[c.worker].committed), Score: c.cost, Age: now.Sub(cw.MeasuredAt)})
	}
	return d
}

// insertPreemptionPlan adds n to plans, which holds the cheapest MaxCandidates plans in order.
func insertPreemptionPlan(plans []preemptionPlan, n preemptionPlan) []preemptionPlan {
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

// planVictims chooses victims on a worker whose end frees enough capacity for the task. It marks
// them as chosen in p.preemptibles and returns their cost. It chooses tasks in order of cost per
// share of the missing capacity and then removes the ones that turn out not to be needed. Tasks
// that are already stopping count as ended at no cost. It returns false if no choice of at most
// maxVictims tasks frees enough capacity, if the cost is not below limit, or if the worker is
// overdue to stop a task.
func (p *Placer) planVictims(s *search, index int, limit float64) (float64, bool) {
	w := &s.ws[index]
	free, _ := s.freeCapacity(index)
	need := s.sizeOn(index)
	if p.baseline() {
		free, need = w.Capacity.Sub(p.workerSummaries[index].declared), s.t.Declared
	}
	p.preemptibles = p.preemptibles[:0]
	cheapest := math.Inf(1)
	for i := range w.AssignedTasks {
		r := &w.AssignedTasks[i]
		if r.Stopping {
			if s.now.Sub(r.LastAction) > victimStopTimeout {
				return 0, false // the worker is overdue to stop this task
			}
			free = free.Add(p.freedSize(r))
			continue
		}
		if r.Kind == KindBatch && !r.Urgent {
			cost := p.victimCost(r, s.now)
			cheapest = min(cheapest, cost)
			p.preemptibles = append(p.preemptibles, preemptible{taskIndex: i, size: p.freedSize(r), cost: cost})
		}
	}
	if !need.Fits(free) && cheapest >= limit {
		return 0, false
	}
	free, ok := p.chooseVictims(need, free)
	if !ok {
		return 0, false
	}
	cost := 0.0
	for i := range p.preemptibles {
		v := &p.preemptibles[i]
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

// chooseVictims marks preemptible tasks as chosen until need fits into the free capacity. It
// returns the free capacity that results and whether need fits into it.
func (p *Placer) chooseVictims(need, free configurator.Resources) (configurator.Resources, bool) {
	for n := 0; !need.Fits(free); n++ {
		missing := need.Sub(free)
		best, bestCost := -1, 0.0
		for i := range p.preemptibles {
			v := &p.preemptibles[i]
			if v.chosen {
				continue
			}
			share := missingShareCovered(missing, v.size)
			if share <= 0 {
				continue
			}
			if costPerShare := v.cost / share; best < 0 || costPerShare < bestCost {
				best, bestCost = i, costPerShare
			}
		}
		if best < 0 || n == maxVictims {
			return free, false
		}
		p.preemptibles[best].chosen = true
		free = free.Add(p.preemptibles[best].size)
	}
	return free, true
}

// chosenVictims returns the indices of the assigned tasks that planVictims marked.
func (p *Placer) chosenVictims() []int {
	var out []int
	for i := range p.preemptibles {
		if p.preemptibles[i].chosen {
			out = append(out, p.preemptibles[i].taskIndex)
		}
	}
	return out
}

// freedSize returns the capacity that the end of r frees under the placement policy.
func (p *Placer) freedSize(r *AssignedTask) configurator.Resources {
	if p.baseline() {
		return r.Declared
	}
	return p.committedSize(r)
}

// missingShareCovered returns the share of the missing capacity that size covers, summed over
// the dimensions.
func missingShareCovered(missing, size configurator.Resources) float64 {
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
