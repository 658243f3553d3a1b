package router

import "time"

// The base share is baseNumerator/baseDenominator of an instance's slots, divided by
// the number of entry hosts. The rest is the pool.
const (
	baseNumerator   = 3
	baseDenominator = 4
)

// expiryMargin covers the drift between two hosts' clocks while a grant and the
// requests started under it last.
const expiryMargin = 400 * time.Millisecond

// ShareDelay is how long an increase of the base share waits. In this time every entry
// host has adopted the configuration, the last grant made by the old one has expired,
// and the last request started under it has ended.
func ShareDelay(maxRequestTimeout time.Duration) time.Duration {
	return ConfigurationDelay + lendingTime(maxRequestTimeout)
}

// lendingTime is how long after a grant its slots may still be in use.
func lendingTime(maxRequestTimeout time.Duration) time.Duration {
	return GrantDuration + maxRequestTimeout + AbandonMargin + expiryMargin
}

// baseShare is one entry host's fixed part of an instance's slots. With more hosts than
// slots it is 0, because one slot for each host would exceed the slots.
func baseShare(slots, hosts int) int {
	if hosts <= 0 || hosts > slots {
		return 0
	}
	return max(1, slots*baseNumerator/(baseDenominator*hosts))
}

// poolSize is the number of slots that no base share covers.
func poolSize(slots, hosts int) int {
	return max(0, slots-hosts*baseShare(slots, hosts))
}

// hostCounts remembers which numbers of entry hosts were configured within the last
// delay, because another host may still act on any of them.
type hostCounts struct {
	delay   time.Duration
	changes []hostCount // oldest first
}

type hostCount struct {
	hosts int
	since time.Time
}

func (h *hostCounts) set(hosts int, now time.Time) {
	if n := len(h.changes); n > 0 && h.changes[n-1].hosts == hosts {
		return
	}
	h.changes = append(h.changes, hostCount{hosts, now})
}

// settle forgets every number but hosts.
func (h *hostCounts) settle(hosts int, now time.Time) {
	h.changes = append(h.changes[:0], hostCount{hosts, now})
}

// recent returns the numbers that were in force at any time within the last delay.
func (h *hostCounts) recent(now time.Time) []hostCount {
	first := 0
	for first+1 < len(h.changes) && !h.changes[first+1].since.After(now.Add(-h.delay)) {
		first++
	}
	h.changes = h.changes[first:]
	return h.changes
}

// base is the smallest base share of the recent numbers.
func (h *hostCounts) base(slots int, now time.Time) int {
	return h.least(now, func(hosts int) int { return baseShare(slots, hosts) })
}

// pool is the smallest pool of the recent numbers.
func (h *hostCounts) pool(slots int, now time.Time) int {
	return h.least(now, func(hosts int) int { return poolSize(slots, hosts) })
}

// connections is the smallest share of connections of the recent numbers.
func (h *hostCounts) connections(connections int, now time.Time) int {
	return h.least(now, func(hosts int) int {
		if hosts <= 0 {
			return 0
		}
		return connections / hosts
	})
}

func (h *hostCounts) least(now time.Time, share func(hosts int) int) int {
	least := -1
	for _, c := range h.recent(now) {
		if v := share(c.hosts); least < 0 || v < least {
			least = v
		}
	}
	return max(0, least)
}
