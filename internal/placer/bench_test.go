package placer

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"peridotpitch/internal/configurator"
)

// benchFleet returns n workers with 17 tasks each: 3 service instances and 14 batch tasks.
func benchFleet(n int) []Worker {
	rnd := rand.New(rand.NewPCG(1, uint64(n)))
	ws := fleet(n, configurator.Resources{Cores: 32, Memory: 125 << 30})
	for i := range ws {
		ws[i].Version = uint64(i + 1)
		for j := range 17 {
			t := batchTask(fmt.Sprintf("b%d-%d", i, j), 1)
			t.Class = fmt.Sprint("class", rnd.IntN(12))
			t.Team = fmt.Sprint("team", rnd.IntN(200))
			if j < 3 {
				t.Kind, t.Spread = KindService, fmt.Sprint("service", rnd.IntN(20))
			}
			addTask(&ws[i], t)
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

// BenchmarkPlace measures a call of Place after one worker has changed, for several numbers of
// workers in the shard.
func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{20, 100, 165, 300, 990} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p, ws := newPlacer(benchPolicy()), benchFleet(n)
			t := batchTask("new", 1)
			t.Class, t.Team = "class3", "team3"
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				ws[i%n].Version += uint64(n)
				i++
				if _, ok := p.Place(t, ws, testStart).(Assign); !ok {
					b.Fatal("not assigned")
				}
			}
		})
	}
}

// BenchmarkPreempt measures a call of Place for an urgent task while no worker has a
// free core.
func BenchmarkPreempt(b *testing.B) {
	for _, n := range []int{165, 990} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p, ws := newPlacer(benchPolicy()), benchFleet(n)
			for i := range ws {
				ws[i].Capacity.Cores = 17 // 17 tasks of one core each: no core is free
			}
			t := batchTask("new", 2)
			t.Urgent = true
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := p.Place(t, ws, testStart).(Preempt); !ok {
					b.Fatal("not preempted")
				}
				p.dropReservation(t.Name)
			}
		})
	}
}

// BenchmarkObserve measures the processing of one report of a full worker.
func BenchmarkObserve(b *testing.B) {
	p, ws := newPlacer(Policy{}), benchFleet(1)
	for i := range ws[0].AssignedTasks {
		ws[0].AssignedTasks[i].Slowdown = 1.2
	}
	b.ReportAllocs()
	at := testStart
	for b.Loop() {
		at = at.Add(1)
		ws[0].MeasuredAt = at
		p.Observe(ws[0], at)
	}
}

// TestPlaceAllocations guards against allocations in Place that grow with the number of workers.
func TestPlaceAllocations(t *testing.T) {
	p, ws := newPlacer(benchPolicy()), benchFleet(165)
	task := batchTask("new", 1)
	p.Place(task, ws, testStart)
	const bound = 4 // for the list of candidates and the decision, with any number of workers
	if n := testing.AllocsPerRun(100, func() { p.Place(task, ws, testStart) }); n > bound {
		t.Errorf("Place made %.0f allocations, want at most %d", n, bound)
	}
}
