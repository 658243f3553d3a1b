package evaluator

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// loop is an event loop on virtual time.
type loop struct {
	now    time.Time
	events events
	next   uint64
}

type event struct {
	at    time.Time
	order uint64 // events of equal time run in the order in which they were added
	run   func()
}

type events []*event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(*event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	old[len(old)-1] = nil
	*e = old[:len(old)-1]
	return x
}

// after runs f once a time has passed.
func (l *loop) after(d time.Duration, f func()) {
	l.next++
	heap.Push(&l.events, &event{l.now.Add(d), l.next, f})
}

// every runs f periodically, first after d.
func (l *loop) every(d time.Duration, f func()) {
	l.after(d, func() {
		f()
		l.every(d, f)
	})
}

// run processes events until the given time.
func (l *loop) run(until time.Time) {
	for len(l.events) > 0 && !l.events[0].at.After(until) {
		e := heap.Pop(&l.events).(*event)
		l.now = e.at
		e.run()
	}
	l.now = until
}

// stream numbers a seeded random number source of a run.
type stream uint64

// Streams. Those of the environment come before streamPolicy.
const (
	streamTruth stream = iota + 1
	streamArrivals
	streamService
	streamJobs
	streamReports
	streamFaults
	streamPolicy
)

func source(seed uint64, s stream) *rand.Rand {
	return rand.New(rand.NewPCG(seed, uint64(s)*0x9e3779b97f4a7c15))
}
