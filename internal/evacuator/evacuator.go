// Package evacuator keeps track of the failure domains that operators evacuate, and decides how many
// long-running tasks may move out of them at a time. It does no I/O and reads no clock.
package evacuator

import (
	"cmp"
	"slices"
	"time"
)

// SettleTime is how long after the end of an evacuation no running task is moved into the failure domain.
// Its workers may be slow at first, and a wave of moves would stop work elsewhere for no gain.
const SettleTime = 3 * time.Second

// Outcome is what has become of an evacuation.
type Outcome string

// Values of Outcome.
const (
	OutcomeBegun     Outcome = "begun"
	OutcomeTakenBack Outcome = "taken back"
)

// Change is the beginning or the end of an evacuation.
type Change struct {
	FailureDomain string
	Outcome       Outcome
	Lasted        time.Duration // how long an evacuation lasted that has been taken back; 0: it has begun
}

// Evacuator holds the present evacuations. The zero value has none. It is not safe for concurrent use.
type Evacuator struct {
	since       map[string]time.Time // when each present evacuation became known, by failure domain
	takenBackAt map[string]time.Time // when the last evacuation ended, by failure domain
}

// Update replaces the evacuated failure domains, and returns what has changed, sorted by failure domain.
func (e *Evacuator) Update(domains []string, now time.Time) []Change {
	if e.since == nil {
		e.since, e.takenBackAt = make(map[string]time.Time), make(map[string]time.Time)
	}
	var changes []Change
	for _, d := range domains {
		if _, ok := e.since[d]; !ok {
			e.since[d] = now
			changes = append(changes, Change{FailureDomain: d, Outcome: OutcomeBegun})
		}
	}
	for d, at := range e.since {
		if !slices.Contains(domains, d) {
			delete(e.since, d)
			e.takenBackAt[d] = now
			changes = append(changes, Change{FailureDomain: d, Outcome: OutcomeTakenBack, Lasted: now.Sub(at)})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.FailureDomain, b.FailureDomain) })
	return changes
}

// Any reports whether any failure domain is being evacuated.
func (e *Evacuator) Any() bool { return len(e.since) > 0 }

// Evacuates reports whether a failure domain is being evacuated.
func (e *Evacuator) Evacuates(domain string) bool {
	_, ok := e.since[domain]
	return ok
}

// EvacuatedFor returns how long the evacuation of a failure domain has been known, 0 if there is none.
func (e *Evacuator) EvacuatedFor(domain string, now time.Time) time.Duration {
	at, ok := e.since[domain]
	if !ok {
		return 0
	}
	return now.Sub(at)
}

// Settles reports whether the evacuation of a failure domain ended less than SettleTime ago, so that no running task may
// be moved there yet.
func (e *Evacuator) Settles(domain string, now time.Time) bool {
	at, ok := e.takenBackAt[domain]
	return ok && now.Sub(at) < SettleTime
}

// Surroundings are what the number of moves depends on: figures of the workers and tasks of one service.
type Surroundings struct {
	Workers  int // usable workers, all outside the evacuated failure domains
	Waiting  int // tasks that wait for capacity
	Capacity int // millicores of the usable workers
	Used     int // millicores of their tasks at full speed, best-effort ones included
	Moving   int // tasks that are being moved
}

const (
	// maxUsedShare is the share of the usable processors up to which they are filled by moves. The rest is for
	// jobs that arrive meanwhile: a long-running task would keep it for good.
	maxUsedShare = 0.75
	// movesPerWorker is the number of moves at the same time for each usable worker. Each move costs the task a
	// stop and a start.
	movesPerWorker = 0.02
)

// MovesAllowed returns how many more long-running tasks of size millicores may move out of the evacuated
// failure domains now. A task that runs in an evacuated failure domain serves its callers; one that is moved
// to where others wait for capacity would make these wait longer.
func MovesAllowed(s Surroundings, size int) int {
	if s.Waiting > 0 || size <= 0 {
		return 0
	}
	spare := int(maxUsedShare*float64(s.Capacity)) - s.Used
	most := max(1, int(movesPerWorker*float64(s.Workers))) - s.Moving
	return max(0, min(spare/size, most))
}
