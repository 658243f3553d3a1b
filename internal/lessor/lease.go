package lessor

import "time"

const (
	// clockDriftDivisor gives the drift between two monotonic clocks over an interval, as a
	// fraction of the interval: 1/100.
	clockDriftDivisor = 100
	// fixedMargin covers the granularity of timers and the time between the check of a lease
	// and the effect of the action that depends on it.
	fixedMargin = 50 * time.Millisecond
)

// Margin returns the duration by which an owner's lease of the given length is shortened: 1% of the
// length plus 50 ms.
func Margin(ttl time.Duration) time.Duration { return ttl/clockDriftDivisor + fixedMargin }

// Lease is the lease of an owner on its shard. It is extended by each renewal in the store, and by
// promises not to claim the shard if all possible successors have given one.
type Lease struct {
	ttl         time.Duration        // length of the lease before Margin is subtracted
	lastRenewal time.Time            // when the last successful renewal was sent
	promises    map[string]time.Time // by possible successor: when the answered heartbeat was sent
}

// NewLease returns the lease of an owner whose claim was sent at start. If start is the zero time,
// the lease is not valid before the first renewal or promise. Without successors, only renewals in
// the store extend it.
func NewLease(ttl time.Duration, successors []string, start time.Time) *Lease {
	t := &Lease{ttl: ttl, lastRenewal: start, promises: make(map[string]time.Time)}
	t.SetSuccessors(successors)
	return t
}

// SetSuccessors replaces the possible successors and keeps the promises of those that remain. The
// caller must not remove a possible successor before the store holds the shorter list, because that
// host may claim the shard until then.
func (t *Lease) SetSuccessors(successors []string) {
	kept := make(map[string]time.Time, len(successors))
	for _, s := range successors {
		kept[s] = t.promises[s]
	}
	t.promises = kept
}

// RecordRenewal records a successful renewal in the store that was sent at sentAt.
func (t *Lease) RecordRenewal(sentAt time.Time) {
	if sentAt.After(t.lastRenewal) {
		t.lastRenewal = sentAt
	}
}

// RecordPromise records a promise that a possible successor gave in its answer to a heartbeat. The
// heartbeat was sent at sentAt. Promises of other hosts are ignored.
func (t *Lease) RecordPromise(by string, sentAt time.Time) {
	if last, ok := t.promises[by]; ok && sentAt.After(last) {
		t.promises[by] = sentAt
	}
}

// Expiry returns the end of the lease, or the zero time if it was never valid.
func (t *Lease) Expiry() time.Time {
	from := t.lastRenewal
	if p := t.earliestPromise(); p.After(from) {
		from = p
	}
	if from.IsZero() {
		return time.Time{}
	}
	return from.Add(t.ttl - Margin(t.ttl))
}

// earliestPromise compares the latest promises of all possible successors and returns the time of the
// earliest one. It returns the zero time if a successor has not promised or there is no successor.
func (t *Lease) earliestPromise() time.Time {
	var earliest time.Time
	first := true
	for _, p := range t.promises {
		if first || p.Before(earliest) {
			earliest, first = p, false
		}
	}
	return earliest
}

// Valid reports whether the lease is valid at now, so that the owner may act on the shard.
func (t *Lease) Valid(now time.Time) bool { return now.Before(t.Expiry()) }
