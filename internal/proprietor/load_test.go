package proprietor_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	"peridotpitch/internal/configurator"
	"peridotpitch/internal/scheduler"
)

// Guards against more store calls than one renewal per second and shard, two watches per
// second and host, and the writes that starts and ends need.
func TestStoreCalls(t *testing.T) {
	stage(t, 0, 0, func(s *scene) {
		count := func() map[string]int {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			return map[string]int{"cas": s.calls["cas"], "watch": s.calls["watch"], "list": s.calls["list"], "get": s.calls["get"]}
		}
		before := count()
		time.Sleep(60 * time.Second)
		idle := count()
		s.submitHome(8, 5*time.Second)
		time.Sleep(20 * time.Second)
		after := count()
		t.Logf("60 idle seconds, 2 shards, 4 hosts: from %v to %v; 8 starts and ends in 20 s: to %v", before, idle, after)
		s.is.True(idle["cas"]-before["cas"] <= 2*61)
		s.is.True(idle["watch"]-before["watch"] <= 4*2*61)
		s.is.True(idle["list"]-before["list"] <= 4*7) // the successor failure domain's journals, every 10 s
		s.is.Equal(idle["get"], before["get"])
		// One write each carries all submissions, all starts and all ends, besides the
		// 40 renewals, and one moves the ended jobs to the records.
		s.is.True(after["cas"]-idle["cas"] <= 40+10)
	})
}

// Guards against a burst of writes when the store returns: 48 shards, all of whose owners
// retry.
func TestOutageEndsWithoutBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(configuration(2, 24, 24))
		defer w.stopAll()
		for _, h := range w.config.EntryHosts {
			w.start(h.Name)
		}
		time.Sleep(15 * time.Second)
		outage := func(down bool) {
			for _, h := range w.config.EntryHosts {
				w.partition(h.Name, "store", down)
			}
		}
		outage(true)
		time.Sleep(40 * time.Second)
		outage(false)
		end := int(time.Since(w.begin) / time.Second)
		time.Sleep(15 * time.Second)
		w.mutex.Lock()
		defer w.mutex.Unlock()
		highest, tenth := 0, 0
		for second := end; second < end+10; second++ {
			highest = max(highest, w.total[second])
		}
		for i := range 100 {
			tenth = max(tenth, w.tenths[end*10+i])
		}
		t.Logf("writes per second after the outage: at most %d, per 100 ms: at most %d", highest, tenth)
		is.True(highest <= 100)
		is.True(tenth <= 20)
	})
}

// claimInput is a claim of one epoch by one process.
type claimInput struct {
	host  string
	epoch uint64
}

// Guards against two owners of one epoch, and against an owner without a claim in the
// store: claims of a shard, recorded from the time they were sent until their host acts
// as the owner, must be linearizable as a counter that each claim raises by one.
func TestClaimsAreLinearizable(t *testing.T) {
	model := porcupine.Model{
		Init: func() any { return uint64(0) },
		Step: func(state, input, _ any) (bool, any) {
			e := input.(claimInput).epoch
			return e == state.(uint64)+1, e
		},
	}
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(configuration(3, 2, 1))
		defer w.stopAll()
		for _, h := range w.config.EntryHosts {
			w.start(h.Name)
		}
		time.Sleep(10 * time.Second)
		for round := range 9 {
			o := w.hosts["b0"].p.Owner("a/0")
			f := []fault{kill(o), pause(o), isolate(o, []string{o}, "")}[round%3]
			f.begin(w)
			w.set(func() { w.loseAnswer = round % 2 })
			time.Sleep(12 * time.Second)
			f.end(w)
			time.Sleep(8 * time.Second)
		}
		w.mutex.Lock()
		defer w.mutex.Unlock()
		var ops []porcupine.Operation
		for i, c := range w.claims {
			ops = append(ops, porcupine.Operation{ClientId: i, Input: claimInput{c.host, c.epoch}, Call: int64(c.sent), Return: int64(c.acted)})
		}
		t.Logf("%d claims", len(ops))
		is.True(len(ops) >= 4)
		is.True(porcupine.CheckOperations(model, ops))
	})
}

// Guards against a start that is delayed by the number of shards or jobs, and against
// more than ten writes per second in a burst of submissions.
func TestBurstOfSubmissions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := configuration(2, 8, 2)
		c.Services = []configurator.Service{{Name: "quotes", Class: "web", Instances: map[string]int{"a": 4, "b": 4}, Size: configurator.Resources{Cores: 1, Memory: 1 << 30}}}
		w := newWorld(c)
		defer w.stopAll()
		for _, h := range c.EntryHosts {
			w.start(h.Name)
		}
		time.Sleep(10 * time.Second)
		done := make(chan bool, 400)
		for i := range 400 {
			go func() {
				a, ok := w.submit(fmt.Sprint("job", i), time.Second)
				done <- ok && a.Accepted
			}()
		}
		for range 400 {
			is.True(<-done)
		}
		time.Sleep(60 * time.Second)
		is.Equal(w.count(), 400)
		check(t, w)
		var states []scheduler.JobState
		for _, h := range w.hosts {
			for _, j := range h.p.List(all) {
				states = append(states, j.State)
			}
		}
		is.Equal(len(states), 400)
		is.True(!slices.ContainsFunc(states, func(s scheduler.JobState) bool { return s != scheduler.JobFinished }))
	})
}
