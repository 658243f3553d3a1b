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

// Settings of the stand-ins' HTTP servers.
const (
	idleTimeout    = 30 * time.Second
	maxRequestSize = 8 << 20 // bytes
	shutdownWait   = 2 * time.Second
)

// server runs one stand-in's HTTP handler behind its fault switch.
type server struct {
	address  netip.AddrPort
	faults   *faultSwitch
	http     *fasthttp.Server
	listener net.Listener
	done     chan struct{}
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

// newServer prepares a server of control (not subject to faults, reports whether it
// handled the path) and handler. It serves after start.
func newServer(address netip.AddrPort, f *faultSwitch, control func(*fasthttp.RequestCtx) bool, handler fasthttp.RequestHandler) *server {
	s := &server{address: address, faults: f, done: make(chan struct{})}
	s.http = &fasthttp.Server{
		Handler: func(ctx *fasthttp.RequestCtx) {
			if string(ctx.Path()) == "/faults" {
				f.serveFaults(ctx)
				return
			}
			if control != nil && control(ctx) {
				return
			}
			s.withFaults(ctx, handler)
		},
		NoDefaultServerHeader: true,
		IdleTimeout:           idleTimeout,
		MaxRequestBodySize:    maxRequestSize,
		CloseOnShutdown:       true,
		Logger:                silentLogger{},
	}
	return s
}

// start serves connections until stop.
func (s *server) start(l net.Listener) {
	s.listener = l
	go func() {
		// Serve returns an error only if the listener fails; then clients see
		// refused connections, which is what a failed host shows.
		_ = s.http.Serve(l)
	}()
}

// stop closes the listener and waits a short time for open calls.
func (s *server) stop() {
	s.stopOnce.Do(func() {
		close(s.done)
		// fasthttp closes only a listener that it already serves.
		_ = s.listener.Close()
		ctx, cancel := context.WithTimeout(context.Background(), shutdownWait)
		defer cancel()
		if err := s.http.ShutdownWithContext(ctx); err != nil && !errors.Is(err, net.ErrClosed) {
			return
		}
	})
}

func (s *server) withFaults(ctx *fasthttp.RequestCtx, handler fasthttp.RequestHandler) {
	f := s.faults.get()
	wait(f.Slow, nil, s.done)
	if f.CutRequests {
		s.faults.hold(s.done)
		closeWithoutAnswer(ctx, nil)
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
		s.faults.hold(s.done)
		closeWithoutAnswer(ctx, nil)
	case s.faults.draw(f.LoseAnswers):
		closeWithoutAnswer(ctx, nil)
	case s.faults.draw(f.HalfAnswers):
		closeWithoutAnswer(ctx, halfAnswer(ctx))
	case s.faults.draw(f.LateAnswers):
		wait(f.LateBy, nil, s.done)
	}
}

// closeWithoutAnswer writes raw, which may be empty, and closes the connection.
func closeWithoutAnswer(ctx *fasthttp.RequestCtx, raw []byte) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		if len(raw) > 0 {
			_, _ = c.Write(raw) // the client may be gone, which is as good
		}
		_ = c.Close()
	})
}

// halfAnswer returns the response with its full Content-Length and half of its body.
func halfAnswer(ctx *fasthttp.RequestCtx) []byte {
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

// lookForClosedEvery is how often a waiting call looks whether its client is gone.
const lookForClosedEvery = 20 * time.Millisecond

// closedByPeer reports whether the client closed the connection. fasthttp does not look
// while a handler runs. It peeks, so that a byte of a next request stays unread.
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

// silentLogger drops fasthttp's messages about connections that a fault or a test cut.
type silentLogger struct{}

func (silentLogger) Printf(string, ...any) {}
