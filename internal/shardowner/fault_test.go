package shardowner_test

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"
)

// TestMain fixes the seed and the number of checks unless the command line sets them, so that
// the results of CI are reproducible.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "10", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	goleak.VerifyTestMain(m)
}

// fault is a failure of a part of the cluster. begin causes it and end repairs it.
type fault struct {
	name       string
	begin, end func(cl *cluster)
	alsoLong   bool // also tested for longer than JobRecoveryDelay
}

// withLongVariant marks a fault as one that is also tested for longer than JobRecoveryDelay.
func withLongVariant(f fault) fault {
	f.alsoLong = true
	return f
}

func cutLinks(pairs ...string) fault {
	set := func(cut bool) func(*cluster) {
		return func(cl *cluster) {
			cl.locked(func() {
				for _, p := range pairs {
					cl.cutLinks[p] = cut
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
		begin: func(cl *cluster) {
			cl.locked(func() {
				if h = cl.hosts[host]; h != nil {
					h.paused = true
				}
			})
		},
		end: func(cl *cluster) {
			cl.locked(func() {
				if h != nil {
					h.paused = false
				}
			})
		},
	}
}

func kill(host string) fault {
	return fault{name: "kill " + host, begin: func(cl *cluster) { cl.killHost(host) }, end: func(cl *cluster) {
		cl.killHost(host)
		cl.startHost(host)
	}}
}

func delay(of string, d time.Duration) fault {
	return fault{name: fmt.Sprint("slow ", of), begin: func(cl *cluster) { cl.locked(func() { cl.delays[of] = d }) }, end: func(cl *cluster) { cl.locked(func() { cl.delays[of] = 0 }) }}
}

func isolate(name string, names []string, exceptDomain string) fault {
	return fault{name: "isolate " + name, begin: func(cl *cluster) { cl.setIsolated(names, exceptDomain, true) }, end: func(cl *cluster) { cl.setIsolated(names, exceptDomain, false) }}
}

func faults() []fault {
	return []fault{
		withLongVariant(kill("a0")), kill("a1"), withLongVariant(pause("a0")), pause("a1"),
		cutLinks("a0>a1", "a1>a0"), cutLinks("a0>a1"), withLongVariant(cutLinks("a0>store", "store>a0")), cutLinks("store>a0"), cutLinks("a1>store"),
		cutLinks("a0>wa0", "wa0>a0", "a0>wa1", "wa1>a0"), cutLinks("wa2>a0", "wa2>a1"),
		withLongVariant(cutLinks("a0>store", "a1>store", "b0>store", "b1>store")), withLongVariant(cutLinks("store>a0", "store>a1", "store>b0", "store>b1")),
		{name: "lost answers", begin: func(cl *cluster) { cl.locked(func() { cl.answersToLose = 20 }) }, end: func(cl *cluster) { cl.locked(func() { cl.answersToLose = 0 }) }},
		delay("store", 700*time.Millisecond), delay("store", 1500*time.Millisecond), delay("workers", 900*time.Millisecond),
		isolate("wa1", []string{"wa1"}, ""), withLongVariant(isolate("domain a", []string{"a0", "a1", "wa0", "wa1", "wa2", "wa3"}, "a")),
		{name: "restart wa0", begin: func(cl *cluster) { cl.restartWorker("wa0") }, end: func(cl *cluster) { cl.restartWorker("wa3") }},
	}
}

// scheduledFault is a fault, by its index in faults, with the times of its begin and end.
type scheduledFault struct {
	fault      int
	begin, end time.Duration
}

// runWithFaults submits a job every second for 100 s under the given faults and cancels some of
// them. It returns the cluster 200 s later, when the faults have ended.
func runWithFaults(t *testing.T, plans []scheduledFault) *cluster {
	cl := newCluster(configuration(2, 4, 2))
	defer cl.stopAllHosts()
	for i, cw := range cl.config.Workers {
		cl.workers[cw.Address].clockDrift = []float64{0, 0.002, -0.002, 0.004}[i%4]
	}
	for _, h := range cl.config.EntryHosts {
		cl.startHost(h.Name)
	}
	all := faults()
	for _, p := range plans {
		time.AfterFunc(p.begin, func() { all[p.fault].begin(cl) })
		time.AfterFunc(p.end, func() { all[p.fault].end(cl) })
	}
	accepted := make(map[string]bool)
	for i := range 100 {
		time.Sleep(time.Second)
		name := fmt.Sprint("job", i)
		if a, ok := cl.submit(name, time.Duration(5+i%30)*time.Second); ok && a.Accepted {
			accepted[name] = true
		}
		if i%7 == 6 {
			cl.cancel(fmt.Sprint("job", i-3))
		}
	}
	time.Sleep(200 * time.Second)
	cl.finishedJobs()
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	for name := range accepted {
		if cl.finishesByTask[name] == 0 && !cl.cancelledJobs[name] {
			cl.addViolation("accepted job %s did not finish", name)
		}
	}
	t.Logf("%v: %d accepted, %d cancelled, %d finished, store calls %v", plans, len(accepted), len(cl.cancelledJobs), len(cl.finishesByTask), cl.storeCalls)
	return cl
}

// Guards against a job that runs twice, is lost or starts after its cancellation, and against
// a worker over capacity, under each fault alone.
func TestSingleFaults(t *testing.T) {
	for i, f := range faults() {
		lengths := []time.Duration{25 * time.Second}
		if f.alsoLong {
			lengths = append(lengths, 100*time.Second)
		}
		for _, length := range lengths {
			t.Run(fmt.Sprint(f.name, " ", length), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					checkViolations(t, runWithFaults(t, []scheduledFault{{i, 20 * time.Second, 20*time.Second + length}}))
				})
			})
		}
	}
}

// Guards against the same violations under two or three faults at once, with random begins and
// durations.
func TestCombinedFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var plans []scheduledFault
		for range rapid.IntRange(2, 3).Draw(rt, "faults") {
			begin := time.Duration(rapid.IntRange(5000, 60000).Draw(rt, "begin")) * time.Millisecond
			length := time.Duration(rapid.IntRange(500, 90000).Draw(rt, "length")) * time.Millisecond
			plans = append(plans, scheduledFault{rapid.IntRange(0, len(faults())-1).Draw(rt, "fault"), begin, begin + length})
		}
		var violations []string
		synctest.Test(t, func(t *testing.T) { violations = runWithFaults(t, plans).violations })
		if len(violations) > 0 {
			rt.Fatalf("%v: %d violations, first: %s", plans, len(violations), violations[0])
		}
	})
}
