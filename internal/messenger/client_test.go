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

// blockingHandler is a Handler whose Forward blocks until release is closed or its context
// ends. Its other methods return fixed answers.
type blockingHandler struct {
	release chan struct{}
	ended   chan error // for each finished Forward, the error of its context
}

func newBlockingHandler() *blockingHandler {
	return &blockingHandler{release: make(chan struct{}), ended: make(chan error, 100)}
}

func (h *blockingHandler) Exchange(_ context.Context, m Heartbeat) (HeartbeatAnswer, error) {
	return HeartbeatAnswer{Identity: Identity{Host: "e2", Generation: m.Generation}, Free: map[string]int{"quotes": 3},
		Promises: []Promise{{Shard: "a/1", Epoch: 7, Kind: LeasePlacing}}}, nil
}

func (h *blockingHandler) Forward(ctx context.Context, m ForwardRequest) (ForwardAnswer, error) {
	select {
	case <-h.release:
	case <-ctx.Done():
	}
	h.ended <- ctx.Err()
	return ForwardAnswer{Request: m.Request, Status: 200, Body: m.Body}, ctx.Err()
}

func (h *blockingHandler) SubmitJob(_ context.Context, m scheduler.JobSpec) (JobAnswer, error) {
	return JobAnswer{Accepted: true, Status: scheduler.JobStatus{Spec: m, Submitted: time.Unix(5, 0)}}, nil
}

func (h *blockingHandler) CancelJob(_ context.Context, name string) (JobAnswer, error) {
	return JobAnswer{Reason: "no job " + name}, nil
}

func (h *blockingHandler) ListJobs(context.Context, ListRequest) ([]scheduler.JobStatus, error) {
	return make([]scheduler.JobStatus, 3), nil
}

func (h *blockingHandler) FetchConfiguration(context.Context) (configurator.Record, error) {
	return configurator.Record{}, errors.New("no configuration yet")
}

func (h *blockingHandler) Explain(_ context.Context, id string) (ExplainAnswer, error) {
	return ExplainAnswer{Records: []string{strings.Repeat(id, MaxMessageBytes)}}, nil
}

func (h *blockingHandler) Drain(context.Context, string, bool) error { return nil }

func discardLog() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

func startServer(t *testing.T, h Handler, address string) (*Server, netip.AddrPort, func()) {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	s, stop := NewServer(l, h, discardLog())
	return s, l.Addr().(*net.TCPAddr).AddrPort(), stop
}

func startClientAndServer(t *testing.T, o Options) (*blockingHandler, *Server, *Client) {
	t.Helper()
	h := newBlockingHandler()
	s, address, stop := startServer(t, h, "127.0.0.1:0")
	t.Cleanup(stop)
	c, closeAll := NewClient(address, o)
	t.Cleanup(closeAll)
	return h, s, c
}

// Guards against messages that lose fields between client and server.
func TestMessagesKeepAllFields(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	h, _, c := startClientAndServer(t, Options{})
	a, err := c.Exchange(ctx, Heartbeat{Identity: Identity{Generation: 9}})
	is.NoErr(err)
	is.Equal(a.Generation, uint64(9))
	is.Equal(a.Free, map[string]int{"quotes": 3})
	is.Equal(a.Promises, []Promise{{Shard: "a/1", Epoch: 7, Kind: LeasePlacing}})
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

// Guards against heartbeats that wait behind slow forwarded requests. The promises of a
// healthy host would then expire.
func TestSlowForwardsDoNotDelayExchange(t *testing.T) {
	is := is.New(t)
	h, _, c := startClientAndServer(t, Options{MaxConcurrentForwards: 4})
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			_, err := c.Forward(t.Context(), ForwardRequest{Request: fmt.Sprint(i), Timeout: time.Minute})
			if err != nil {
				t.Error(err)
			}
		})
	}
	for len(c.forwardPool.tokens) < 4 {
		time.Sleep(time.Millisecond)
	}
	for range 20 {
		_, err := c.Exchange(t.Context(), Heartbeat{})
		is.NoErr(err)
	}
	is.Equal(len(h.ended), 0) // no Forward has finished
	close(h.release)
	wg.Wait()
	is.Equal(len(h.ended), 8)
}

// Guards against a NotSentError after bytes have left the host, and against another error
// when no bytes have left. The type of the error decides whether a forwarded request that is
// not repeatable may be sent again.
func TestErrorsSayWhetherSent(t *testing.T) {
	var notSent *NotSentError
	var noAnswer *NoAnswerError
	var remote *RemoteError
	t.Run("connection refused", func(t *testing.T) {
		is := is.New(t)
		_, address, stop := startServer(t, newBlockingHandler(), "127.0.0.1:0")
		stop()
		c, closeAll := NewClient(address, Options{})
		defer closeAll()
		_, err := c.Forward(t.Context(), ForwardRequest{Timeout: time.Minute})
		is.True(errors.As(err, &notSent))
	})
	t.Run("all connections busy", func(t *testing.T) {
		is := is.New(t)
		h, _, c := startClientAndServer(t, Options{MaxConcurrentForwards: 1})
		go func() { _, _ = c.Forward(t.Context(), ForwardRequest{Timeout: time.Minute}) }()
		for len(c.forwardPool.tokens) == 0 {
			time.Sleep(time.Millisecond)
		}
		_, err := c.Forward(t.Context(), ForwardRequest{Timeout: time.Millisecond})
		is.True(errors.As(err, &notSent))
		close(h.release)
		is.NoErr(<-h.ended)
	})
	t.Run("too large", func(t *testing.T) {
		is := is.New(t)
		_, _, c := startClientAndServer(t, Options{})
		_, err := c.Forward(t.Context(), ForwardRequest{Timeout: time.Minute, Body: make([]byte, MaxMessageBytes)})
		is.True(errors.As(err, &notSent))
		var large *MessageTooLargeError
		is.True(errors.As(err, &large))
	})
	t.Run("call times out", func(t *testing.T) {
		is := is.New(t)
		h, _, c := startClientAndServer(t, Options{})
		_, err := c.Forward(t.Context(), ForwardRequest{Timeout: time.Millisecond})
		is.True(errors.As(err, &noAnswer))
		is.True(<-h.ended != nil) // the context of the peer's handler was canceled
	})
	t.Run("peer stops", func(t *testing.T) {
		is := is.New(t)
		_, address, stop := startServer(t, newBlockingHandler(), "127.0.0.1:0")
		c, closeAll := NewClient(address, Options{})
		defer closeAll()
		done := make(chan error)
		go func() {
			_, err := c.Forward(t.Context(), ForwardRequest{Timeout: time.Minute})
			done <- err
		}()
		for len(c.forwardPool.tokens) == 0 {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(20 * time.Millisecond) // usually long enough for the request to be sent; otherwise the error is NotSentError
		stop()
		err := <-done
		is.True(errors.As(err, &noAnswer) || errors.As(err, &notSent))
	})
	t.Run("error from the handler", func(t *testing.T) {
		is := is.New(t)
		_, _, c := startClientAndServer(t, Options{})
		_, err := c.FetchConfiguration(t.Context())
		is.True(errors.As(err, &remote))
		is.Equal(remote.Reason, "no configuration yet")
		_, err = c.Explain(t.Context(), "x") // the answer is too large
		is.True(errors.As(err, &remote))
		is.NoErr(c.Drain(t.Context(), "", true)) // the connection is still usable
	})
}

// Guards against a client that does not connect again to a peer that was restarted.
func TestClientReconnectsAfterPeerRestart(t *testing.T) {
	is := is.New(t)
	_, address, stop := startServer(t, newBlockingHandler(), "127.0.0.1:0")
	c, closeAll := NewClient(address, Options{})
	defer closeAll()
	_, err := c.Exchange(t.Context(), Heartbeat{})
	is.NoErr(err)
	stop()
	for c.dialBackoff.check(time.Now()) == nil {
		_, err = c.Exchange(t.Context(), Heartbeat{})
		is.True(err != nil)
	}
	_, _, stop = startServer(t, newBlockingHandler(), address.String())
	defer stop()
	for {
		if _, err = c.Exchange(t.Context(), Heartbeat{}); err == nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against a delay between attempts to connect that grows without bound, is shorter
// than half the minimum, or outlasts a successful attempt.
func TestDialBackoffIsBounded(t *testing.T) {
	is := is.New(t)
	c, closeAll := NewClient(netip.AddrPort{}, Options{})
	defer closeAll()
	now := time.Unix(0, 0)
	for range 10 {
		c.dialBackoff.record(io.EOF, now)
		is.True(c.dialBackoff.nextDialAt.Sub(now) <= maxDialBackoff)
		is.True(c.dialBackoff.nextDialAt.Sub(now) >= minDialBackoff/2)
	}
	c.dialBackoff.record(nil, now)
	is.NoErr(c.dialBackoff.check(now))
}

// Guards against a shutdown that interrupts a forwarded request.
func TestShutdownWaitsForCalls(t *testing.T) {
	is := is.New(t)
	h, s, c := startClientAndServer(t, Options{})
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
	_, stop := NewServer(l, newBlockingHandler(), discardLog())
	defer stop()
	c, closeAll := NewClient(l.Addr().(*net.TCPAddr).AddrPort(), Options{})
	defer closeAll()
	a, err := c.Exchange(context.Background(), Heartbeat{Identity: Identity{Host: "e1"}})
	fmt.Println(a.Host, err)
	// Output: e2 <nil>
}
