package harness_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpitch/internal/emulator"
	"peridotpitch/internal/generator"
	"peridotpitch/internal/harness"
)

// Guards against a planned stop during a store outage that interrupts a request or waits
// for the store: the shard cannot be handed over in writing then.
func TestEntryHostTerminatedInStoreOutage(t *testing.T) {
	is := is.New(t)
	t.Parallel()
	c, w := beginOn(t, harness.ClusterOptions{}, 14, 10, 4*time.Second)
	leaving := c.Owner("north")
	harness.SetFaults(t, c.Store, emulator.Faults{Down: true})
	leaving.Terminate()
	is.Equal(leaving.Wait(), 0)
	harness.SetFaults(t, c.Store, emulator.Faults{})
	requests, jobs := w.end()
	is.Equal(requests.Count(generator.Failed), 0)
	is.Equal(requests.Count(generator.Unknown), 0)
	is.Equal(jobs.Jobs().Finished, jobs.Jobs().Submitted)
}
