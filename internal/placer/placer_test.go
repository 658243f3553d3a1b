package placer

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpitch/internal/configurator"
)

var (
	testStart    = time.Unix(1_800_000_000, 0)
	testMeasures = configurator.Measures{Latency: 5, Evictions: 3, Throughput: 1}
	capacity8    = configurator.Resources{Cores: 8, Memory: 32 << 30}
)

func newPlacer(policy Policy) *Placer {
	return New(policy, testMeasures, rand.New(rand.NewPCG(7, 7)))
}

func fleet(n int, capacity configurator.Resources) []Worker {
	ws := make([]Worker, n)
	for i := range ws {
		ws[i] = Worker{Name: fmt.Sprintf("w%d", i), Rack: fmt.Sprintf("r%d", i/2), FailureDomain: "malolos", Capacity: capacity, MeasuredAt: testStart, EpochAccepted: true, Version: 1}
	}
	return ws
}

func batchTask(name string, cores float64) Task {
	return Task{Name: name, Class: "dents", Team: "brass", Kind: KindBatch, Declared: configurator.Resources{Cores: cores, Memory: 1 << 30}}
}

func addTask(w *Worker, t Task) *AssignedTask {
	w.AssignedTasks = append(w.AssignedTasks, AssignedTask{Task: t, Committed: t.Declared, Started: testStart.Add(-time.Minute)})
	w.Version++
	return &w.AssignedTasks[len(w.AssignedTasks)-1]
}

// assignedWorker returns the worker of an Assign, or an error that shows the other decision.
func assignedWorker(d Decision) (string, error) {
	if a, ok := d.(Assign); ok {
		return a.Worker, nil
	}
	return "", fmt.Errorf("%T %+v", d, d)
}

// TestUnschedulable guards against a job that can never run being left pending without a reason.
func TestUnschedulable(t *testing.T) {
	is := is.New(t)
	p := newPlacer(Policy{Quotas: map[string]configurator.Resources{"brass": {Cores: 6, Memory: 32 << 30}}})
	ws := fleet(2, capacity8)
	big := batchTask("big", 12)
	big.Team = "other"
	n, ok := p.Place(big, ws, testStart).(Unschedulable)
	is.True(ok)
	is.Equal(n.Nearest, configurator.Resources{Cores: 8, Memory: 1 << 30})
	n, ok = p.Place(batchTask("over-quota", 7), ws, testStart).(Unschedulable)
	is.True(ok)
	is.Equal(n.Nearest.Cores, 6.0)
	n, ok = p.Place(Task{Name: "invalid", Kind: KindBatch}, ws, testStart).(Unschedulable)
	is.True(ok)
	is.Equal(n.Rule, RuleInvalid)
	p.Configure(Policy{WorkerSizes: []configurator.Resources{{Cores: 64, Memory: 64 << 30}}}, testMeasures)
	w, ok := p.Place(big, ws, testStart).(Wait)
	is.True(ok) // another shard has a larger worker
	is.Equal(w.Rule, RuleOtherShard)
}

// TestTeamQuota guards against a team that exceeds its quota, also together with tasks in other
// shards.
func TestTeamQuota(t *testing.T) {
	is := is.New(t)
	p := newPlacer(Policy{Quotas: map[string]configurator.Resources{"brass": {Cores: 6, Memory: 32 << 30}}})
	ws := fleet(2, capacity8)
	addTask(&ws[0], batchTask("a", 3))
	_, err := assignedWorker(p.Place(batchTask("b", 3), ws, testStart))
	is.NoErr(err)
	p.SetUsageInOtherShards(map[string]configurator.Resources{"brass": {Cores: 1}})
	w, ok := p.Place(batchTask("b", 3), ws, testStart).(Wait)
	is.True(ok)
	is.Equal(w.Rule, RuleQuota)
}

// TestIneligibleWorkers guards against tasks being placed on workers that are leaving, have not
// accepted the owner's epoch, are quarantined, sent no recent report or have too little free
// capacity by measured size.
func TestIneligibleWorkers(t *testing.T) {
	for name, change := range map[string]func(w *Worker){
		"leaving":            func(w *Worker) { w.Leaving = true },
		"epoch not accepted": func(w *Worker) { w.EpochAccepted = false },
		"quarantined":        func(w *Worker) { w.Quarantined = true },
		"unresponsive":       func(w *Worker) { w.MeasuredAt = testStart.Add(-maxReportAge - 1) },
		"measured size":      func(w *Worker) { addTask(w, batchTask("x", 1)).Committed = configurator.Resources{Cores: 7.5} },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ws := fleet(1, capacity8)
			change(&ws[0])
			_, ok := newPlacer(Policy{}).Place(batchTask("a", 1), ws, testStart).(Wait)
			is.True(ok)
		})
	}
}

// TestSpread guards against instances of one service sharing a rack while another rack is free, and
// against batch tasks occupying workers with accelerators.
func TestSpread(t *testing.T) {
	is := is.New(t)
	p := newPlacer(Policy{})
	ws := fleet(8, capacity8)
	ws[6].Capacity.Accelerators = 2
	ws[7].FailureDomain = "sampaloc"
	racks, domains := map[string]int{}, map[string]int{}
	for i := range 4 {
		task := Task{Name: fmt.Sprintf("quotes-%d", i), Class: "quotes", Kind: KindService, Spread: "quotes", Declared: configurator.Resources{Cores: 1}}
		name, err := assignedWorker(p.Place(task, ws, testStart))
		is.NoErr(err)
		for j := range ws {
			if ws[j].Name == name {
				racks[ws[j].Rack]++
				domains[ws[j].FailureDomain]++
				addTask(&ws[j], task)
			}
		}
	}
	is.Equal(len(racks), 4)
	is.Equal(domains["sampaloc"], 1)
	for i := range 30 {
		name, err := assignedWorker(p.Place(batchTask(fmt.Sprint("b", i), 1), ws, testStart))
		is.NoErr(err)
		is.True(name != ws[6].Name)
		for j := range ws {
			if ws[j].Name == name {
				addTask(&ws[j], batchTask(fmt.Sprint("b", i), 1))
			}
		}
	}
	accelerated := batchTask("train", 1)
	accelerated.Declared.Accelerators = 1
	name, err := assignedWorker(p.Place(accelerated, ws, testStart))
	is.NoErr(err)
	is.Equal(name, ws[6].Name)
}

// TestQuarantine guards against a worker that fails every task and keeps getting tasks because it
// is always free, and against one that never returns to service.
func TestQuarantine(t *testing.T) {
	is := is.New(t)
	p := newPlacer(Policy{})
	ws := fleet(4, capacity8)
	p.Place(batchTask("first", 1), ws, testStart)
	now := testStart
	for i := range quarantineFailures {
		is.True(!p.Quarantined("w0"))
		p.TaskEnded("w0", fmt.Sprint("job", i), true, now)
		p.TaskEnded("w0", fmt.Sprint("job", i), true, now) // the same job does not count twice
	}
	is.True(p.Quarantined("w0"))
	ended := 0
	for i := range 2 {
		now = now.Add(initialQuarantine << i)
		for j := range ws {
			ws[j].MeasuredAt = now
		}
		urgent := batchTask("urgent", 1)
		urgent.Urgent = true
		name, err := assignedWorker(p.Place(urgent, ws, now))
		is.NoErr(err)
		is.True(name != "w0") // probes are batch tasks that are not urgent
		probe := batchTask(fmt.Sprint("probe", i), 1)
		a, ok := p.Place(probe, ws, now).(Assign)
		is.True(ok)
		is.Equal(a.Rule, RuleProbe)
		is.Equal(a.Worker, "w0")
		name, err = assignedWorker(p.Place(batchTask("next", 1), ws, now))
		is.NoErr(err)
		is.True(name != "w0") // one probe at a time
		ended++
		p.TaskEnded("w0", probe.Name, i == 0, now)
	}
	is.Equal(ended, 2)
	is.True(!p.Quarantined("w0")) // the second probe succeeded
	name, err := assignedWorker(p.Place(batchTask("next", 1), ws, now))
	is.NoErr(err)
	is.True(name != "w0") // its failure rate outweighs its free capacity
}

// TestJobsFailingEverywhere guards against jobs that fail on every worker putting all workers into
// quarantine.
func TestJobsFailingEverywhere(t *testing.T) {
	is := is.New(t)
	p := newPlacer(Policy{})
	ws := fleet(6, capacity8)
	p.Place(batchTask("first", 1), ws, testStart)
	for i := range ws {
		for j := range 5 {
			p.TaskEnded(ws[i].Name, fmt.Sprint("failing", j), true, testStart)
		}
	}
	n := 0
	for i := range ws {
		if p.Quarantined(ws[i].Name) {
			n++
		}
	}
	is.Equal(n, 1) // on the other workers the same jobs had failed before
}

// TestPreempt guards against urgent tasks that wait behind batch tasks, against victims that cost
// more than others, and against other tasks taking the freed capacity.
func TestPreempt(t *testing.T) {
	is := is.New(t)
	p := newPlacer(Policy{})
	ws := fleet(2, capacity8)
	for i := range ws {
		for j := range 4 {
			b := batchTask(fmt.Sprintf("b%d-%d", i, j), 2)
			b.Attempt = 3 // evicted twice already
			if i == 1 && j == 2 {
				b.Attempt = 1
			}
			addTask(&ws[i], b)
		}
	}
	urgent := batchTask("urgent", 2)
	urgent.Urgent = true
	d, ok := p.Place(urgent, ws, testStart).(Preempt)
	is.True(ok)
	is.Equal(d.Worker, "w1")
	is.Equal(d.Victims, []string{"b1-2"})
	ws[1].AssignedTasks[2].Stopping, ws[1].AssignedTasks[2].LastAction = true, testStart
	ws[1].Version++
	w, ok := p.Place(urgent, ws, testStart.Add(time.Second)).(Wait)
	is.True(ok)
	is.Equal(w.Rule, RuleVictimsStopping)
	d, ok = p.Place(urgent, ws, testStart.Add(victimStopTimeout)).(Preempt)
	is.True(ok) // the victim did not stop in time: one on the other worker is chosen
	is.Equal(d.Worker, "w0")
	ws[0].AssignedTasks = ws[0].AssignedTasks[1:]
	ws[0].Version++
	p.urgentHeadroom = urgentHeadroom{} // only the reservation keeps the capacity free
	_, ok = p.Place(batchTask("other", 2), ws, testStart.Add(3*time.Second)).(Wait)
	is.True(ok)
	a, ok := p.Place(urgent, ws, testStart.Add(3*time.Second)).(Assign)
	is.True(ok)
	is.Equal(a.Rule, RuleReservation)
}

// TestUrgentHeadroom guards against batch tasks that take the last capacity for urgent tasks
// although evictions weigh more than throughput.
func TestUrgentHeadroom(t *testing.T) {
	is := is.New(t)
	p := newPlacer(Policy{})
	ws := fleet(8, capacity8)
	urgent := batchTask("urgent", 2)
	urgent.Urgent = true
	fill := func() {
		for i := range 100 {
			b := batchTask(fmt.Sprint("b", i), 1)
			name, err := assignedWorker(p.Place(b, ws, testStart))
			if err != nil {
				return
			}
			for j := range ws {
				if ws[j].Name == name {
					addTask(&ws[j], b)
				}
			}
		}
		t.Error("100 batch tasks did not fill the workers")
	}
	_, err := assignedWorker(p.Place(urgent, ws, testStart))
	is.NoErr(err)
	fill()
	_, err = assignedWorker(p.Place(urgent, ws, testStart))
	is.NoErr(err)
	is.True(p.urgentHeadroom.size.Cores == 2)
	p.Configure(Policy{}, configurator.Measures{Latency: 5, Throughput: 1})
	fill() // if evictions have no weight, there is no headroom
	_, ok := p.Place(urgent, ws, testStart).(Preempt)
	is.True(ok)
}

// TestPreemptAfterFreedCapacityTaken guards against an urgent task that waits for victims that have
// ended, while other tasks on the worker have grown into the freed capacity.
func TestPreemptAfterFreedCapacityTaken(t *testing.T) {
	is := is.New(t)
	p := newPlacer(Policy{})
	ws := fleet(1, capacity8)
	for i := range 4 {
		addTask(&ws[0], batchTask(fmt.Sprint("b", i), 2))
	}
	urgent := batchTask("urgent", 2)
	urgent.Urgent = true
	_, ok := p.Place(urgent, ws, testStart).(Preempt)
	is.True(ok)
	_, ok = p.Place(urgent, ws, testStart.Add(time.Second)).(Wait)
	is.True(ok) // the victim is still there, even if the caller did not mark it
	ws[0].AssignedTasks = ws[0].AssignedTasks[1:]
	ws[0].AssignedTasks[0].Committed.Cores = 3
	ws[0].Version++
	d, ok := p.Place(urgent, ws, testStart.Add(time.Second)).(Preempt)
	is.True(ok)
	is.Equal(len(d.Victims), 1)
}

// TestUrgentStartTime guards against urgent tasks that start later than 6.1 s while batch tasks fill
// all workers. Victims take PreemptGrace to stop, and every fifth worker never stops its tasks. The
// rest of the path (journal write, command) is outside the placer and counts as 400 ms.
func TestUrgentStartTime(t *testing.T) {
	is := is.New(t)
	const outsidePlacer = 400 * time.Millisecond
	p := newPlacer(Policy{})
	ws := fleet(20, capacity8)
	for i := range ws {
		for j := range 8 {
			addTask(&ws[i], batchTask(fmt.Sprintf("b%d-%d", i, j), 1))
		}
	}
	stopTimes := map[string]time.Time{}
	preempted := 0
	for i := range 20 {
		urgent := batchTask(fmt.Sprint("urgent", i), 2)
		urgent.Urgent = true
		submitted := testStart.Add(time.Duration(i) * 10 * time.Second)
		err := errors.New("not decided")
		now := submitted
		for ; err != nil && now.Sub(submitted) <= 6100*time.Millisecond-outsidePlacer; now = now.Add(100 * time.Millisecond) {
			for j := range ws {
				ws[j].MeasuredAt = now
				ws[j].Version++
				kept := ws[j].AssignedTasks[:0]
				for _, r := range ws[j].AssignedTasks {
					if at, ok := stopTimes[r.Name]; !ok || now.Before(at) {
						kept = append(kept, r)
					}
				}
				ws[j].AssignedTasks = kept
			}
			d := p.Place(urgent, ws, now)
			var name string
			name, err = assignedWorker(d)
			for j := range ws {
				if err == nil && ws[j].Name == name {
					addTask(&ws[j], urgent)
				}
				if preempt, ok := d.(Preempt); ok && preempt.Worker == ws[j].Name {
					for _, v := range preempt.Victims {
						for k := range ws[j].AssignedTasks {
							if ws[j].AssignedTasks[k].Name == v {
								ws[j].AssignedTasks[k].Stopping, ws[j].AssignedTasks[k].LastAction = true, now
								if preempted++; j%5 != 0 {
									stopTimes[v] = now.Add(PreemptGrace)
								}
							}
						}
					}
				}
			}
		}
		if err != nil {
			t.Fatalf("%s did not start in time: %v", urgent.Name, err)
		}
	}
	is.True(preempted >= 40)
}

// TestStaleVersion guards against sums being reused for a worker that changed while its Version
// stayed the same.
func TestStaleVersion(t *testing.T) {
	is := is.New(t)
	p := newPlacer(Policy{})
	ws := fleet(1, capacity8)
	_, err := assignedWorker(p.Place(batchTask("a", 8), ws, testStart))
	is.NoErr(err)
	addTask(&ws[0], batchTask("a", 8))
	ws[0].Version--
	_, ok := p.Place(batchTask("b", 1), ws, testStart).(Wait)
	is.True(ok)
}

// TestBaselinePolicies guards against FirstFit and BestFit choosing another worker than their names
// say.
func TestBaselinePolicies(t *testing.T) {
	is := is.New(t)
	ws := fleet(3, capacity8)
	addTask(&ws[1], batchTask("a", 5))
	addTask(&ws[2], batchTask("b", 7.5))
	name, err := assignedWorker(newPlacer(Policy{Placement: configurator.PlacementFirstFit}).Place(batchTask("c", 1), ws, testStart))
	is.NoErr(err)
	is.Equal(name, "w0")
	name, err = assignedWorker(newPlacer(Policy{Placement: configurator.PlacementBestFit}).Place(batchTask("c", 1), ws, testStart))
	is.NoErr(err)
	is.Equal(name, "w1")
}
