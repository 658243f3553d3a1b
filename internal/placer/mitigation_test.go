package placer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// fakeWorker is a worker with one service instance and noisy and quiet batch tasks. The slowdown
// of the service follows the cores that the noisy tasks use.
type fakeWorker struct {
	Worker
	noisySlowdown float64 // excess slowdown of the service if noisy tasks use all 8 cores
}

func newFakeWorker(now time.Time) *fakeWorker {
	f := &fakeWorker{Worker: fleet(1, capacity8)[0], noisySlowdown: 2}
	addTask(&f.Worker, Task{Name: "s", Class: "quotes", Kind: KindService})
	for _, n := range []string{"n1", "n2"} {
		b := batchTask(n, 2)
		b.Class = "noisy"
		addTask(&f.Worker, b)
	}
	b := batchTask("q", 2)
	b.Class = "quiet"
	addTask(&f.Worker, b)
	f.report(now)
	return f
}

func (f *fakeWorker) report(now time.Time) {
	f.MeasuredAt = now
	noisy := 0.0
	for i := range f.AssignedTasks {
		r := &f.AssignedTasks[i]
		if r.Kind == KindBatch {
			r.Measured.Cores = r.Declared.Cores * limitOf(r)
		}
		if r.Class == "noisy" && !r.Stopping {
			noisy += r.Measured.Cores
		}
	}
	f.AssignedTasks[0].Measured.Cores = 1
	f.AssignedTasks[0].Slowdown = 1 + f.noisySlowdown*noisy/8
}

func (f *fakeWorker) apply(actions []Mitigation, now time.Time) {
	for _, a := range actions {
		for i := range f.AssignedTasks {
			r := &f.AssignedTasks[i]
			switch a := a.(type) {
			case Throttle:
				if r.Name == a.Task {
					r.Throttled, r.LastAction = a.Limit, now
				}
			case Checkpoint:
				if r.Name == a.Task {
					r.Stopping, r.LastAction = true, now
				}
			}
		}
	}
}

// TestMitigationOrder guards against an action on a harmless neighbour, a second action on a worker
// without a newer report, and a task that is checkpointed before it is
// throttled.
func TestMitigationOrder(t *testing.T) {
	is := is.New(t)
	p := newPlacer(Policy{SlowdownBound: 1.3})
	now := observeReports(p, 300, rand.New(rand.NewPCG(5, 5))).Add(time.Minute)
	f := newFakeWorker(now)
	f.noisySlowdown = 8 // throttling alone is not enough
	f.report(now)
	var kinds []string
	stops := 0
	for range 40 {
		now = now.Add(time.Second)
		actions := p.Mitigate([]Worker{f.Worker}, now)
		f.apply(actions, now)
		if len(actions) > 0 {
			is.Equal(len(actions), 1)
			is.Equal(len(p.Mitigate([]Worker{f.Worker}, now.Add(time.Second))), 0) // no newer report
		}
		for _, a := range actions {
			switch a := a.(type) {
			case Throttle:
				is.True(a.Task != "q")
				kinds = append(kinds, "throttle")
			case Checkpoint:
				is.True(a.Task != "q")
				kinds = append(kinds, "checkpoint")
			case Stop:
				stops++
			}
		}
		now = now.Add(time.Second)
		f.report(now)
		f.AssignedTasks[0].Slowdown = 1.5 // the service stays above SlowdownBound
	}
	is.Equal(kinds, []string{"throttle", "throttle", "checkpoint", "checkpoint"})
	is.True(stops > 0)                    // the checkpoints never complete
	is.True(stops <= 2*maxActionsPerHour) // there are two noisy tasks
}

// TestMitigationOfUnrelatedSlowdown guards against neighbours being throttled and moved without end
// although an instance is slow for another reason than its neighbours.
func TestMitigationOfUnrelatedSlowdown(t *testing.T) {
	is := is.New(t)
	p := newPlacer(Policy{})
	now := observeReports(p, 300, rand.New(rand.NewPCG(5, 5)))
	f := newFakeWorker(now)
	for i := range 12 {
		b := batchTask(fmt.Sprint("more", i), 0.5)
		b.Class = "noisy"
		addTask(&f.Worker, b)
	}
	actions := 0
	for range 300 {
		now = now.Add(2 * time.Second)
		f.report(now)
		f.AssignedTasks[0].Slowdown = 8
		p.Observe(f.Worker, now)
		out := p.Mitigate([]Worker{f.Worker}, now.Add(time.Second))
		f.apply(out, now.Add(time.Second))
		actions += len(out)
	}
	is.True(actions <= 2*maxIneffectiveActions) // 10 minutes are two mitigation windows
	mean, _ := p.InterferenceCoefficient("quotes", "quiet", now)
	is.True(mean < 8) // the coefficient of the quiet class stays below the measured slowdown
}

// TestThrottleRelease guards against throttles that stay after the interference has ended, and
// against throttles that alternate with releases while it lasts.
func TestThrottleRelease(t *testing.T) {
	is := is.New(t)
	p := newPlacer(Policy{SlowdownBound: 1.3})
	now := observeReports(p, 300, rand.New(rand.NewPCG(5, 5)))
	f := newFakeWorker(now)
	actions, releases := 0, 0
	run := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(2 * time.Second) {
			f.report(now)
			out := p.Mitigate([]Worker{f.Worker}, now.Add(time.Second))
			f.apply(out, now.Add(time.Second))
			for _, a := range out {
				actions++
				if th, ok := a.(Throttle); ok && th.Rule == RuleInterferenceEnded {
					releases++
				}
			}
		}
	}
	run(20 * time.Minute)
	is.True(f.AssignedTasks[0].Slowdown < 1.35)
	is.True(actions <= 10)
	f.noisySlowdown = 0.1
	p.estimator = newEstimator() // has no samples of the class's interference
	run(20 * time.Minute)
	is.Equal(limitOf(&f.AssignedTasks[1]), 1.0)
	is.Equal(limitOf(&f.AssignedTasks[2]), 1.0)
	is.True(releases >= 2)
}

// TestMoveBeforeOutOfMemory guards against a worker that runs out of memory because its tasks use
// more than they declared.
func TestMoveBeforeOutOfMemory(t *testing.T) {
	is := is.New(t)
	p := newPlacer(Policy{})
	f := newFakeWorker(testStart)
	f.noisySlowdown = 0
	f.report(testStart)
	f.AssignedTasks[1].Measured.Memory = 31 << 30
	f.AssignedTasks[2].Measured.Memory = 1 << 30
	out := p.Mitigate([]Worker{f.Worker}, testStart.Add(time.Second))
	is.Equal(len(out), 1)
	c, ok := out[0].(Checkpoint)
	is.True(ok)
	is.Equal(c.Task, "n1")
}
