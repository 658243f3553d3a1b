package evaluator

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// eventLoop runs events in the order of their virtual time.
type eventLoop struct {
	now       time.Time
	events    events
	nextOrder uint64
}

type event struct {
	at    time.Time
	order uint64 // of addition; breaks ties between events of equal time
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

// after schedules f to run once after d.
func (l *eventLoop) after(d time.Duration, f func()) {
	l.nextOrder++
	heap.Push(&l.events, &event{l.now.Add(d), l.nextOrder, f})
}

// every schedules f to run at the interval d, first after d.
func (l *eventLoop) every(d time.Duration, f func()) {
	l.after(d, func() {
		f()
		l.every(d, f)
	})
}

// run processes the events up to and including the given time.
func (l *eventLoop) run(until time.Time) {
	for len(l.events) > 0 && !l.events[0].at.After(until) {
		e := heap.Pop(&l.events).(*event)
		l.now = e.at
		e.run()
	}
	l.now = until
}

// stream identifies one of the random number sources of a run.
type stream uint64

// Streams of the environment, and streamPolicy, the first stream of the policies. Each shard and
// each process of an entry host has its own stream with a number from streamPolicy on.
const (
	streamInterference stream = iota + 1
	streamArrivals
	streamService
	streamJobs
	streamReports
	streamFaults
	streamPolicy
)

// newRandom returns the random number source of a stream.
func newRandom(seed uint64, s stream) *rand.Rand {
	return rand.New(rand.NewPCG(seed, uint64(s)*0x9e3779b97f4a7c15))
}
