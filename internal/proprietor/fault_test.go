package proprietor_test

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"
)

// TestMain fixes the seed and the number of checks unless the command line sets them,
// so that CI runs the same plans each time.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "10", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	goleak.VerifyTestMain(m)
}

// fault is a disturbance of the world between begin and end.
type fault struct {
	name       string
	begin, end func(w *world)
	long       bool // also tested for longer than JobRecoveryDelay
}

// lasting marks a fault as one that is also tested for longer than JobRecoveryDelay.
func lasting(f fault) fault {
	f.long = true
	return f
}

func cuts(pairs ...string) fault {
	set := func(cut bool) func(*world) {
		return func(w *world) {
			w.set(func() {
				for _, p := range pairs {
					w.cut[p] = cut
				}
			})
		}
	}
	return fault{name: fmt.Sprint("cut ", pairs), begin: set(true), end: set(false)}
}

func pause(host string) fault {
	var h *fakeHost
	return fault{
		name: "pause " + host,
		begin: func(w *world) {
			w.set(func() {
				if h = w.hosts[host]; h != nil {
					h.paused = true
				}
			})
		},
		end: func(w *world) {
			w.set(func() {
				if h != nil {
					h.paused = false
				}
			})
		},
	}
}

func kill(host string) fault {
	return fault{name: "kill " + host, begin: func(w *world) { w.kill(host) }, end: func(w *world) {
		w.kill(host)
		w.start(host)
	}}
}

func delay(of string, d time.Duration) fault {
	return fault{name: fmt.Sprint("slow ", of), begin: func(w *world) { w.set(func() { w.delay[of] = d }) }, end: func(w *world) { w.set(func() { w.delay[of] = 0 }) }}
}

func isolate(name string, names []string, inside string) fault {
	return fault{name: "isolate " + name, begin: func(w *world) { w.isolate(names, inside, true) }, end: func(w *world) { w.isolate(names, inside, false) }}
}

func faults() []fault {
	return []fault{
		lasting(kill("a0")), kill("a1"), lasting(pause("a0")), pause("a1"),
		cuts("a0>a1", "a1>a0"), cuts("a0>a1"), lasting(cuts("a0>store", "store>a0")), cuts("store>a0"), cuts("a1>store"),
		cuts("a0>wa0", "wa0>a0", "a0>wa1", "wa1>a0"), cuts("wa2>a0", "wa2>a1"),
		lasting(cuts("a0>store", "a1>store", "b0>store", "b1>store")), lasting(cuts("store>a0", "store>a1", "store>b0", "store>b1")),
		{name: "lost answers", begin: func(w *world) { w.set(func() { w.loseAnswer = 20 }) }, end: func(w *world) { w.set(func() { w.loseAnswer = 0 }) }},
		delay("store", 700*time.Millisecond), delay("store", 1500*time.Millisecond), delay("workers", 900*time.Millisecond),
		isolate("wa1", []string{"wa1"}, ""), lasting(isolate("domain a", []string{"a0", "a1", "wa0", "wa1", "wa2", "wa3"}, "a")),
		{name: "restart wa0", begin: func(w *world) { w.restart("wa0") }, end: func(w *world) { w.restart("wa3") }},
	}
}

// plan is a run of the world: which faults hold from when to when.
type plan struct {
	fault      int
	begin, end time.Duration
}

// run submits a job every second for 100 s under the planned faults, cancels some
// of them, and returns the world some time after the last fault has ended.
func run(t *testing.T, plans []plan) *world {
	w := newWorld(configuration(2, 4, 2))
	defer w.stopAll()
	for i, cw := range w.config.Workers {
		w.workers[cw.Address].drift = []float64{0, 0.002, -0.002, 0.004}[i%4]
	}
	for _, h := range w.config.EntryHosts {
		w.start(h.Name)
	}
	all := faults()
	for _, p := range plans {
		time.AfterFunc(p.begin, func() { all[p.fault].begin(w) })
		time.AfterFunc(p.end, func() { all[p.fault].end(w) })
	}
	accepted := make(map[string]bool)
	for i := range 100 {
		time.Sleep(time.Second)
		name := fmt.Sprint("job", i)
		if a, ok := w.submit(name, time.Duration(5+i%30)*time.Second); ok && a.Accepted {
			accepted[name] = true
		}
		if i%7 == 6 {
			w.cancel(fmt.Sprint("job", i-3))
		}
	}
	time.Sleep(200 * time.Second)
	w.count()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for name := range accepted {
		if w.finished[name] == 0 && !w.cancelled[name] {
			w.violate("accepted job %s did not finish", name)
		}
	}
	t.Logf("%v: %d accepted, %d cancelled, %d finished, store calls %v", plans, len(accepted), len(w.cancelled), len(w.finished), w.calls)
	return w
}

// Guards against a job that runs twice, is lost or comes back after a cancellation, and
// against a worker over capacity, under each fault alone.
func TestSingleFaults(t *testing.T) {
	for i, f := range faults() {
		lengths := []time.Duration{25 * time.Second}
		if f.long {
			lengths = append(lengths, 100*time.Second)
		}
		for _, length := range lengths {
			t.Run(fmt.Sprint(f.name, " ", length), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					check(t, run(t, []plan{{i, 20 * time.Second, 20*time.Second + length}}))
				})
			})
		}
	}
}

// Guards against the same violations under two or three faults at once, at times and of
// lengths that nobody chose.
func TestCombinedFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var plans []plan
		for range rapid.IntRange(2, 3).Draw(rt, "faults") {
			begin := time.Duration(rapid.IntRange(5000, 60000).Draw(rt, "begin")) * time.Millisecond
			length := time.Duration(rapid.IntRange(500, 90000).Draw(rt, "length")) * time.Millisecond
			plans = append(plans, plan{rapid.IntRange(0, len(faults())-1).Draw(rt, "fault"), begin, begin + length})
		}
		var violations []string
		synctest.Test(t, func(t *testing.T) { violations = run(t, plans).violations })
		if len(violations) > 0 {
			rt.Fatalf("%v: %d violations, first: %s", plans, len(violations), violations[0])
		}
	})
}
