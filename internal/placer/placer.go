package placer

import (
	"fmt"
	"math/rand/v2"
	"time"

	"peridotpitch/internal/configurator"
)

// Settings of placement.
const (
	// MaxCandidates bounds the candidates listed in a decision.
	MaxCandidates = 5
	// DefaultSlowdownBound is the slowdown above which a service counts as degraded.
	DefaultSlowdownBound = 1.3
	// staleAfter is the age of a worker's figures above which it gets no new work: a
	// worker that has been silent for this long is more likely lost than slow.
	staleAfter = 10 * time.Second
	// scoreTie is the difference of scores below which two workers count as equal and the
	// seeded random number source chooses, so that shards do not all pick the first one.
	scoreTie = 1e-6
)

// Placer decides placement for one shard.
type Placer struct {
	policy    Policy
	weights   configurator.Measures // normalised to a sum of 1
	rnd       *rand.Rand
	estimator *estimator
	failures  failureTracker
	relief    reliefState
	elsewhere map[string]configurator.Resources
	reserved  []reservation
	summaries []summary
	teams     map[string]int32 // teams that have a quota
	racks     map[string]int32
	domains   map[string]int32
	search    search  // scratch of one Place
	prey      []prey  // scratch: residents that may be preempted on one worker
	rackUse   []int32 // scratch: members of the task's spread group by rack
	domainUse []int32 // scratch: the same by failure domain
}

// New returns a Placer with policy p and the operator's measures m.
func New(p Policy, m configurator.Measures, rnd *rand.Rand) *Placer {
	if p.SlowdownBound <= 1 {
		p.SlowdownBound = DefaultSlowdownBound
	}
	return &Placer{
		policy:    p,
		weights:   normalise(m),
		rnd:       rnd,
		estimator: newEstimator(),
		failures:  newFailureTracker(),
		relief:    newReliefState(),
		teams:     map[string]int32{},
		racks:     map[string]int32{},
		domains:   map[string]int32{},
	}
}

func normalise(m configurator.Measures) configurator.Measures {
	sum := m.Latency + m.Evictions + m.Throughput
	if sum <= 0 {
		return configurator.Measures{Latency: 1.0 / 3, Evictions: 1.0 / 3, Throughput: 1.0 / 3}
	}
	return configurator.Measures{Latency: m.Latency / sum, Evictions: m.Evictions / sum, Throughput: m.Throughput / sum}
}

// Configure replaces the policy and the measures after a new configuration generation.
// What the placer has learned stays.
func (p *Placer) Configure(policy Policy, m configurator.Measures) {
	if policy.SlowdownBound <= 1 {
		policy.SlowdownBound = DefaultSlowdownBound
	}
	p.policy = policy
	p.weights = normalise(m)
	p.summaries = nil // they hold sums for the teams of the earlier policy
}

// SetUsedElsewhere sets the capacity that each team's batch tasks hold in other shards.
// It counts towards the teams' quotas.
func (p *Placer) SetUsedElsewhere(used map[string]configurator.Resources) {
	p.elsewhere = used
}

// TaskEnded tells the placer that a task ended on a worker, and whether it failed there.
// An eviction or a cancellation is not a failure.
func (p *Placer) TaskEnded(worker, task string, failed bool, now time.Time) {
	p.failures.ended(worker, task, failed, now)
	p.dropReservation(task)
}

// Quarantined reports whether the placer keeps the worker out of service.
func (p *Placer) Quarantined(worker string) bool {
	return p.failures.quarantined(worker)
}

// Place decides about one task. Every worker of ws belongs to the caller's shard.
func (p *Placer) Place(t Task, ws []Worker, now time.Time) Decision {
	if d := p.impossible(t, ws); d != nil {
		return d
	}
	p.refresh(ws, false)
	if d := p.overQuota(t); d != nil {
		return d
	}
	p.expireReservations(now)
	p.failures.fleet = len(ws)
	s := p.newSearch(t, ws, now)
	c := s.run()
	if c >= 0 && !s.verified(c) {
		// The caller changed a worker without changing its Version.
		p.refresh(ws, true)
		s = p.newSearch(t, ws, now)
		c = s.run()
	}
	if c >= 0 {
		if s.rule == RuleProbe {
			p.failures.probing(ws[c].Name, t.Name, now)
		}
		p.dropReservation(t.Name)
		return Assign{Worker: ws[c].Name, Rule: s.rule, Candidates: s.top()}
	}
	if d := p.preempt(t, ws, s, now); d != nil {
		return d
	}
	return Wait{Rule: RuleNoRoom, Reason: s.rejections()}
}

// impossible returns Never, or Wait if another shard could run the task, for a task that
// no worker could run even if it were empty.
func (p *Placer) impossible(t Task, ws []Worker) Decision {
	d := t.Declared
	if !(d.Cores > 0) || d.Memory < 0 || d.Accelerators < 0 {
		return Never{Rule: RuleInvalid, Reason: fmt.Sprintf("declared size of %s is not valid: cores %g, memory %d bytes, accelerators %d", t.Name, d.Cores, d.Memory, d.Accelerators), Nearest: smallestSize}
	}
	if quota, ok := p.policy.Quotas[t.Team]; ok && t.Kind == KindBatch && !d.Fits(quota) {
		return Never{Rule: RuleQuota, Reason: fmt.Sprintf("declared size exceeds the whole quota of team %s", t.Team), Nearest: p.nearest(t, ws, smaller(d, quota))}
	}
	if len(ws) == 0 && len(p.policy.Fleet) == 0 {
		return Wait{Rule: RuleNoWorker, Reason: "no worker is known"}
	}
	for i := range ws {
		if d.Fits(ws[i].Capacity) {
			return nil
		}
	}
	for _, c := range p.policy.Fleet {
		if d.Fits(c) {
			return Wait{Rule: RuleElsewhere, Reason: "no worker of this shard is large enough, but one of another shard is"}
		}
	}
	return Never{Rule: RuleTooLarge, Reason: "declared size exceeds every worker's capacity", Nearest: p.nearest(t, ws, d)}
}

// smallestSize is reported as the nearest size of a declaration that is not valid.
var smallestSize = configurator.Resources{Cores: 0.1, Memory: 1 << 20}

func smaller(a, b configurator.Resources) configurator.Resources {
	return configurator.Resources{Cores: min(a.Cores, b.Cores), Memory: min(a.Memory, b.Memory), Accelerators: min(a.Accelerators, b.Accelerators)}
}

// nearest returns the size closest to want that fits a worker: the smallest sum of
// relative reductions.
func (p *Placer) nearest(t Task, ws []Worker, want configurator.Resources) configurator.Resources {
	best, bestLoss := configurator.Resources{}, -1.0
	consider := func(capacity configurator.Resources) {
		fit := smaller(want, capacity)
		loss := reduction(t.Declared.Cores, fit.Cores) +
			reduction(float64(t.Declared.Memory), float64(fit.Memory)) +
			reduction(float64(t.Declared.Accelerators), float64(fit.Accelerators))
		if bestLoss < 0 || loss < bestLoss {
			best, bestLoss = fit, loss
		}
	}
	for i := range ws {
		consider(ws[i].Capacity)
	}
	for _, c := range p.policy.Fleet {
		consider(c)
	}
	return best
}

func reduction(from, to float64) float64 {
	if from <= 0 {
		return 0
	}
	return 1 - to/from
}

// overQuota returns Wait if the team's batch tasks would exceed its quota.
func (p *Placer) overQuota(t Task) Decision {
	quota, ok := p.policy.Quotas[t.Team]
	if !ok || t.Kind != KindBatch {
		return nil
	}
	used, team := p.elsewhere[t.Team], intern(p.teams, t.Team)
	for i := range p.summaries {
		for j := range p.summaries[i].teams {
			if u := &p.summaries[i].teams[j]; u.team == team {
				used = used.Add(u.used)
			}
		}
	}
	if used.Add(t.Declared).Fits(quota) {
		return nil
	}
	return Wait{Rule: RuleQuota, Reason: fmt.Sprintf("team %s holds cores %g, memory %d bytes, accelerators %d of its quota", t.Team, used.Cores, used.Memory, used.Accelerators)}
}
