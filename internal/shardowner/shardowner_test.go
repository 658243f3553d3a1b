package shardowner_test

import (
	"context"
	"fmt"
	"peridotpitch/internal/messenger"
	"peridotpitch/internal/scheduler"
	"peridotpitch/internal/shardowner"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

var allJobs = messenger.ListRequest{}

// checkViolations fails the test with the first five violations of invariants.
func checkViolations(t *testing.T, cl *cluster) {
	t.Helper()
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	for i, v := range cl.violations {
		if i < 5 {
			t.Error(v)
		}
	}
}

// Guards against an accepted job that does not finish, and against a start before the journal
// with the assignment is stored.
func TestJobsFinish(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(configuration(2, 4, 2))
		defer cl.stopAllHosts()
		for _, h := range cl.config.EntryHosts {
			cl.startHost(h.Name)
		}
		time.Sleep(6 * time.Second)
		for i := range 40 {
			a, ok := cl.submit(fmt.Sprint("job", i), 10*time.Second)
			is.True(ok)
			is.True(a.Accepted)
		}
		time.Sleep(60 * time.Second)
		is.Equal(cl.finishedJobs(), 40)
		cl.locked(func() { is.Equal(cl.startsNotInJournal, 0) }) // each attempt was in the stored journal before its start
		checkViolations(t, cl)
	})
}

func ExampleNew() {
	cl := newCluster(configuration(2, 2, 1))
	h := cl.startHost("a0")
	defer h.stop()
	_, err := h.owner.Submit(context.Background(), scheduler.JobSpec{Name: "dent-repair-12", Class: "repair"})
	fmt.Println(err) // no host claims a shard within one TTL after its start
	_, _, err = shardowner.New(shardowner.Settings{Host: "a0"})
	fmt.Println(err)
	// Output:
	// shard a/0 is owned by "", not by this host
	// shardowner: Host, FailureDomain, Incarnation, Store, Workers and Random are required
}
