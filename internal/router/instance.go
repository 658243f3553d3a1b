package router

import (
	"math"
	"time"

	"peridotpitch/internal/messenger"
)

// Constants of the latency estimate.
const (
	// latencyGain is the weight of a new sample.
	latencyGain = 0.2
	// probeGain is the weight of a sample of an ejected instance. Its samples are rare,
	// and with latencyGain it took 11 of them to return from 20 times the typical latency.
	probeGain = 0.5
	// latencyMemory is the time in which an estimate loses half of its weight
	// against the pool's typical latency, so that old measurements stop counting.
	latencyMemory = 20 * time.Second
	// hintMemory is the time in which the backend server's own count of used slots
	// loses half of its weight: a few service times at the sizes of section 1.1.
	hintMemory = 100 * time.Millisecond
	// heldWeight is the weight of the age of a request in flight. With exponential
	// service times and weight 1, one request in 20 would eject its instance.
	heldWeight = 0.5
)

// instance is what this host knows about one instance.
type instance struct {
	endpoint   messenger.Endpoint
	present    bool
	held       map[uint64]heldSlot
	abandoned  []time.Time // ends of the slots of abandoned requests
	grant      int
	grantUntil time.Time
	granter    string
	epoch      uint64
	demandedAt map[string]time.Time // by peer
	wanted     int
	wantedAt   time.Time

	hint      hint
	latency   time.Duration // moving average
	sampledAt time.Time     // zero: never
	failures  int           // not-run outcomes in a row
	failedAt  time.Time
	ejected   bool
	probedAt  time.Time
	interval  time.Duration // to the next probe
}

type heldSlot struct {
	picked   time.Time
	deadline time.Time
}

// hint is the load by other entry hosts that the backend server reported.
type hint struct {
	others int
	at     time.Time // zero: none
}

func newInstance() *instance {
	return &instance{held: make(map[uint64]heldSlot), demandedAt: make(map[string]time.Time)}
}

// used counts requests in flight and abandoned requests that may still run.
func (in *instance) used(now time.Time) int {
	kept := in.abandoned[:0]
	for _, t := range in.abandoned {
		if t.After(now) {
			kept = append(kept, t)
		}
	}
	in.abandoned = kept
	return len(in.held) + len(kept)
}

// noteDemand remembers the time of the latest demand to a peer. Of two demands at the
// same time neither can be answered, because their answers could not be told apart.
func (in *instance) noteDemand(to string, now time.Time) {
	if last := in.demandedAt[to]; !now.After(last) {
		now = last.Add(time.Nanosecond)
	}
	in.demandedAt[to] = now
}

func (in *instance) granted(now time.Time) int {
	if now.Before(in.grantUntil) {
		return in.grant
	}
	return 0
}

func (in *instance) observe(latency time.Duration, now time.Time) {
	gain := latencyGain
	switch {
	case in.sampledAt.IsZero():
		gain = 1
	case in.ejected:
		gain = probeGain
	}
	in.latency += time.Duration(gain * float64(latency-in.latency))
	in.sampledAt = now
}

// estimate is the expected latency of a request. Without recent samples it approaches
// the typical latency of the pool times the measured slowdown by neighbours. A request
// in flight for longer than that raises it.
func (in *instance) estimate(typical time.Duration, now time.Time) time.Duration {
	prior := float64(typical)
	if in.endpoint.Slowdown > 1 {
		prior *= in.endpoint.Slowdown
	}
	e := prior
	if !in.sampledAt.IsZero() {
		e += (float64(in.latency) - prior) * halfLife(now.Sub(in.sampledAt), latencyMemory)
	}
	for _, h := range in.held {
		e = max(e, heldWeight*float64(now.Sub(h.picked)))
	}
	return time.Duration(e)
}

// freeAt is the earliest expected time at which a slot in use becomes free.
func (in *instance) freeAt(typical time.Duration, now time.Time) time.Time {
	var first time.Time
	note := func(t time.Time) {
		if t.Before(now) {
			t = now
		}
		if first.IsZero() || t.Before(first) {
			first = t
		}
	}
	e := in.estimate(typical, now)
	for _, h := range in.held {
		note(h.picked.Add(e))
	}
	for _, t := range in.abandoned {
		note(t)
	}
	return first
}

// halfLife returns 0.5 to the power of age/half.
func halfLife(age, half time.Duration) float64 {
	return math.Exp2(-float64(max(0, age)) / float64(half))
}
