package placer

import (
	"fmt"
	"strings"
	"time"

	"peridotpitch/internal/configurator"
)

// Reasons why a worker is not eligible.
const (
	rejectLeaving = iota
	rejectFence
	rejectQuarantine
	rejectSilent
	rejectMoved
	rejectRoom
	rejectReasons
)

var rejectText = [rejectReasons]string{
	rejectLeaving:    "leaving",
	rejectFence:      "not fenced",
	rejectQuarantine: "quarantined",
	rejectSilent:     "without a recent report",
	rejectMoved:      "relieved of this task recently",
	rejectRoom:       "without room",
}

// Weights of the score.
const (
	// rackWeight and domainWeight are the cost per member of the same spread group in the
	// same rack and failure domain; workerWeight on the same worker. They exceed the
	// usual sums of interference, so spreading comes first.
	workerWeight = 16
	rackWeight   = 4
	domainWeight = 1
	// balanceWeight makes less loaded workers preferable if interference is equal.
	balanceWeight = 0.1
	// failureBands is the number of bands of the recent failure rate; a worker of a lower
	// band is chosen before its score is considered.
	failureBands = 4
)

// search is one pass over the workers for a task.
type search struct {
	p        *Placer
	t        Task
	ws       []Worker
	now      time.Time
	class    int
	need     configurator.Resources // expected size
	rule     Rule
	reserved *reservation // the task's own
	ranked   [MaxCandidates]ranked
	count    int
	ties     int
	rejected [rejectReasons]int
	inflict  [maxClasses]float64 // by class of a resident: harm by the task
	suffer   [maxClasses]float64 // by class of a resident: harm to the task
}

type ranked struct {
	index        int
	band         int
	score        float64
	interference float64
	failures     float64
	free         configurator.Resources
}

func (p *Placer) newSearch(t Task, ws []Worker, now time.Time) *search {
	s := &p.search
	*s = search{p: p, t: t, ws: ws, now: now, class: p.estimator.index(t.Class), reserved: p.reservationOf(t.Name)}
	s.need = t.Declared
	if !p.baseline() {
		s.need = p.estimator.expected(s.class, t.Declared)
	}
	for c := range p.estimator.count() {
		s.inflict[c] = p.estimator.cautious(c, s.class, now)
		s.suffer[c] = p.estimator.cautious(s.class, c, now)
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
	for i := range p.summaries {
		if n := p.summaries[i].members(group); n > 0 {
			p.rackUse[p.summaries[i].rack] += n
			p.domainUse[p.summaries[i].domain] += n
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

// run returns the index of the chosen worker, or -1.
func (s *search) run() int {
	switch s.p.policy.Placement {
	case configurator.PlacementFirstFit:
		return s.firstFit()
	case configurator.PlacementBestFit:
		return s.bestFit()
	}
	s.rule = RuleInterference
	for i := range s.ws {
		if reason := s.unavailable(i); reason >= 0 {
			s.rejected[reason]++
			continue
		}
		free, ok := s.room(i)
		if !ok {
			s.rejected[rejectRoom]++
			continue
		}
		if s.reserved != nil && s.reserved.worker == s.ws[i].Name {
			s.rule = RuleReserved
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
	return s.ranked[0].index
}

// unavailable returns why worker i gets no work now whatever its room, or -1.
func (s *search) unavailable(i int) int {
	w := &s.ws[i]
	switch {
	case w.Leaving:
		return rejectLeaving
	case !w.Fenced:
		return rejectFence
	case s.now.Sub(w.ReportedAt) > staleAfter:
		return rejectSilent
	case s.p.failures.excludes(w, &s.t, s.now):
		return rejectQuarantine
	case s.p.relief.movedFrom(s.t.Name, w.Name, s.now):
		return rejectMoved
	}
	return -1
}

// room returns the free capacity of worker i and whether the task fits into it. A task
// that is expected to outgrow the worker needs all of it.
func (s *search) room(i int) (configurator.Resources, bool) {
	capacity := s.ws[i].Capacity
	free := capacity.Sub(s.p.summaries[i].committed)
	for j := range s.p.reserved {
		if r := &s.p.reserved[j]; r.worker == s.ws[i].Name && r.task != s.t.Name {
			free = free.Sub(r.need)
		}
	}
	return free, s.needOn(capacity).Fits(free)
}

func (s *search) needOn(capacity configurator.Resources) configurator.Resources {
	return s.t.Declared.Max(smaller(s.need, capacity))
}

// verified sums the residents of the chosen worker anew.
func (s *search) verified(i int) bool {
	w := &s.ws[i]
	total := s.t.Declared
	for j := range w.Residents {
		if s.baseline() {
			total = total.Add(w.Residents[j].Declared)
		} else {
			total = total.Add(s.p.held(&w.Residents[j]))
		}
	}
	return total.Fits(w.Capacity)
}

func (s *search) baseline() bool {
	return s.p.baseline()
}

// rank computes a worker's score: the harm expected in both directions in units of
// slowdown, weighted by the operator's measures.
func (s *search) rank(i int, free configurator.Resources) ranked {
	w, sum := &s.ws[i], &s.p.summaries[i]
	load := s.need.Cores / w.Capacity.Cores
	var toServices, toBatch, own float64
	for j := range sum.classes {
		c := &sum.classes[j]
		harm := s.inflict[c.class] * load
		toServices += harm * c.services
		toBatch += harm * c.batch
		own += s.suffer[c.class] * c.cores / w.Capacity.Cores
	}
	weights := &s.p.weights
	latency, throughput := toServices, toBatch
	if s.t.Kind == KindService {
		latency += own
	} else {
		throughput += own
	}
	// A batch task that degrades a service is the one that relief evicts.
	eviction := min(1, toServices/(s.p.policy.SlowdownBound-1))
	if s.t.Kind == KindService {
		eviction = min(1, own/(s.p.policy.SlowdownBound-1))
	}
	score := weights.Latency*latency + weights.Throughput*throughput + weights.Evictions*eviction
	score += balanceWeight * (1 - max(0, free.Cores-s.need.Cores)/w.Capacity.Cores)
	if s.t.Spread != "" {
		score += workerWeight*float64(sum.members(s.t.Spread)) +
			rackWeight*float64(s.p.rackUse[sum.rack]) +
			domainWeight*float64(s.p.domainUse[sum.domain])
	}
	r := ranked{index: i, score: score, interference: toServices + toBatch + own, free: free}
	r.failures = s.p.failures.rate(w.Name, s.now)
	r.band = 2 * int(r.failures*failureBands)
	if s.t.Declared.Accelerators == 0 && w.Capacity.Accelerators > 0 {
		r.band++
	}
	return r
}

// insert keeps the best candidates in order. The seeded source chooses among equals.
func (s *search) insert(r ranked) {
	n := min(s.count, MaxCandidates)
	at := n
	for at > 0 && s.before(r, s.ranked[at-1]) {
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

func (s *search) before(a, b ranked) bool {
	if a.band != b.band {
		return a.band < b.band
	}
	return a.score < b.score-scoreTie
}

func (s *search) equal(a, b ranked) bool {
	return a.band == b.band && a.score <= b.score+scoreTie && b.score <= a.score+scoreTie
}

// top returns the ranked candidates.
func (s *search) top() []Candidate {
	out := make([]Candidate, min(s.count, MaxCandidates))
	for i := range out {
		r := &s.ranked[i]
		w := &s.ws[r.index]
		out[i] = Candidate{Name: w.Name, Free: r.free, Score: r.score, Interference: r.interference, FailureRate: r.failures, Age: s.now.Sub(w.ReportedAt)}
	}
	return out
}

// rejections counts the workers by the reason why they were not eligible.
func (s *search) rejections() string {
	var b strings.Builder
	for reason, n := range s.rejected {
		if n == 0 {
			continue
		}
		if b.Len() > 0 {
			b.WriteString(", ")
		}
		fmt.Fprintf(&b, "%d workers %s", n, rejectText[reason])
	}
	return b.String()
}
