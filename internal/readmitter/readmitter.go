// Package readmitter decides when refused callers should retry, so that their retries after an outage of the
// store are spread over time and those of urgent queues come first. It does no I/O and reads no clock.
package readmitter

import (
	"hash/fnv"
	"math"
	"slices"
	"time"

	"peridotpitch/internal/converter"
)

const (
	// MinWait is the shortest wait. Retry-After has whole seconds.
	MinWait = time.Second
	// MaxWait bounds the wait. A caller makes at least 4 tries and would wait 3 s for the response to each, so it
	// is there for 12 s. Two waits of 6 s fit into that time: whoever returns before the end of an outage
	// of the usual length (up to 7 s) returns once more.
	MaxWait = 6 * time.Second
	// silencePerStep is the time without the store for which the wait becomes one second longer. Urgent callers
	// with 4 repetitions would otherwise make their last try 4.8 s after the begin of an outage that is noticed
	// after 0.8 s; with it they make it after more than 5.5 s on average.
	silencePerStep = 2 * time.Second
)

// Cause is why a request was refused.
type Cause string

// Values of Cause.
const (
	CauseOutage        Cause = "outage"         // the store does not serve this host
	CauseRateLimit     Cause = "rate limit"     // the store limits the rate of calls
	CauseLeaderChange  Cause = "leader change"  // the leader or the job changed during every attempt
	CauseNotConfigured Cause = "not configured" // no configuration is in effect on this host
)

// Refusal describes a refused request and what its host knows about the others.
type Refusal struct {
	Cause        Cause
	ID           string        // of the job
	Priority     int           // of the job's queue; lower is more urgent
	Priorities   []int         // one element for each queue of the configuration, in any order
	StoreSilence time.Duration // since the store last served this host
	Limited      time.Duration // how long the store asked this host to wait; CauseRateLimit only
	Waiting      int           // refused callers of this host that have not been due to return yet; see Returns
	Hosts        int           // 0: unknown; only the callers of this host are taken into account
	ReturnRate   float64       // submissions per second at which callers of all hosts should return; must be positive
}

// RetryAfter returns the time after which the caller should retry: a whole number of seconds from MinWait to
// MaxWait, except that it is never shorter than Limited.
//
// In an outage, the callers of each priority have a cycle of whole seconds, in which the hash of its ID gives
// each caller its second. A caller that is refused again waits for one cycle, so that the callers of a
// priority keep the spread that they have, however often they are refused. The cycle is as long as needed for the callers
// to return at the rate that more urgent priorities leave, and it grows with the outage. The n-th most urgent
// priority waits for n seconds at least.
func RetryAfter(r Refusal) time.Duration {
	if r.Cause != CauseOutage {
		return max(MinWait, (r.Limited+time.Second-1)/time.Second*time.Second)
	}
	w := windowOf(r)
	h := fnv.New64a()
	_, _ = h.Write([]byte(r.ID)) // never fails
	// The hash is mixed further, because the low bits of FNV depend on few bits of the input.
	sum := h.Sum64()
	sum ^= sum >> 32
	place := int(sum % uint64(w.seconds))
	now := int(r.StoreSilence / time.Second)
	wait := w.skipped + 1
	for (now+wait)%w.seconds != place {
		wait++
	}
	return time.Duration(wait) * time.Second
}

// window is the seconds in which the callers of one priority may be asked to retry: from skipped+1 to
// skipped+seconds after the refusal.
type window struct {
	skipped int
	seconds int
}

// cycle is the time between two retries of a caller who retries when asked to, in seconds.
func (w window) cycle() int { return w.seconds * (w.skipped/w.seconds + 1) }

// windowOf returns the window of a refusal's priority.
func windowOf(r Refusal) window {
	const longest = int(MaxWait / time.Second)
	queues := r.Priorities
	if !slices.Contains(queues, r.Priority) { // of an earlier configuration
		queues = append(slices.Clone(queues), r.Priority)
	}
	ranked := slices.Compact(slices.Sorted(slices.Values(queues)))
	callers := float64(max(r.Waiting, 1) * max(r.Hosts, 1))
	grown := 1 + int(max(r.StoreSilence, 0)/silencePerStep)
	left := r.ReturnRate
	before := window{skipped: -1}
	for rank, p := range ranked {
		count := 0
		for _, q := range queues {
			if q == p {
				count++
			}
		}
		// The callers of all queues are taken to be equally many. Each priority may use half of the rate that is
		// left, the last one all of it.
		share, own := left, callers*float64(count)/float64(len(queues))
		if rank < len(ranked)-1 {
			share /= 2
		}
		w := window{skipped: min(before.skipped+1, longest-1)}
		needed := converter.Int(min(math.Ceil(own/share), float64(longest)))
		w.seconds = min(max(needed, grown), longest-w.skipped)
		if rank > 0 && w.cycle() < before.cycle() {
			// Bounded by MaxWait, the callers would retry more often than more urgent ones. The second half of the
			// longest wait makes a cycle as long as MaxWait.
			w.skipped = max(w.skipped, longest/2)
			w.seconds = longest - w.skipped
		}
		if p == r.Priority {
			return w
		}
		// A priority whose window is bounded takes more than its share. Something must be left for the others.
		left = max(left-own/float64(w.cycle()), r.ReturnRate/float64(4*len(ranked)))
		before = w
	}
	return window{seconds: 1} // not reached: ranked contains the priority
}

// Returns counts the refused callers of a host who have not been due to return yet. The zero value has none. It is
// not safe for concurrent use.
type Returns struct {
	due [int(MaxWait/time.Second) + 1]struct {
		second int64 // Unix time
		count  int
	}
}

// Add counts a caller who was asked at now to return after wait.
func (r *Returns) Add(now time.Time, wait time.Duration) {
	second := now.Add(min(wait, MaxWait)).Unix()
	d := &r.due[second%int64(len(r.due))]
	if d.second != second {
		d.second, d.count = second, 0
	}
	d.count++
}

// Waiting returns the number of callers that are due after now.
func (r *Returns) Waiting(now time.Time) int {
	n := 0
	for _, d := range r.due {
		if d.second > now.Unix() {
			n += d.count
		}
	}
	return n
}
