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

// reports feeds n reports in which noisy tasks slow quotes by 2 per share of cores and quiet
// tasks do not.
func reports(p *Placer, n int, rnd *rand.Rand) time.Time {
	now := start
	for i := range n {
		now = now.Add(time.Second)
		w := fleet(1, size8)[0]
		w.Name, w.ReportedAt = fmt.Sprint("w", i%5), now
		noisy, quiet := rnd.Float64()*4, rnd.Float64()*4
		add(&w, Task{Name: "n", Class: "noisy", Kind: KindBatch}).Measured.Cores = noisy
		add(&w, Task{Name: "q", Class: "quiet", Kind: KindBatch}).Measured.Cores = quiet
		s := add(&w, Task{Name: "s", Class: "quotes", Kind: KindService})
		s.Measured.Cores = 1
		s.Slowdown = 1 + 2*noisy/8 + 0.05*rnd.NormFloat64()
		p.Observe(w, now)
	}
	return now
}

// TestEstimator guards against interference that is attributed to the wrong neighbour, and
// against knowledge that never fades.
func TestEstimator(t *testing.T) {
	is := is.New(t)
	p := newPlacer(Policy{})
	now := reports(p, 300, rand.New(rand.NewPCG(3, 3)))
	noisy, sigma := p.Estimate("quotes", "noisy", now)
	quiet, _ := p.Estimate("quotes", "quiet", now)
	is.True(math.Abs(noisy-2) < 0.2)
	is.True(quiet < 0.2)
	is.True(sigma < 0.2)
	later, grown := p.Estimate("quotes", "noisy", now.Add(2*harmHalfLife))
	is.True(grown > sigma)
	is.True(later < noisy)

	ws := fleet(2, size8)
	for i, class := range []string{"noisy", "quiet"} {
		add(&ws[i], Task{Name: "n" + class, Class: class, Kind: KindBatch, Declared: configurator.Resources{Cores: 4}})
		ws[i].ReportedAt = now
	}
	service := Task{Name: "s", Class: "quotes", Kind: KindService, Declared: configurator.Resources{Cores: 1}}
	name, err := assigned(p.Place(service, ws, now))
	is.NoErr(err)
	is.Equal(name, "w1")
}

// TestObserveOnce guards against a report that counts twice, and against one that is used
// although the worker changed after it was measured.
func TestObserveOnce(t *testing.T) {
	is := is.New(t)
	p := newPlacer(Policy{})
	w := fleet(1, size8)[0]
	add(&w, Task{Name: "n", Class: "noisy", Kind: KindBatch}).Measured.Cores = 4
	add(&w, Task{Name: "s", Class: "quotes", Kind: KindService}).Slowdown = 3
	w.Residents[0].LastAction = start.Add(time.Second)
	p.Observe(w, start.Add(2*time.Second))
	mean, _ := p.Estimate("quotes", "noisy", start)
	is.Equal(mean, priorHarm) // throttled after the measurement
	w.Residents[0].LastAction = time.Time{}
	w.ReportedAt = start.Add(time.Second)
	p.Observe(w, start.Add(2*time.Second))
	once, _ := p.Estimate("quotes", "noisy", start)
	is.True(once > priorHarm)
	p.Observe(w, start.Add(2*time.Second))
	twice, _ := p.Estimate("quotes", "noisy", start)
	is.Equal(twice, once)
}

// TestEstimatorBounded guards against tables that grow with the names that reports carry.
func TestEstimatorBounded(t *testing.T) {
	is := is.New(t)
	p := newPlacer(Policy{})
	for i := range maxWorkersSeen + 100 {
		w := fleet(1, size8)[0]
		w.Name = fmt.Sprint("w", i)
		add(&w, Task{Name: "t", Class: fmt.Sprint("class", i), Kind: KindBatch}).Slowdown = 2
		p.Observe(w, start)
		p.TaskEnded(w.Name, fmt.Sprint("job", i), true, start)
	}
	is.True(p.estimator.count() <= maxClasses)
	is.True(len(p.estimator.seen) <= maxWorkersSeen)
	is.True(len(p.failures.workers) <= maxHealth)
	is.True(len(p.failures.suspects) <= maxSuspects)
}

// TestSizeCorrection guards against classes whose tasks are declared 4 times too small
// overloading workers before the first report.
func TestSizeCorrection(t *testing.T) {
	is := is.New(t)
	p := newPlacer(Policy{})
	now := start
	for range 10 {
		now = now.Add(time.Second)
		w := fleet(1, size8)[0]
		w.ReportedAt = now
		add(&w, batch("a", 1)).Measured = configurator.Resources{Cores: 4, Memory: 4 << 30}
		p.Observe(w, now)
	}
	ws := fleet(1, size8)
	ws[0].ReportedAt = now
	placed := 0
	for i := range 8 {
		if _, err := assigned(p.Place(batch(fmt.Sprint("b", i), 1), ws, now)); err == nil {
			placed++
			add(&ws[0], batch(fmt.Sprint("b", i), 1))
		}
	}
	is.Equal(placed, 2)
}
