package orchestrator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpitch/internal/admitter"
	"peridotpitch/internal/orchestrator"
)

// outlookAfter measures the outlook each 250 ms while the simulation runs, as the coordinator does.
func outlookAfter(w *simulation, d time.Duration) (admitter.Outlook, bool) {
	var out admitter.Outlook
	known := false
	for end := w.now.Add(d); w.now.Before(end); {
		w.run(250 * time.Millisecond)
		out, known = w.leader().o.Outlook(w.now)
	}
	return out, known
}

// Load: 4 workers of 9 cores, whose memory is used up by 32 tasks of 1 core, and two priorities with 10 and 100 waiting tasks of 1 core
// and 4 s; labelled tasks that fit nowhere. Guards against an outlook that a new leader gives before it has measured,
// that counts the work of other priorities and of restricted workers wrongly, that counts cores as free
// which no task can use, or that counts what only less urgent
// tasks use as lost.
func TestOutlook(t *testing.T) {
	is := is.New(t)
	w := newCluster(t, 4, cores(9, 8))
	w.runTime = func(string, *simulatedWorker) time.Duration { return time.Hour }
	job := func(id string, priority, tasks int, label string) orchestrator.Job {
		return orchestrator.Job{ID: id, Policy: orchestrator.Policy{Priority: priority, Stretch: 100},
			Steps: []orchestrator.Step{{Count: tasks, Size: cores(1, 1), Estimate: 4 * time.Second, RequiredLabel: label}}}
	}
	w.submit(job("a", 0, 32, "")) // urgent tasks are not stopped for others
	w.run(time.Second)
	w.submit(job("b", 0, 10, ""))
	w.submit(job("c", 1, 100, ""))
	w.submit(job("d", 0, 1000, "gpu"))
	_, known := outlookAfter(w, 500*time.Millisecond)
	is.True(!known)
	out, known := outlookAfter(w, 3*time.Second)
	is.True(known)
	is.Equal(len(out.Entries), 2)
	urgent, other := out.Entries[0], out.Entries[1]
	is.Equal(urgent.Cores, 10.0)
	is.Equal(other.Cores, 110.0)
	is.Equal(urgent.Work, 0.0)
	is.Equal(other.Work, 40.0) // of the urgent class
	own := 0
	for _, n := range other.Own {
		own += n
	}
	is.Equal(own, 400)
	is.Equal(urgent.Free, 0.0)
	is.True(urgent.Rate > 35 && urgent.Rate < 37)
	is.True(other.Rate > 28 && other.Rate < 35) // urgent work takes some of it
}

// Load: best-effort tasks on 4 workers of 8 cores, with more waiting. Guards against a rate that is given before it was
// measured, and that is not the rate at which the work is completed.
func TestOutlookOfBestEffortWork(t *testing.T) {
	is := is.New(t)
	w := newCluster(t, 4, cores(8, 32))
	w.submit(bestEffortJob("b", "batch", 4000, cores(1, 0)))
	out, _ := outlookAfter(w, 3*time.Second)
	is.Equal(out.Entries[0].Rate, 0.0)
	out, _ = outlookAfter(w, 12*time.Second)
	e := out.Entries[0]
	is.True(e.Class.BestEffort)
	is.True(e.Rate > 24 && e.Rate < 33)
}

// BenchmarkOutlook measures the outlook of 1,100 workers and 300 jobs of 2 steps of 50 tasks, most of which wait.
func BenchmarkOutlook(b *testing.B) {
	w := newSimulation(b, 1)
	for i := range 1100 {
		w.addWorker(fmt.Sprintf("w%04d", i), cores(16, 64), "r0")
	}
	w.elect(false)
	w.run(2 * time.Second)
	w.runTime = func(string, *simulatedWorker) time.Duration { return time.Hour }
	for i := range 300 {
		j := simpleJob(fmt.Sprintf("j%d", i), 50, cores(2, 2))
		j.Steps = append(j.Steps, j.Steps[0])
		j.Steps[1].After, j.Policy.Priority = []int{0}, i%2
		w.submit(j)
	}
	w.run(2 * time.Second)
	l := w.leader()
	b.ReportAllocs()
	b.ResetTimer()
	for b.Loop() {
		w.now = w.now.Add(250 * time.Millisecond)
		l.o.Outlook(w.now)
	}
}
