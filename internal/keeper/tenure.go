package keeper

import "time"

const (
	// driftShare is the part of an interval that two monotonic clocks may drift apart.
	driftShare = 100
	// driftFloor covers the granularity of timers and the time between the check of
	// a tenure and the effect that follows it.
	driftFloor = 50 * time.Millisecond
)

// Margin returns by how much an owner's interval of the given length is shortened:
// 1% of it plus 50 ms.
func Margin(ttl time.Duration) time.Duration { return ttl/driftShare + driftFloor }

// Tenure tells until when an owner may act on its shard.
type Tenure struct {
	ttl      time.Duration
	renewed  time.Time            // just before the last successful renewal was sent
	promises map[string]time.Time // by possible successor
}

// NewTenure returns the tenure of an owner whose claim was sent at start. A zero start
// gives a tenure that does not hold before the first renewal or promise. Without
// successors only the store renews it.
func NewTenure(ttl time.Duration, successors []string, start time.Time) *Tenure {
	t := &Tenure{ttl: ttl, renewed: start, promises: make(map[string]time.Time)}
	t.SetSuccessors(successors)
	return t
}

// SetSuccessors replaces the possible successors. Promises of those that stay are
// kept. The caller must not remove a possible successor before the store holds the
// shorter list, because that host may claim until then.
func (t *Tenure) SetSuccessors(successors []string) {
	kept := make(map[string]time.Time, len(successors))
	for _, s := range successors {
		kept[s] = t.promises[s]
	}
	t.promises = kept
}

// Renewed records a successful renewal in the store that was sent at sentAt.
func (t *Tenure) Renewed(sentAt time.Time) {
	if sentAt.After(t.renewed) {
		t.renewed = sentAt
	}
}

// Promised records the promise of a possible successor in answer to a heartbeat that
// was sent at sentAt. Promises of other hosts are ignored.
func (t *Tenure) Promised(by string, sentAt time.Time) {
	if last, ok := t.promises[by]; ok && sentAt.After(last) {
		t.promises[by] = sentAt
	}
}

// Until returns the end of the tenure; the zero time if it never held.
func (t *Tenure) Until() time.Time {
	from := t.renewed
	if p := t.promisedSince(); p.After(from) {
		from = p
	}
	if from.IsZero() {
		return time.Time{}
	}
	return from.Add(t.ttl - Margin(t.ttl))
}

// promisedSince returns the earliest of the last promises of all possible successors,
// or the zero time if one is missing.
func (t *Tenure) promisedSince() time.Time {
	var since time.Time
	first := true
	for _, p := range t.promises {
		if first || p.Before(since) {
			since, first = p, false
		}
	}
	return since
}

// Holds reports whether the owner may act at now.
func (t *Tenure) Holds(now time.Time) bool { return now.Before(t.Until()) }
