package placer

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"peridotpitch/internal/configurator"
)

// CI gives the same verdict each time: rapid's seed is fixed unless the command line has
// -rapid.seed.
func init() {
	if err := flag.Set("rapid.seed", "20261203"); err != nil {
		panic(err)
	}
}

// model is a shard's view of its workers as the placer's caller keeps it, together with
// the true sizes of the tasks, which are up to 4 times smaller or larger than declared.
type model struct {
	t       *rapid.T
	p       *Placer
	now     time.Time
	workers []Worker
	lost    map[string]bool
	truth   map[string]configurator.Resources
	late    []Worker // reports measured but not delivered yet
	names   int
	version uint64
	sloppy  bool // the caller forgets to change Version
}

func (m *model) touch(w *Worker) {
	if !m.sloppy {
		m.version++
		w.Version = m.version
	}
}

// committedWith is the oracle: it does not use the placer's sums.
func committedWith(w *Worker, extra configurator.Resources) configurator.Resources {
	sum := extra
	for i := range w.Residents {
		r := &w.Residents[i]
		sum.Cores += max(r.Declared.Cores, r.Measured.Cores*(1+coreMargin))
		sum.Memory += max(r.Declared.Memory, r.Measured.Memory+r.Measured.Memory/10)
		sum.Accelerators += max(r.Declared.Accelerators, r.Measured.Accelerators)
	}
	return sum
}

func exceeds(a, capacity configurator.Resources) bool {
	return a.Cores > capacity.Cores+1e-6 || a.Memory > capacity.Memory || a.Accelerators > capacity.Accelerators
}

func (m *model) find(name string) *Worker {
	i := slices.IndexFunc(m.workers, func(w Worker) bool { return w.Name == name })
	if i < 0 {
		m.t.Fatalf("decision names the unknown worker %q", name)
	}
	return &m.workers[i]
}

func (m *model) place() {
	m.names++
	t := Task{
		Name:   fmt.Sprintf("task%d", m.names),
		Class:  rapid.SampledFrom([]string{"dents", "valves", "quotes"}).Draw(m.t, "class"),
		Kind:   rapid.SampledFrom([]string{KindBatch, KindBatch, KindService}).Draw(m.t, "kind"),
		Urgent: rapid.Bool().Draw(m.t, "urgent"),
		Declared: configurator.Resources{
			Cores:        float64(rapid.IntRange(1, 60).Draw(m.t, "tenths")) / 10,
			Memory:       int64(rapid.IntRange(0, 30).Draw(m.t, "memory")) << 30,
			Accelerators: rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(m.t, "accelerators"),
		},
	}
	wrong := rapid.SampledFrom([]float64{0.25, 1, 4}).Draw(m.t, "wrong")
	m.truth[t.Name] = configurator.Resources{Cores: t.Declared.Cores * wrong, Memory: int64(float64(t.Declared.Memory) * wrong), Accelerators: t.Declared.Accelerators}
	m.decide(t)
}

func (m *model) decide(t Task) {
	switch d := m.p.Place(t, m.workers, m.now).(type) {
	case Assign:
		w := m.find(d.Worker)
		if w.Leaving || !w.Fenced || m.now.Sub(w.ReportedAt) > staleAfter {
			m.t.Fatalf("%s was assigned to %s, which takes no work", t.Name, w.Name)
		}
		if sum := committedWith(w, t.Declared); exceeds(sum, w.Capacity) {
			m.t.Fatalf("%s was assigned to %s: committed %+v of %+v", t.Name, w.Name, sum, w.Capacity)
		}
		w.Residents = append(w.Residents, Resident{Task: t, Committed: t.Declared, Started: m.now})
		m.touch(w)
	case Preempt:
		w := m.find(d.Worker)
		for _, v := range d.Victims {
			i := slices.IndexFunc(w.Residents, func(r Resident) bool { return r.Name == v })
			if i < 0 || w.Residents[i].Kind != KindBatch || w.Residents[i].Urgent || w.Residents[i].Stopping {
				m.t.Fatalf("%s is not a victim that %s may preempt", v, t.Name)
			}
			w.Residents[i].Stopping, w.Residents[i].LastAction = true, m.now
		}
		m.touch(w)
	case Never:
		for i := range m.workers {
			if t.Declared.Fits(m.workers[i].Capacity) {
				m.t.Fatalf("%s fits %s but was rejected: %s", t.Name, m.workers[i].Name, d.Reason)
			}
		}
	}
}

// measure takes a report of a worker that is delivered by a later step.
func (m *model) measure() {
	w := rapid.SampledFrom(m.workers).Draw(m.t, "worker")
	if m.lost[w.Name] {
		return
	}
	w.ReportedAt = m.now
	w.Residents = slices.Clone(w.Residents)
	for i := range w.Residents {
		w.Residents[i].Measured = m.truth[w.Residents[i].Name]
		w.Residents[i].Slowdown = 1 + rapid.Float64Range(0, 2).Draw(m.t, "slowdown")
	}
	m.late = append(m.late, w)
}

func (m *model) deliver() {
	if len(m.late) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.late)-1).Draw(m.t, "report")
	report := m.late[i]
	m.late = slices.Delete(m.late, i, i+1)
	m.p.Observe(report, m.now)
	w := m.find(report.Name)
	if !report.ReportedAt.After(w.ReportedAt) {
		return
	}
	w.ReportedAt = report.ReportedAt
	for _, r := range report.Residents {
		for j := range w.Residents {
			if w.Residents[j].Name == r.Name {
				w.Residents[j].Measured, w.Residents[j].Slowdown = r.Measured, r.Slowdown
				w.Residents[j].Committed = Commit(r.Declared, r.Measured)
			}
		}
	}
	m.touch(w)
}

func (m *model) end() {
	w := &m.workers[rapid.IntRange(0, len(m.workers)-1).Draw(m.t, "worker")]
	if len(w.Residents) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.Residents)-1).Draw(m.t, "resident")
	m.p.TaskEnded(w.Name, w.Residents[i].Name, rapid.Bool().Draw(m.t, "failed"), m.now)
	w.Residents = slices.Delete(w.Residents, i, i+1)
	m.touch(w)
}

// lose makes a worker silent, or brings a lost one back without its tasks.
func (m *model) lose() {
	w := &m.workers[rapid.IntRange(0, len(m.workers)-1).Draw(m.t, "worker")]
	m.lost[w.Name] = !m.lost[w.Name]
	w.Fenced = !m.lost[w.Name]
	if w.Fenced {
		w.Residents, w.ReportedAt = nil, m.now
	}
	m.touch(w)
}

func (m *model) relieve() {
	for _, r := range m.p.Relieve(m.workers, m.now) {
		var worker, task string
		switch a := r.(type) {
		case Throttle:
			worker, task = a.Worker, a.Task
		case Checkpoint:
			worker, task = a.Worker, a.Task
		case Stop:
			worker, task = a.Worker, a.Task
		}
		w := m.find(worker)
		for i := range w.Residents {
			v := &w.Residents[i]
			if v.Name != task {
				continue
			}
			if v.LastAction = m.now; v.Kind != KindBatch {
				m.t.Fatalf("relief acted on %s, which is not a batch task", v.Name)
			}
			if a, ok := r.(Throttle); ok {
				v.Throttled = a.Limit
			} else {
				v.Stopping = true
			}
		}
		m.touch(w)
	}
}

// check is the invariant after every step: what was assigned never exceeds capacity.
func (m *model) check(t *rapid.T) {
	for i := range m.workers {
		var sum configurator.Resources
		for j := range m.workers[i].Residents {
			sum = sum.Add(m.workers[i].Residents[j].Declared)
		}
		if exceeds(sum, m.workers[i].Capacity) {
			t.Fatalf("%s holds %+v of %+v", m.workers[i].Name, sum, m.workers[i].Capacity)
		}
	}
}

// TestModelCapacity guards against guarantee 1 being broken: a worker that is assigned more
// than it can hold, under late reports, wrong declared sizes, preemption, lost workers and
// a caller that does not change Version.
func TestModelCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{t: t, now: time.Unix(1000, 0), lost: map[string]bool{}, truth: map[string]configurator.Resources{}}
		m.p = New(Policy{}, configurator.Measures{Latency: 3, Evictions: 2, Throughput: 1}, rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed"))))
		m.sloppy = rapid.Bool().Draw(t, "sloppy")
		for i := range rapid.IntRange(1, 4).Draw(t, "workers") {
			m.workers = append(m.workers, Worker{
				Name: fmt.Sprintf("worker%d", i), Rack: fmt.Sprintf("rack%d", i/2), FailureDomain: "sampaloc",
				Capacity:   configurator.Resources{Cores: 8, Memory: 32 << 30, Accelerators: i % 2},
				ReportedAt: m.now, Fenced: true, Version: 1,
			})
		}
		t.Repeat(map[string]func(*rapid.T){
			"place":   func(*rapid.T) { m.place() },
			"again":   func(*rapid.T) { m.place() },
			"measure": func(*rapid.T) { m.measure() },
			"deliver": func(*rapid.T) { m.deliver() },
			"end":     func(*rapid.T) { m.end() },
			"lose":    func(*rapid.T) { m.lose() },
			"relieve": func(*rapid.T) { m.relieve() },
			"leave": func(t *rapid.T) {
				w := &m.workers[rapid.IntRange(0, len(m.workers)-1).Draw(t, "worker")]
				w.Leaving = !w.Leaving
				m.touch(w)
			},
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			},
			"": m.check,
		})
	})
}
