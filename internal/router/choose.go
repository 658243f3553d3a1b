package router

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"peridotpitch/internal/configurator"
)

// Constants of the adaptive policy.
const (
	// choices is the number of instances compared for each request. Each host compares
	// a different random subset, so that hosts that share a hint do not all follow it:
	// at most choices/n of the requests can go to one of n instances.
	choices = 5
	// assessInterval bounds how often the pool is sorted to find slow instances.
	assessInterval = 50 * time.Millisecond
	// ejectRatio is the ratio to the typical latency above which an instance counts as
	// slow, and returnRatio that below which it counts as recovered.
	ejectRatio  = 4.0
	returnRatio = 2.0
	// noise is the ratio to the typical latency up to which instances count as equally
	// fast. Without it, random differences between estimates outweighed the load.
	noise = 2.0
	// failureLimit is the number of not-run outcomes in a row that eject an instance.
	failureLimit = 3
	// probeShare bounds probes of slow instances to a part of the requests, so that
	// they do not show in the p99.
	probeShare = 0.004
	// An ejected instance is probed after minProbeInterval, doubled after each probe
	// up to maxProbeInterval. After maxProbeInterval it is probed even beyond probeShare.
	minProbeInterval = 500 * time.Millisecond
	maxProbeInterval = 8 * time.Second
	// failureCost multiplies the cost for each recent not-run outcome.
	failureCost = 2.0
	// failureMemory is the time in which a not-run outcome loses half of its weight.
	failureMemory = time.Second
	// minPenalty is the penalty below which a not-run outcome is forgotten. Otherwise an
	// instance that failed once would never be chosen again while all others are idle.
	minPenalty = 0.1
	// defaultLatency is assumed before any sample.
	defaultLatency = 20 * time.Millisecond
)

// choose picks one of the free instances, of which there is at least one.
func (r *Router) choose(p *pool, free []*instance, now time.Time) (*instance, string, []Candidate) {
	switch r.settings.Policy {
	case configurator.RoutingRoundRobin:
		return r.chooseNext(p, free)
	case configurator.RoutingLeastRequests:
		return r.chooseLeast(free, now)
	default:
		return r.chooseAdaptive(p, free, now)
	}
}

func (r *Router) chooseNext(p *pool, free []*instance) (*instance, string, []Candidate) {
	for range p.instances {
		in := p.instances[p.next%len(p.instances)]
		p.next = (p.next + 1) % len(p.instances)
		if slices.Contains(free, in) {
			return in, "round-robin", nil
		}
	}
	return free[0], "round-robin", nil
}

func (r *Router) chooseLeast(free []*instance, now time.Time) (*instance, string, []Candidate) {
	offset := r.random.IntN(len(free)) // equal loads must not all go to the first name
	best := free[offset]
	for i := range free {
		in := free[(offset+i)%len(free)]
		if in.used(now) < best.used(now) {
			best = in
		}
	}
	return best, "least requests in flight", nil
}

func (r *Router) chooseAdaptive(p *pool, free []*instance, now time.Time) (*instance, string, []Candidate) {
	if in := r.probe(p, free, now); in != nil {
		c := Candidate{Instance: in.endpoint.Instance, Cost: r.cost(p, in, now)}
		return in, "probe of an ejected instance", []Candidate{c}
	}
	sound := make([]*instance, 0, len(free))
	for _, in := range free {
		if !in.ejected {
			sound = append(sound, in)
		}
	}
	reason := "lowest cost of a random subset"
	if len(sound) == 0 {
		sound, reason = free, "lowest cost; only ejected instances are free"
	}
	n := min(choices, len(sound))
	candidates := make([]Candidate, 0, n)
	var best *instance
	var bestCost float64
	for i := range n {
		j := i + r.random.IntN(len(sound)-i)
		sound[i], sound[j] = sound[j], sound[i]
		c := r.cost(p, sound[i], now)
		candidates = append(candidates, Candidate{Instance: sound[i].endpoint.Instance, Cost: c})
		if best == nil || c < bestCost {
			best, bestCost = sound[i], c
		}
	}
	return best, reason, candidates
}

// cost is the expected latency of a request at the instance, in seconds, weighed by
// the load that it would meet.
func (r *Router) cost(p *pool, in *instance, now time.Time) float64 {
	own := float64(in.used(now))
	others := own * float64(r.otherHosts(now))
	if !in.hint.at.IsZero() {
		w := halfLife(now.Sub(in.hint.at), hintMemory)
		others = w*float64(in.hint.others) + (1-w)*others
	}
	load := (own + 1 + others) / float64(max(1, in.endpoint.Slots))
	slowness := max(1, float64(in.estimate(p.typical, now))/float64(p.typical)/noise)
	cost := p.typical.Seconds() * slowness * (1 + load)
	if penalty := failureCost * float64(in.failures) * halfLife(now.Sub(in.failedAt), failureMemory); penalty > minPenalty {
		cost *= 1 + penalty
	}
	return cost
}

// otherHosts is the number of entry hosts that send to the same instances.
func (r *Router) otherHosts(now time.Time) int {
	counts := r.hosts.recent(now)
	if len(counts) == 0 {
		return 0
	}
	return max(0, counts[len(counts)-1].hosts-1)
}

// assess recomputes the typical latency and which instances are ejected: those that are
// slow or failing, worst first, at most half of the pool.
func (r *Router) assess(p *pool, now time.Time) {
	if !p.assessed.IsZero() && now.Sub(p.assessed) < assessInterval {
		return
	}
	p.assessed = now
	p.typical = typicalLatency(p, now)
	type score struct {
		in    *instance
		ratio float64
	}
	scores := make([]score, 0, len(p.instances))
	for _, in := range p.instances {
		ratio := float64(in.estimate(p.typical, now)) / float64(p.typical)
		if in.failures >= failureLimit {
			ratio += ejectRatio * float64(in.failures)
		}
		scores = append(scores, score{in, ratio})
	}
	slices.SortStableFunc(scores, func(a, b score) int { return cmp.Compare(b.ratio, a.ratio) })
	for i, s := range scores {
		slow := s.ratio > ejectRatio || s.in.ejected && s.ratio > returnRatio
		eject := slow && i < len(scores)/2
		if eject && !s.in.ejected {
			s.in.interval, s.in.probedAt = minProbeInterval, now
		}
		s.in.ejected = eject
	}
}

// typicalLatency is the lower quartile of the measured latencies. The median would be
// that of slow instances when half of the pool is slow.
func typicalLatency(p *pool, now time.Time) time.Duration {
	measured := make([]time.Duration, 0, len(p.instances))
	for _, in := range p.instances {
		if !in.sampledAt.IsZero() {
			measured = append(measured, in.estimate(in.latency, now))
		}
	}
	if len(measured) == 0 {
		return defaultLatency
	}
	slices.Sort(measured)
	return max(measured[(len(measured)-1)/4], time.Microsecond)
}

// probe returns the ejected instance that is due for a request, or nil.
func (r *Router) probe(p *pool, free []*instance, now time.Time) *instance {
	p.probeCredit = min(1, p.probeCredit+probeShare)
	var due *instance
	for _, in := range free {
		if !in.ejected || len(in.held) > 0 {
			continue
		}
		waited := now.Sub(in.probedAt)
		if waited < in.interval || p.probeCredit < 1 && waited < maxProbeInterval {
			continue
		}
		if due == nil || in.probedAt.Before(due.probedAt) {
			due = in
		}
	}
	if due == nil {
		return nil
	}
	p.probeCredit = 0
	due.probedAt = now
	due.interval = min(2*due.interval, maxProbeInterval)
	return due
}

// Ejected returns the ejected instances of a service, for status reports.
func (r *Router) Ejected(service string) []string {
	p := r.pools[service]
	if p == nil {
		return nil
	}
	var names []string
	for _, in := range p.instances {
		if in.ejected {
			names = append(names, in.endpoint.Instance)
		}
	}
	return names
}

// String describes a candidate for logs.
func (c Candidate) String() string {
	if c.Note != "" {
		return c.Instance + ": " + c.Note
	}
	return fmt.Sprintf("%s: %.4f", c.Instance, c.Cost)
}
