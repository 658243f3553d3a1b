package proprietor_test

import (
	"context"
	"fmt"
	"peridotpitch/internal/messenger"
	"peridotpitch/internal/proprietor"
	"peridotpitch/internal/scheduler"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

var all = messenger.ListRequest{}

// check fails the test for each violated invariant.
func check(t *testing.T, w *world) {
	t.Helper()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for i, v := range w.violations {
		if i < 5 {
			t.Error(v)
		}
	}
}

// Guards against a runtime that loses a job between submission and its end.
func TestJobsRunToTheirEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(configuration(2, 4, 2))
		defer w.stopAll()
		for _, h := range w.config.EntryHosts {
			w.start(h.Name)
		}
		time.Sleep(6 * time.Second)
		for i := range 40 {
			a, ok := w.submit(fmt.Sprint("job", i), 10*time.Second)
			is.True(ok)
			is.True(a.Accepted)
		}
		time.Sleep(60 * time.Second)
		is.Equal(w.count(), 40)
		w.set(func() { is.Equal(w.unlisted, 0) }) // each assignment was in the journal before its start
		check(t, w)
	})
}

func ExampleNew() {
	w := newWorld(configuration(2, 2, 1))
	h := w.start("a0")
	defer h.stop()
	_, err := h.p.Submit(context.Background(), scheduler.JobSpec{Name: "dent-repair-12", Class: "repair"})
	fmt.Println(err) // nothing is claimed within the first TTL
	_, _, err = proprietor.New(proprietor.Settings{Host: "a0"})
	fmt.Println(err)
	// Output:
	// shard a/0 is owned by "", not by this host
	// proprietor: Host, FailureDomain, Incarnation, Store, Workers and Random are required
}
