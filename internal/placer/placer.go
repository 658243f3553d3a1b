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
	// minSlowdownBound is the SlowdownBound derived from measures that give throughput no weight. In
	// the evaluator, a bound of 1.3 throttles a third of all batch work for little gain in latency,
	// and a bound of 2 lowers the p99 latency under noisy bursts only to 0.8 of the best baseline's.
	minSlowdownBound = 1.5
	// maxSlowdownBound is the SlowdownBound derived from measures that give latency no weight.
	maxSlowdownBound = 2.5
	// maxReportAge is the age of the last report above which a worker gets no new tasks, because a
	// worker that is unresponsive for this long is more likely lost than slow.
	maxReportAge = 10 * time.Second
	// scoreTolerance is the difference of scores below which two workers count as equal. The seeded
	// random source then chooses, so that shards do not all pick the first worker.
	scoreTolerance = 1e-6
)

// Placer decides placement for one shard.
type Placer struct {
	policy          Policy
	measures        configurator.Measures // normalised to a sum of 1
	rnd             *rand.Rand
	estimator       *estimator
	failures        failureTracker
	mitigation      mitigationState
	urgentHeadroom  urgentHeadroom
	usedElsewhere   map[string]configurator.Resources
	reservations    []reservation
	workerSummaries []workerSummary
	teams           map[string]int32 // teams that have a quota
	racks           map[string]int32
	domains         map[string]int32
	search          search        // scratch of Place
	preemptibles    []preemptible // scratch of planVictims
	rackUse         []int32       // scratch: members of the task's spread group, by rack
	domainUse       []int32       // scratch: members of the task's spread group, by failure domain
}

// New returns a Placer with policy p and the operator's measures m.
func New(p Policy, m configurator.Measures, rnd *rand.Rand) *Placer {
	return &Placer{
		policy:     p.withDefaults(m),
		measures:   normalise(m),
		rnd:        rnd,
		estimator:  newEstimator(),
		failures:   newFailureTracker(),
		mitigation: newMitigationState(),
		teams:      map[string]int32{},
		racks:      map[string]int32{},
		domains:    map[string]int32{},
	}
}

func (p Policy) withDefaults(m configurator.Measures) Policy {
	if p.SlowdownBound <= 1 {
		w := normalise(m)
		share := 0.5
		if w.Latency+w.Throughput > 0 {
			share = w.Throughput / (w.Latency + w.Throughput)
		}
		p.SlowdownBound = minSlowdownBound + (maxSlowdownBound-minSlowdownBound)*share
	}
	return p
}

// normalise scales the measures to a sum of 1. Without any weight, all measures count equally.
func normalise(m configurator.Measures) configurator.Measures {
	sum := m.Latency + m.Evictions + m.Throughput
	if sum <= 0 {
		return configurator.Measures{Latency: 1.0 / 3, Evictions: 1.0 / 3, Throughput: 1.0 / 3}
	}
	return configurator.Measures{Latency: m.Latency / sum, Evictions: m.Evictions / sum, Throughput: m.Throughput / sum}
}

// Configure replaces the policy and the measures after a new configuration generation.
// The estimated coefficients and sizes and the failure histories are kept.
func (p *Placer) Configure(policy Policy, m configurator.Measures) {
	p.policy = policy.withDefaults(m)
	p.measures = normalise(m)
	p.workerSummaries = nil // they hold sums for the teams of the earlier policy
}

// SetUsageInOtherShards sets the capacity that each team's batch tasks hold in other shards. It counts
// towards the teams' quotas.
func (p *Placer) SetUsageInOtherShards(used map[string]configurator.Resources) {
	p.usedElsewhere = used
}

// TaskEnded records that a task ended on a worker, and whether it failed there. An eviction or a
// cancellation is not a failure.
func (p *Placer) TaskEnded(worker, task string, failed bool, now time.Time) {
	p.failures.taskEnded(worker, task, failed, now)
	p.dropReservation(task)
}

// Quarantined reports whether the placer has quarantined the worker because of failed tasks.
func (p *Placer) Quarantined(worker string) bool {
	return p.failures.quarantined(worker)
}

// Place decides where to run a task. The workers ws are those of the caller's shard.
func (p *Placer) Place(t Task, ws []Worker, now time.Time) Decision {
	if d := p.checkFeasible(t, ws); d != nil {
		return d
	}
	p.recordUrgentSize(&t, now)
	p.refreshSummaries(ws, false)
	if d := p.overQuota(t); d != nil {
		return d
	}
	p.expireReservations(now)
	p.failures.shardWorkers = len(ws)
	s := p.newSearch(t, ws, now)
	c := s.run()
	if c >= 0 && !s.verifyFit(c) {
		// The caller changed a worker without changing its Version: recompute all sums.
		p.refreshSummaries(ws, true)
		s = p.newSearch(t, ws, now)
		c = s.run()
	}
	if c >= 0 {
		if s.rule == RuleProbe {
			p.failures.recordProbe(ws[c].Name, t.Name, now)
		}
		p.dropReservation(t.Name)
		return Assign{Worker: ws[c].Name, Rule: s.rule, Candidates: s.top()}
	}
	if d := p.preempt(t, ws, s, now); d != nil {
		return d
	}
	return Wait{Rule: RuleNoCapacity, Reason: s.rejections()}
}

// checkFeasible returns nil if the task fits an empty worker of the shard and its team's quota. It
// returns Wait if no worker is known or only another shard has a worker that is large enough, and
// Unschedulable if the declared size is invalid or too large.
func (p *Placer) checkFeasible(t Task, ws []Worker) Decision {
	d := t.Declared
	if !(d.Cores > 0) || d.Memory < 0 || d.Accelerators < 0 {
		return Unschedulable{Rule: RuleInvalid, Reason: fmt.Sprintf("declared size of %s is not valid: cores %g, memory %d bytes, accelerators %d", t.Name, d.Cores, d.Memory, d.Accelerators), Nearest: smallestSize}
	}
	if quota, ok := p.policy.Quotas[t.Team]; ok && t.Kind == KindBatch && !d.Fits(quota) {
		return Unschedulable{Rule: RuleQuota, Reason: fmt.Sprintf("declared size exceeds the whole quota of team %s", t.Team), Nearest: p.nearest(t, ws, minResources(d, quota))}
	}
	if len(ws) == 0 && len(p.policy.WorkerSizes) == 0 {
		return Wait{Rule: RuleNoWorker, Reason: "no worker is known"}
	}
	for i := range ws {
		if d.Fits(ws[i].Capacity) {
			return nil
		}
	}
	for _, c := range p.policy.WorkerSizes {
		if d.Fits(c) {
			return Wait{Rule: RuleOtherShard, Reason: "no worker of this shard is large enough, but one of another shard is"}
		}
	}
	return Unschedulable{Rule: RuleTooLarge, Reason: "declared size exceeds every worker's capacity", Nearest: p.nearest(t, ws, d)}
}

// smallestSize is reported as the nearest size if the declared size is invalid.
var smallestSize = configurator.Resources{Cores: 0.1, Memory: 1 << 20}

// minResources returns the minimum of a and b in each dimension.
func minResources(a, b configurator.Resources) configurator.Resources {
	return configurator.Resources{Cores: min(a.Cores, b.Cores), Memory: min(a.Memory, b.Memory), Accelerators: min(a.Accelerators, b.Accelerators)}
}

// nearest returns the size nearest to want that fits a worker: the one with the smallest sum of
// relative reductions over the dimensions.
func (p *Placer) nearest(t Task, ws []Worker, want configurator.Resources) configurator.Resources {
	best, bestReduction := configurator.Resources{}, -1.0
	consider := func(capacity configurator.Resources) {
		fit := minResources(want, capacity)
		reduction := relativeReduction(t.Declared.Cores, fit.Cores) +
			relativeReduction(float64(t.Declared.Memory), float64(fit.Memory)) +
			relativeReduction(float64(t.Declared.Accelerators), float64(fit.Accelerators))
		if bestReduction < 0 || reduction < bestReduction {
			best, bestReduction = fit, reduction
		}
	}
	for i := range ws {
		consider(ws[i].Capacity)
	}
	for _, c := range p.policy.WorkerSizes {
		consider(c)
	}
	return best
}

// relativeReduction returns the difference between from and to as a share of from.
func relativeReduction(from, to float64) float64 {
	if from <= 0 {
		return 0
	}
	return 1 - to/from
}

// overQuota returns Wait if the task would take the team's batch tasks above its quota.
func (p *Placer) overQuota(t Task) Decision {
	quota, ok := p.policy.Quotas[t.Team]
	if !ok || t.Kind != KindBatch {
		return nil
	}
	used, team := p.usedElsewhere[t.Team], intern(p.teams, t.Team)
	for i := range p.workerSummaries {
		for j := range p.workerSummaries[i].teams {
			if u := &p.workerSummaries[i].teams[j]; u.team == team {
				used = used.Add(u.used)
			}
		}
	}
	if used.Add(t.Declared).Fits(quota) {
		return nil
	}
	return Wait{Rule: RuleQuota, Reason: fmt.Sprintf("team %s holds cores %g, memory %d bytes, accelerators %d of its quota", t.Team, used.Cores, used.Memory, used.Accelerators)}
}
