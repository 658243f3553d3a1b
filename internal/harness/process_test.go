package harness_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpitch/internal/commander"
	"peridotpitch/internal/configurator"
	"peridotpitch/internal/emulator"
	"peridotpitch/internal/harness"
	"peridotpitch/internal/relayer"
	"peridotpitch/internal/storer"
)

func TestMain(m *testing.M) { harness.Main(m) }

// Guards against emulator processes that do not stop on SIGTERM and therefore keep running
// after the demo.
func TestStandinsStopOnSIGTERM(t *testing.T) {
	is := is.New(t)
	for _, role := range [][]string{{"platform"}, {"worker", "-count", "2"}, {"backend"}, {"relay", "-target", "127.0.0.1:1"}} {
		p := harness.Start(t, role[0], "standin", role...)
		p.WaitAddress(role[0] + " listening")
		p.Terminate()
		is.Equal(p.Wait(), 0)
	}
}

// Guards against an emulated platform or a relay whose faults cannot be set and cleared
// while it runs.
func TestStoreFaultsAndPartitionAtRunTime(t *testing.T) {
	is := is.New(t)
	platform := harness.Start(t, "platform", "standin", "platform").WaitAddress("listening")
	control := harness.FreeAddresses(t, 1)[0]
	relay := harness.Start(t, "relay", "standin", "relay", "-target", platform.String(), "-control", control.String()).WaitAddress("listening")
	c, stop := storer.NewClient(relay, storer.Options{Timeout: 300 * time.Millisecond})
	defer stop()
	get := func() error { _, err := c.Get(t.Context(), "k"); return err }
	is.NoErr(get())
	harness.SetFaults(t, platform, emulator.Faults{Down: true})
	is.True(get() != nil)
	harness.SetFaults(t, platform, emulator.Faults{})
	is.NoErr(get())
	harness.SetCut(t, control, relayer.Cut{Backward: true})
	is.True(get() != nil)
	harness.SetCut(t, control, relayer.Cut{})
	harness.WaitFor(t, "the partition heals", func() bool { return get() == nil })
}

// Guards against a worker that is paused and resumed and then continues tasks whose leases
// have ended, and against a killed worker that still answers calls.
func TestPausedWorkerEndsExpiredTasksAndKilledWorkerIsUnreachable(t *testing.T) {
	is := is.New(t)
	p := harness.Start(t, "worker", "standin", "worker")
	address := p.WaitAddress("listening")
	c, stop := commander.NewClient(commander.Options{Timeout: 300 * time.Millisecond})
	defer stop()
	r, err := c.Report(t.Context(), address)
	is.NoErr(err)
	a, err := c.Apply(t.Context(), address, 1, "e1", []commander.Command{{
		Verb: commander.VerbStart, Task: "j", Attempt: 1, Kind: commander.KindBatch, Class: "die", Duration: time.Hour,
		Declared: configurator.Resources{Cores: 1, Memory: 1 << 30}, LeaseEnd: r.Clock + 2*time.Second,
	}})
	is.NoErr(err)
	is.True(a.Results[0].Done)
	p.Pause()
	_, err = c.Report(t.Context(), address)
	is.True(err != nil)
	time.Sleep(2 * time.Second)
	p.Resume()
	r, err = c.Report(t.Context(), address)
	is.NoErr(err)
	is.Equal(r.Tasks[0].State, commander.TaskStopped)
	violations, _ := harness.Violations(t, []netip.AddrPort{address})
	is.Equal(violations, nil)
	p.Kill()
	is.True(!p.Running())
	_, err = c.Report(t.Context(), address)
	is.True(err != nil)
}
