package router

import "time"

// The base shares of all entry hosts together are at most baseNumerator/baseDenominator of
// an instance's slots, or one slot for each host. The remaining slots form the pool.
const (
	baseNumerator   = 3
	baseDenominator = 4
)

// clockDriftMargin covers the drift between two hosts' clocks over the duration of a
// grant and of the requests started under it.
const clockDriftMargin = 400 * time.Millisecond

// ShareDelay returns the time after a configuration change at which an increase of the
// base share takes effect. Within this time every entry host has adopted the new
// configuration, the last grant under the old one has expired, and the last request
// started under that grant has ended.
func ShareDelay(maxRequestTimeout time.Duration) time.Duration {
	return ConfigurationDelay + reclaimDelay(maxRequestTimeout)
}

// reclaimDelay returns the time after a grant during which its slots may be in use. After
// that the allocator can grant them again without a report from the host.
func reclaimDelay(maxRequestTimeout time.Duration) time.Duration {
	return GrantDuration + maxRequestTimeout + AbandonMargin + clockDriftMargin
}

// baseShare returns one entry host's fixed part of an instance's slots. If there are more
// hosts than slots it is 0, because one slot for each host would exceed the slots.
func baseShare(slots, hosts int) int {
	if hosts <= 0 || hosts > slots {
		return 0
	}
	return max(1, slots*baseNumerator/(baseDenominator*hosts))
}

// poolSize returns the number of slots that are not part of any base share.
func poolSize(slots, hosts int) int {
	return max(0, slots-hosts*baseShare(slots, hosts))
}

// hostCountHistory holds the numbers of entry hosts that were configured within the
// window (ShareDelay), because another host may still act on any of them.
type hostCountHistory struct {
	window  time.Duration
	changes []hostCount // oldest first
}

type hostCount struct {
	hosts int
	since time.Time
}

// record adds a change of the number of hosts.
func (h *hostCountHistory) record(hosts int, now time.Time) {
	if n := len(h.changes); n > 0 && h.changes[n-1].hosts == hosts {
		return
	}
	h.changes = append(h.changes, hostCount{hosts, now})
}

// reset replaces the history by a single number of hosts.
func (h *hostCountHistory) reset(hosts int, now time.Time) {
	h.changes = append(h.changes[:0], hostCount{hosts, now})
}

// recentCounts drops the numbers that were replaced before the window and returns the
// others.
func (h *hostCountHistory) recentCounts(now time.Time) []hostCount {
	first := 0
	for first+1 < len(h.changes) && !h.changes[first+1].since.After(now.Add(-h.window)) {
		first++
	}
	h.changes = h.changes[first:]
	return h.changes
}

// minBaseShare returns the smallest base share for any recent number of hosts.
func (h *hostCountHistory) minBaseShare(slots int, now time.Time) int {
	return h.minShare(now, func(hosts int) int { return baseShare(slots, hosts) })
}

// minPoolSize returns the smallest pool for any recent number of hosts.
func (h *hostCountHistory) minPoolSize(slots int, now time.Time) int {
	return h.minShare(now, func(hosts int) int { return poolSize(slots, hosts) })
}

// minConnections returns the smallest share of an instance's connections for any recent
// number of hosts.
func (h *hostCountHistory) minConnections(connections int, now time.Time) int {
	return h.minShare(now, func(hosts int) int {
		if hosts <= 0 {
			return 0
		}
		return connections / hosts
	})
}

// minShare returns the smallest share for any recent number of hosts.
func (h *hostCountHistory) minShare(now time.Time, share func(hosts int) int) int {
	smallest := -1
	for _, c := range h.recentCounts(now) {
		if v := share(c.hosts); smallest < 0 || v < smallest {
			smallest = v
		}
	}
	return max(0, smallest)
}
