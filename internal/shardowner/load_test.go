package shardowner_test

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

// Guards against more store calls than one renewal per second and shard, two watches per second
// and host, and the writes for starts and ends of jobs.
func TestStoreCallsAreBounded(t *testing.T) {
	runOnCluster(t, 0, 0, func(s *testCluster) {
		count := func() map[string]int {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			return map[string]int{"cas": s.storeCalls["cas"], "watch": s.storeCalls["watch"], "list": s.storeCalls["list"], "get": s.storeCalls["get"]}
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
		s.is.True(idle["list"]-before["list"] <= 4*7) // journals of the other failure domain, every 10 s
		s.is.Equal(idle["get"], before["get"])
		// 40 renewals; one write each for all submissions, all starts and all ends; and one
		// that moves the ended jobs to the job history.
		s.is.True(after["cas"]-idle["cas"] <= 40+10)
	})
}

// Guards against a burst of writes after a store outage, when the owners of 48 shards retry
// their writes.
func TestNoWriteBurstAfterStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(configuration(2, 24, 24))
		defer cl.stopAllHosts()
		for _, h := range cl.config.EntryHosts {
			cl.startHost(h.Name)
		}
		time.Sleep(15 * time.Second)
		outage := func(down bool) {
			for _, h := range cl.config.EntryHosts {
				cl.setPartitioned(h.Name, "store", down)
			}
		}
		outage(true)
		time.Sleep(40 * time.Second)
		outage(false)
		end := int(time.Since(cl.startedAt) / time.Second)
		time.Sleep(15 * time.Second)
		cl.mutex.Lock()
		defer cl.mutex.Unlock()
		highest, tenth := 0, 0
		for second := end; second < end+10; second++ {
			highest = max(highest, cl.totalWritesPerSecond[second])
		}
		for i := range 100 {
			tenth = max(tenth, cl.totalWritesPer100ms[end*10+i])
		}
		t.Logf("writes per second after the outage: at most %d, per 100 ms: at most %d", highest, tenth)
		is.True(highest <= 100)
		is.True(tenth <= 20)
	})
}

// claimInput is a claim of one epoch by one host.
type claimInput struct {
	host  string
	epoch uint64
}

// Guards against two owners in one epoch and against an owner without a claim in the store.
// Claims of a shard, each lasting from when it was sent until its host acts as the owner, must
// be linearizable as increments of a counter by one.
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
		cl := newCluster(configuration(3, 2, 1))
		defer cl.stopAllHosts()
		for _, h := range cl.config.EntryHosts {
			cl.startHost(h.Name)
		}
		time.Sleep(10 * time.Second)
		for round := range 9 {
			o := cl.hosts["b0"].owner.Owner("a/0")
			f := []fault{kill(o), pause(o), isolate(o, []string{o}, "")}[round%3]
			f.begin(cl)
			cl.locked(func() { cl.answersToLose = round % 2 })
			time.Sleep(12 * time.Second)
			f.end(cl)
			time.Sleep(8 * time.Second)
		}
		cl.mutex.Lock()
		defer cl.mutex.Unlock()
		var ops []porcupine.Operation
		for i, c := range cl.claims {
			ops = append(ops, porcupine.Operation{ClientId: i, Input: claimInput{c.host, c.epoch}, Call: int64(c.sentAt), Return: int64(c.firstActed)})
		}
		t.Logf("%d claims", len(ops))
		is.True(len(ops) >= 4)
		is.True(porcupine.CheckOperations(model, ops))
	})
}

// Guards against starts that are delayed by the number of shards or jobs: 400 jobs submitted at
// once must be accepted and finish within 60 s. Also guards against more than ten writes per
// second to a journal during the burst.
func TestSubmissionBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := configuration(2, 8, 2)
		c.Services = []configurator.Service{{Name: "quotes", Class: "web", Instances: map[string]int{"a": 4, "b": 4}, Size: configurator.Resources{Cores: 1, Memory: 1 << 30}}}
		cl := newCluster(c)
		defer cl.stopAllHosts()
		for _, h := range c.EntryHosts {
			cl.startHost(h.Name)
		}
		time.Sleep(10 * time.Second)
		done := make(chan bool, 400)
		for i := range 400 {
			go func() {
				a, ok := cl.submit(fmt.Sprint("job", i), time.Second)
				done <- ok && a.Accepted
			}()
		}
		for range 400 {
			is.True(<-done)
		}
		time.Sleep(60 * time.Second)
		is.Equal(cl.finishedJobs(), 400)
		checkViolations(t, cl)
		var states []scheduler.JobState
		for _, h := range cl.hosts {
			for _, j := range h.owner.List(allJobs) {
				states = append(states, j.State)
			}
		}
		is.Equal(len(states), 400)
		is.True(!slices.ContainsFunc(states, func(s scheduler.JobState) bool { return s != scheduler.JobFinished }))
	})
}
