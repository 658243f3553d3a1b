package placer_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"peridotpitch/internal/configurator"
	"peridotpitch/internal/placer"
)

func ExamplePlacer_Place() {
	now := time.Unix(1_800_000_000, 0)
	p := placer.New(placer.Policy{}, configurator.Measures{Latency: 5, Evictions: 3, Throughput: 1}, rand.New(rand.NewPCG(1, 1)))
	workers := []placer.Worker{{
		Name: "malolos-w1", Rack: "r1", FailureDomain: "malolos", EpochAccepted: true, MeasuredAt: now,
		Capacity: configurator.Resources{Cores: 32, Memory: 125 << 30},
	}}
	for _, cores := range []float64{4, 64} {
		task := placer.Task{Name: "dent-schedule", Class: "dents", Kind: placer.KindBatch, Declared: configurator.Resources{Cores: cores, Memory: 1 << 30}}
		switch d := p.Place(task, workers, now).(type) {
		case placer.Assign:
			fmt.Println("assign", d.Worker, d.Rule)
		case placer.Unschedulable:
			fmt.Println("never:", d.Reason+"; nearest", d.Nearest.Cores, "cores")
		}
	}
	// Output:
	// assign malolos-w1 LeastInterference
	// never: declared size exceeds every worker's capacity; nearest 32 cores
}

func ExampleCommittedResources() {
	declared := configurator.Resources{Cores: 2, Memory: 4_000}
	fmt.Println(placer.CommittedResources(declared, configurator.Resources{Cores: 3, Memory: 1_000}))
	// Output: {3.1500000000000004 4000 0}
}
