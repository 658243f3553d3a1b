package shardowner_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotpitch/internal/commander"
	"peridotpitch/internal/configurator"
	"peridotpitch/internal/messenger"
	"peridotpitch/internal/scheduler"
	"peridotpitch/internal/storer"
)

// startsOf returns how often the named job was started. For the name "", it returns the number of
// different tasks that were started.
func (cl *cluster) startsOf(name string) int {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	if name == "" {
		return len(cl.startsByTask)
	}
	return cl.startsByTask[name]
}

// activeTasks returns the number of active tasks of a kind on the named worker or, for "", on
// all workers.
func (cl *cluster) activeTasks(worker string, kind commander.TaskKind) int {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	n := 0
	for _, o := range cl.workers {
		o.endTasks()
		for _, t := range o.tasks {
			if t.State.Active() && t.Kind == kind && (worker == "" || o.name == worker) {
				n++
			}
		}
	}
	return n
}

// Guards against a new owner that starts jobs again that the crashed owner started during a
// store outage, when it could not write them to the journal.
func TestStartsDuringStoreOutageAreAdopted(t *testing.T) {
	runOnCluster(t, 16, 25*time.Second, func(s *testCluster) {
		for _, h := range s.config.EntryHosts {
			s.setPartitioned(h.Name, "store", true)
		}
		time.Sleep(25 * time.Second)
		s.locked(func() { s.is.True(s.startsNotInJournal > 0) }) // starts go on during the outage
		s.killHost(s.owner)
		for _, h := range s.config.EntryHosts {
			s.setPartitioned(h.Name, "store", false)
		}
		time.Sleep(120 * time.Second)
		s.is.Equal(s.finishedJobs(), 16)
		for _, n := range s.jobNames {
			s.is.Equal(s.startsOf(n), 1) // found running or finished, not started again
		}
	})
}

// Guards against batch tasks that stop, and against jobs that are accepted without being
// stored, in a store outage longer than JobRecoveryDelay.
func TestBatchTasksSurviveLongStoreOutage(t *testing.T) {
	runOnCluster(t, 8, 200*time.Second, func(s *testCluster) {
		for _, h := range s.config.EntryHosts {
			s.setPartitioned(h.Name, "store", true)
		}
		time.Sleep(150 * time.Second)
		s.is.Equal(s.activeTasks("", commander.KindBatch), 8)
		a, ok := s.submit("late", time.Second)
		s.is.True(ok)
		s.is.True(!a.Accepted)
		s.is.True(strings.Contains(a.Reason, "retry"))
		for _, h := range s.config.EntryHosts {
			s.setPartitioned(h.Name, "store", false)
		}
		time.Sleep(60 * time.Second)
		s.is.Equal(s.finishedJobs(), 8)
		for _, n := range s.jobNames {
			s.is.Equal(s.startsOf(n), 1)
		}
	})
}

// Guards against slow recovery after the crash of an owner. The limits apply to the virtual
// time from the crash to the claim and from the crash to the first start of a new job by the
// successor.
func TestRecoveryTimeAfterOwnerCrash(t *testing.T) {
	runOnCluster(t, 4, 100*time.Second, func(s *testCluster) {
		s.killHost(s.owner)
		crashedAt := time.Now()
		p := s.hosts[s.standby].owner
		for p.Owner("a/0") != s.standby {
			time.Sleep(50 * time.Millisecond)
		}
		claimedAfter := time.Since(crashedAt)
		s.owner = s.standby
		before := s.startsOf("")
		s.submitHome(1, time.Second)
		for s.startsOf("") == before {
			time.Sleep(50 * time.Millisecond)
		}
		startedAfter := time.Since(crashedAt)
		t.Logf("claimed after %s, a new job started after %s", claimedAfter, startedAfter)
		s.is.True(claimedAfter <= 4500*time.Millisecond)
		s.is.True(startedAfter <= 5*time.Second)
		time.Sleep(100 * time.Second)
		s.is.Equal(s.finishedJobs(), 5)
	})
}

// Guards against an evicted job that is lost or resumes twice, against a job that resumes
// although it was cancelled during its eviction, and against new tasks on a leaving worker.
func TestLeavingWorkerIsDrained(t *testing.T) {
	runOnCluster(t, 5, 60*time.Second, func(s *testCluster) {
		before := s.activeTasks("wa0", commander.KindBatch)
		s.is.True(before > 0)
		p := s.hosts[s.owner].owner
		p.SetLeaving([]string{"wa0"})
		time.Sleep(150 * time.Millisecond) // evictions have begun and not ended
		var evicting []scheduler.JobStatus
		for _, j := range p.List(allJobs) {
			if j.State == scheduler.JobEvicting {
				evicting = append(evicting, j)
			}
		}
		s.is.Equal(len(evicting), before)
		s.cancel(evicting[0].Spec.Name)
		time.Sleep(5 * time.Second)
		s.is.Equal(s.activeTasks("wa0", commander.KindBatch), 0)
		s.submitHome(2, time.Second)
		time.Sleep(100 * time.Second)
		for _, j := range p.List(allJobs) {
			if slices.ContainsFunc(evicting[1:], func(e scheduler.JobStatus) bool { return e.Spec.Name == j.Spec.Name }) {
				s.is.Equal(j.State, scheduler.JobFinished)
				s.is.Equal(j.Attempt, 2)
				s.is.Equal(j.Evictions, 1)
				s.is.Equal(j.Worker, "wa1")
				s.is.Equal(j.Checkpoint, "1")
				s.is.Equal(s.startsOf(j.Spec.Name), 2)
			}
		}
		s.is.Equal(s.startsOf(evicting[0].Spec.Name), 1)
		s.is.Equal(s.finishedJobs(), 6)
	})
}

// Guards against many simultaneous cancellations that delay the start of an urgent job or leave
// a job running.
func TestBulkCancellation(t *testing.T) {
	runOnCluster(t, 800, 300*time.Second, func(s *testCluster) {
		p := s.hosts[s.owner].owner
		for _, n := range s.jobNames {
			go s.cancel(n)
		}
		urgent := ""
		for i := 0; urgent == "" || p.HomeShard(urgent) != "a/0"; i++ {
			urgent = fmt.Sprint("urgent", i)
		}
		begin := time.Now()
		a, err := p.Submit(context.Background(), scheduler.JobSpec{Name: urgent, Class: "rush", Duration: time.Second})
		s.is.NoErr(err)
		s.is.True(a.Accepted)
		for s.startsOf(urgent) == 0 {
			time.Sleep(50 * time.Millisecond)
		}
		t.Logf("the urgent job started after %s, during %d cancellations", time.Since(begin), len(s.jobNames))
		s.is.True(time.Since(begin) < 3*time.Second)
		time.Sleep(20 * time.Second)
		s.is.Equal(s.activeTasks("", commander.KindBatch), 0)
		s.locked(func() { s.is.Equal(len(s.cancelledJobs), 800) })
	})
}

// Guards against a service instance on a leaving worker that stops before its replacement
// takes requests, or is not replaced.
func TestInstancesAreReplacedBeforeStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := configuration(2, 3, 1)
		c.Services = []configurator.Service{{Name: "quotes", Class: "web", Instances: map[string]int{"a": 4}, Size: configurator.Resources{Cores: 1, Memory: 1 << 30}, Slots: 8, Connections: 64}}
		cl := newCluster(c)
		defer cl.stopAllHosts()
		for _, h := range c.EntryHosts {
			cl.startHost(h.Name)
		}
		time.Sleep(15 * time.Second)
		is.Equal(cl.activeTasks("", commander.KindService), 4)
		owner := cl.hosts[cl.hosts["a0"].owner.Owner("a/0")]
		es := owner.owner.Endpoints()
		is.Equal(len(es), 4)
		is.Equal(es[0].Slots, 8)
		leaving := es[0].Worker
		owner.owner.SetLeaving([]string{leaving})
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			serving := slices.DeleteFunc(owner.owner.Endpoints(), func(e messenger.Endpoint) bool { return e.Draining })
			is.True(len(serving) >= 4)
			is.True(cl.activeTasks("", commander.KindService) >= 4)
		}
		is.Equal(cl.activeTasks(leaving, commander.KindService), 0)
		is.Equal(cl.activeTasks("", commander.KindService), 4)
		cl.killHost(owner.name)
		time.Sleep(15 * time.Second)
		is.Equal(cl.activeTasks("", commander.KindService), 4) // taken over by the new owner, not started again
		is.Equal(cl.startsOf(""), 4+len(slices.DeleteFunc(es, func(e messenger.Endpoint) bool { return e.Worker != leaving })))
		checkViolations(t, cl)
	})
}

// Guards against a claim that overwrites a journal that cannot be decoded.
func TestUndecodableJournalIsNotOverwritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(configuration(2, 2, 1))
		defer cl.stopAllHosts()
		cl.storeEntries["shards/a/0"] = storer.Entry{Key: "shards/a/0", Value: []byte("{damaged"), Revision: 1}
		cl.revision = 1
		for _, h := range cl.config.EntryHosts {
			cl.startHost(h.Name)
		}
		time.Sleep(60 * time.Second)
		cl.locked(func() { is.Equal(string(cl.storeEntries["shards/a/0"].Value), "{damaged") })
		is.Equal(cl.hosts["a0"].owner.Owner("a/0"), "")
		is.True(cl.hosts["b0"].owner.Owner("b/0") != "") // the other shard is claimed
	})
}

// Guards against a planned stop after which successors wait for the end of the lease.
func TestReleasedShardIsClaimedAtOnce(t *testing.T) {
	runOnCluster(t, 4, 60*time.Second, func(s *testCluster) {
		s.is.NoErr(s.hosts[s.owner].owner.Release(context.Background()))
		begin := time.Now()
		for s.hosts[s.standby].owner.Owner("a/0") != s.standby && time.Since(begin) < time.Minute {
			time.Sleep(50 * time.Millisecond)
		}
		t.Logf("claimed by the successor after %s", time.Since(begin))
		s.is.True(time.Since(begin) < 2*time.Second)
		time.Sleep(60 * time.Second)
		s.is.Equal(s.finishedJobs(), 4)
	})
}

// Guards against service instances whose leases (10 min) end because their owner has crashed
// while the store is unavailable. Every entry host of the failure domain must renew them.
func TestLeasesOfOrphanedInstancesAreRenewed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := configuration(2, 2, 1)
		c.Services = []configurator.Service{{Name: "quotes", Class: "web", Instances: map[string]int{"a": 2}, Size: configurator.Resources{Cores: 1, Memory: 1 << 30}}}
		cl := newCluster(c)
		defer cl.stopAllHosts()
		for _, h := range c.EntryHosts {
			cl.startHost(h.Name)
		}
		time.Sleep(15 * time.Second)
		is.Equal(cl.activeTasks("", commander.KindService), 2)
		for _, h := range c.EntryHosts {
			cl.setPartitioned(h.Name, "store", true)
		}
		cl.killHost(cl.hosts["a0"].owner.Owner("a/0"))
		time.Sleep(15 * time.Minute)
		is.Equal(cl.activeTasks("", commander.KindService), 2)
		is.Equal(cl.startsOf(""), 2) // the same two tasks
		checkViolations(t, cl)
	})
}
