package evaluator

import (
	"slices"
	"time"
)

// Scenario is a load and the faults that disturb it.
type Scenario struct {
	Name    string
	Summary string
	prepare func(w *world)                       // before the run
	disturb func(w *world, length time.Duration) // when measuring starts
}

// load sets the arrival rates so that the services use the given shares of their slots if
// nothing slows them.
func (w *world) load(shares ...float64) {
	w.base = nil
	for i, share := range shares {
		n := 0
		for _, in := range w.instances {
			if in.service == i {
				n++
			}
		}
		w.base = append(w.base, share*float64(n*slots)/serviceMean.Seconds())
	}
}

func ordinary(w *world) { w.load(0.35, 0.35) }

func nothing(*world, time.Duration) {}

func part(length time.Duration, share float64) time.Duration {
	return time.Duration(share * float64(length))
}

// Scenarios returns all scenarios. Faults start at 0.2 of the run and end at 0.8, unless
// the summary says otherwise.
func Scenarios() []Scenario {
	return []Scenario{
		{"steady", "steady load", ordinary, nothing},
		{"shift", "the first service's load rises threefold while the second's falls threefold", func(w *world) { w.load(0.15, 0.45) }, func(w *world, l time.Duration) {
			w.after(part(l, 0.2), func() { w.rates[0], w.rates[1] = 3*w.base[0], w.base[1]/3 })
			w.after(part(l, 0.8), func() { w.rates = slices.Clone(w.base) })
		}},
		{"noisy", "bursts of noisy batch tasks", ordinary, noisy},
		{"host", "two workers die and return", ordinary, loseHosts},
		{"rack", "one rack dies and returns", ordinary, func(w *world, l time.Duration) {
			for _, h := range w.hosts {
				if h.rack == w.hosts[0].rack {
					w.after(part(l, 0.2), func() { w.lose(h) })
					w.after(part(l, 0.8), func() { w.restore(h) })
				}
			}
		}},
		{"domain", "one failure domain dies and returns", ordinary, func(w *world, l time.Duration) {
			w.after(part(l, 0.2), func() { w.loseDomain(1) })
			w.after(part(l, 0.8), func() { w.restoreDomain(1) })
		}},
		{"store", "the store is down: no new jobs are accepted", ordinary, func(w *world, l time.Duration) {
			w.after(part(l, 0.1), func() { w.storeUp = false })
			w.after(min(part(l, 0.9), part(l, 0.1)+30*time.Minute), func() {
				w.storeUp = true
				for _, submit := range w.held {
					submit()
				}
				w.held = nil
			})
		}},
		{"partition", "one failure domain is partitioned", ordinary, func(w *world, l time.Duration) {
			w.after(part(l, 0.2), func() { w.partition(1) })
			w.after(part(l, 0.8), func() { w.shards[1].up = true })
		}},
		{"slow", "three instances of the first service become 8 times slower", ordinary, func(w *world, l time.Duration) {
			w.after(part(l, 0.2), func() { w.slowInstances(8) })
			w.after(part(l, 0.8), func() { w.slowInstances(1) })
		}},
		{"failing", "one worker fails every task", ordinary, func(w *world, l time.Duration) {
			w.after(part(l, 0.2), func() { w.hosts[3].failing = true })
			w.after(part(l, 0.8), func() { w.hosts[3].failing = false })
		}},
		{"cancel", "60% of all jobs are cancelled at once, twice", ordinary, func(w *world, l time.Duration) {
			w.after(part(l, 0.3), func() { w.cancelJobs(0.6) })
			w.after(part(l, 0.6), func() { w.cancelJobs(0.6) })
		}},
		{"underdeclared", "jobs use 4 times their declared size", func(w *world) { ordinary(w); w.declare = 4 }, nothing},
		{"overdeclared", "jobs use a quarter of their declared size", func(w *world) { ordinary(w); w.declare = 0.25 }, nothing},
		{"rolling", "every worker is drained and replaced in turn", ordinary, func(w *world, l time.Duration) {
			for i, h := range w.hosts {
				w.after(part(l, 0.05+0.8*float64(i)/float64(len(w.hosts))), func() { w.replace(h, lossDetection+10*time.Second) })
			}
		}},
		{"noisy+host", "bursts of noisy batch tasks while two workers die", ordinary, func(w *world, l time.Duration) {
			noisy(w, l)
			loseHosts(w, l)
		}},
		{"capacity", "requests at the capacity of the slots", func(w *world) { w.load(0.7, 0.7) }, nothing},
		{"overload", "requests at twice the load of capacity", func(w *world) { w.load(1.4, 1.4) }, nothing},
	}
}

func noisy(w *world, l time.Duration) {
	w.after(part(l, 0.1), func() { w.bursting = true })
	w.after(part(l, 0.9), func() { w.bursting = false })
}

func loseHosts(w *world, l time.Duration) {
	for _, i := range []int{2, len(w.hosts) - 3} {
		w.after(part(l, 0.2), func() { w.lose(w.hosts[i]) })
		w.after(part(l, 0.8), func() { w.restore(w.hosts[i]) })
	}
}

// slowInstances changes one instance of the first service in each of three failure domains.
func (w *world) slowInstances(factor float64) {
	changed := map[int]bool{}
	for _, in := range w.instances {
		if in.service == 0 && !changed[in.domain] && len(changed) < 3 {
			in.slow = factor
			changed[in.domain] = true
		}
	}
}
