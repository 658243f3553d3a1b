package commander_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpitch/internal/commander"
	"peridotpitch/internal/configurator"
	"peridotpitch/internal/emulator"
)

// startWorker starts an emulated worker with the faults f, and returns its address and a
// client.
func startWorker(t *testing.T, f emulator.Faults) (*emulator.Worker, netip.AddrPort, *commander.Client) {
	t.Helper()
	w, address, stop, err := emulator.NewWorker(emulator.WorkerOptions{MachineOptions: emulator.MachineOptions{
		Name: "w1", Capacity: configurator.Resources{Cores: 8, Memory: 16 << 30}, Faults: f,
	}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	c, closeIdle := commander.NewClient(commander.Options{Timeout: 500 * time.Millisecond})
	t.Cleanup(closeIdle)
	return w, address, c
}

// startService starts an instance of a service.
var startService = commander.Command{
	Verb: commander.VerbStart, Task: "quotes-1", Attempt: 1, Kind: commander.KindService, Class: "quotes", Service: "quotes",
	Declared: configurator.Resources{Cores: 2, Memory: 1 << 30}, Slots: 8, LeaseEnd: time.Hour,
}

// Guards against fields of commands, results or reports that are lost in encoding.
func TestCommandsReachTheWorker(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	_, address, c := startWorker(t, emulator.Faults{})
	f, err := c.Fence(ctx, address, 3, "e1")
	is.NoErr(err)
	is.True(f.Accepted)
	is.Equal(f.Report.Capacity.Cores, 8.0)
	a, err := c.Apply(ctx, address, 3, "e1", []commander.Command{startService})
	is.NoErr(err)
	is.Equal(a.Results, []commander.Result{{Task: "quotes-1", Done: true}})
	r, err := c.Report(ctx, address)
	is.NoErr(err)
	_, err = netip.ParseAddrPort(r.Tasks[0].Address)
	is.NoErr(err) // a service task has the address of its instance
	is.Equal(r.Tasks[0].LeaseEnd, time.Hour)
	a, err = c.Apply(ctx, address, 2, "e0", []commander.Command{startService})
	is.NoErr(err)
	is.True(!a.Accepted)
	is.Equal(a.Epoch, uint64(3))
}

// Guards against a command that may have taken effect and is reported as not sent, and
// against a command that was not sent and is reported as sent.
func TestUnreachableSaysWhetherSent(t *testing.T) {
	for name, f := range map[string]emulator.Faults{
		"answer lost":  {LoseAnswers: 1},
		"cut answer":   {HalfAnswers: 1},
		"no answer":    {CutAnswers: true},
		"server error": {Down: true},
		"request lost": {CutRequests: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, address, c := startWorker(t, f)
			_, err := c.Apply(t.Context(), address, 1, "e1", []commander.Command{startService})
			var u *commander.NoAnswerError
			is.True(errors.As(err, &u))
			is.True(u.Sent)
		})
	}
	t.Run("connection refused", func(t *testing.T) {
		is := is.New(t)
		_, address, stop, err := emulator.NewWorker(emulator.WorkerOptions{})
		is.NoErr(err)
		stop()
		c, closeIdle := commander.NewClient(commander.Options{})
		defer closeIdle()
		_, err = c.Report(t.Context(), address)
		var u *commander.NoAnswerError
		is.True(errors.As(err, &u))
		is.True(!u.Sent)
	})
}

func ExampleClient() {
	_, address, stop, err := emulator.NewWorker(emulator.WorkerOptions{MachineOptions: emulator.MachineOptions{Name: "w1"}})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer stop()
	c, closeIdle := commander.NewClient(commander.Options{})
	defer closeIdle()
	a, err := c.Fence(context.Background(), address, 1, "e1")
	fmt.Println(a.Accepted, a.Report.Worker, err)
	// Output: true w1 <nil>
}
