package proprietor_test

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

// started returns how often the job was started, or with "" how many tasks were.
func (w *world) started(name string) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if name == "" {
		return len(w.starts)
	}
	return w.starts[name]
}

// active returns the number of active tasks of a kind on the named worker ("": all).
func (w *world) active(worker string, kind commander.TaskKind) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	n := 0
	for _, o := range w.workers {
		o.advance()
		for _, t := range o.tasks {
			if t.State.Active() && t.Kind == kind && (worker == "" || o.name == worker) {
				n++
			}
		}
	}
	return n
}

// Guards against a new owner that starts again what a dead owner had started during a
// store outage, without a journal entry.
func TestOutageStartsAreAdopted(t *testing.T) {
	stage(t, 16, 25*time.Second, func(s *scene) {
		for _, h := range s.config.EntryHosts {
			s.partition(h.Name, "store", true)
		}
		time.Sleep(25 * time.Second)
		s.set(func() { s.is.True(s.unlisted > 0) }) // starts go on during the outage
		s.kill(s.owner)
		for _, h := range s.config.EntryHosts {
			s.partition(h.Name, "store", false)
		}
		time.Sleep(120 * time.Second)
		s.is.Equal(s.count(), 16)
		for _, n := range s.names {
			s.is.Equal(s.started(n), 1) // found running or finished, not started again
		}
	})
}

// Guards against batch work that stops in a store outage longer than JobRecoveryDelay.
func TestLongOutageKeepsBatchWork(t *testing.T) {
	stage(t, 8, 200*time.Second, func(s *scene) {
		for _, h := range s.config.EntryHosts {
			s.partition(h.Name, "store", true)
		}
		time.Sleep(150 * time.Second)
		s.is.Equal(s.active("", commander.KindBatch), 8)
		a, ok := s.submit("late", time.Second)
		s.is.True(ok)
		s.is.True(!a.Accepted)
		s.is.True(strings.Contains(a.Reason, "retry"))
		for _, h := range s.config.EntryHosts {
			s.partition(h.Name, "store", false)
		}
		time.Sleep(60 * time.Second)
		s.is.Equal(s.count(), 8)
		for _, n := range s.names {
			s.is.Equal(s.started(n), 1)
		}
	})
}

// Guards against slow recovery after an owner's death: the bound is on virtual time from
// the death until the successor has fenced all workers and places a new job.
func TestOwnerDeathToFullService(t *testing.T) {
	stage(t, 4, 100*time.Second, func(s *scene) {
		s.kill(s.owner)
		died := time.Now()
		p := s.hosts[s.other].p
		for p.Owner("a/0") != s.other {
			time.Sleep(50 * time.Millisecond)
		}
		claimed := time.Since(died)
		s.owner = s.other
		before := s.started("")
		s.submitHome(1, time.Second)
		for s.started("") == before {
			time.Sleep(50 * time.Millisecond)
		}
		served := time.Since(died)
		t.Logf("claimed after %s, a new job started after %s", claimed, served)
		s.is.True(claimed <= 4500*time.Millisecond)
		s.is.True(served <= 5*time.Second)
		time.Sleep(100 * time.Second)
		s.is.Equal(s.count(), 5)
	})
}

// Guards against an eviction whose job is lost or resumes twice, against a cancelled job
// that resumes, and against new work on a leaving worker.
func TestLeavingWorkerIsEmptied(t *testing.T) {
	stage(t, 5, 60*time.Second, func(s *scene) {
		before := s.active("wa0", commander.KindBatch)
		s.is.True(before > 0)
		p := s.hosts[s.owner].p
		p.SetLeaving([]string{"wa0"})
		time.Sleep(150 * time.Millisecond) // the eviction is under way
		var evicting []scheduler.JobStatus
		for _, j := range p.List(all) {
			if j.State == scheduler.JobEvicting {
				evicting = append(evicting, j)
			}
		}
		s.is.Equal(len(evicting), before)
		s.cancel(evicting[0].Spec.Name)
		time.Sleep(5 * time.Second)
		s.is.Equal(s.active("wa0", commander.KindBatch), 0)
		s.submitHome(2, time.Second)
		time.Sleep(100 * time.Second)
		for _, j := range p.List(all) {
			if slices.ContainsFunc(evicting[1:], func(e scheduler.JobStatus) bool { return e.Spec.Name == j.Spec.Name }) {
				s.is.Equal(j.State, scheduler.JobFinished)
				s.is.Equal(j.Attempt, 2)
				s.is.Equal(j.Evictions, 1)
				s.is.Equal(j.Worker, "wa1")
				s.is.Equal(j.Checkpoint, "1")
				s.is.Equal(s.started(j.Spec.Name), 2)
			}
		}
		s.is.Equal(s.started(evicting[0].Spec.Name), 1)
		s.is.Equal(s.count(), 6)
	})
}

// Guards against a cancellation of thousands of jobs that delays an urgent start or
// leaves a job running.
func TestBulkCancellation(t *testing.T) {
	stage(t, 800, 300*time.Second, func(s *scene) {
		p := s.hosts[s.owner].p
		for _, n := range s.names {
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
		for s.started(urgent) == 0 {
			time.Sleep(50 * time.Millisecond)
		}
		t.Logf("urgent start after %s, with %d cancellations", time.Since(begin), len(s.names))
		s.is.True(time.Since(begin) < 3*time.Second)
		time.Sleep(20 * time.Second)
		s.is.Equal(s.active("", commander.KindBatch), 0)
		s.set(func() { s.is.Equal(len(s.cancelled), 800) })
	})
}

// Guards against a planned stop of an instance before its replacement serves, and
// against instances that are not replaced.
func TestInstancesAreReplacedThenStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := configuration(2, 3, 1)
		c.Services = []configurator.Service{{Name: "quotes", Class: "web", Instances: map[string]int{"a": 4}, Size: configurator.Resources{Cores: 1, Memory: 1 << 30}, Slots: 8, Connections: 64}}
		w := newWorld(c)
		defer w.stopAll()
		for _, h := range c.EntryHosts {
			w.start(h.Name)
		}
		time.Sleep(15 * time.Second)
		is.Equal(w.active("", commander.KindService), 4)
		owner := w.hosts[w.hosts["a0"].p.Owner("a/0")]
		es := owner.p.Endpoints()
		is.Equal(len(es), 4)
		is.Equal(es[0].Slots, 8)
		leaving := es[0].Worker
		owner.p.SetLeaving([]string{leaving})
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			serving := slices.DeleteFunc(owner.p.Endpoints(), func(e messenger.Endpoint) bool { return e.Draining })
			is.True(len(serving) >= 4)
			is.True(w.active("", commander.KindService) >= 4)
		}
		is.Equal(w.active(leaving, commander.KindService), 0)
		is.Equal(w.active("", commander.KindService), 4)
		w.kill(owner.name)
		time.Sleep(15 * time.Second)
		is.Equal(w.active("", commander.KindService), 4) // adopted, not started again
		is.Equal(w.started(""), 4+len(slices.DeleteFunc(es, func(e messenger.Endpoint) bool { return e.Worker != leaving })))
		check(t, w)
	})
}

// Guards against a claim that overwrites a journal which cannot be decoded.
func TestDamagedJournalIsLeftAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(configuration(2, 2, 1))
		defer w.stopAll()
		w.entries["shards/a/0"] = storer.Entry{Key: "shards/a/0", Value: []byte("{damaged"), Revision: 1}
		w.revision = 1
		for _, h := range w.config.EntryHosts {
			w.start(h.Name)
		}
		time.Sleep(60 * time.Second)
		w.set(func() { is.Equal(string(w.entries["shards/a/0"].Value), "{damaged") })
		is.Equal(w.hosts["a0"].p.Owner("a/0"), "")
		is.True(w.hosts["b0"].p.Owner("b/0") != "") // the other shard is served
	})
}

// Guards against a planned stop that makes successors wait for the end of the tenure.
func TestReleaseHandsOver(t *testing.T) {
	stage(t, 4, 60*time.Second, func(s *scene) {
		s.is.NoErr(s.hosts[s.owner].p.Release(context.Background()))
		begin := time.Now()
		for s.hosts[s.other].p.Owner("a/0") != s.other && time.Since(begin) < time.Minute {
			time.Sleep(50 * time.Millisecond)
		}
		t.Logf("handed over within %s", time.Since(begin))
		s.is.True(time.Since(begin) < 2*time.Second)
		time.Sleep(60 * time.Second)
		s.is.Equal(s.count(), 4)
	})
}

// Guards against instances whose leases (10 min) end because their owner died and the
// store is unavailable: any entry host of the failure domain renews them.
func TestInstancesOutliveTheirOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := configuration(2, 2, 1)
		c.Services = []configurator.Service{{Name: "quotes", Class: "web", Instances: map[string]int{"a": 2}, Size: configurator.Resources{Cores: 1, Memory: 1 << 30}}}
		w := newWorld(c)
		defer w.stopAll()
		for _, h := range c.EntryHosts {
			w.start(h.Name)
		}
		time.Sleep(15 * time.Second)
		is.Equal(w.active("", commander.KindService), 2)
		for _, h := range c.EntryHosts {
			w.partition(h.Name, "store", true)
		}
		w.kill(w.hosts["a0"].p.Owner("a/0"))
		time.Sleep(15 * time.Minute)
		is.Equal(w.active("", commander.KindService), 2)
		is.Equal(w.started(""), 2) // the same two
		check(t, w)
	})
}
