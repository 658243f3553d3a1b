package evaluator

import (
	"slices"
	"time"
)

// Scenario is a load with injected faults.
type Scenario struct {
	Name         string
	Summary      string
	setUp        func(sm *simulation)                       // before the run
	injectFaults func(sm *simulation, length time.Duration) // when measuring starts
}

// setLoad sets the arrival rates at which the services, without interference, use the given
// shares of their slots.
func (sm *simulation) setLoad(shares ...float64) {
	sm.baseRates = nil
	for i, share := range shares {
		n := 0
		for _, in := range sm.instances {
			if in.service == i {
				n++
			}
		}
		sm.baseRates = append(sm.baseRates, share*float64(n*slotsPerInstance)/meanServiceTime.Seconds())
	}
}

func ordinaryLoad(sm *simulation) { sm.setLoad(0.35, 0.35) }

func noFaults(*simulation, time.Duration) {}

// fraction returns a share of length.
func fraction(length time.Duration, share float64) time.Duration {
	return time.Duration(share * float64(length))
}

// Scenarios returns all scenarios. Most faults start at 0.2 of the measured time and end at
// 0.8.
func Scenarios() []Scenario {
	return []Scenario{
		{"steady", "steady load", ordinaryLoad, noFaults},
		{"shift", "the first service's load rises threefold while the second's falls threefold", func(sm *simulation) { sm.setLoad(0.15, 0.45) }, func(sm *simulation, l time.Duration) {
			sm.after(fraction(l, 0.2), func() { sm.requestRates[0], sm.requestRates[1] = 3*sm.baseRates[0], sm.baseRates[1]/3 })
			sm.after(fraction(l, 0.8), func() { sm.requestRates = slices.Clone(sm.baseRates) })
		}},
		{"noisy", "bursts of noisy batch tasks", ordinaryLoad, addBursts},
		{"host", "two workers crash and return", ordinaryLoad, crashTwoWorkers},
		{"rack", "one rack crashes and returns", ordinaryLoad, func(sm *simulation, l time.Duration) {
			for _, w := range sm.workers {
				if w.rack == sm.workers[0].rack {
					sm.after(fraction(l, 0.2), func() { sm.crashWorker(w) })
					sm.after(fraction(l, 0.8), func() { sm.restoreWorker(w) })
				}
			}
		}},
		{"domain", "one failure domain crashes and returns", ordinaryLoad, func(sm *simulation, l time.Duration) {
			sm.after(fraction(l, 0.2), func() { sm.crashDomain(1) })
			sm.after(fraction(l, 0.8), func() { sm.restoreDomain(1) })
		}},
		{"store", "the store is unavailable, so no new jobs are accepted", ordinaryLoad, func(sm *simulation, l time.Duration) {
			sm.after(fraction(l, 0.1), func() { sm.storeAvailable = false })
			sm.after(min(fraction(l, 0.9), fraction(l, 0.1)+30*time.Minute), func() {
				sm.storeAvailable = true
				for _, submit := range sm.deferredSubmissions {
					submit()
				}
				sm.deferredSubmissions = nil
			})
		}},
		{"partition", "one failure domain is partitioned", ordinaryLoad, func(sm *simulation, l time.Duration) {
			sm.after(fraction(l, 0.2), func() { sm.partitionDomain(1) })
			sm.after(fraction(l, 0.8), func() { sm.shards[1].available = true })
		}},
		{"slow", "a tenth of the first service's instances become 8 times slower", ordinaryLoad, func(sm *simulation, l time.Duration) {
			sm.after(fraction(l, 0.2), func() { sm.setSlowInstances(8) })
			sm.after(fraction(l, 0.8), func() { sm.setSlowInstances(1) })
		}},
		{"failing", "one worker fails every task", ordinaryLoad, func(sm *simulation, l time.Duration) {
			sm.after(fraction(l, 0.2), func() { sm.workers[3].failsTasks = true })
			sm.after(fraction(l, 0.8), func() { sm.workers[3].failsTasks = false })
		}},
		{"cancel", "60% of all jobs are cancelled at once, twice", ordinaryLoad, func(sm *simulation, l time.Duration) {
			sm.after(fraction(l, 0.3), func() { sm.cancelJobs(0.6) })
			sm.after(fraction(l, 0.6), func() { sm.cancelJobs(0.6) })
		}},
		{"underdeclared", "jobs use 4 times their declared size", func(sm *simulation) { ordinaryLoad(sm); sm.usagePerDeclared = 4 }, noFaults},
		{"overdeclared", "jobs use a quarter of their declared size", func(sm *simulation) { ordinaryLoad(sm); sm.usagePerDeclared = 0.25 }, noFaults},
		{"rolling", "the workers are drained and replaced, two of a failure domain at a time", ordinaryLoad, func(sm *simulation, l time.Duration) {
			// At most two workers of a failure domain are replaced at once, so a short run
			// replaces only some of them.
			next := make([]time.Duration, len(sm.shards)) // time of the next replacement, by domain
			for _, w := range sm.workers {
				at := next[w.domain]
				next[w.domain] += replacementInterval
				if at < fraction(l, 0.85) {
					sm.after(at, func() { sm.replaceWorker(w, workerAbsence) })
				}
			}
		}},
		{"noisy+host", "bursts of noisy batch tasks while two workers crash", ordinaryLoad, func(sm *simulation, l time.Duration) {
			addBursts(sm, l)
			crashTwoWorkers(sm, l)
		}},
		{"capacity", "request load at the capacity of the slots", func(sm *simulation) { sm.setLoad(0.7, 0.7) }, noFaults},
		{"overload", "request load at twice the capacity of the slots", func(sm *simulation) { sm.setLoad(1.4, 1.4) }, noFaults},
	}
}

// Times of the scenario "rolling".
const (
	// workerAbsence is the time from a worker's removal until its return. A worker must not
	// return before its tasks count as lost.
	workerAbsence = lossDetectionDelay + 10*time.Second
	// replacementInterval is the interval of replacements in a failure domain. With it, two
	// workers of the failure domain are draining or absent at once.
	replacementInterval = (drainDuration + workerAbsence) / 2
)

// addBursts enables the bursts of noisy tasks from 0.1 to 0.9 of the measured time.
func addBursts(sm *simulation, l time.Duration) {
	sm.after(fraction(l, 0.1), func() { sm.bursting = true })
	sm.after(fraction(l, 0.9), func() { sm.bursting = false })
}

// crashTwoWorkers crashes two workers in different failure domains at 0.2 of the measured time
// and restores them at 0.8.
func crashTwoWorkers(sm *simulation, l time.Duration) {
	for _, i := range []int{2, len(sm.workers) - 3} {
		sm.after(fraction(l, 0.2), func() { sm.crashWorker(sm.workers[i]) })
		sm.after(fraction(l, 0.8), func() { sm.restoreWorker(sm.workers[i]) })
	}
}

// setSlowInstances sets the slow factor of a tenth of the first service's instances, spread
// over the failure domains.
func (sm *simulation) setSlowInstances(factor float64) {
	var first []*instance
	for _, in := range sm.instances {
		if in.service == 0 {
			first = append(first, in)
		}
	}
	for i := 0; i < len(first); i += 10 {
		first[i].slowFactor = factor
	}
}
