package server

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpitch/internal/emulator"
	"peridotpitch/internal/scheduler"
)

// Guards against pool slots that stay unused: the owner of a shard grants slots to itself
// as well as to its peers, so a busy owner must be able to exceed its base share.
func TestBusyOwnerUsesGrantedSlots(t *testing.T) {
	const baseShare = 3 // of 8 slots, with two entry hosts in the failure domain
	cl := newClusterWithServiceTime(t, 100*time.Millisecond)
	cl.waitForInstances(2)
	owner := cl.hosts[0]
	if owner.owner.Owner("North/1") != owner.settings.Name {
		owner = cl.hosts[1]
	}
	cl.eventually("more requests than the base share", func() error {
		var wg sync.WaitGroup
		for i := range 24 {
			wg.Go(func() {
				a, err := cl.call(owner, fmt.Sprintf("burst-%d-%d", i, time.Now().UnixNano()))
				if err != nil || a.outcome != "answered" {
					t.Errorf("%v %+v", err, a)
				}
			})
		}
		wg.Wait()
		most := 0
		for _, w := range cl.workers[:2] {
			for _, b := range w.Backends() {
				most = max(most, b.Counts().MostRunning)
			}
		}
		if most <= baseShare {
			return fmt.Errorf("at most %d requests ran at an instance", most)
		}
		return nil
	})
}

// Guards against faults between components: requests must reach a backend server exactly
// once, submitted jobs must finish, and their decisions must be recorded.
func TestRequestsAndJobsEndToEnd(t *testing.T) {
	is := is.New(t)
	cl := newCluster(t)
	cl.waitForInstances(2)
	for i := range 40 {
		h := cl.hosts[i%len(cl.hosts)]
		token := fmt.Sprint("t", i)
		a, err := cl.call(h, token)
		is.NoErr(err)
		is.Equal(a.outcome, "answered")
		is.NoErr(emulator.CheckBody(a.body, token, nil))
	}
	for token, n := range cl.executions.TokenCounts() {
		if n != 1 {
			t.Errorf("request %s ran %d times", token, n)
		}
	}
	for i := range 10 {
		cl.submit(cl.hosts[i%len(cl.hosts)], fmt.Sprint("job-", i), 100*time.Millisecond)
	}
	for i := range 10 {
		j := cl.waitForJob(cl.hosts[0], fmt.Sprint("job-", i), scheduler.JobFinished)
		is.True(strings.Contains(j.Decision, "placed on "+j.Worker)) // kept in the journal after the job's end
	}
	is.Equal(emulator.Violations(cl.runLog.Runs(), time.Now()), nil)
	records, err := cl.hosts[1].operator.Explain(context.Background(), "job-3")
	is.NoErr(err)
	is.True(len(records) > 0)
}
