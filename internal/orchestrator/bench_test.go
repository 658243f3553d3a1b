package orchestrator_test

import (
	"fmt"
	"testing"
	"time"

	"peridotpitch/internal/orchestrator"
)

// BenchmarkPassOverLongQueue measures one scheduling pass over 800 waiting steps that fit on
// none of 490 workers, which run tasks of five latency-critical images.
func BenchmarkPassOverLongQueue(b *testing.B) {
	w := newSimulation(b, 1)
	for i := range 490 {
		w.addWorker(fmt.Sprintf("w%03d", i), cores(16, 64), "r0")
	}
	w.elect(false)
	w.run(2 * time.Second)
	for i := range 350 {
		w.submit(latencyCriticalJob(fmt.Sprintf("s%d", i), fmt.Sprintf("image%d", i%5), 6, cores(3, 6)))
	}
	w.run(2 * time.Second)
	w.runTime = func(string, *simulatedWorker) time.Duration { return time.Hour }
	for i := range 800 {
		w.submit(bestEffortJob(fmt.Sprintf("b%d", i), fmt.Sprintf("batch%d", i%9), 20, cores(2, 2)))
	}
	w.run(3 * time.Second)
	l := w.leader()
	b.ResetTimer()
	for b.Loop() {
		w.now = w.now.Add(200 * time.Millisecond)
		l.step(orchestrator.Tick{})
	}
}

// BenchmarkPassWithoutCapacity measures the passes of one second while long-running and
// best-effort tasks leave no capacity for 300 short jobs of higher priority.
func BenchmarkPassWithoutCapacity(b *testing.B) {
	w := newSimulation(b, 1)
	for i := range 350 {
		w.addWorker(fmt.Sprintf("w%03d", i), cores(32, 128), "r0")
	}
	w.elect(false)
	w.run(2 * time.Second)
	w.runTime = func(string, *simulatedWorker) time.Duration { return time.Hour }
	for i := range 350 {
		w.submit(latencyCriticalJob(fmt.Sprintf("s%d", i), fmt.Sprintf("image%d", i%5), 5, cores(6, 12)))
		w.submit(bestEffortJob(fmt.Sprintf("b%d", i), fmt.Sprintf("batch%d", i%9), 8, cores(2, 2)))
	}
	w.run(2 * time.Second)
	for i := range 300 {
		w.submit(simpleJob(fmt.Sprintf("q%d", i), 10, cores(4, 2)))
	}
	w.run(time.Second)
	l := w.leader()
	b.ResetTimer()
	for b.Loop() {
		for range 10 {
			w.now = w.now.Add(100 * time.Millisecond)
			l.step(orchestrator.Tick{})
		}
	}
}

// BenchmarkSecondAfterLossOfWorkers measures the leader's second after an eighth of 490 workers is
// lost: 700 long-running tasks wait beside 4,500 tasks of short and best-effort jobs, while about 600
// runs end.
func BenchmarkSecondAfterLossOfWorkers(b *testing.B) {
	for b.Loop() {
		b.StopTimer()
		w := newSimulation(b, 1)
		w.runTime = func(string, *simulatedWorker) time.Duration {
			return 600*time.Millisecond + time.Duration(w.rng.Int64N(int64(600*time.Millisecond)))
		}
		for i := range 490 {
			w.addWorker(fmt.Sprintf("w%03d", i), cores(16, 64), fmt.Sprintf("r%d", i/8))
		}
		w.elect(false)
		w.run(2 * time.Second)
		for i := range 130 {
			w.submit(latencyCriticalJob(fmt.Sprintf("s%d", i), fmt.Sprintf("image%d", i%10), 14, cores(4, 6)))
		}
		w.run(2 * time.Second)
		for i := range 200 {
			w.submit(simpleJob(fmt.Sprintf("q%d", i), 10, cores(2.8, 4)))
			w.submit(bestEffortJob(fmt.Sprintf("b%d", i), fmt.Sprintf("batch%d", i%18), 20, cores(1.8, 2)))
		}
		w.run(time.Second)
		for i := range 61 {
			k := w.workers[fmt.Sprintf("w%03d", i*8)]
			k.replaced = true
			clear(k.runs)
		}
		w.run(6 * time.Second)
		b.StartTimer()
		w.run(time.Second)
	}
}
