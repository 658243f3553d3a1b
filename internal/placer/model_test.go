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

// CI must give the same result each time, so rapid's seed is fixed unless the command line sets
// -rapid.seed.
func init() {
	if err := flag.Set("rapid.seed", "20261203"); err != nil {
		panic(err)
	}
}

// shardModel is the view of the workers that the placer's caller keeps, together with the actual
// sizes of the tasks, which are up to 4 times smaller or larger than declared.
type shardModel struct {
	t            *rapid.T
	p            *Placer
	now          time.Time
	workers      []Worker
	lostWorkers  map[string]bool
	actualSizes  map[string]configurator.Resources
	undelivered  []Worker // reports that were measured but not delivered yet
	taskCount    int
	version      uint64
	keepsVersion bool // the caller never changes Version
}

func (m *shardModel) bumpVersion(w *Worker) {
	if !m.keepsVersion {
		m.version++
		w.Version = m.version
	}
}

// committedSize returns the committed size of a worker's tasks plus extra, computed without the
// placer's sums.
func committedSize(w *Worker, extra configurator.Resources) configurator.Resources {
	sum := extra
	for i := range w.AssignedTasks {
		r := &w.AssignedTasks[i]
		sum.Cores += max(r.Declared.Cores, r.Measured.Cores*(1+coreMarginShare))
		sum.Memory += max(r.Declared.Memory, r.Measured.Memory+r.Measured.Memory/10)
		sum.Accelerators += max(r.Declared.Accelerators, r.Measured.Accelerators)
	}
	return sum
}

func exceeds(a, capacity configurator.Resources) bool {
	return a.Cores > capacity.Cores+1e-6 || a.Memory > capacity.Memory || a.Accelerators > capacity.Accelerators
}

func (m *shardModel) find(name string) *Worker {
	i := slices.IndexFunc(m.workers, func(w Worker) bool { return w.Name == name })
	if i < 0 {
		m.t.Fatalf("decision names unknown worker %q", name)
	}
	return &m.workers[i]
}

func (m *shardModel) place() {
	m.taskCount++
	t := Task{
		Name:   fmt.Sprintf("task%d", m.taskCount),
		Class:  rapid.SampledFrom([]string{"dents", "valves", "quotes"}).Draw(m.t, "class"),
		Kind:   rapid.SampledFrom([]string{KindBatch, KindBatch, KindService}).Draw(m.t, "kind"),
		Urgent: rapid.Bool().Draw(m.t, "urgent"),
		Declared: configurator.Resources{
			Cores:        float64(rapid.IntRange(1, 60).Draw(m.t, "tenths of cores")) / 10,
			Memory:       int64(rapid.IntRange(0, 30).Draw(m.t, "memory")) << 30,
			Accelerators: rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(m.t, "accelerators"),
		},
	}
	sizeFactor := rapid.SampledFrom([]float64{0.25, 1, 4}).Draw(m.t, "sizeFactor")
	m.actualSizes[t.Name] = configurator.Resources{Cores: t.Declared.Cores * sizeFactor, Memory: int64(float64(t.Declared.Memory) * sizeFactor), Accelerators: t.Declared.Accelerators}
	m.decide(t)
}

func (m *shardModel) decide(t Task) {
	switch d := m.p.Place(t, m.workers, m.now).(type) {
	case Assign:
		w := m.find(d.Worker)
		if w.Leaving || !w.EpochAccepted || m.now.Sub(w.MeasuredAt) > maxReportAge {
			m.t.Fatalf("%s was assigned to %s, which is leaving, has another epoch or sent no recent report", t.Name, w.Name)
		}
		if sum := committedSize(w, t.Declared); exceeds(sum, w.Capacity) {
			m.t.Fatalf("%s was assigned to %s: committed %+v of %+v", t.Name, w.Name, sum, w.Capacity)
		}
		w.AssignedTasks = append(w.AssignedTasks, AssignedTask{Task: t, Committed: t.Declared, Started: m.now})
		m.bumpVersion(w)
	case Preempt:
		w := m.find(d.Worker)
		for _, v := range d.Victims {
			i := slices.IndexFunc(w.AssignedTasks, func(r AssignedTask) bool { return r.Name == v })
			if i < 0 || w.AssignedTasks[i].Kind != KindBatch || w.AssignedTasks[i].Urgent || w.AssignedTasks[i].Stopping {
				m.t.Fatalf("%s was preempted for %s, but is not a running batch task of normal urgency", v, t.Name)
			}
			w.AssignedTasks[i].Stopping, w.AssignedTasks[i].LastAction = true, m.now
		}
		m.bumpVersion(w)
	case Unschedulable:
		for i := range m.workers {
			if t.Declared.Fits(m.workers[i].Capacity) {
				m.t.Fatalf("%s fits worker %s but got Unschedulable: %s", t.Name, m.workers[i].Name, d.Reason)
			}
		}
	}
}

// measure measures a report of a worker, which a later step delivers.
func (m *shardModel) measure() {
	w := rapid.SampledFrom(m.workers).Draw(m.t, "worker")
	if m.lostWorkers[w.Name] {
		return
	}
	w.MeasuredAt = m.now
	w.AssignedTasks = slices.Clone(w.AssignedTasks)
	for i := range w.AssignedTasks {
		w.AssignedTasks[i].Measured = m.actualSizes[w.AssignedTasks[i].Name]
		w.AssignedTasks[i].Slowdown = 1 + rapid.Float64Range(0, 2).Draw(m.t, "slowdown")
	}
	m.undelivered = append(m.undelivered, w)
}

func (m *shardModel) deliver() {
	if len(m.undelivered) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.undelivered)-1).Draw(m.t, "report")
	report := m.undelivered[i]
	m.undelivered = slices.Delete(m.undelivered, i, i+1)
	m.p.Observe(report, m.now)
	w := m.find(report.Name)
	if !report.MeasuredAt.After(w.MeasuredAt) {
		return
	}
	w.MeasuredAt = report.MeasuredAt
	for _, r := range report.AssignedTasks {
		for j := range w.AssignedTasks {
			if w.AssignedTasks[j].Name == r.Name {
				w.AssignedTasks[j].Measured, w.AssignedTasks[j].Slowdown = r.Measured, r.Slowdown
				w.AssignedTasks[j].Committed = CommittedResources(r.Declared, r.Measured)
			}
		}
	}
	m.bumpVersion(w)
}

func (m *shardModel) end() {
	w := &m.workers[rapid.IntRange(0, len(m.workers)-1).Draw(m.t, "worker")]
	if len(w.AssignedTasks) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.AssignedTasks)-1).Draw(m.t, "task")
	m.p.TaskEnded(w.Name, w.AssignedTasks[i].Name, rapid.Bool().Draw(m.t, "failed"), m.now)
	w.AssignedTasks = slices.Delete(w.AssignedTasks, i, i+1)
	m.bumpVersion(w)
}

// toggleLost makes a worker unresponsive, or brings a lost one back without its tasks.
func (m *shardModel) toggleLost() {
	w := &m.workers[rapid.IntRange(0, len(m.workers)-1).Draw(m.t, "worker")]
	m.lostWorkers[w.Name] = !m.lostWorkers[w.Name]
	w.EpochAccepted = !m.lostWorkers[w.Name]
	if w.EpochAccepted {
		w.AssignedTasks, w.MeasuredAt = nil, m.now
	}
	m.bumpVersion(w)
}

func (m *shardModel) mitigate() {
	for _, r := range m.p.Mitigate(m.workers, m.now) {
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
		for i := range w.AssignedTasks {
			v := &w.AssignedTasks[i]
			if v.Name != task {
				continue
			}
			if v.LastAction = m.now; v.Kind != KindBatch {
				m.t.Fatalf("Mitigate acted on %s, which is not a batch task", v.Name)
			}
			if a, ok := r.(Throttle); ok {
				v.Throttled = a.Limit
			} else {
				v.Stopping = true
			}
		}
		m.bumpVersion(w)
	}
}

// check checks after every step that the assigned tasks do not exceed any worker's capacity.
func (m *shardModel) check(t *rapid.T) {
	for i := range m.workers {
		var sum configurator.Resources
		for j := range m.workers[i].AssignedTasks {
			sum = sum.Add(m.workers[i].AssignedTasks[j].Declared)
		}
		if exceeds(sum, m.workers[i].Capacity) {
			t.Fatalf("tasks on %s declare %+v, capacity is %+v", m.workers[i].Name, sum, m.workers[i].Capacity)
		}
	}
}

// TestCapacityNeverExceeded guards against a worker whose assigned tasks exceed its capacity
// (guarantee 1), under late reports, wrong declared sizes, preemption, lost workers and a caller
// that does not change Version.
func TestCapacityNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &shardModel{t: t, now: time.Unix(1000, 0), lostWorkers: map[string]bool{}, actualSizes: map[string]configurator.Resources{}}
		m.p = New(Policy{}, configurator.Measures{Latency: 3, Evictions: 2, Throughput: 1}, rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed"))))
		m.keepsVersion = rapid.Bool().Draw(t, "keepsVersion")
		for i := range rapid.IntRange(1, 4).Draw(t, "workers") {
			m.workers = append(m.workers, Worker{
				Name: fmt.Sprintf("worker%d", i), Rack: fmt.Sprintf("rack%d", i/2), FailureDomain: "sampaloc",
				Capacity:   configurator.Resources{Cores: 8, Memory: 32 << 30, Accelerators: i % 2},
				MeasuredAt: m.now, EpochAccepted: true, Version: 1,
			})
		}
		t.Repeat(map[string]func(*rapid.T){
			"place":   func(*rapid.T) { m.place() },
			"again":   func(*rapid.T) { m.place() }, // placing is twice as frequent as other steps
			"measure": func(*rapid.T) { m.measure() },
			"deliver": func(*rapid.T) { m.deliver() },
			"end":     func(*rapid.T) { m.end() },
			"lose":    func(*rapid.T) { m.toggleLost() },
			"relieve": func(*rapid.T) { m.mitigate() },
			"leave": func(t *rapid.T) {
				w := &m.workers[rapid.IntRange(0, len(m.workers)-1).Draw(t, "worker")]
				w.Leaving = !w.Leaving
				m.bumpVersion(w)
			},
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			},
			"": m.check,
		})
	})
}
