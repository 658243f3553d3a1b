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
	start   = time.Unix(1_800_000_000, 0)
	weights = configurator.Measures{Latency: 5, Evictions: 3, Throughput: 1}
	size8   = configurator.Resources{Cores: 8, Memory: 32 << 30}
)

func newPlacer(policy Policy) *Placer {
	return New(policy, weights, rand.New(rand.NewPCG(7, 7)))
}

func fleet(n int, capacity configurator.Resources) []Worker {
	ws := make([]Worker, n)
	for i := range ws {
		ws[i] = Worker{Name: fmt.Sprintf("w%d", i), Rack: fmt.Sprintf("r%d", i/2), FailureDomain: "malolos", Capacity: capacity, ReportedAt: start, Fenced: true, Version: 1}
	}
	return ws
}

func batch(name string, cores float64) Task {
	return Task{Name: name, Class: "dents", Team: "brass", Kind: KindBatch, Declared: configurator.Resources{Cores: cores, Memory: 1 << 30}}
}

func add(w *Worker, t Task) *Resident {
	w.Residents = append(w.Residents, Resident{Task: t, Committed: t.Declared, Started: start.Add(-time.Minute)})
	w.Version++
	return &w.Residents[len(w.Residents)-1]
}

// assigned returns the worker of an Assign, or why there is none.
func assigned(d Decision) (string, error) {
	if a, ok := d.(Assign); ok {
		return a.Worker, nil
	}
	return "", fmt.Errorf("%T %+v", d, d)
}

// TestNever guards against a job that can never run being left pending without a reason.
func TestNever(t *testing.T) {
	is := is.New(t)
	p := newPlacer(Policy{Quotas: map[string]configurator.Resources{"brass": {Cores: 6, Memory: 32 << 30}}})
	ws := fleet(2, size8)
	big := batch("big", 12)
	big.Team = "other"
	n, ok := p.Place(big, ws, start).(Never)
	is.True(ok)
	is.Equal(n.Nearest, configurator.Resources{Cores: 8, Memory: 1 << 30})
	n, ok = p.Place(batch("over-quota", 7), ws, start).(Never)
	is.True(ok)
	is.Equal(n.Nearest.Cores, 6.0)
	n, ok = p.Place(Task{Name: "invalid", Kind: KindBatch}, ws, start).(Never)
	is.True(ok)
	is.Equal(n.Rule, RuleInvalid)
	p.Configure(Policy{Fleet: []configurator.Resources{{Cores: 64, Memory: 64 << 30}}}, weights)
	w, ok := p.Place(big, ws, start).(Wait)
	is.True(ok) // another shard has a larger worker
	is.Equal(w.Rule, RuleElsewhere)
}

// TestQuota guards against a team that exceeds its quota, also with tasks of other shards.
func TestQuota(t *testing.T) {
	is := is.New(t)
	p := newPlacer(Policy{Quotas: map[string]configurator.Resources{"brass": {Cores: 6, Memory: 32 << 30}}})
	ws := fleet(2, size8)
	add(&ws[0], batch("a", 3))
	_, err := assigned(p.Place(batch("b", 3), ws, start))
	is.NoErr(err)
	p.SetUsedElsewhere(map[string]configurator.Resources{"brass": {Cores: 1}})
	w, ok := p.Place(batch("b", 3), ws, start).(Wait)
	is.True(ok)
	is.Equal(w.Rule, RuleQuota)
}

// TestEligible guards against work on workers that leave, are not fenced, are silent or
// have too little room by measured size.
func TestEligible(t *testing.T) {
	for name, change := range map[string]func(w *Worker){
		"leaving":     func(w *Worker) { w.Leaving = true },
		"not fenced":  func(w *Worker) { w.Fenced = false },
		"quarantined": func(w *Worker) { w.Quarantined = true },
		"silent":      func(w *Worker) { w.ReportedAt = start.Add(-staleAfter - 1) },
		"measured":    func(w *Worker) { add(w, batch("x", 1)).Committed = configurator.Resources{Cores: 7.5} },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ws := fleet(1, size8)
			change(&ws[0])
			_, ok := newPlacer(Policy{}).Place(batch("a", 1), ws, start).(Wait)
			is.True(ok)
		})
	}
}

// TestSpread guards against instances of one service that share a rack while another rack
// is free, and against batch work that takes the accelerator workers.
func TestSpread(t *testing.T) {
	is := is.New(t)
	p := newPlacer(Policy{})
	ws := fleet(8, size8)
	ws[6].Capacity.Accelerators = 2
	ws[7].FailureDomain = "sampaloc"
	racks, domains := map[string]int{}, map[string]int{}
	for i := range 4 {
		task := Task{Name: fmt.Sprintf("quotes-%d", i), Class: "quotes", Kind: KindService, Spread: "quotes", Declared: configurator.Resources{Cores: 1}}
		name, err := assigned(p.Place(task, ws, start))
		is.NoErr(err)
		for j := range ws {
			if ws[j].Name == name {
				racks[ws[j].Rack]++
				domains[ws[j].FailureDomain]++
				add(&ws[j], task)
			}
		}
	}
	is.Equal(len(racks), 4)
	is.Equal(domains["sampaloc"], 1)
	for i := range 30 {
		name, err := assigned(p.Place(batch(fmt.Sprint("b", i), 1), ws, start))
		is.NoErr(err)
		is.True(name != ws[6].Name)
		for j := range ws {
			if ws[j].Name == name {
				add(&ws[j], batch(fmt.Sprint("b", i), 1))
			}
		}
	}
	accelerated := batch("train", 1)
	accelerated.Declared.Accelerators = 1
	name, err := assigned(p.Place(accelerated, ws, start))
	is.NoErr(err)
	is.Equal(name, ws[6].Name)
}

// TestQuarantine guards against a worker that fails every task and keeps getting tasks
// because it is always free, and against one that never returns to service.
func TestQuarantine(t *testing.T) {
	is := is.New(t)
	p := newPlacer(Policy{})
	ws := fleet(4, size8)
	p.Place(batch("first", 1), ws, start)
	now := start
	for i := range quarantineAfter {
		is.True(!p.Quarantined("w0"))
		p.TaskEnded("w0", fmt.Sprint("job", i), true, now)
		p.TaskEnded("w0", fmt.Sprint("job", i), true, now) // the same job does not count twice
	}
	is.True(p.Quarantined("w0"))
	ended := 0
	for i := range 2 {
		now = now.Add(firstQuarantine << i)
		for j := range ws {
			ws[j].ReportedAt = now
		}
		urgent := batch("urgent", 1)
		urgent.Urgent = true
		name, err := assigned(p.Place(urgent, ws, now))
		is.NoErr(err)
		is.True(name != "w0") // probes are batch tasks that are not urgent
		probe := batch(fmt.Sprint("probe", i), 1)
		a, ok := p.Place(probe, ws, now).(Assign)
		is.True(ok)
		is.Equal(a.Rule, RuleProbe)
		is.Equal(a.Worker, "w0")
		name, err = assigned(p.Place(batch("next", 1), ws, now))
		is.NoErr(err)
		is.True(name != "w0") // one probe at a time
		ended++
		p.TaskEnded("w0", probe.Name, i == 0, now)
	}
	is.Equal(ended, 2)
	is.True(!p.Quarantined("w0")) // the second probe succeeded
	name, err := assigned(p.Place(batch("next", 1), ws, now))
	is.NoErr(err)
	is.True(name != "w0") // its failures still weigh against it although it is empty
}

// TestPoisonJobs guards against jobs that fail everywhere emptying the fleet.
func TestPoisonJobs(t *testing.T) {
	is := is.New(t)
	p := newPlacer(Policy{})
	ws := fleet(6, size8)
	p.Place(batch("first", 1), ws, start)
	for i := range ws {
		for j := range 5 {
			p.TaskEnded(ws[i].Name, fmt.Sprint("poison", j), true, start)
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

// TestPreempt guards against urgent work that waits behind batch, against victims that cost
// more than others, and against the freed room being taken by other work.
func TestPreempt(t *testing.T) {
	is := is.New(t)
	p := newPlacer(Policy{})
	ws := fleet(2, size8)
	for i := range ws {
		for j := range 4 {
			b := batch(fmt.Sprintf("b%d-%d", i, j), 2)
			b.Attempt = 3 // evicted twice already
			if i == 1 && j == 2 {
				b.Attempt = 1
			}
			add(&ws[i], b)
		}
	}
	urgent := batch("urgent", 2)
	urgent.Urgent = true
	d, ok := p.Place(urgent, ws, start).(Preempt)
	is.True(ok)
	is.Equal(d.Worker, "w1")
	is.Equal(d.Victims, []string{"b1-2"})
	ws[1].Residents[2].Stopping, ws[1].Residents[2].LastAction = true, start
	ws[1].Version++
	w, ok := p.Place(urgent, ws, start.Add(time.Second)).(Wait)
	is.True(ok)
	is.Equal(w.Rule, RuleVictims)
	d, ok = p.Place(urgent, ws, start.Add(preemptRetry)).(Preempt)
	is.True(ok) // the victim did not end in time: another worker's is taken
	is.Equal(d.Worker, "w0")
	ws[0].Residents = ws[0].Residents[1:]
	ws[0].Version++
	p.spare = spare{} // only the reservation keeps the room
	_, ok = p.Place(batch("thief", 2), ws, start.Add(3*time.Second)).(Wait)
	is.True(ok)
	a, ok := p.Place(urgent, ws, start.Add(3*time.Second)).(Assign)
	is.True(ok)
	is.Equal(a.Rule, RuleReserved)
}

// TestSpare guards against batch work that takes the last room for urgent work although
// evictions weigh more than throughput.
func TestSpare(t *testing.T) {
	is := is.New(t)
	p := newPlacer(Policy{})
	ws := fleet(8, size8)
	urgent := batch("urgent", 2)
	urgent.Urgent = true
	fill := func() {
		for i := range 100 {
			b := batch(fmt.Sprint("b", i), 1)
			name, err := assigned(p.Place(b, ws, start))
			if err != nil {
				return
			}
			for j := range ws {
				if ws[j].Name == name {
					add(&ws[j], b)
				}
			}
		}
		t.Error("the fleet never filled up")
	}
	_, err := assigned(p.Place(urgent, ws, start))
	is.NoErr(err)
	fill()
	_, err = assigned(p.Place(urgent, ws, start))
	is.NoErr(err)
	is.True(p.spare.size.Cores == 2)
	p.Configure(Policy{}, configurator.Measures{Latency: 5, Throughput: 1})
	fill() // without weight of evictions the room is used
	_, ok := p.Place(urgent, ws, start).(Preempt)
	is.True(ok)
}

// TestPreemptAgain guards against urgent work that waits for victims that have ended while
// the other tasks on the worker grew into the room.
func TestPreemptAgain(t *testing.T) {
	is := is.New(t)
	p := newPlacer(Policy{})
	ws := fleet(1, size8)
	for i := range 4 {
		add(&ws[0], batch(fmt.Sprint("b", i), 2))
	}
	urgent := batch("urgent", 2)
	urgent.Urgent = true
	_, ok := p.Place(urgent, ws, start).(Preempt)
	is.True(ok)
	_, ok = p.Place(urgent, ws, start.Add(time.Second)).(Wait)
	is.True(ok) // the victim is still there, even if the caller did not mark it
	ws[0].Residents = ws[0].Residents[1:]
	ws[0].Residents[0].Committed.Cores = 3
	ws[0].Version++
	d, ok := p.Place(urgent, ws, start.Add(time.Second)).(Preempt)
	is.True(ok)
	is.Equal(len(d.Victims), 1)
}

// TestUrgentStart guards against urgent work that starts later than 6.1 s while batch fills
// the fleet. Victims take PreemptGrace to stop, and every fifth worker never stops its tasks; the rest of
// the path (journal write, command) is not the placer's and is counted as 400 ms.
func TestUrgentStart(t *testing.T) {
	is := is.New(t)
	const other = 400 * time.Millisecond
	p := newPlacer(Policy{})
	ws := fleet(20, size8)
	for i := range ws {
		for j := range 8 {
			add(&ws[i], batch(fmt.Sprintf("b%d-%d", i, j), 1))
		}
	}
	stops := map[string]time.Time{}
	stopped := 0
	for i := range 20 {
		urgent := batch(fmt.Sprint("urgent", i), 2)
		urgent.Urgent = true
		submitted := start.Add(time.Duration(i) * 10 * time.Second)
		err := errors.New("not decided")
		now := submitted
		for ; err != nil && now.Sub(submitted) <= 6100*time.Millisecond-other; now = now.Add(100 * time.Millisecond) {
			for j := range ws {
				ws[j].ReportedAt = now
				ws[j].Version++
				kept := ws[j].Residents[:0]
				for _, r := range ws[j].Residents {
					if at, ok := stops[r.Name]; !ok || now.Before(at) {
						kept = append(kept, r)
					}
				}
				ws[j].Residents = kept
			}
			d := p.Place(urgent, ws, now)
			var name string
			name, err = assigned(d)
			for j := range ws {
				if err == nil && ws[j].Name == name {
					add(&ws[j], urgent)
				}
				if pr, ok := d.(Preempt); ok && pr.Worker == ws[j].Name {
					for _, v := range pr.Victims {
						for k := range ws[j].Residents {
							if ws[j].Residents[k].Name == v {
								ws[j].Residents[k].Stopping, ws[j].Residents[k].LastAction = true, now
								if stopped++; j%5 != 0 {
									stops[v] = now.Add(PreemptGrace)
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
	is.True(stopped >= 40)
}

// TestStaleVersion guards against reuse of sums for a worker that changed without a change of
// Version.
func TestStaleVersion(t *testing.T) {
	is := is.New(t)
	p := newPlacer(Policy{})
	ws := fleet(1, size8)
	_, err := assigned(p.Place(batch("a", 8), ws, start))
	is.NoErr(err)
	add(&ws[0], batch("a", 8))
	ws[0].Version--
	_, ok := p.Place(batch("b", 1), ws, start).(Wait)
	is.True(ok)
}

// TestBaselines guards against baselines that do not do what their names say.
func TestBaselines(t *testing.T) {
	is := is.New(t)
	ws := fleet(3, size8)
	add(&ws[1], batch("a", 5))
	add(&ws[2], batch("b", 7.5))
	name, err := assigned(newPlacer(Policy{Placement: configurator.PlacementFirstFit}).Place(batch("c", 1), ws, start))
	is.NoErr(err)
	is.Equal(name, "w0")
	name, err = assigned(newPlacer(Policy{Placement: configurator.PlacementBestFit}).Place(batch("c", 1), ws, start))
	is.NoErr(err)
	is.Equal(name, "w1")
}
