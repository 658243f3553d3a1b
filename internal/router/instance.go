package router

import (
	"math"
	"time"

	"peridotpitch/internal/messenger"
)

// Constants of the latency estimate.
const (
	// latencySampleWeight is the weight of a new sample in the moving average.
	latencySampleWeight = 0.2
	// probeSampleWeight is the weight of a sample of an ejected instance. Its samples are
	// rare, and with latencySampleWeight it took 11 of them to return from 20 times the
	// typical latency.
	probeSampleWeight = 0.5
	// latencyHalfLife is the time in which the weight of the moving average halves
	// relative to the typical latency of the service, so that old samples stop counting.
	latencyHalfLife = 20 * time.Second
	// reportedLoadHalfLife is the time in which the weight of a reported number of used
	// slots halves. It is a few times the service time at the sizes of section 1.1 of the
	// design page.
	reportedLoadHalfLife = 100 * time.Millisecond
	// inFlightAgeWeight is the weight of the age of a request in flight in the latency
	// estimate. With exponential service times and a weight of 1, one request in 20 would
	// eject its instance.
	inFlightAgeWeight = 0.5
)

// instance is this host's view of one instance.
type instance struct {
	endpoint       messenger.Endpoint
	listed         bool                       // in the latest Update
	inFlight       map[uint64]inFlightRequest // by ticket
	abandonedUntil []time.Time                // times until which slots of abandoned requests count as used
	grantedSlots   int                        // pool slots that the latest grant allows
	grantExpiresAt time.Time
	granter        string               // peer that sent the latest grant
	granterEpoch   uint64               // epoch of the latest applied grant
	lastDemandAt   map[string]time.Time // time of the latest demand to each peer
	wantedSlots    int                  // highest demand within demandRetention
	wantedAt       time.Time

	reportedLoad        reportedLoad
	latencyAverage      time.Duration // moving average, see latencySampleWeight
	sampledAt           time.Time     // zero: never
	consecutiveFailures int           // not-run outcomes since the last answer
	lastFailureAt       time.Time
	ejected             bool
	lastProbeAt         time.Time
	probeInterval       time.Duration // from lastProbeAt to the next probe
}

// inFlightRequest is a request that holds a slot of an instance.
type inFlightRequest struct {
	pickedAt time.Time
	deadline time.Time
}

// reportedLoad is the number of slots used by other entry hosts, derived from the latest
// number of used slots that the backend server reported.
type reportedLoad struct {
	slotsUsedByOthers int
	reportedAt        time.Time // zero: none
}

func newInstance() *instance {
	return &instance{inFlight: make(map[uint64]inFlightRequest), lastDemandAt: make(map[string]time.Time)}
}

// usedSlots returns the number of requests in flight and of abandoned requests that may
// still run.
func (in *instance) usedSlots(now time.Time) int {
	kept := in.abandonedUntil[:0]
	for _, t := range in.abandonedUntil {
		if t.After(now) {
			kept = append(kept, t)
		}
	}
	in.abandonedUntil = kept
	return len(in.inFlight) + len(kept)
}

// recordDemand records the time of the latest demand to a peer. If two demands have the
// same time, no answer to either is accepted, because the answers are indistinguishable.
func (in *instance) recordDemand(to string, now time.Time) {
	if last := in.lastDemandAt[to]; !now.After(last) {
		now = last.Add(time.Nanosecond)
	}
	in.lastDemandAt[to] = now
}

// currentGrant returns the number of granted pool slots, or 0 if the grant has expired.
func (in *instance) currentGrant(now time.Time) int {
	if now.Before(in.grantExpiresAt) {
		return in.grantedSlots
	}
	return 0
}

// addLatencySample adds a sample to the moving average of the latency.
func (in *instance) addLatencySample(latency time.Duration, now time.Time) {
	weight := latencySampleWeight
	switch {
	case in.sampledAt.IsZero():
		weight = 1
	case in.ejected:
		weight = probeSampleWeight
	}
	in.latencyAverage += time.Duration(weight * float64(latency-in.latencyAverage))
	in.sampledAt = now
}

// expectedLatency returns the expected latency of a request at the instance. Without recent
// samples it approaches the typical latency of the service times the slowdown measured at
// the worker. Requests that have been in flight for long raise it.
func (in *instance) expectedLatency(typical time.Duration, now time.Time) time.Duration {
	prior := float64(typical)
	if in.endpoint.Slowdown > 1 {
		prior *= in.endpoint.Slowdown
	}
	e := prior
	if !in.sampledAt.IsZero() {
		e += (float64(in.latencyAverage) - prior) * decayFactor(now.Sub(in.sampledAt), latencyHalfLife)
	}
	for _, q := range in.inFlight {
		e = max(e, inFlightAgeWeight*float64(now.Sub(q.pickedAt)))
	}
	return time.Duration(e)
}

// freeAt returns the earliest expected time at which a slot in use becomes free, or zero
// if no slot is in use.
func (in *instance) freeAt(typical time.Duration, now time.Time) time.Time {
	var earliest time.Time
	consider := func(t time.Time) {
		if t.Before(now) {
			t = now
		}
		if earliest.IsZero() || t.Before(earliest) {
			earliest = t
		}
	}
	e := in.expectedLatency(typical, now)
	for _, q := range in.inFlight {
		consider(q.pickedAt.Add(e))
	}
	for _, t := range in.abandonedUntil {
		consider(t)
	}
	return earliest
}

// decayFactor returns 0.5 to the power of age/halfLife.
func decayFactor(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(0, age)) / float64(halfLife))
}
