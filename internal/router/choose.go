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
	// maxComparedInstances bounds the instances compared for each request. Each host
	// compares a different random subset, so that hosts with the same reported load do not
	// all choose the same instance: of n instances, none can get more than
	// maxComparedInstances/n of the requests.
	maxComparedInstances = 5
	// assessInterval is the minimum time between two searches for slow instances. A search
	// sorts the instances of the service.
	assessInterval = 50 * time.Millisecond
	// ejectLatencyRatio is the ratio to the typical latency above which an instance counts
	// as slow and can be ejected.
	ejectLatencyRatio = 4.0
	// recoverLatencyRatio is the ratio to the typical latency up to which an ejected
	// instance counts as recovered.
	recoverLatencyRatio = 2.0
	// equalLatencyRatio is the ratio to the typical latency up to which instances count as
	// equally fast. Without it, random differences between estimates outweighed the load.
	equalLatencyRatio = 2.0
	// failuresToEject is the number of consecutive not-run outcomes after which an instance
	// is ejected.
	failuresToEject = 3
	// maxProbeFraction bounds the fraction of requests that probe ejected instances, so
	// that probes do not affect the p99.
	maxProbeFraction = 0.004
	// minProbeInterval is the time until the first probe of an ejected instance. The
	// interval doubles after each probe.
	minProbeInterval = 500 * time.Millisecond
	// maxProbeInterval bounds the interval between probes. After this time an instance is
	// probed even if the probe exceeds maxProbeFraction.
	maxProbeInterval = 8 * time.Second
	// costPerFailure is the penalty for each recent not-run outcome, as a multiple of the
	// cost without failures.
	costPerFailure = 2.0
	// failureHalfLife is the time in which the penalty for not-run outcomes halves.
	failureHalfLife = time.Second
	// minFailurePenalty is the penalty up to which failures are ignored. Otherwise an
	// instance that failed once would never be chosen again while all others are idle.
	minFailurePenalty = 0.1
	// defaultLatency is the typical latency of a service without samples.
	defaultLatency = 20 * time.Millisecond
)

// choose picks one of the free instances by the routing policy. Free must not be empty. It
// also returns the rule that made the choice and the candidates that were compared.
func (r *Router) choose(ss *serviceState, free []*instance, now time.Time) (*instance, string, []Candidate) {
	switch r.settings.Policy {
	case configurator.RoutingRoundRobin:
		return r.chooseRoundRobin(ss, free)
	case configurator.RoutingLeastRequests:
		return r.chooseLeastRequests(free, now)
	default:
		return r.chooseAdaptive(ss, free, now)
	}
}

func (r *Router) chooseRoundRobin(ss *serviceState, free []*instance) (*instance, string, []Candidate) {
	for range ss.instances {
		in := ss.instances[ss.nextIndex%len(ss.instances)]
		ss.nextIndex = (ss.nextIndex + 1) % len(ss.instances)
		if slices.Contains(free, in) {
			return in, "round-robin", nil
		}
	}
	return free[0], "round-robin", nil
}

func (r *Router) chooseLeastRequests(free []*instance, now time.Time) (*instance, string, []Candidate) {
	offset := r.random.IntN(len(free)) // so that instances with equal load share the requests
	best := free[offset]
	for i := range free {
		in := free[(offset+i)%len(free)]
		if in.usedSlots(now) < best.usedSlots(now) {
			best = in
		}
	}
	return best, "least requests in flight", nil
}

func (r *Router) chooseAdaptive(ss *serviceState, free []*instance, now time.Time) (*instance, string, []Candidate) {
	if in := r.nextProbe(ss, free, now); in != nil {
		c := Candidate{Instance: in.endpoint.Instance, Cost: r.cost(ss, in, now)}
		return in, "probe of an ejected instance", []Candidate{c}
	}
	healthy := make([]*instance, 0, len(free))
	for _, in := range free {
		if !in.ejected {
			healthy = append(healthy, in)
		}
	}
	reason := "lowest cost of a random subset"
	if len(healthy) == 0 {
		healthy, reason = free, "lowest cost; only ejected instances are free"
	}
	n := min(maxComparedInstances, len(healthy))
	candidates := make([]Candidate, 0, n)
	var best *instance
	var bestCost float64
	for i := range n {
		j := i + r.random.IntN(len(healthy)-i)
		healthy[i], healthy[j] = healthy[j], healthy[i]
		c := r.cost(ss, healthy[i], now)
		candidates = append(candidates, Candidate{Instance: healthy[i].endpoint.Instance, Cost: c})
		if best == nil || c < bestCost {
			best, bestCost = healthy[i], c
		}
	}
	return best, reason, candidates
}

// cost returns the expected latency of a request at the instance in seconds, weighted by
// the load of the instance and its recent failures.
func (r *Router) cost(ss *serviceState, in *instance, now time.Time) float64 {
	own := float64(in.usedSlots(now))
	others := own * float64(r.otherHosts(now))
	if !in.reportedLoad.reportedAt.IsZero() {
		w := decayFactor(now.Sub(in.reportedLoad.reportedAt), reportedLoadHalfLife)
		others = w*float64(in.reportedLoad.slotsUsedByOthers) + (1-w)*others
	}
	load := (own + 1 + others) / float64(max(1, in.endpoint.Slots))
	slowness := max(1, float64(in.expectedLatency(ss.typicalLatency, now))/float64(ss.typicalLatency)/equalLatencyRatio)
	cost := ss.typicalLatency.Seconds() * slowness * (1 + load)
	if penalty := costPerFailure * float64(in.consecutiveFailures) * decayFactor(now.Sub(in.lastFailureAt), failureHalfLife); penalty > minFailurePenalty {
		cost *= 1 + penalty
	}
	return cost
}

// otherHosts returns the number of other entry hosts that send requests to the instances.
func (r *Router) otherHosts(now time.Time) int {
	counts := r.hostCounts.recentCounts(now)
	if len(counts) == 0 {
		return 0
	}
	return max(0, counts[len(counts)-1].hosts-1)
}

// assess recomputes the typical latency and the ejected instances of a service: those that
// are slow or failing, worst first, at most half of all instances.
func (r *Router) assess(ss *serviceState, now time.Time) {
	if !ss.assessedAt.IsZero() && now.Sub(ss.assessedAt) < assessInterval {
		return
	}
	ss.assessedAt = now
	ss.typicalLatency = lowerQuartileLatency(ss, now)
	type score struct {
		in    *instance
		ratio float64
	}
	scores := make([]score, 0, len(ss.instances))
	for _, in := range ss.instances {
		ratio := float64(in.expectedLatency(ss.typicalLatency, now)) / float64(ss.typicalLatency)
		if in.consecutiveFailures >= failuresToEject {
			ratio += ejectLatencyRatio * float64(in.consecutiveFailures)
		}
		scores = append(scores, score{in, ratio})
	}
	slices.SortStableFunc(scores, func(a, b score) int { return cmp.Compare(b.ratio, a.ratio) })
	for i, s := range scores {
		slow := s.ratio > ejectLatencyRatio || s.in.ejected && s.ratio > recoverLatencyRatio
		eject := slow && i < len(scores)/2
		if eject && !s.in.ejected {
			s.in.probeInterval, s.in.lastProbeAt = minProbeInterval, now
		}
		s.in.ejected = eject
	}
}

// lowerQuartileLatency returns the lower quartile of the instances' latency estimates. The
// median would be the latency of a slow instance if half of the instances are slow.
func lowerQuartileLatency(ss *serviceState, now time.Time) time.Duration {
	measured := make([]time.Duration, 0, len(ss.instances))
	for _, in := range ss.instances {
		if !in.sampledAt.IsZero() {
			measured = append(measured, in.expectedLatency(in.latencyAverage, now))
		}
	}
	if len(measured) == 0 {
		return defaultLatency
	}
	slices.Sort(measured)
	return max(measured[(len(measured)-1)/4], time.Microsecond)
}

// nextProbe returns the ejected instance that is to get the request as a probe, or nil.
func (r *Router) nextProbe(ss *serviceState, free []*instance, now time.Time) *instance {
	ss.probeCredit = min(1, ss.probeCredit+maxProbeFraction)
	var due *instance
	for _, in := range free {
		if !in.ejected || len(in.inFlight) > 0 {
			continue
		}
		waited := now.Sub(in.lastProbeAt)
		if waited < in.probeInterval || ss.probeCredit < 1 && waited < maxProbeInterval {
			continue
		}
		if due == nil || in.lastProbeAt.Before(due.lastProbeAt) {
			due = in
		}
	}
	if due == nil {
		return nil
	}
	ss.probeCredit = 0
	due.lastProbeAt = now
	due.probeInterval = min(2*due.probeInterval, maxProbeInterval)
	return due
}

// Ejected returns the names of the ejected instances of a service, for status reports.
func (r *Router) Ejected(service string) []string {
	ss := r.services[service]
	if ss == nil {
		return nil
	}
	var names []string
	for _, in := range ss.instances {
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
