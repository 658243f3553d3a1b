package placer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// host is a fake worker with one service and noisy and quiet neighbours. Its service's
// slowdown follows the noisy tasks' limits.
type host struct {
	Worker
	base float64 // slowdown per noisy core, as a share of 8 cores
}

func newHost(now time.Time) *host {
	h := &host{Worker: fleet(1, size8)[0], base: 2}
	add(&h.Worker, Task{Name: "s", Class: "quotes", Kind: KindService})
	for _, n := range []string{"n1", "n2"} {
		b := batch(n, 2)
		b.Class = "noisy"
		add(&h.Worker, b)
	}
	b := batch("q", 2)
	b.Class = "quiet"
	add(&h.Worker, b)
	h.report(now)
	return h
}

func (h *host) report(now time.Time) {
	h.ReportedAt = now
	noisy := 0.0
	for i := range h.Residents {
		r := &h.Residents[i]
		if r.Kind == KindBatch {
			r.Measured.Cores = r.Declared.Cores * limitOf(r)
		}
		if r.Class == "noisy" && !r.Stopping {
			noisy += r.Measured.Cores
		}
	}
	h.Residents[0].Measured.Cores = 1
	h.Residents[0].Slowdown = 1 + h.base*noisy/8
}

func (h *host) apply(actions []Relief, now time.Time) {
	for _, a := range actions {
		for i := range h.Residents {
			r := &h.Residents[i]
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

// TestRelieveOrder guards against an action against a harmless neighbour, a second action
// without a newer report, and a move before throttling was tried.
func TestRelieveOrder(t *testing.T) {
	is := is.New(t)
	p := newPlacer(Policy{SlowdownBound: 1.3})
	now := reports(p, 300, rand.New(rand.NewPCG(5, 5))).Add(time.Minute)
	h := newHost(now)
	h.base = 8 // throttling alone is not enough
	h.report(now)
	var kinds []string
	stop := 0
	for range 40 {
		now = now.Add(time.Second)
		actions := p.Relieve([]Worker{h.Worker}, now)
		h.apply(actions, now)
		if len(actions) > 0 {
			is.Equal(len(actions), 1)
			is.Equal(len(p.Relieve([]Worker{h.Worker}, now.Add(time.Second))), 0) // no newer report
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
				stop++
			}
		}
		now = now.Add(time.Second)
		h.report(now)
		h.Residents[0].Slowdown = 1.5 // stays degraded
	}
	is.Equal(kinds, []string{"throttle", "throttle", "checkpoint", "checkpoint"})
	is.True(stop > 0) // the checkpoints never complete
	is.True(stop <= 2*maxActionsPerHour)
}

// TestRelieveSick guards against neighbours that are throttled and evicted because an
// instance is slow for a reason of its own.
func TestRelieveSick(t *testing.T) {
	is := is.New(t)
	p := newPlacer(Policy{})
	now := reports(p, 300, rand.New(rand.NewPCG(5, 5)))
	h := newHost(now)
	for i := range 12 {
		b := batch(fmt.Sprint("more", i), 0.5)
		b.Class = "noisy"
		add(&h.Worker, b)
	}
	actions := 0
	for range 300 {
		now = now.Add(2 * time.Second)
		h.report(now)
		h.Residents[0].Slowdown = 8
		p.Observe(h.Worker, now)
		out := p.Relieve([]Worker{h.Worker}, now.Add(time.Second))
		h.apply(out, now.Add(time.Second))
		actions += len(out)
	}
	is.True(actions <= 2*futileAfter) // 10 minutes hold two periods of effort
	mean, _ := p.Estimate("quotes", "quiet", now)
	is.True(mean < 8)
}

// TestRelieveRelease guards against throttles that stay after the pressure is gone, and
// against oscillation while it stays.
func TestRelieveRelease(t *testing.T) {
	is := is.New(t)
	p := newPlacer(Policy{SlowdownBound: 1.3})
	now := reports(p, 300, rand.New(rand.NewPCG(5, 5)))
	h := newHost(now)
	actions, releases := 0, 0
	run := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(2 * time.Second) {
			h.report(now)
			out := p.Relieve([]Worker{h.Worker}, now.Add(time.Second))
			h.apply(out, now.Add(time.Second))
			for _, a := range out {
				actions++
				if th, ok := a.(Throttle); ok && th.Rule == RuleRelease {
					releases++
				}
			}
		}
	}
	run(20 * time.Minute)
	is.True(h.Residents[0].Slowdown < 1.35)
	is.True(actions <= 10)
	h.base = 0.1
	p.estimator = newEstimator() // the class became harmless, as fresh reports would show
	run(20 * time.Minute)
	is.Equal(limitOf(&h.Residents[1]), 1.0)
	is.Equal(limitOf(&h.Residents[2]), 1.0)
	is.True(releases >= 2)
}

// TestRelieveMemory guards against a host that runs out of memory because its tasks use more
// than they declared.
func TestRelieveMemory(t *testing.T) {
	is := is.New(t)
	p := newPlacer(Policy{})
	h := newHost(start)
	h.base = 0
	h.report(start)
	h.Residents[1].Measured.Memory = 31 << 30
	h.Residents[2].Measured.Memory = 1 << 30
	out := p.Relieve([]Worker{h.Worker}, start.Add(time.Second))
	is.Equal(len(out), 1)
	c, ok := out[0].(Checkpoint)
	is.True(ok)
	is.Equal(c.Task, "n1")
}
