package placer

import (
	"time"

	"peridotpitch/internal/configurator"
)

// Values of Task.Kind, equal to those of commander.TaskKind.
const (
	KindBatch   = "batch"
	KindService = "service"
)

// Task is a task to be placed.
type Task struct {
	Name     string
	Class    string // interference class
	Team     string
	Kind     string // KindBatch or KindService
	Urgent   bool
	Declared configurator.Resources
	Spread   string // spread group, or empty: its members are placed on different racks and failure domains if possible
	Attempt  int    // number of this attempt; 0 or 1 is the first
}

// AssignedTask is a task that holds capacity of a worker.
type AssignedTask struct {
	Task
	Committed     configurator.Resources // result of CommittedResources; a dimension below Declared counts as Declared
	Measured      configurator.Resources // usage at Worker.MeasuredAt, zero if unknown
	Slowdown      float64                // run time per unit of work relative to the uncontended one, 0 if unknown
	Latency       time.Duration          // p99 of a service instance, 0 if unknown
	LatencyTarget time.Duration          // p99 above which the instance counts as degraded, 0 if none
	Started       time.Time
	Throttled     float64   // limit as a share of declared cores; 0 or 1 is no limit
	LastAction    time.Time // last throttle, checkpoint or stop sent for the task
	Stopping      bool      // a checkpoint or stop was sent; the task still holds its capacity
}

// Worker is a shard's view of one of its workers.
type Worker struct {
	Name          string
	Rack          string
	FailureDomain string
	Capacity      configurator.Resources
	AssignedTasks []AssignedTask
	MeasuredAt    time.Time // measurement time of the last report, in the caller's clock
	Leaving       bool
	Quarantined   bool // set by the caller (at present by none); the placer quarantines workers itself as well
	EpochAccepted bool // the worker has accepted the owner's epoch; otherwise it gets no tasks

	// Version changes whenever any other field but MeasuredAt changes. Place reuses sums
	// over AssignedTasks while it stays the same; 0 recomputes them in each call. The chosen
	// worker's capacity is always checked without these sums, so a stale Version can lead to
	// a worse choice but never to a worker whose capacity is exceeded.
	Version uint64
}

// Policy holds the settings of a Placer.
type Policy struct {
	// Placement is the policy that chooses a worker. The baselines FirstFit and BestFit count
	// declared sizes only, ignore interference and do nothing about degraded services.
	Placement configurator.PlacementPolicy
	// Quotas bounds the capacity that each team's batch tasks hold in all shards together. A
	// dimension of 0 forbids its use; a team without an entry has no bound.
	Quotas map[string]configurator.Resources
	// WorkerSizes lists the distinct capacities of the workers of all shards. A task that fits one
	// of them but no worker of this shard waits with RuleOtherShard.
	WorkerSizes []configurator.Resources
	// SlowdownBound is the slowdown above which a service counts as degraded. If it is not
	// above 1, it is derived from the measures.
	SlowdownBound float64
}

// Rule names the rule that made a decision.
type Rule string

// Rules of decisions.
const (
	RuleInterference    Rule = "LeastInterference"
	RuleFirstFit        Rule = "FirstFit"
	RuleBestFit         Rule = "BestFit"
	RuleReservation     Rule = "ReservedByPreemption"
	RuleProbe           Rule = "ProbeOfQuarantinedWorker"
	RuleCheapestVictims Rule = "CheapestVictims"
	RuleNoCapacity      Rule = "NoWorkerHasRoom"
	RuleQuota           Rule = "TeamQuota"
	RuleOtherShard      Rule = "FitsOnlyAnotherShard"
	RuleTooLarge        Rule = "LargerThanAnyWorker"
	RuleInvalid         Rule = "InvalidSize"
	RuleVictimsStopping Rule = "VictimsStillStopping"
	RuleNoWorker        Rule = "NoWorkerKnown"

	RuleThrottle          Rule = "ThrottleCheapestNeighbour"
	RuleMove              Rule = "MoveCheapestNeighbour"
	RuleStop              Rule = "StopCheapestNeighbour"
	RuleInterferenceEnded Rule = "PressureGone"
	RuleOverCapacity      Rule = "MeasuredOverCapacity"
)

// Candidate is a worker or a task that a decision considered, with the figures at that time.
type Candidate struct {
	Name         string
	Free         configurator.Resources // of a worker
	Score        float64                // lower is better
	Interference float64                // estimated sum of the slowdowns that the task adds to other tasks and they add to it
	FailureRate  float64                // recent share of failed tasks on a worker
	Age          time.Duration          // of the worker's report
	Rejected     string                 // reason why it was not eligible, empty if it was
}

// Decision is one of Assign, Wait, Unschedulable and Preempt.
type Decision interface{ decision() }

// Assign places the task on a worker.
type Assign struct {
	Worker     string
	Rule       Rule
	Candidates []Candidate // best first, at most MaxCandidates
}

// Wait leaves the task pending.
type Wait struct {
	Rule   Rule
	Reason string
}

// Unschedulable reports that the task can never run as declared.
type Unschedulable struct {
	Rule    Rule
	Reason  string
	Nearest configurator.Resources // nearest size that would fit
}

// Preempt asks the caller to checkpoint and stop the victims with PreemptGrace, then to
// call Place again. The placer reserves the freed capacity for the task for a few seconds.
type Preempt struct {
	Worker     string
	Victims    []string
	Rule       Rule
	Candidates []Candidate // workers considered, cheapest first, at most MaxCandidates
}

func (Assign) decision()        {}
func (Wait) decision()          {}
func (Unschedulable) decision() {}
func (Preempt) decision()       {}

// Mitigation is one of Throttle, Checkpoint and Stop.
type Mitigation interface{ mitigation() }

// Throttle limits a batch task to a share of its declared cores; 1 removes the limit.
type Throttle struct {
	Worker     string
	Task       string
	Limit      float64
	Service    string // degraded instance for which the action is taken, empty for a release
	Rule       Rule
	Cause      string
	Candidates []Candidate
}

// Checkpoint takes a checkpoint of a batch task and moves the task to another worker.
type Checkpoint struct {
	Worker     string
	Task       string
	Service    string
	Rule       Rule
	Cause      string
	Candidates []Candidate
}

// Stop stops a batch task that did not complete its checkpoint.
type Stop struct {
	Worker     string
	Task       string
	Service    string
	Rule       Rule
	Cause      string
	Candidates []Candidate
}

func (Throttle) mitigation()   {}
func (Checkpoint) mitigation() {}
func (Stop) mitigation()       {}

// Margins of CommittedResources, as shares of the measured usage: usage may grow by as much until the
// next report arrives. Memory has the larger margin, because too few cores only slow tasks down but
// too little memory kills them.
const (
	coreMarginShare   = 0.05
	memoryMarginShare = 0.10
)

// CommittedResources returns the capacity that counts as taken by a task: in each dimension the larger of its
// declared size and its measured size plus a margin.
func CommittedResources(declared, measured configurator.Resources) configurator.Resources {
	measured.Cores *= 1 + coreMarginShare
	measured.Memory += int64(float64(measured.Memory) * memoryMarginShare)
	return declared.Max(measured)
}
