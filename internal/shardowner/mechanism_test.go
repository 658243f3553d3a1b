package shardowner_test

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

// testCluster is a cluster with one shard in each failure domain, a/0 on workers wa0 and wa1.
type testCluster struct {
	*cluster
	is             *is.I
	owner, standby string // entry hosts of failure domain a
	jobNames       []string
}

// runOnCluster starts a testCluster, submits jobs to a/0, runs f, which causes faults, and
// checks the invariants.
func runOnCluster(t *testing.T, jobs int, duration time.Duration, f func(s *testCluster)) {
	synctest.Test(t, func(t *testing.T) {
		s := &testCluster{cluster: newCluster(configuration(2, 2, 1)), is: is.New(t)}
		defer s.stopAllHosts()
		for _, h := range s.config.EntryHosts {
			s.startHost(h.Name)
		}
		time.Sleep(6 * time.Second)
		s.owner = s.hosts["a0"].owner.Owner("a/0")
		s.standby = map[string]string{"a0": "a1", "a1": "a0"}[s.owner]
		s.submitHome(jobs, duration)
		time.Sleep(14 * time.Second)
		f(s)
		checkViolations(t, s.cluster)
	})
}

// submitHome concurrently submits jobs whose home shard is a/0.
func (s *testCluster) submitHome(jobs int, duration time.Duration) {
	p := s.hosts[s.owner].owner
	var all sync.WaitGroup
	for i := 0; jobs > 0; i++ {
		name := fmt.Sprint("job", len(s.jobNames), "-", i)
		if p.HomeShard(name) != "a/0" {
			continue
		}
		s.jobNames = append(s.jobNames, name)
		jobs--
		all.Go(func() {
			a, err := p.Submit(context.Background(), scheduler.JobSpec{Name: name, Class: "repair", Duration: duration})
			s.is.NoErr(err)
			s.is.True(a.Accepted)
		})
	}
	all.Wait()
}

// setHostPartitioned cuts or restores the messages between a host and others in both
// directions.
func (s *testCluster) setHostPartitioned(host string, cut bool, from ...string) {
	for _, o := range from {
		s.setPartitioned(host, o, cut)
	}
}

// Guards against a replaced owner that goes on renewing leases on a worker that its successor
// has fenced and can no longer reach: the job would run there and on another worker. The
// worker must refuse commands of an earlier epoch.
func TestReplacedOwnerCannotRenew(t *testing.T) {
	runOnCluster(t, 5, 300*time.Second, func(s *testCluster) {
		s.setHostPartitioned(s.owner, true, s.standby, "store", "wa1")
		time.Sleep(8 * time.Second)
		s.is.Equal(s.hosts[s.standby].owner.Owner("a/0"), s.standby)
		s.setHostPartitioned(s.standby, true, "wa0")
		time.Sleep(70 * time.Second)
	})
}

// Guards against a partitioned owner that goes on starting jobs on a worker that only it can
// reach. It must check its lease before each command, and commands must carry the lease's end.
func TestPartitionedOwnerStopsStarting(t *testing.T) {
	runOnCluster(t, 40, 40*time.Second, func(s *testCluster) {
		s.setHostPartitioned(s.owner, true, s.standby, "store", "wa1", "b0", "b1")
		s.setHostPartitioned(s.standby, true, "wa0")
		time.Sleep(300 * time.Second)
	})
}

// Guards against a new owner that starts a job listed as pending although the crashed owner
// started it during a store outage, on a worker that is now unreachable. The new owner must
// wait until the worker has accepted its epoch or the earlier leases have ended.
func TestPendingJobsWaitForFencing(t *testing.T) {
	runOnCluster(t, 24, 25*time.Second, func(s *testCluster) {
		for _, h := range s.config.EntryHosts {
			s.setPartitioned(h.Name, "store", true)
		}
		time.Sleep(20 * time.Second)
		s.killHost(s.owner)
		s.setHostPartitioned(s.standby, true, "wa0")
		for _, h := range s.config.EntryHosts {
			s.setPartitioned(h.Name, "store", false)
		}
		time.Sleep(60 * time.Second)
	})
}

// Guards against tasks in a partitioned failure domain that still run when the successor
// failure domain has imported their jobs. Their leases, in the workers' clocks, must not
// outlast the owner's lease for running tasks.
func TestLeasesEndBeforeJobsAreImported(t *testing.T) {
	runOnCluster(t, 4, 300*time.Second, func(s *testCluster) {
		s.setIsolated([]string{"a0", "a1", "wa0", "wa1"}, "a", true)
		time.Sleep(120 * time.Second)
		running := 0
		for _, j := range s.hosts["b0"].owner.List(allJobs) {
			s.is.Equal(j.Shard, "b/0")
			running++
		}
		for _, j := range s.hosts["b1"].owner.List(allJobs) {
			s.is.Equal(j.Shard, "b/0")
			running++
		}
		s.is.Equal(running, 4) // b has imported the jobs
		s.setIsolated([]string{"a0", "a1", "wa0", "wa1"}, "a", false)
		time.Sleep(20 * time.Second)
		s.is.True(s.hosts["b0"].owner.Owner("a/0") != "") // the shard is claimed again after its jobs were imported
		a, err := s.hosts[s.hosts["a0"].owner.Owner("a/0")].owner.Submit(context.Background(), scheduler.JobSpec{Name: s.jobNames[0], Class: "repair"})
		s.is.NoErr(err)
		s.is.True(!a.Accepted) // b owns the job now
		time.Sleep(300 * time.Second)
		s.is.Equal(s.finishedJobs(), 4)
	})
}

// Guards against an owner that treats a write with a lost answer as failed and then sends an
// outdated revision with every further write. The owner must read the journal back and compare
// writer and sequence number.
func TestLostAnswersAreReadBack(t *testing.T) {
	runOnCluster(t, 2, 5*time.Second, func(s *testCluster) {
		for range 10 {
			s.locked(func() { s.answersToLose = 2 })
			time.Sleep(3 * time.Second)
		}
		s.submitHome(4, 5*time.Second)
		time.Sleep(30 * time.Second)
		s.is.Equal(s.finishedJobs(), 6)
		s.is.Equal(s.hosts["b0"].owner.Owner("a/0"), s.owner) // the owner has not changed
	})
}

// Guards against an import of jobs whose owner is alive and writes to the store, by a host that
// has not read the writes. Its compare-and-swap that sets MovedTo must fail.
func TestJobsOfLiveShardAreNotImported(t *testing.T) {
	runOnCluster(t, 4, 300*time.Second, func(s *testCluster) {
		for _, b := range []string{"b0", "b1"} {
			s.setHostPartitioned(b, true, "a0", "a1")
			s.locked(func() { s.cutLinks["store>"+b] = true })
		}
		time.Sleep(150 * time.Second)
		s.is.Equal(s.hosts[s.standby].owner.Owner("a/0"), s.owner)
	})
}

// Guards against a host that gives a promise to the owner of a shard whose jobs it has just
// imported: with the promises of the other hosts, that owner would start the jobs again.
func TestImportedShardGetsNoPromise(t *testing.T) {
	runOnCluster(t, 40, 40*time.Second, func(s *testCluster) {
		s.locked(func() { s.allowReusedAttempts = true })
		s.setIsolated([]string{"a0", "a1", "wa0", "wa1"}, "a", true)
		for _, a := range []string{"a0", "a1"} { // so that both owners have the same jobs to start
			s.setHostPartitioned(a, true, "wa0", "wa1")
		}
		for len(s.hosts["b0"].owner.List(allJobs))+len(s.hosts["b1"].owner.List(allJobs)) == 0 {
			time.Sleep(20 * time.Millisecond)
		}
		for _, b := range []string{"b0", "b1"} {
			s.setHostPartitioned(b, false, "a0", "a1")
		}
		for _, a := range []string{"a0", "a1"} {
			s.setHostPartitioned(a, false, "wa0", "wa1")
		}
		time.Sleep(60 * time.Second)
	})
}
