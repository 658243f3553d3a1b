package orchestrator

import (
	"fmt"
	"slices"
	"strings"
)

// Mechanism names a part of the scheduling policy that can be disabled, so that its effect can
// be measured. Mechanisms that uphold a guarantee are not listed.
type Mechanism string

// Mechanisms.
const (
	// MechanismStepLoad estimates the load that callers put on a latency-critical task from
	// all tasks of its step.
	MechanismStepLoad Mechanism = "step-load"
	// MechanismImageSeparation places latency-critical images on separate workers.
	MechanismImageSeparation Mechanism = "image-separation"
	// MechanismThrottledMoves moves throttled best-effort tasks to other workers.
	MechanismThrottledMoves Mechanism = "throttled-moves"
	// MechanismMovesAfterQueue lets best-effort tasks that wait take room before throttled ones move there. Otherwise the
	// moved task only takes the place of one that waits, and loses the work that it has done.
	MechanismMovesAfterQueue Mechanism = "moves-after-queue"
	// MechanismForecastOrder starts jobs first that can still meet their deadline.
	MechanismForecastOrder Mechanism = "forecast-order"
	// MechanismShortJobReserve keeps processors free for short jobs.
	MechanismShortJobReserve Mechanism = "short-job-reserve"
	// MechanismPreemption stops tasks of lower priority.
	MechanismPreemption Mechanism = "preemption"
	// MechanismReservations reserves workers for long-running tasks that wait too long.
	MechanismReservations Mechanism = "reservations"
	// MechanismQuarantine keeps work from workers on which runs fail or hang.
	MechanismQuarantine Mechanism = "quarantine"
	// MechanismCrashIsolation keeps tasks that may crash workers apart from each other and from new ones.
	MechanismCrashIsolation Mechanism = "crash-isolation"
	// MechanismEvacuationMoves moves long-running tasks out of evacuated failure domains into
	// capacity that no task waits for.
	MechanismEvacuationMoves Mechanism = "evacuation-moves"
	// MechanismSlowRunCauses moves slow runs only if their queue has shown that workers are the cause.
	MechanismSlowRunCauses Mechanism = "slow-run-causes"
	// MechanismPacedStarts limits the starts that can wait while the leader is late for urgent jobs.
	MechanismPacedStarts Mechanism = "paced-starts"
	// MechanismSingleMeasurements updates the interference model by each measurement of a worker once.
	MechanismSingleMeasurements Mechanism = "single-measurements"
	// MechanismReturningFirst keeps places for long-running tasks that had a run before from new ones.
	MechanismReturningFirst Mechanism = "returning-first"
	// MechanismAdviceByNeed asks the outside policy about as many workers as a step's tasks need, instead of as many as a request may name.
	MechanismAdviceByNeed Mechanism = "advice-by-need"
	// MechanismStragglers moves or copies runs that hang or are slower than expected.
	MechanismStragglers Mechanism = "straggler-moves"
)

// Mechanisms lists all mechanisms.
var Mechanisms = []Mechanism{
	MechanismStepLoad, MechanismImageSeparation, MechanismThrottledMoves, MechanismForecastOrder,
	MechanismShortJobReserve, MechanismPreemption, MechanismReservations, MechanismQuarantine, MechanismStragglers, MechanismCrashIsolation,
	MechanismEvacuationMoves, MechanismSlowRunCauses, MechanismMovesAfterQueue, MechanismPacedStarts, MechanismSingleMeasurements, MechanismReturningFirst, MechanismAdviceByNeed,
}

// MechanismSet is a set of mechanisms. The zero value is empty.
type MechanismSet uint32

// Contains reports whether the set contains a mechanism.
func (s MechanismSet) Contains(m Mechanism) bool {
	i := slices.Index(Mechanisms, m)
	return i >= 0 && s&(1<<i) != 0
}

// String returns the names of the set's mechanisms, separated by commas.
func (s MechanismSet) String() string {
	var names []string
	for _, m := range Mechanisms {
		if s.Contains(m) {
			names = append(names, string(m))
		}
	}
	return strings.Join(names, ",")
}

// UnknownMechanismError is the error for a name that is not in Mechanisms.
type UnknownMechanismError struct{ Name string }

func (e *UnknownMechanismError) Error() string {
	known := make([]string, len(Mechanisms))
	for i, m := range Mechanisms {
		known[i] = string(m)
	}
	return fmt.Sprintf("unknown mechanism %q; known: %s", e.Name, strings.Join(known, ", "))
}

// ParseMechanisms returns the set of the mechanisms whose names stand in text, separated by
// commas. The error for an unknown name is an *UnknownMechanismError.
func ParseMechanisms(text string) (MechanismSet, error) {
	var s MechanismSet
	for name := range strings.SplitSeq(text, ",") {
		name = strings.TrimSpace(name)
		if name == "" {
			continue
		}
		i := slices.Index(Mechanisms, Mechanism(name))
		if i < 0 {
			return 0, &UnknownMechanismError{Name: name}
		}
		s |= 1 << i
	}
	return s, nil
}

// enabled reports whether a mechanism is in use.
func (o *Orchestrator) enabled(m Mechanism) bool { return !o.settings.Disabled.Contains(m) }
