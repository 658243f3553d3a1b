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
	Spread   string // group whose members are spread over racks and failure domains; empty: none
	Attempt  int    // attempts so far, including the one being placed; 0 or 1 is the first
}

// Resident is a task that holds capacity of a worker.
type Resident struct {
	Task
	Committed     configurator.Resources // see Commit; a dimension below Declared counts as Declared
	Measured      configurator.Resources // usage at Worker.ReportedAt, zero if not known
	Slowdown      float64                // run time per unit of work over the uncontended one, 0 if not known
	Latency       time.Duration          // p99 of a service instance, 0 if not known
	LatencyTarget time.Duration          // p99 above which the instance counts as degraded, 0 if none
	Started       time.Time
	Throttled     float64   // share of declared cores; 0 or 1 is no limit
	LastAction    time.Time // last throttle, checkpoint or stop sent for the task
	Stopping      bool      // told to checkpoint or stop, still holds its capacity
}

// Worker is a shard's view of one of its workers.
type Worker struct {
	Name          string
	Rack          string
	FailureDomain string
	Capacity      configurator.Resources
	Residents     []Resident
	ReportedAt    time.Time // when the figures of the last report were measured, in the caller's clock
	Leaving       bool
	Quarantined   bool // kept out of service by the caller, in addition to the placer's own tracking
	Fenced        bool // has accepted the owner's epoch; other workers get no work

	// Version changes whenever any other field but ReportedAt changes. It lets Place
	// reuse sums over Residents; 0 makes it compute them anew. The chosen worker's
	// capacity is always checked anew, so a stale Version can cost quality but cannot
	// exceed capacity.
	Version uint64
}

// Policy holds the settings of a Placer.
type Policy struct {
	// Placement is the rule that chooses a worker. The baselines FirstFit and BestFit
	// count declared sizes only and use neither interference nor relief.
	Placement configurator.PlacementPolicy
	// Quotas is the upper bound of each team's placed batch tasks over all shards. A
	// dimension of 0 forbids its use; a team without an entry has no bound.
	Quotas map[string]configurator.Resources
	// Fleet lists the distinct capacities of the workers of all shards. A task that fits
	// one of them but no worker of this shard waits with WaitElsewhere.
	Fleet []configurator.Resources
	// SlowdownBound is the slowdown above which a service counts as degraded; 0 is
	// DefaultSlowdownBound.
	SlowdownBound float64
}

// Rule names the rule that made a decision.
type Rule string

// Rules of decisions.
const (
	RuleInterference Rule = "LeastInterference"
	RuleFirstFit     Rule = "FirstFit"
	RuleBestFit      Rule = "BestFit"
	RuleReserved     Rule = "ReservedByPreemption"
	RuleProbe        Rule = "ProbeOfQuarantinedWorker"
	RuleCheapest     Rule = "CheapestVictims"
	RuleNoRoom       Rule = "NoWorkerHasRoom"
	RuleQuota        Rule = "TeamQuota"
	RuleElsewhere    Rule = "FitsOnlyAnotherShard"
	RuleTooLarge     Rule = "LargerThanAnyWorker"
	RuleInvalid      Rule = "InvalidSize"
	RuleVictims      Rule = "VictimsStillStopping"
	RuleNoWorker     Rule = "NoWorkerKnown"

	RuleThrottle     Rule = "ThrottleCheapestNeighbour"
	RuleMove         Rule = "MoveCheapestNeighbour"
	RuleStop         Rule = "StopCheapestNeighbour"
	RuleRelease      Rule = "PressureGone"
	RuleOverCapacity Rule = "MeasuredOverCapacity"
)

// Candidate is a worker or a task that a decision considered, with the figures known at
// that time.
type Candidate struct {
	Name         string
	Free         configurator.Resources // of a worker
	Score        float64                // lower is better
	Interference float64                // estimated sum of slowdowns added, both directions
	FailureRate  float64                // recent share of failed tasks of a worker
	Age          time.Duration          // of the worker's report
	Rejected     string                 // why it was not eligible, empty if it was
}

// Decision is one of Assign, Wait, Never and Preempt.
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

// Never reports that the task can never run as declared.
type Never struct {
	Rule    Rule
	Reason  string
	Nearest configurator.Resources // the nearest size that would fit
}

// Preempt asks the caller to checkpoint and stop the victims with PreemptGrace, then to
// call Place again. The placer keeps the room for the task for a few seconds.
type Preempt struct {
	Worker     string
	Victims    []string
	Rule       Rule
	Candidates []Candidate // workers considered, cheapest first, at most MaxCandidates
}

func (Assign) decision()  {}
func (Wait) decision()    {}
func (Never) decision()   {}
func (Preempt) decision() {}

// Relief is one of Throttle, Checkpoint and Stop.
type Relief interface{ relief() }

// Throttle limits a batch task to a share of its declared cores. Limit 1 removes the
// limit.
type Throttle struct {
	Worker     string
	Task       string
	Limit      float64
	Service    string // degraded instance that the action relieves, empty for a release
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

func (Throttle) relief()   {}
func (Checkpoint) relief() {}
func (Stop) relief()       {}

// margins of Commit: usage may grow by this share until the next report arrives.
const (
	coreMargin   = 0.10
	memoryMargin = 0.10
)

// Commit returns the capacity that counts as taken by a task: the larger of its declared
// and its measured size plus a margin, in each dimension.
func Commit(declared, measured configurator.Resources) configurator.Resources {
	measured.Cores *= 1 + coreMargin
	measured.Memory += int64(float64(measured.Memory) * memoryMargin)
	return declared.Max(measured)
}
