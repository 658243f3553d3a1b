package placer

import (
	"fmt"
	"slices"
	"time"
)

// Settings of relief.
const (
	// maxActionsPerHour bounds throttles, checkpoints and stops of one task.
	maxActionsPerHour = 6
	// throttleSteps are the limits that a neighbour passes through, and minLimit the last.
	minLimit = 0.25
	// minHarm is the estimated slowdown below which a neighbour is not worth an action.
	minHarm = 0.02
	// targetShare is the share of the bound's excess that an action aims for.
	targetShare = 0.8
	// releaseBelow is the pressure below which a throttle may be released, and
	// releaseTarget the pressure that must not be exceeded afterwards by the estimate.
	// The gap between them and 1 prevents oscillation.
	releaseBelow  = 0.85
	releaseTarget = 0.95
	// firstHold is how long a throttle stays at least. It doubles up to maxHold when a
	// release was followed by a new throttle within twice the hold.
	firstHold = 30 * time.Second
	maxHold   = 10 * time.Minute
	// checkpointTimeout is how long a checkpoint may take before the task is stopped.
	checkpointTimeout = 30 * time.Second
	// avoidFor is how long a task that was moved away does not return to the worker.
	avoidFor = 10 * time.Minute
	// memoryLimit is the share of a worker's memory in use above which a batch task is
	// moved before the host runs out.
	memoryLimit = 0.97
	// maxRelieved bounds the tables of relieved tasks.
	maxRelieved = 4096
)

// reliefTask is what relief remembers about a task.
type reliefTask struct {
	actions    []time.Time // of the last hour, at most maxActionsPerHour
	hold       time.Duration
	throttled  time.Time // last throttle
	released   time.Time // last release
	checkpoint time.Time // last checkpoint command
}

type movedTask struct {
	worker string
	until  time.Time
}

type reliefState struct {
	workers map[string]time.Time // last action on the worker
	tasks   map[string]*reliefTask
	moved   map[string]movedTask
}

func newReliefState() reliefState {
	return reliefState{workers: map[string]time.Time{}, tasks: map[string]*reliefTask{}, moved: map[string]movedTask{}}
}

func (s *reliefState) movedFrom(task, worker string, now time.Time) bool {
	if len(s.moved) == 0 {
		return false
	}
	m, ok := s.moved[task]
	return ok && m.worker == worker && now.Before(m.until)
}

// prune forgets entries that no longer matter.
func (s *reliefState) prune(now time.Time) {
	for w, at := range s.workers {
		if now.Sub(at) > time.Hour {
			delete(s.workers, w)
		}
	}
	for t, m := range s.moved {
		if !now.Before(m.until) || len(s.moved) > maxRelieved {
			delete(s.moved, t)
		}
	}
	for t, r := range s.tasks {
		if now.Sub(r.last()) > 2*time.Hour || len(s.tasks) > maxRelieved {
			delete(s.tasks, t)
		}
	}
}

func (r *reliefTask) last() time.Time {
	return latest(r.throttled, r.released, r.checkpoint)
}

func latest(ts ...time.Time) time.Time {
	out := time.Time{}
	for _, t := range ts {
		if t.After(out) {
			out = t
		}
	}
	return out
}

// allowed reports whether the task's hourly bound leaves room for one more action.
func (s *reliefState) allowed(task string, now time.Time) bool {
	r := s.tasks[task]
	if r == nil {
		return true
	}
	r.actions = slices.DeleteFunc(r.actions, func(t time.Time) bool { return now.Sub(t) >= time.Hour })
	return len(r.actions) < maxActionsPerHour
}

func (s *reliefState) task(name string) *reliefTask {
	r := s.tasks[name]
	if r == nil {
		r = &reliefTask{hold: firstHold}
		s.tasks[name] = r
	}
	return r
}

func (s *reliefState) acted(worker, task string, now time.Time) *reliefTask {
	s.workers[worker] = now
	r := s.task(task)
	r.actions = append(r.actions, now)
	return r
}

// pressure returns how far a service instance is from being degraded: above 1 it is.
func (p *Placer) pressure(r *Resident) float64 {
	out := 0.0
	if r.Slowdown > 0 {
		out = (r.Slowdown - 1) / (p.policy.SlowdownBound - 1)
	}
	// A late service that its neighbours do not slow down lacks instances; relief
	// cannot help it.
	if r.LatencyTarget > 0 && r.Latency > 0 && (r.Slowdown == 0 || out > releaseBelow) {
		out = max(out, float64(r.Latency)/float64(r.LatencyTarget))
	}
	return out
}

// Relieve returns at most one action per worker: against the cheapest harmful neighbour of
// its most degraded service, against a batch task if memory runs out, or the release of a
// throttle. A worker gets no second action until a report measured after the first one.
func (p *Placer) Relieve(ws []Worker, now time.Time) []Relief {
	if p.baseline() {
		return nil
	}
	p.relief.prune(now)
	var out []Relief
	for i := range ws {
		w := &ws[i]
		if !w.Fenced || now.Sub(w.ReportedAt) > staleAfter || !w.ReportedAt.After(p.lastAction(w)) {
			continue
		}
		worst, pressure := -1, 0.0
		for j := range w.Residents {
			if r := &w.Residents[j]; r.Kind == KindService && r.Started.Before(w.ReportedAt) {
				if v := p.pressure(r); worst < 0 || v > pressure {
					worst, pressure = j, v
				}
			}
		}
		var r Relief
		switch {
		case worst >= 0 && pressure > 1:
			r = p.relieve(w, &w.Residents[worst], now)
		case pressure < releaseBelow:
			r = p.release(w, worst, now)
		}
		if r == nil {
			r = p.saveMemory(w, now)
		}
		if r != nil {
			out = append(out, r)
		}
	}
	return out
}

// lastAction returns when something was last done on a worker. It includes the
// residents' own times, which survive a change of owner.
func (p *Placer) lastAction(w *Worker) time.Time {
	last := p.relief.workers[w.Name]
	for i := range w.Residents {
		last = latest(last, w.Residents[i].LastAction)
	}
	return last
}

type neighbour struct {
	index int
	harm  float64
	price float64
}

// neighbours returns the batch tasks that probably harm a service, cheapest first, and
// a task whose checkpoint did not complete, or -1.
func (p *Placer) neighbours(w *Worker, service *Resident, now time.Time) (list []neighbour, stuck int) {
	victim := p.estimator.index(service.Class)
	stuck = -1
	for i := range w.Residents {
		r := &w.Residents[i]
		if r.Kind != KindBatch {
			continue
		}
		if r.Stopping {
			if t := p.relief.tasks[r.Name]; t != nil && !t.checkpoint.IsZero() && now.Sub(t.checkpoint) > checkpointTimeout {
				stuck = i
			}
			continue
		}
		mean, _ := p.estimator.harm(victim, p.estimator.index(r.Class), now)
		harm := mean * r.cores() / w.Capacity.Cores
		if harm < minHarm || !p.relief.allowed(r.Name, now) {
			continue
		}
		cost := p.victimCost(r, now)
		if r.Urgent {
			cost *= urgentVictim
		}
		list = append(list, neighbour{i, harm, cost / harm})
	}
	slices.SortStableFunc(list, func(a, b neighbour) int {
		switch {
		case a.price < b.price:
			return -1
		case a.price > b.price:
			return 1
		}
		return 0
	})
	return list, stuck
}

func (p *Placer) relieve(w *Worker, service *Resident, now time.Time) Relief {
	list, stuck := p.neighbours(w, service, now)
	cause := fmt.Sprintf("slowdown %.2f, latency %s, target %s", service.Slowdown, service.Latency, service.LatencyTarget)
	candidates := harmCandidates(w, list, now)
	for _, n := range list {
		r := &w.Residents[n.index]
		if limit := limitOf(r); limit > minLimit {
			t := p.relief.acted(w.Name, r.Name, now)
			t.throttle(now)
			excess := service.Slowdown - 1 - targetShare*(p.policy.SlowdownBound-1)
			return Throttle{Worker: w.Name, Task: r.Name, Limit: nextLimit(limit, excess, n.harm), Service: service.Name, Rule: RuleThrottle, Cause: cause, Candidates: candidates}
		}
	}
	for _, n := range list {
		r := &w.Residents[n.index]
		if r.Urgent {
			continue
		}
		p.relief.acted(w.Name, r.Name, now).checkpoint = now
		p.relief.moved[r.Name] = movedTask{w.Name, now.Add(avoidFor)}
		return Checkpoint{Worker: w.Name, Task: r.Name, Service: service.Name, Rule: RuleMove, Cause: cause, Candidates: candidates}
	}
	if stuck >= 0 && p.relief.allowed(w.Residents[stuck].Name, now) {
		r := &w.Residents[stuck]
		p.relief.acted(w.Name, r.Name, now)
		return Stop{Worker: w.Name, Task: r.Name, Service: service.Name, Rule: RuleStop, Cause: "checkpoint did not complete; " + cause, Candidates: candidates}
	}
	return nil
}

// throttle notes a throttle. One that follows soon on a release shows that the release
// came too early.
func (r *reliefTask) throttle(now time.Time) {
	if !r.released.IsZero() && now.Sub(r.released) < 2*r.hold {
		r.hold = min(2*r.hold, maxHold)
	}
	r.throttled = now
}

func limitOf(r *Resident) float64 {
	if r.Throttled <= 0 || r.Throttled > 1 {
		return 1
	}
	return r.Throttled
}

// nextLimit returns the limit in steps of a quarter that removes the excess by the
// estimate, at least one step below the present limit.
func nextLimit(limit, excess, harm float64) float64 {
	want := limit * (1 - excess/harm)
	for step := 0.75; step > minLimit; step -= 0.25 {
		if step < limit && step <= want {
			return step
		}
	}
	return minLimit
}

func harmCandidates(w *Worker, list []neighbour, now time.Time) []Candidate {
	out := make([]Candidate, 0, min(len(list), MaxCandidates))
	for _, n := range list[:min(len(list), MaxCandidates)] {
		out = append(out, Candidate{Name: w.Residents[n.index].Name, Score: n.price, Interference: n.harm, Age: now.Sub(w.ReportedAt)})
	}
	return out
}

// release removes a step of one throttle if the estimate says that the worker's services
// stay below the bound.
func (p *Placer) release(w *Worker, worst int, now time.Time) Relief {
	for i := range w.Residents {
		r := &w.Residents[i]
		limit := limitOf(r)
		if limit == 1 || r.Kind != KindBatch || r.Stopping {
			continue
		}
		t := p.relief.task(r.Name)
		if t.throttled.IsZero() {
			// Throttled by an earlier owner: hold it from now on.
			t.throttled = now
		}
		if now.Sub(latest(t.throttled, t.released)) < t.hold {
			continue
		}
		next := min(1, 2*limit)
		if worst >= 0 && p.afterRelease(w, &w.Residents[worst], r, limit, next, now) > releaseTarget {
			continue
		}
		t.released = now
		p.relief.workers[w.Name] = now
		return Throttle{Worker: w.Name, Task: r.Name, Limit: next, Rule: RuleRelease, Cause: fmt.Sprintf("no service of the worker is above %.2f of its bound", releaseBelow)}
	}
	return nil
}

// afterRelease estimates the pressure on a service once r runs at limit next.
func (p *Placer) afterRelease(w *Worker, service, r *Resident, limit, next float64, now time.Time) float64 {
	mean, _ := p.estimator.harm(p.estimator.index(service.Class), p.estimator.index(r.Class), now)
	added := mean * r.cores() * (next/limit - 1) / w.Capacity.Cores
	return p.pressure(service) + added/(p.policy.SlowdownBound-1)
}

// saveMemory moves the batch task whose end costs least per memory, if the worker's
// measured memory is nearly used up.
func (p *Placer) saveMemory(w *Worker, now time.Time) Relief {
	var used int64
	best, bestPrice := -1, 0.0
	for i := range w.Residents {
		r := &w.Residents[i]
		used += r.Measured.Memory
		if r.Kind != KindBatch || r.Urgent || r.Stopping || r.Measured.Memory == 0 || !p.relief.allowed(r.Name, now) {
			continue
		}
		if price := p.victimCost(r, now) / float64(r.Measured.Memory); best < 0 || price < bestPrice {
			best, bestPrice = i, price
		}
	}
	if best < 0 || float64(used) <= memoryLimit*float64(w.Capacity.Memory) {
		return nil
	}
	r := &w.Residents[best]
	p.relief.acted(w.Name, r.Name, now).checkpoint = now
	p.relief.moved[r.Name] = movedTask{w.Name, now.Add(avoidFor)}
	return Checkpoint{Worker: w.Name, Task: r.Name, Rule: RuleOverCapacity, Cause: fmt.Sprintf("measured memory %d of %d bytes", used, w.Capacity.Memory)}
}
