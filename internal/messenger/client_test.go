package messenger

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"peridotpitch/internal/configurator"
	"peridotpitch/internal/scheduler"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// host is a Handler whose Forward waits for release.
type host struct {
	release chan struct{}
	ended   chan error // result of the context when a Forward ends
}

func newHost() *host { return &host{release: make(chan struct{}), ended: make(chan error, 100)} }

func (h *host) Exchange(_ context.Context, m Heartbeat) (HeartbeatAnswer, error) {
	return HeartbeatAnswer{Identity: Identity{Host: "e2", Generation: m.Generation}, Free: map[string]int{"quotes": 3},
		Promises: []Promise{{Shard: "a/1", Epoch: 7, Kind: TenurePlacing}}}, nil
}

func (h *host) Forward(ctx context.Context, m ForwardRequest) (ForwardAnswer, error) {
	select {
	case <-h.release:
	case <-ctx.Done():
	}
	h.ended <- ctx.Err()
	return ForwardAnswer{Request: m.Request, Status: 200, Body: m.Body}, ctx.Err()
}

func (h *host) SubmitJob(_ context.Context, m scheduler.JobSpec) (JobAnswer, error) {
	return JobAnswer{Accepted: true, Status: scheduler.JobStatus{Spec: m, Submitted: time.Unix(5, 0)}}, nil
}

func (h *host) CancelJob(_ context.Context, name string) (JobAnswer, error) {
	return JobAnswer{Reason: "no job " + name}, nil
}

func (h *host) ListJobs(context.Context, ListRequest) ([]scheduler.JobStatus, error) {
	return make([]scheduler.JobStatus, 3), nil
}

func (h *host) FetchConfiguration(context.Context) (configurator.Record, error) {
	return configurator.Record{}, errors.New("no configuration yet")
}

func (h *host) Explain(_ context.Context, id string) (ExplainAnswer, error) {
	return ExplainAnswer{Records: []string{strings.Repeat(id, MaxMessageSize)}}, nil
}

func (h *host) Drain(context.Context, string, bool) error { return nil }

func quietLog() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

func serveHost(t *testing.T, h Handler, address string) (*Server, netip.AddrPort, func()) {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	s, stop := NewServer(l, h, quietLog())
	return s, l.Addr().(*net.TCPAddr).AddrPort(), stop
}

func start(t *testing.T, o Options) (*host, *Server, *Client) {
	t.Helper()
	h := newHost()
	s, address, stop := serveHost(t, h, "127.0.0.1:0")
	t.Cleanup(stop)
	c, closeAll := NewClient(address, o)
	t.Cleanup(closeAll)
	return h, s, c
}

// Guards against messages that lose fields on the way.
func TestMessagesArriveWhole(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	h, _, c := start(t, Options{})
	a, err := c.Exchange(ctx, Heartbeat{Identity: Identity{Generation: 9}})
	is.NoErr(err)
	is.Equal(a.Generation, uint64(9))
	is.Equal(a.Free, map[string]int{"quotes": 3})
	is.Equal(a.Promises, []Promise{{Shard: "a/1", Epoch: 7, Kind: TenurePlacing}})
	close(h.release)
	body := make([]byte, 1<<20)
	body[1<<19] = 1
	f, err := c.Forward(ctx, ForwardRequest{Request: "r1", Timeout: time.Minute, Body: body})
	is.NoErr(err)
	is.Equal(f, ForwardAnswer{Request: "r1", Status: 200, Body: body})
	j, err := c.SubmitJob(ctx, scheduler.JobSpec{Name: "j", Duration: time.Second})
	is.NoErr(err)
	is.Equal(j.Status.Spec, scheduler.JobSpec{Name: "j", Duration: time.Second})
	is.True(j.Status.Submitted.Equal(time.Unix(5, 0)))
	j, err = c.CancelJob(ctx, "x")
	is.NoErr(err)
	is.Equal(j.Reason, "no job x")
	js, err := c.ListJobs(ctx, ListRequest{})
	is.NoErr(err)
	is.Equal(len(js), 3)
	is.NoErr(c.Drain(ctx, "e2", false))
}

// Guards against heartbeats that wait behind slow forwarded requests, which would end
// the promises of a healthy host.
func TestSlowForwardsDoNotDelayExchange(t *testing.T) {
	is := is.New(t)
	h, _, c := start(t, Options{MaxForwards: 4})
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			_, err := c.Forward(t.Context(), ForwardRequest{Request: fmt.Sprint(i), Timeout: time.Minute})
			if err != nil {
				t.Error(err)
			}
		})
	}
	for len(c.forward.slots) < 4 {
		time.Sleep(time.Millisecond)
	}
	for range 20 {
		_, err := c.Exchange(t.Context(), Heartbeat{})
		is.NoErr(err)
	}
	is.Equal(len(h.ended), 0) // all forwards are still running or waiting
	close(h.release)
	wg.Wait()
	is.Equal(len(h.ended), 8)
}

// Guards against an error that says "not sent" after bytes have left, and the other
// way round: a forwarded request that may not be repeated depends on it.
func TestErrorsSayWhetherSent(t *testing.T) {
	var notSent *NotSentError
	var lost *LostError
	var refused *RefusedError
	t.Run("connection refused", func(t *testing.T) {
		is := is.New(t)
		_, address, stop := serveHost(t, newHost(), "127.0.0.1:0")
		stop()
		c, closeAll := NewClient(address, Options{})
		defer closeAll()
		_, err := c.Forward(t.Context(), ForwardRequest{Timeout: time.Minute})
		is.True(errors.As(err, &notSent))
	})
	t.Run("all connections busy", func(t *testing.T) {
		is := is.New(t)
		h, _, c := start(t, Options{MaxForwards: 1})
		go func() { _, _ = c.Forward(t.Context(), ForwardRequest{Timeout: time.Minute}) }()
		for len(c.forward.slots) == 0 {
			time.Sleep(time.Millisecond)
		}
		_, err := c.Forward(t.Context(), ForwardRequest{Timeout: time.Millisecond})
		is.True(errors.As(err, &notSent))
		close(h.release)
		is.NoErr(<-h.ended)
	})
	t.Run("too large", func(t *testing.T) {
		is := is.New(t)
		_, _, c := start(t, Options{})
		_, err := c.Forward(t.Context(), ForwardRequest{Timeout: time.Minute, Body: make([]byte, MaxMessageSize)})
		is.True(errors.As(err, &notSent))
		var large *MessageTooLargeError
		is.True(errors.As(err, &large))
	})
	t.Run("abandoned", func(t *testing.T) {
		is := is.New(t)
		h, _, c := start(t, Options{})
		_, err := c.Forward(t.Context(), ForwardRequest{Timeout: time.Millisecond})
		is.True(errors.As(err, &lost))
		is.True(<-h.ended != nil) // the peer's handler learns of it by its context
	})
	t.Run("peer dies", func(t *testing.T) {
		is := is.New(t)
		_, address, stop := serveHost(t, newHost(), "127.0.0.1:0")
		c, closeAll := NewClient(address, Options{})
		defer closeAll()
		done := make(chan error)
		go func() {
			_, err := c.Forward(t.Context(), ForwardRequest{Timeout: time.Minute})
			done <- err
		}()
		for len(c.forward.slots) == 0 {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(20 * time.Millisecond) // the call may not have left yet; then it is not sent
		stop()
		err := <-done
		is.True(errors.As(err, &lost) || errors.As(err, &notSent))
	})
	t.Run("error from the handler", func(t *testing.T) {
		is := is.New(t)
		_, _, c := start(t, Options{})
		_, err := c.FetchConfiguration(t.Context())
		is.True(errors.As(err, &refused))
		is.Equal(refused.Reason, "no configuration yet")
		_, err = c.Explain(t.Context(), "x") // the answer is too large
		is.True(errors.As(err, &refused))
		is.NoErr(c.Drain(t.Context(), "", true)) // the connection is still in order
	})
}

// Guards against a client that does not come back to a peer that was restarted.
func TestReconnects(t *testing.T) {
	is := is.New(t)
	_, address, stop := serveHost(t, newHost(), "127.0.0.1:0")
	c, closeAll := NewClient(address, Options{})
	defer closeAll()
	_, err := c.Exchange(t.Context(), Heartbeat{})
	is.NoErr(err)
	stop()
	for c.backoff.allow(time.Now()) == nil {
		_, err = c.Exchange(t.Context(), Heartbeat{})
		is.True(err != nil)
	}
	_, _, stop = serveHost(t, newHost(), address.String())
	defer stop()
	for {
		if _, err = c.Exchange(t.Context(), Heartbeat{}); err == nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against attempts to connect that grow without bound or come all at once.
func TestBackoffIsBounded(t *testing.T) {
	is := is.New(t)
	c, closeAll := NewClient(netip.AddrPort{}, Options{})
	defer closeAll()
	now := time.Unix(0, 0)
	for range 10 {
		c.backoff.result(io.EOF, now)
		is.True(c.backoff.next.Sub(now) <= maxBackoff)
		is.True(c.backoff.next.Sub(now) >= minBackoff/2)
	}
	c.backoff.result(nil, now)
	is.NoErr(c.backoff.allow(now))
}

// Guards against a planned stop that interrupts a forwarded request.
func TestShutdownWaitsForCalls(t *testing.T) {
	is := is.New(t)
	h, s, c := start(t, Options{})
	done := make(chan error)
	go func() {
		_, err := c.Forward(t.Context(), ForwardRequest{Timeout: time.Minute})
		done <- err
	}()
	inFlight := func() int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.inFlight
	}
	for inFlight() == 0 {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	is.True(s.Shutdown(ctx) != nil) // the call is still in flight
	close(h.release)
	is.NoErr(s.Shutdown(t.Context()))
	is.NoErr(<-done)
}

func ExampleClient() {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Println(err)
		return
	}
	_, stop := NewServer(l, newHost(), quietLog())
	defer stop()
	c, closeAll := NewClient(l.Addr().(*net.TCPAddr).AddrPort(), Options{})
	defer closeAll()
	a, err := c.Exchange(context.Background(), Heartbeat{Identity: Identity{Host: "e1"}})
	fmt.Println(a.Host, err)
	// Output: e2 <nil>
}
