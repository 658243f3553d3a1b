package placer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpitch/internal/configurator"
)

// observeReports passes n reports to p and returns the time of the last one. In them, noisy tasks
// slow down the service "quotes" by 2 per share of the worker's cores; quiet tasks do not.
func observeReports(p *Placer, n int, rnd *rand.Rand) time.Time {
	now := testStart
	for i := range n {
		now = now.Add(time.Second)
		w := fleet(1, capacity8)[0]
		w.Name, w.MeasuredAt = fmt.Sprint("w", i%5), now
		noisy, quiet := rnd.Float64()*4, rnd.Float64()*4
		addTask(&w, Task{Name: "n", Class: "noisy", Kind: KindBatch}).Measured.Cores = noisy
		addTask(&w, Task{Name: "q", Class: "quiet", Kind: KindBatch}).Measured.Cores = quiet
		s := addTask(&w, Task{Name: "s", Class: "quotes", Kind: KindService})
		s.Measured.Cores = 1
		s.Slowdown = 1 + 2*noisy/8 + 0.05*rnd.NormFloat64()
		p.Observe(w, now)
	}
	return now
}

// TestInterferenceEstimate guards against interference that is attributed to the wrong neighbour,
// and against coefficients that do not decay to the prior.
func TestInterferenceEstimate(t *testing.T) {
	is := is.New(t)
	p := newPlacer(Policy{})
	now := observeReports(p, 300, rand.New(rand.NewPCG(3, 3)))
	noisy, sigma := p.InterferenceCoefficient("quotes", "noisy", now)
	quiet, _ := p.InterferenceCoefficient("quotes", "quiet", now)
	is.True(math.Abs(noisy-2) < 0.2)
	is.True(quiet < 0.2)
	is.True(sigma < 0.2)
	later, laterSigma := p.InterferenceCoefficient("quotes", "noisy", now.Add(2*coefficientHalfLife))
	is.True(laterSigma > sigma)
	is.True(later < noisy)

	ws := fleet(2, capacity8)
	for i, class := range []string{"noisy", "quiet"} {
		addTask(&ws[i], Task{Name: "n" + class, Class: class, Kind: KindBatch, Declared: configurator.Resources{Cores: 4}})
		ws[i].MeasuredAt = now
	}
	service := Task{Name: "s", Class: "quotes", Kind: KindService, Declared: configurator.Resources{Cores: 1}}
	name, err := assignedWorker(p.Place(service, ws, now))
	is.NoErr(err)
	is.Equal(name, "w1")
}

// TestObserveIgnoresStaleReports guards against a report that is counted twice, and against one
// that is used although a task was throttled after the measurement.
func TestObserveIgnoresStaleReports(t *testing.T) {
	is := is.New(t)
	p := newPlacer(Policy{})
	w := fleet(1, capacity8)[0]
	addTask(&w, Task{Name: "n", Class: "noisy", Kind: KindBatch}).Measured.Cores = 4
	addTask(&w, Task{Name: "s", Class: "quotes", Kind: KindService}).Slowdown = 3
	w.AssignedTasks[0].LastAction = testStart.Add(time.Second)
	p.Observe(w, testStart.Add(2*time.Second))
	mean, _ := p.InterferenceCoefficient("quotes", "noisy", testStart)
	is.Equal(mean, priorCoefficient) // throttled after the measurement
	w.AssignedTasks[0].LastAction = time.Time{}
	w.MeasuredAt = testStart.Add(time.Second)
	p.Observe(w, testStart.Add(2*time.Second))
	once, _ := p.InterferenceCoefficient("quotes", "noisy", testStart)
	is.True(once > priorCoefficient)
	p.Observe(w, testStart.Add(2*time.Second))
	twice, _ := p.InterferenceCoefficient("quotes", "noisy", testStart)
	is.Equal(twice, once)
}

// TestTablesBounded guards against tables that grow with the number of names in reports.
func TestTablesBounded(t *testing.T) {
	is := is.New(t)
	p := newPlacer(Policy{})
	for i := range maxReportTimes + 100 {
		w := fleet(1, capacity8)[0]
		w.Name = fmt.Sprint("w", i)
		addTask(&w, Task{Name: "t", Class: fmt.Sprint("class", i), Kind: KindBatch}).Slowdown = 2
		p.Observe(w, testStart)
		p.TaskEnded(w.Name, fmt.Sprint("job", i), true, testStart)
	}
	is.True(p.estimator.classCount() <= maxClasses)
	is.True(len(p.estimator.lastReports) <= maxReportTimes)
	is.True(len(p.failures.workers) <= maxFailureHistories)
	is.True(len(p.failures.firstFailedOn) <= maxFailedJobs)
}

// TestSizeCorrection guards against overloaded workers when the tasks of a class use 4 times their
// declared size: new tasks must count with that size before their first report.
func TestSizeCorrection(t *testing.T) {
	is := is.New(t)
	p := newPlacer(Policy{})
	now := testStart
	for range 10 {
		now = now.Add(time.Second)
		w := fleet(1, capacity8)[0]
		w.MeasuredAt = now
		addTask(&w, batchTask("a", 1)).Measured = configurator.Resources{Cores: 4, Memory: 4 << 30}
		p.Observe(w, now)
	}
	ws := fleet(1, capacity8)
	ws[0].MeasuredAt = now
	placed := 0
	for i := range 8 {
		if _, err := assignedWorker(p.Place(batchTask(fmt.Sprint("b", i), 1), ws, now)); err == nil {
			placed++
			addTask(&ws[0], batchTask(fmt.Sprint("b", i), 1))
		}
	}
	is.Equal(placed, 2)
}
