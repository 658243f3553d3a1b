package placer

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"peridotpitch/internal/configurator"
)

// benchFleet fills n workers with 17 tasks each: 3 service instances and 14 batch tasks.
func benchFleet(n int) []Worker {
	rnd := rand.New(rand.NewPCG(1, uint64(n)))
	ws := fleet(n, configurator.Resources{Cores: 32, Memory: 125 << 30})
	for i := range ws {
		ws[i].Version = uint64(i + 1)
		for j := range 17 {
			t := batch(fmt.Sprintf("b%d-%d", i, j), 1)
			t.Class = fmt.Sprint("class", rnd.IntN(12))
			t.Team = fmt.Sprint("team", rnd.IntN(200))
			if j < 3 {
				t.Kind, t.Spread = KindService, fmt.Sprint("service", rnd.IntN(20))
			}
			add(&ws[i], t)
		}
	}
	return ws
}

func benchPolicy() Policy {
	quotas := map[string]configurator.Resources{}
	for i := range 200 {
		quotas[fmt.Sprint("team", i)] = configurator.Resources{Cores: 1000, Memory: 1 << 50}
	}
	return Policy{Quotas: quotas}
}

// BenchmarkPlace measures one Place after one worker changed, as in a shard.
func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{20, 100, 165, 300, 990} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p, ws := newPlacer(benchPolicy()), benchFleet(n)
			t := batch("new", 1)
			t.Class, t.Team = "class3", "team3"
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				ws[i%n].Version += uint64(n)
				i++
				if _, ok := p.Place(t, ws, start).(Assign); !ok {
					b.Fatal("not assigned")
				}
			}
		})
	}
}

// BenchmarkPreempt measures one Place of an urgent task while batch fills the fleet.
func BenchmarkPreempt(b *testing.B) {
	for _, n := range []int{165, 990} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p, ws := newPlacer(benchPolicy()), benchFleet(n)
			for i := range ws {
				ws[i].Capacity.Cores = 17
			}
			t := batch("new", 2)
			t.Urgent = true
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := p.Place(t, ws, start).(Preempt); !ok {
					b.Fatal("not preempted")
				}
				p.dropReservation(t.Name)
			}
		})
	}
}

// BenchmarkObserve measures learning from one report of a full worker.
func BenchmarkObserve(b *testing.B) {
	p, ws := newPlacer(Policy{}), benchFleet(1)
	for i := range ws[0].Residents {
		ws[0].Residents[i].Slowdown = 1.2
	}
	b.ReportAllocs()
	at := start
	for b.Loop() {
		at = at.Add(1)
		ws[0].ReportedAt = at
		p.Observe(ws[0], at)
	}
}

// TestPlaceAllocations guards against a Place whose garbage grows with the fleet.
func TestPlaceAllocations(t *testing.T) {
	p, ws := newPlacer(benchPolicy()), benchFleet(165)
	task := batch("new", 1)
	p.Place(task, ws, start)
	const bound = 4 // the candidates and the decision
	if n := testing.AllocsPerRun(100, func() { p.Place(task, ws, start) }); n > bound {
		t.Errorf("Place allocated %.0f times, bound %d", n, bound)
	}
}
