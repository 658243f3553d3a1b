package loadgenerator

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"peridotpitch/internal/emulator"
)

// startEntryHostStub starts a server that answers like an entry host and forwards every
// request to one backend server.
func startEntryHostStub(t testing.TB, backend netip.AddrPort) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	client := newHostClient(backend)
	s := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		token := string(ctx.QueryArgs().Peek("token"))
		ctx.Request.Header.Set(emulator.HeaderRequest, "id-"+token)
		err := client.Do(&ctx.Request, &ctx.Response)
		ctx.Response.Header.Set("Peridot-Request", "id-"+token)
		switch {
		case err != nil:
			ctx.Error("", fasthttp.StatusGatewayTimeout)
			ctx.Response.Header.Set("Peridot-Outcome", "unknown")
		case len(ctx.Response.Header.Peek(emulator.HeaderNotRun)) > 0:
			ctx.Response.Header.Set("Peridot-Outcome", "not-run")
		default:
			ctx.Response.Header.Set("Peridot-Outcome", "answered")
		}
	}}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Shutdown() })
	return l.Addr().(*net.TCPAddr).AddrPort()
}

func mustParseMix(t testing.TB, text string) Mix {
	t.Helper()
	m, err := ParseMix(text)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// runLoad sends 200 requests through an entry host stub to a backend server with faults.
func runLoad(t *testing.T, f emulator.Faults) (*Result, *emulator.Backend) {
	t.Helper()
	b, address, stop, err := emulator.NewBackend(emulator.BackendOptions{Slots: 4, Connections: 1000, ServiceTime: time.Millisecond, Faults: f})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	r, err := RunCallers(t.Context(), CallerOptions{
		Entries: []netip.AddrPort{startEntryHostStub(t, address)}, Rate: 2000, Count: 200, Services: mustParseMix(t, "quotes"),
		Classes: mustParseMix(t, "urgent:1,normal:3"), Tenants: mustParseMix(t, "a,b"), Repeatable: 0.5, BodyBytes: 64, Seed: 1,
		Timeout: time.Minute, // not reached on a busy machine
	})
	if err != nil {
		t.Fatal(err)
	}
	return r, b
}

// Guards against a load generator that loses requests or reports problems in a run without
// faults.
func TestRunWithoutFaultsHasNoProblems(t *testing.T) {
	is := is.New(t)
	r, b := runLoad(t, emulator.Faults{})
	is.Equal(len(r.Records()), 200)
	is.Equal(r.Count(Answered)+r.Count(NotRun), 200)
	is.Equal(r.Problems(), nil)
	is.Equal(r.Violations(b.Executions().TokenCounts(), true), nil)
	is.True(r.Quantile("normal", 0.99) > 0)
}

// Guards against a load generator that accepts a damaged answer or the answer to another
// request.
func TestWrongAndTruncatedAnswersAreDetected(t *testing.T) {
	t.Run("another request's answer", func(t *testing.T) {
		is := is.New(t)
		r, _ := runLoad(t, emulator.Faults{WrongIdentity: 1})
		is.True(r.Count(Mismatched) > 0)
		is.True(len(r.Problems()) > 0)
	})
	t.Run("truncated answers", func(t *testing.T) {
		is := is.New(t)
		r, _ := runLoad(t, emulator.Faults{HalfAnswers: 1})
		// HalfAnswers truncates each answer in the middle of its body. The stub answers such a
		// request with the outcome unknown.
		is.Equal(r.Count(Answered), 0)
	})
}

// Guards against executions that contradict the outcomes and are not reported: a not-run
// request that ran (a), an unrepeatable one that ran twice (b), and an answered one that did
// not run (c). The repeatable request d may run twice.
func TestViolationsAreDetected(t *testing.T) {
	is := is.New(t)
	r := newResult()
	for _, rec := range []Record{
		{Token: "a", Outcome: NotRun}, {Token: "b", Outcome: Unknown}, {Token: "c", Outcome: Answered},
		{Token: "d", Outcome: Unknown, Repeatable: true}, {Token: "e", Outcome: Answered},
	} {
		r.add(rec, nil)
	}
	is.Equal(len(r.Violations(map[string]int{"a": 1, "b": 2, "d": 2, "e": 1}, true)), 3)
	is.Equal(r.Violations(map[string]int{"b": 1, "c": 1, "e": 1}, true), nil)
}

// Guards against a run without a limit on requests and duration.
func TestRunIsBounded(t *testing.T) {
	is := is.New(t)
	o, err := CallerOptions{Entries: make([]netip.AddrPort, 1), Rate: 1, Services: mustParseMix(t, "a")}.withDefaults()
	is.NoErr(err)
	is.Equal(o.Count, MaxCount)
	is.Equal(o.Duration, MaxDuration)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	r, err := RunCallers(ctx, o)
	is.NoErr(err)
	is.Equal(len(r.Records()), 0)
}

// Guards against a malformed mix that is accepted.
func TestMixRejectsBadText(t *testing.T) {
	for _, text := range []string{"", "a:0", "a:-1", "a:x", "a,,b", "a:NaN"} {
		_, err := ParseMix(text)
		if err == nil {
			t.Errorf("mix %q was accepted", text)
		}
	}
}

func ExampleParseMix() {
	m, err := ParseMix("quotes:3, orders")
	fmt.Println(m.String(), err)
	// Output: quotes:3,orders:1 <nil>
}

func ExampleResult_Print() {
	r := newResult()
	r.add(Record{Class: "urgent", Outcome: Answered, Latency: 2 * time.Millisecond}, nil)
	r.add(Record{Class: "urgent", Outcome: NotRun}, nil)
	var s strings.Builder
	if err := r.Print(&s); err != nil {
		fmt.Println(err)
	}
	_, _ = os.Stdout.WriteString(s.String())
	// Output: class urgent: answered 1, not-run 1, p50 2ms, p99 2ms, p99.9 2ms
}
