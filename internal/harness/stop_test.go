package harness_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpitch/internal/emulator"
	"peridotpitch/internal/harness"
	"peridotpitch/internal/loadgenerator"
)

// Guards against a planned stop during a store outage that interrupts a request or waits
// for the store. The shard cannot be handed over, because the handover is a write to the
// store.
func TestEntryHostTerminatedInStoreOutage(t *testing.T) {
	is := is.New(t)
	t.Parallel()
	c, w := startClusterAndWorkload(t, harness.ClusterOptions{}, 14, 10, 4*time.Second)
	leaving := c.Owner("north")
	harness.SetFaults(t, c.Store, emulator.Faults{Down: true})
	leaving.Terminate()
	is.Equal(leaving.Wait(), 0)
	harness.SetFaults(t, c.Store, emulator.Faults{})
	requests, jobs := w.waitAndCheck()
	is.Equal(requests.Count(loadgenerator.Failed), 0)
	is.Equal(requests.Count(loadgenerator.Unknown), 0)
	is.Equal(jobs.Jobs().Finished, jobs.Jobs().Submitted)
}
