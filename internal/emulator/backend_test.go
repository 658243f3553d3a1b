package emulator

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"peridotpitch/internal/commander"
	"peridotpitch/internal/configurator"
)

// sendRequest sends one request and returns the status, the echoed request identity and
// whether the header "not run" is set. The status is 0 if there is no complete answer.
func sendRequest(t *testing.T, a netip.AddrPort, identity string) (int, string, bool) {
	t.Helper()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + a.String() + "/x?token=t" + identity)
	req.Header.Set(HeaderRequest, identity)
	req.Header.Set(HeaderAttempt, "1")
	if err := fasthttp.DoTimeout(req, resp, 10*time.Second); err != nil {
		return 0, "", false
	}
	return resp.StatusCode(), string(resp.Header.Peek(HeaderRequest)), string(resp.Header.Peek(HeaderNotRun)) == "true"
}

// Guards against an instance that runs a request which it answers with "not run", or more
// requests than it has slots.
func TestFullOrDrainingInstanceDoesNotRun(t *testing.T) {
	is := is.New(t)
	b, a, stop, err := NewBackend(BackendOptions{Slots: 1, ServiceTime: time.Hour, Shape: ShapeFixed})
	is.NoErr(err)
	go func() { _, _, _ = sendRequest(t, a, "r1") }()
	for b.InFlight() == 0 {
		time.Sleep(time.Millisecond)
	}
	status, identity, notRun := sendRequest(t, a, "r2")
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(identity, "r2")
	is.True(notRun)
	is.Equal(b.Executions().RequestCount("r2"), 0)
	is.Equal(b.Executions().RequestCount("r1"), 1)
	is.Equal(b.Counts().MostRunning, 1)
	stop() // ends the request that takes an hour

	b, a, stop, err = NewBackend(BackendOptions{})
	is.NoErr(err)
	defer stop()
	b.Drain()
	_, _, notRun = sendRequest(t, a, "r3")
	is.True(notRun)
}

// Guards against a fault without effect: tests that inject it would pass without testing
// anything.
func TestBackendFaultsTakeEffect(t *testing.T) {
	is := is.New(t)
	b, a, stop, err := NewBackend(BackendOptions{ServiceTime: time.Millisecond})
	is.NoErr(err)
	defer stop()
	_, _, _ = sendRequest(t, a, "first")
	b.SetFaults(Faults{WrongIdentity: 1})
	_, identity, _ := sendRequest(t, a, "r1")
	is.Equal(identity, "first")
	for name, f := range map[string]Faults{"half": {HalfAnswers: 1}, "lost": {LoseAnswers: 1}} {
		b.SetFaults(f)
		status, _, _ := sendRequest(t, a, name)
		is.Equal(status, 0)                             // no complete answer
		is.True(b.Executions().RequestCount(name) >= 1) // the request still ran
	}
	b.SetFaults(Faults{Down: true})
	status, _, notRun := sendRequest(t, a, "r2")
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(!notRun)
	b.SetFaults(Faults{})
	start := time.Now()
	b.SetFaults(Faults{LateAnswers: 1, LateBy: 200 * time.Millisecond})
	_, identity, _ = sendRequest(t, a, "r3")
	is.Equal(identity, "r3")
	is.True(time.Since(start) >= 200*time.Millisecond)
}

// Guards against an instance that keeps running after its task has stopped, or that stops
// while it runs a request.
func TestServiceTaskDrainsItsInstance(t *testing.T) {
	is := is.New(t)
	w, _, stop, err := NewWorker(WorkerOptions{
		MachineOptions: MachineOptions{Name: "w1", Capacity: smallCapacity},
		Backend:        BackendOptions{ServiceTime: 300 * time.Millisecond, Shape: ShapeFixed},
	})
	is.NoErr(err)
	defer stop()
	start := commander.Command{
		Verb: commander.VerbStart, Task: "q", Attempt: 1, Kind: commander.KindService, Service: "quotes", Slots: 8,
		Declared: configurator.Resources{Cores: 1}, LeaseEnd: time.Hour,
	}
	is.True(w.Apply(1, "e1", []commander.Command{start}).Results[0].Done)
	a := netip.MustParseAddrPort(reportOf(w.Machine, "q").Address)
	done := make(chan int)
	go func() {
		status, _, _ := sendRequest(t, a, "r1")
		done <- status
	}()
	for w.Backends()[0].InFlight() == 0 {
		time.Sleep(time.Millisecond)
	}
	w.Apply(1, "e1", []commander.Command{{Verb: commander.VerbStop, Task: "q", Attempt: 1, Grace: time.Minute}})
	_, _, notRun := sendRequest(t, a, "r2")
	is.True(notRun)
	is.Equal(<-done, http.StatusOK)
	for reportOf(w.Machine, "q").State != commander.TaskStopped {
		time.Sleep(time.Millisecond)
	}
}

func ExampleNewPlatform() {
	p, _, stop, err := NewPlatform(PlatformOptions{})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer stop()
	p.SetFaults(Faults{LoseAnswers: 1}) // each write over HTTP takes effect, but its answer is lost
	ok, _, err := p.CompareAndSwap(context.Background(), "k", 0, []byte("v"))
	fmt.Println(ok, err, p.Counts().Writes())
	// Output: true <nil> 1
}

func ExampleNewMachine() {
	m := NewMachine(MachineOptions{Name: "w1", Capacity: configurator.Resources{Cores: 1}})
	a := m.Apply(1, "e1", []commander.Command{{
		Verb: commander.VerbStart, Task: "j", Attempt: 1, Kind: commander.KindBatch,
		Declared: configurator.Resources{Cores: 2}, LeaseEnd: time.Minute,
	}})
	fmt.Println(a.Results[0].Done, m.Counts().Overcommits)
	// Output: true 1
}
