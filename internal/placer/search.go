package placer

import (
	"fmt"
	"strings"
	"time"

	"peridotpitch/internal/configurator"
)

// Reasons why a worker cannot take a task.
const (
	rejectLeaving = iota
	rejectEpoch
	rejectQuarantine
	rejectStale
	rejectMoved
	rejectCapacity
	rejectHeadroom
	rejectReasonCount
)

var rejectTexts = [rejectReasonCount]string{
	rejectLeaving:    "leaving",
	rejectEpoch:      "not fenced",
	rejectQuarantine: "quarantined",
	rejectStale:      "without a recent report",
	rejectMoved:      "relieved of this task recently",
	rejectCapacity:   "without room",
	rejectHeadroom:   "kept free for urgent work",
}

// Terms of the score, which is in units of slowdown. The costs per member of the task's spread group
// are larger than the usual interference, so that spreading takes precedence over it.
const (
	// sameWorkerCost is added per member of the spread group on the same worker.
	sameWorkerCost = 16
	// sameRackCost is added per member of the spread group in the same rack.
	sameRackCost = 4
	// sameDomainCost is added per member of the spread group in the same failure domain.
	sameDomainCost = 1
	// balanceWeight is the weight of the free share of cores. Among workers with equal interference,
	// batch tasks go to the worker with fewer free cores and service instances to the worker with
	// more.
	balanceWeight = 0.1
	// failureRateTiers is the number of tiers into which workers are divided by recent failure
	// rate. A worker of a lower tier is preferred regardless of its score.
	failureRateTiers = 4
)

// search is the search for a worker for one task.
type search struct {
	p            *Placer
	t            Task
	ws           []Worker
	now          time.Time
	class        int
	expectedSize configurator.Resources
	rule         Rule
	reservation  *reservation // capacity that is reserved for the task, or nil
	ranked       [MaxCandidates]ranked
	count        int // of inserted workers; ranked holds the best of them
	ties         int // number of workers that are as good as ranked[0], including it
	rejected     [rejectReasonCount]int
	effectOn     [maxClasses]float64 // by class: coefficient of the effect of the task on assigned tasks
	effectFrom   [maxClasses]float64 // by class: coefficient of the effect of assigned tasks on the task
}

// ranked is an eligible worker with its rank: the lowest tier first, then the lowest score.
type ranked struct {
	worker       int
	tier         int
	score        float64
	interference float64
	failureRate  float64
	free         configurator.Resources
}

func (p *Placer) newSearch(t Task, ws []Worker, now time.Time) *search {
	s := &p.search
	*s = search{p: p, t: t, ws: ws, now: now, class: p.estimator.classIndex(t.Class), reservation: p.reservationFor(t.Name)}
	s.expectedSize = t.Declared
	if !p.baseline() {
		s.expectedSize = p.estimator.expectedSize(s.class, t.Declared)
	}
	for c := range p.estimator.classCount() {
		s.effectOn[c] = p.estimator.pessimisticCoefficient(c, s.class, now)
		s.effectFrom[c] = p.estimator.pessimisticCoefficient(s.class, c, now)
	}
	if t.Spread != "" {
		p.countSpread(t.Spread)
	}
	return s
}

// countSpread counts the members of a spread group by rack and failure domain.
func (p *Placer) countSpread(group string) {
	p.rackUse = zeroed(p.rackUse, len(p.racks))
	p.domainUse = zeroed(p.domainUse, len(p.domains))
	for i := range p.workerSummaries {
		if n := p.workerSummaries[i].groupMembers(group); n > 0 {
			p.rackUse[p.workerSummaries[i].rack] += n
			p.domainUse[p.workerSummaries[i].domain] += n
		}
	}
}

func zeroed(s []int32, n int) []int32 {
	if cap(s) < n {
		return make([]int32, n)
	}
	s = s[:n]
	clear(s)
	return s
}

// run returns the index of the chosen worker, or -1 if no worker is eligible.
func (s *search) run() int {
	switch s.p.policy.Placement {
	case configurator.PlacementFirstFit:
		return s.firstFit()
	case configurator.PlacementBestFit:
		return s.bestFit()
	}
	s.rule = RuleInterference
	surplus := s.surplusHeadroom()
	for i := range s.ws {
		if reason := s.unavailable(i); reason >= 0 {
			s.rejected[reason]++
			continue
		}
		free, ok := s.freeCapacity(i)
		if !ok {
			s.rejected[rejectCapacity]++
			continue
		}
		if s.consumesHeadroom(i, free, surplus) {
			s.rejected[rejectHeadroom]++
			continue
		}
		if s.reservation != nil && s.reservation.worker == s.ws[i].Name {
			s.rule = RuleReservation
			s.count = 0
			s.insert(s.rank(i, free))
			return i
		}
		if s.p.failures.probeDue(s.ws[i].Name, s.now) {
			s.rule = RuleProbe
			s.count = 0
			s.insert(s.rank(i, free))
			return i
		}
		s.insert(s.rank(i, free))
	}
	if s.count == 0 {
		return -1
	}
	return s.ranked[0].worker
}

// unavailable returns the reason why worker i takes no work regardless of its free capacity, or -1.
func (s *search) unavailable(i int) int {
	w := &s.ws[i]
	switch {
	case w.Leaving:
		return rejectLeaving
	case !w.EpochAccepted:
		return rejectEpoch
	case s.now.Sub(w.MeasuredAt) > maxReportAge:
		return rejectStale
	case s.p.failures.excludes(w, &s.t, s.now):
		return rejectQuarantine
	case s.p.mitigation.recentlyMovedFrom(s.t.Name, w.Name, s.now):
		return rejectMoved
	}
	return -1
}

// freeCapacity returns the free capacity of worker i and whether the task fits into it.
func (s *search) freeCapacity(i int) (configurator.Resources, bool) {
	capacity := s.ws[i].Capacity
	free := capacity.Sub(s.p.workerSummaries[i].committed)
	for j := range s.p.reservations {
		if r := &s.p.reservations[j]; r.worker == s.ws[i].Name && r.task != s.t.Name {
			free = free.Sub(r.size)
		}
	}
	return free, s.sizeOn(i).Fits(free)
}

// sizeOn returns the capacity that the task needs on worker i: its expected size, limited to the
// capacity that the worker's service instances leave, but at least its declared size. Without the
// limit, a task whose expected size is larger than any worker offers could never start.
func (s *search) sizeOn(i int) configurator.Resources {
	available := s.ws[i].Capacity.Sub(s.p.workerSummaries[i].committedToServices)
	return s.t.Declared.Max(minResources(s.expectedSize, available))
}

// verifyFit reports whether the task fits worker i, without the summaries: it sums up the worker's
// assigned tasks.
func (s *search) verifyFit(i int) bool {
	w := &s.ws[i]
	total := s.t.Declared
	for j := range w.AssignedTasks {
		if s.baseline() {
			total = total.Add(w.AssignedTasks[j].Declared)
		} else {
			total = total.Add(s.p.committedSize(&w.AssignedTasks[j]))
		}
	}
	return total.Fits(w.Capacity)
}

func (s *search) baseline() bool {
	return s.p.baseline()
}

// rank computes the score of worker i: the slowdowns expected in both directions, weighted by the
// operator's measures, plus the costs of spreading and balance.
func (s *search) rank(i int, free configurator.Resources) ranked {
	w, sum := &s.ws[i], &s.p.workerSummaries[i]
	load := s.expectedSize.Cores / w.Capacity.Cores
	var toServices, toBatch, toTask float64
	for j := range sum.classes {
		c := &sum.classes[j]
		added := s.effectOn[c.class] * load
		toServices += added * c.serviceWeight
		toBatch += added * c.batchWeight
		toTask += s.effectFrom[c.class] * c.cores / w.Capacity.Cores
	}
	toBatch /= load // per share of cores that the task uses
	weights := &s.p.measures
	latency, throughput := toServices, toBatch
	if s.t.Kind == KindService {
		latency += toTask
	} else {
		throughput += 1 - 1/(1+toTask)
	}
	// A batch task that degrades a service is likely to be moved by mitigation.
	eviction := min(1, toServices/(s.p.policy.SlowdownBound-1))
	if s.t.Kind == KindService {
		eviction = min(1, toTask/(s.p.policy.SlowdownBound-1))
	}
	score := weights.Latency*latency + weights.Throughput*throughput + weights.Evictions*eviction
	freeShare := max(0, free.Cores-s.expectedSize.Cores) / w.Capacity.Cores
	if s.t.Kind == KindService {
		freeShare = 1 - freeShare
	}
	score += balanceWeight * freeShare
	if s.t.Spread != "" {
		score += sameWorkerCost*float64(sum.groupMembers(s.t.Spread)) +
			sameRackCost*float64(s.p.rackUse[sum.rack]) +
			sameDomainCost*float64(s.p.domainUse[sum.domain])
	}
	r := ranked{worker: i, score: score, interference: toServices + toBatch + toTask, free: free}
	r.failureRate = s.p.failures.rate(w.Name, s.now)
	r.tier = 2 * int(r.failureRate*failureRateTiers)
	if s.t.Declared.Accelerators == 0 && w.Capacity.Accelerators > 0 {
		r.tier++
	}
	return r
}

// insert adds r to the ranked workers and keeps the best MaxCandidates of them. Among the workers
// that share the best rank, the seeded random source chooses the one that is listed first.
func (s *search) insert(r ranked) {
	n := min(s.count, MaxCandidates)
	at := n
	for at > 0 && s.less(r, s.ranked[at-1]) {
		at--
	}
	if at == 0 {
		s.ties = 1
	} else if s.equal(r, s.ranked[0]) {
		s.ties++
		if s.p.rnd.IntN(s.ties) == 0 {
			at = 0
		}
	}
	s.count++
	if at == MaxCandidates {
		return
	}
	copy(s.ranked[at+1:], s.ranked[at:min(n, MaxCandidates-1)])
	s.ranked[at] = r
}

func (s *search) less(a, b ranked) bool {
	if a.tier != b.tier {
		return a.tier < b.tier
	}
	return a.score < b.score-scoreTolerance
}

func (s *search) equal(a, b ranked) bool {
	return a.tier == b.tier && a.score <= b.score+scoreTolerance && b.score <= a.score+scoreTolerance
}

// top returns the best workers, in order of rank, as candidates of a decision.
func (s *search) top() []Candidate {
	out := make([]Candidate, min(s.count, MaxCandidates))
	for i := range out {
		r := &s.ranked[i]
		w := &s.ws[r.worker]
		out[i] = Candidate{Name: w.Name, Free: r.free, Score: r.score, Interference: r.interference, FailureRate: r.failureRate, Age: s.now.Sub(w.MeasuredAt)}
	}
	return out
}

// rejections returns a text with the number of rejected workers for each reason.
func (s *search) rejections() string {
	var b strings.Builder
	for reason, n := range s.rejected {
		if n == 0 {
			continue
		}
		if b.Len() > 0 {
			b.WriteString(", ")
		}
		fmt.Fprintf(&b, "%d workers %s", n, rejectTexts[reason])
	}
	return b.String()
}
