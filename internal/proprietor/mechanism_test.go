package proprietor_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotpitch/internal/scheduler"
)

// scene is a world with one shard in each failure domain, "a/0" on workers wa0 and wa1.
type scene struct {
	*world
	is           *is.I
	owner, other string // entry hosts of a
	names        []string
}

// stage starts a scene, submits jobs to a/0 and lets f disturb it.
func stage(t *testing.T, jobs int, duration time.Duration, f func(s *scene)) {
	synctest.Test(t, func(t *testing.T) {
		s := &scene{world: newWorld(configuration(2, 2, 1)), is: is.New(t)}
		defer s.stopAll()
		for _, h := range s.config.EntryHosts {
			s.start(h.Name)
		}
		time.Sleep(6 * time.Second)
		s.owner = s.hosts["a0"].p.Owner("a/0")
		s.other = map[string]string{"a0": "a1", "a1": "a0"}[s.owner]
		s.submitHome(jobs, duration)
		time.Sleep(14 * time.Second)
		f(s)
		check(t, s.world)
	})
}

// submitHome submits jobs whose home is a/0, all at once.
func (s *scene) submitHome(jobs int, duration time.Duration) {
	p := s.hosts[s.owner].p
	var all sync.WaitGroup
	for i := 0; jobs > 0; i++ {
		name := fmt.Sprint("job", len(s.names), "-", i)
		if p.HomeShard(name) != "a/0" {
			continue
		}
		s.names = append(s.names, name)
		jobs--
		all.Go(func() {
			a, err := p.Submit(context.Background(), scheduler.JobSpec{Name: name, Class: "repair", Duration: duration})
			s.is.NoErr(err)
			s.is.True(a.Accepted)
		})
	}
	all.Wait()
}

// cutOff cuts a host from the named ones in both directions, or restores it.
func (s *scene) cutOff(host string, cut bool, from ...string) {
	for _, o := range from {
		s.partition(host, o, cut)
	}
}

// Guards against a replaced owner that keeps leases alive on a worker which its
// successor fenced and then cannot reach: the job would run there and elsewhere. The
// mechanism is the epoch.
func TestReplacedOwnerCannotRenew(t *testing.T) {
	stage(t, 5, 300*time.Second, func(s *scene) {
		s.cutOff(s.owner, true, s.other, "store", "wa1")
		time.Sleep(8 * time.Second)
		s.is.Equal(s.hosts[s.other].p.Owner("a/0"), s.other)
		s.cutOff(s.other, true, "wa0")
		time.Sleep(70 * time.Second)
	})
}

// Guards against a partitioned owner that goes on starting jobs of its journal on a
// worker that only it can reach. The mechanism is the tenure, checked before each effect
// and carried by each command.
func TestPartitionedOwnerStopsStarting(t *testing.T) {
	stage(t, 40, 40*time.Second, func(s *scene) {
		s.cutOff(s.owner, true, s.other, "store", "wa1", "b0", "b1")
		s.cutOff(s.other, true, "wa0")
		time.Sleep(300 * time.Second)
	})
}

// Guards against a new owner that starts a pending job which the dead owner had started
// during a store outage, on a worker that does not answer. The mechanism is the wait for
// fencing.
func TestPendingJobsWaitForFencing(t *testing.T) {
	stage(t, 24, 25*time.Second, func(s *scene) {
		for _, h := range s.config.EntryHosts {
			s.partition(h.Name, "store", true)
		}
		time.Sleep(20 * time.Second)
		s.kill(s.owner)
		s.cutOff(s.other, true, "wa0")
		for _, h := range s.config.EntryHosts {
			s.partition(h.Name, "store", false)
		}
		time.Sleep(60 * time.Second)
	})
}

// Guards against leases in a partitioned failure domain that outlast the running tenure,
// after which the successor failure domain runs the jobs. The mechanism is the lease end
// in the worker's clock, bounded by the tenure.
func TestLeasesEndBeforeTheJobsMove(t *testing.T) {
	stage(t, 4, 300*time.Second, func(s *scene) {
		s.isolate([]string{"a0", "a1", "wa0", "wa1"}, "a", true)
		time.Sleep(120 * time.Second)
		running := 0
		for _, j := range s.hosts["b0"].p.List(all) {
			s.is.Equal(j.Shard, "b/0")
			running++
		}
		for _, j := range s.hosts["b1"].p.List(all) {
			s.is.Equal(j.Shard, "b/0")
			running++
		}
		s.is.Equal(running, 4) // b has taken the jobs over
		s.isolate([]string{"a0", "a1", "wa0", "wa1"}, "a", false)
		time.Sleep(20 * time.Second)
		s.is.True(s.hosts["b0"].p.Owner("a/0") != "") // the emptied journal is claimed again
		a, err := s.hosts[s.hosts["a0"].p.Owner("a/0")].p.Submit(context.Background(), scheduler.JobSpec{Name: s.names[0], Class: "repair"})
		s.is.NoErr(err)
		s.is.True(!a.Accepted) // the job lives in b now
		time.Sleep(300 * time.Second)
		s.is.Equal(s.count(), 4)
	})
}

// Guards against an owner that takes a lost answer for a failure, and so never matches
// the journal's revision again. The mechanism is the read-back of writer and sequence.
func TestLostAnswersAreReadBack(t *testing.T) {
	stage(t, 2, 5*time.Second, func(s *scene) {
		for range 10 {
			s.set(func() { s.loseAnswer = 2 })
			time.Sleep(3 * time.Second)
		}
		s.submitHome(4, 5*time.Second)
		time.Sleep(30 * time.Second)
		s.is.Equal(s.count(), 6)
		s.is.Equal(s.hosts["b0"].p.Owner("a/0"), s.owner) // no change of owner was needed
	})
}

// Guards against a move of jobs whose owner is alive and writes to the store, by a host
// that has not seen the writes. The mechanism is the compare-and-swap to MovedTo.
func TestLiveShardIsNotMoved(t *testing.T) {
	stage(t, 4, 300*time.Second, func(s *scene) {
		for _, b := range []string{"b0", "b1"} {
			s.cutOff(b, true, "a0", "a1")
			s.set(func() { s.cut["store>"+b] = true })
		}
		time.Sleep(150 * time.Second)
		s.is.Equal(s.hosts[s.other].p.Owner("a/0"), s.owner)
	})
}

// Guards against a promise that a host gives to the owner of a shard whose jobs it has
// just moved: with the promises of its peers, the old owner would start them again.
func TestMovedShardGetsNoPromise(t *testing.T) {
	stage(t, 40, 40*time.Second, func(s *scene) {
		s.set(func() { s.unseen = true })
		s.isolate([]string{"a0", "a1", "wa0", "wa1"}, "a", true)
		for _, a := range []string{"a0", "a1"} { // both queues begin with the same jobs
			s.cutOff(a, true, "wa0", "wa1")
		}
		for len(s.hosts["b0"].p.List(all))+len(s.hosts["b1"].p.List(all)) == 0 {
			time.Sleep(20 * time.Millisecond)
		}
		for _, b := range []string{"b0", "b1"} {
			s.cutOff(b, false, "a0", "a1")
		}
		for _, a := range []string{"a0", "a1"} {
			s.cutOff(a, false, "wa0", "wa1")
		}
		time.Sleep(60 * time.Second)
	})
}
