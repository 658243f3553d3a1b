// Package pacer limits the rate of work that can wait while the process that hands it out is late.
//
// A late process serves its urgent work late too, because both need its processor. The limit follows the lag of the process,
// not a rate that was found on one machine: it falls while the lag is above what the urgent work allows, and rises while it is
// well below.
package pacer

import (
	"math"
	"time"

	"peridotpitch/internal/converter"
)

const (
	// adjustInterval is the pause between two changes of the limit. The effect of a change shows in the lag after the work
	// that was handed out before it is done.
	adjustInterval = 250 * time.Millisecond
	// The limit falls by maxDecrease, or by steadyDecrease while the lag changes by less than steadyRange and is below steadyLag times
	// the allowed one. While the lag falls, what was handed out before is being done, and the limit stays.
	maxDecrease    = 0.8
	steadyDecrease = 0.95
	steadyRange    = 0.1
	steadyLag      = 4
	// The limit rises by cautiousIncrease while it is within cautiousRange of the limit at which the process was last late, and by
	// increase otherwise: the lag may have had another cause, for example a change of leaders.
	increase         = 1.15
	cautiousIncrease = 1.05
	cautiousRange    = 0.25
	// riseShare is the share of the allowed lag below which the limit rises.
	riseShare = 0.6
	// maxUnused bounds the limit while it rises, in multiples of the rate that is handed out: the lag says nothing on a rate that something
	// else keeps from being reached. The average of a rate that follows a rising limit is 0.64 of it.
	maxUnused = 2
	// releaseTime is how long nothing was held back when a limit is lifted. A low rate does not show that nothing waits: a late
	// process hands out nothing for a second or so.
	releaseTime = 2 * time.Second
	// MinRate is the lowest limit, in units per second: work that waits is never stopped altogether.
	MinRate = 20
	// lagTime and rateTime are the times over which lag and rate are averaged.
	lagTime  = 250 * time.Millisecond
	rateTime = time.Second
	// burstTime bounds the units that are saved up while less than the limit is asked for. It is longer than the pause between two
	// scheduling passes of a late leader, which would otherwise not reach the limit.
	burstTime = 250 * time.Millisecond
)

// Pacer limits the rate of work that can wait. The zero value has no limit. It is not safe for concurrent use.
type Pacer struct {
	limit      float64 // units per second; 0: none
	tokens     float64 // units that may be handed out now
	rate       float64 // moving average of the units handed out per second
	handedOut  int     // since at
	lag        time.Duration
	at         time.Time // of the last call of Observe
	heldBack   bool      // HoldBack was called since at
	heldBackAt time.Time // of the last call of Observe after one of HoldBack
	adjustedAt time.Time
	// adjustedLag is the lag at adjustedAt, if the process was late.
	adjustedLag time.Duration
	lateAt      float64 // limit at which the process was last late; 0: it has not been late again since there is a limit
	late        bool    // it has been late since the limit last rose
}

// Observe adjusts the limit to the lag of the process. allowed is the lag that the urgent work allows; without urgent work it is
// 0, and there is no limit.
func (p *Pacer) Observe(lag, allowed time.Duration, now time.Time) {
	passed := now.Sub(p.at)
	if p.at.IsZero() || passed <= 0 {
		p.at, p.handedOut = now, 0
		return
	}
	p.at = now
	p.rate += weight(passed, rateTime) * (float64(p.handedOut)/passed.Seconds() - p.rate)
	p.handedOut = 0
	if p.heldBack {
		p.heldBack, p.heldBackAt = false, now
	}
	p.lag += converter.Scale(lag-p.lag, weight(passed, lagTime))
	p.tokens = min(p.tokens+p.limit*passed.Seconds(), max(1, p.limit*burstTime.Seconds()))
	if allowed <= 0 {
		p.limit = 0
		return
	}
	if now.Sub(p.adjustedAt) < adjustInterval {
		return
	}
	switch {
	case p.lag > allowed && p.limit == 0 && p.rate < MinRate: // what can wait is not the cause
	case p.lag > allowed:
		if p.limit == 0 {
			p.adjustedLag = 0
		}
		p.fall(allowed)
		p.adjustedAt, p.adjustedLag = now, p.lag
	case p.limit > 0 && float64(p.lag) < riseShare*float64(allowed):
		p.late = false
		p.rise()
		p.adjustedAt = now
		if now.Sub(p.heldBackAt) >= releaseTime {
			p.limit = 0
		}
	}
}

// fall lowers the limit of a process that is late.
func (p *Pacer) fall(allowed time.Duration) {
	if p.limit == 0 {
		p.limit, p.late, p.lateAt = p.rate, true, 0 // the present rate need not be what makes it late
	}
	decrease := max(maxDecrease, float64(allowed)/float64(p.lag))
	if p.late {
		switch change := float64(p.lag)/float64(p.adjustedLag) - 1; {
		case change < -steadyRange:
			return
		case change < steadyRange && p.lag < steadyLag*allowed:
			decrease = steadyDecrease
		}
	} else {
		p.late, p.lateAt = true, p.limit
	}
	p.limit = max(MinRate, p.limit*decrease)
}

// rise raises the limit of a process that is on time.
func (p *Pacer) rise() {
	factor := increase
	if math.Abs(p.limit/p.lateAt-1) < cautiousRange {
		factor = cautiousIncrease
	}
	p.limit = max(p.limit, min(p.limit*factor, max(MinRate, maxUnused*p.rate)))
}

// weight returns the weight of a measurement over a time in a moving average.
func weight(passed, average time.Duration) float64 {
	return 1 - math.Exp(-passed.Seconds()/average.Seconds())
}

// Available returns how many units may be handed out now.
func (p *Pacer) Available() int {
	if p.limit == 0 {
		return math.MaxInt
	}
	return max(0, int(p.tokens))
}

// HandOut counts units that were handed out. There may be more of them than were available.
func (p *Pacer) HandOut(n int) {
	p.handedOut += n
	if p.limit > 0 {
		p.tokens -= float64(n)
	}
}

// HoldBack notes that work waits because of the limit.
func (p *Pacer) HoldBack() { p.heldBack = true }

// Limit returns the limit in units per second, 0 if there is none.
func (p *Pacer) Limit() float64 { return p.limit }
