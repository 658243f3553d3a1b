package emulator

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
)

// Settings of the emulators' HTTP servers.
const (
	idleTimeout     = 30 * time.Second
	maxRequestBytes = 8 << 20
	shutdownTimeout = 2 * time.Second
)

// server is the HTTP server of an emulator. It applies the injected faults to the calls.
type server struct {
	address  netip.AddrPort
	faults   *faultInjector
	http     *fasthttp.Server
	listener net.Listener
	stopped  chan struct{}
	stopOnce sync.Once
}

// listen opens a TCP listener; the zero address means any loopback port.
func listen(address netip.AddrPort) (net.Listener, netip.AddrPort, error) {
	if !address.IsValid() {
		address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)
	}
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, netip.AddrPort{}, fmt.Errorf("listen on %s: %w", address, err)
	}
	return l, l.Addr().(*net.TCPAddr).AddrPort(), nil
}

// newServer returns a server that serves after start. It passes each call to control, which
// reports whether it has handled the call. Calls that control handles are exempt from faults.
// Other calls are passed to handler, with the injected faults.
func newServer(address netip.AddrPort, f *faultInjector, control func(*fasthttp.RequestCtx) bool, handler fasthttp.RequestHandler) *server {
	s := &server{address: address, faults: f, stopped: make(chan struct{})}
	s.http = &fasthttp.Server{
		Handler: func(ctx *fasthttp.RequestCtx) {
			if string(ctx.Path()) == "/faults" {
				f.serveFaults(ctx)
				return
			}
			if control != nil && control(ctx) {
				return
			}
			s.serveWithFaults(ctx, handler)
		},
		NoDefaultServerHeader: true,
		IdleTimeout:           idleTimeout,
		MaxRequestBodySize:    maxRequestBytes,
		CloseOnShutdown:       true,
		Logger:                discardLogger{},
	}
	return s
}

// start serves connections until stop.
func (s *server) start(l net.Listener) {
	s.listener = l
	go func() {
		// Serve returns an error only if the listener fails. Clients then get refused
		// connections, as from a failed host.
		_ = s.http.Serve(l)
	}()
}

// stop closes the listener and waits up to shutdownTimeout for calls in progress.
func (s *server) stop() {
	s.stopOnce.Do(func() {
		close(s.stopped)
		// fasthttp closes the listener only if Serve has been called with it.
		_ = s.listener.Close()
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if err := s.http.ShutdownWithContext(ctx); err != nil && !errors.Is(err, net.ErrClosed) {
			return
		}
	})
}

// serveWithFaults calls handler and applies the injected faults before and after it.
func (s *server) serveWithFaults(ctx *fasthttp.RequestCtx, handler fasthttp.RequestHandler) {
	f := s.faults.get()
	sleepUnlessClosed(f.Slow, nil, s.stopped)
	if f.CutRequests {
		s.faults.waitForChange(s.stopped)
		writeAndClose(ctx, nil)
		return
	}
	if f.Down {
		ctx.Error("down", fasthttp.StatusServiceUnavailable)
		return
	}
	handler(ctx)
	f = s.faults.get()
	switch {
	case f.CutAnswers:
		s.faults.waitForChange(s.stopped)
		writeAndClose(ctx, nil)
	case s.faults.draw(f.LoseAnswers):
		writeAndClose(ctx, nil)
	case s.faults.draw(f.HalfAnswers):
		writeAndClose(ctx, truncatedAnswer(ctx))
	case s.faults.draw(f.LateAnswers):
		sleepUnlessClosed(f.LateBy, nil, s.stopped)
	}
}

// writeAndClose writes raw, which may be empty, instead of the response and closes the
// connection.
func writeAndClose(ctx *fasthttp.RequestCtx, raw []byte) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		if len(raw) > 0 {
			_, _ = c.Write(raw) // an error means that the client has disconnected
		}
		_ = c.Close()
	})
}

// truncatedAnswer returns the response with its full Content-Length but only half of its
// body.
func truncatedAnswer(ctx *fasthttp.RequestCtx) []byte {
	body := ctx.Response.Body()
	h := &ctx.Response.Header
	raw := []byte("HTTP/1.1 " + strconv.Itoa(ctx.Response.StatusCode()) + " Half\r\n")
	for k, v := range h.All() {
		if string(k) == "Content-Length" {
			continue
		}
		raw = append(append(append(append(raw, k...), ": "...), v...), "\r\n"...)
	}
	raw = append(raw, "Content-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"...)
	return append(raw, body[:len(body)/2]...)
}

// disconnectPollInterval is how often a waiting call checks whether its client has
// disconnected.
const disconnectPollInterval = 20 * time.Millisecond

// closedByPeer reports whether the client has closed the connection, which fasthttp does not
// detect while a handler runs. It reads with MSG_PEEK, so that the first byte of a
// next request stays in the socket.
func closedByPeer(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = n == 0 && err == nil || errors.Is(err, syscall.ECONNRESET)
	})
	return closed || err != nil
}

// discardLogger drops fasthttp's messages about connections that an injected fault or a
// test closed.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}
