package forwarder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
)

// exchangeKey is the key of a request's exchange among its user values.
type exchangeKey struct{}

// exchange is the state of one attempt.
type exchange struct {
	ctx     context.Context
	client  *client
	id      string
	attempt string
	written int // bytes of the request that the operating system took
}

// exchanger is the transport of every host client. Unlike fasthttp's own, it counts
// written bytes, ends with a context, and rejects a response without Content-Length.
type exchanger struct{}

// errNoLength is returned for a response whose end only the closing of the connection
// or a chunk could tell: a truncated body would look complete.
var errNoLength = errors.New("the response has no Content-Length")

// errMismatch is returned for a response to another request or attempt. Its connection
// is closed, because more such responses may follow.
var errMismatch = errors.New("the response does not echo the request's identity and attempt")

// RoundTrip implements fasthttp.RoundTripper. It never asks for a retry.
func (exchanger) RoundTrip(hc *fasthttp.HostClient, req *fasthttp.Request, resp *fasthttp.Response) (bool, error) {
	e := req.UserValue(exchangeKey{}).(*exchange)
	for {
		cc, err := hc.AcquireConn(0, false)
		if err != nil {
			return false, err
		}
		conn := cc.Conn().(*connection)
		if !conn.usable() {
			hc.CloseConn(cc)
			continue
		}
		if err = conn.open(e.ctx, hc.Addr); err != nil {
			hc.CloseConn(cc)
			return false, err
		}
		whole, err := conn.exchange(e, hc, req, resp)
		if whole && err == nil && int64(hc.ConnsCount()) <= e.client.connections.Load() {
			hc.ReleaseConn(cc)
		} else {
			hc.CloseConn(cc)
		}
		return false, err
	}
}

// connection is a TCP connection that is opened by the first exchange on it, so that
// opening it ends with that exchange's context.
type connection struct {
	net.Conn
	mutex  sync.Mutex
	closed bool
}

// dialLater implements fasthttp.DialFuncWithTimeout.
func dialLater(string, time.Duration) (net.Conn, error) { return &connection{}, nil }

func (c *connection) open(ctx context.Context, address string) error {
	if c.Conn != nil {
		return nil
	}
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("connect: %w", err)
	}
	c.Conn = conn
	return nil
}

// Close closes the connection if it was opened. It may be called more than once.
func (c *connection) Close() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed || c.Conn == nil {
		return nil
	}
	c.closed = true
	return c.Conn.Close()
}

// usable reports whether an idle connection is still open and has no unread bytes. A
// backend server that closed it, or that sent something unasked, would otherwise turn
// the next request's outcome into unknown.
func (c *connection) usable() bool {
	if c.Conn == nil {
		return true
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	var n int
	var readErr error
	err = rc.Read(func(fd uintptr) bool {
		var one [1]byte
		n, readErr = syscall.Read(int(fd), one[:])
		return true // do not wait for the connection to become readable
	})
	return err == nil && n <= 0 && errors.Is(readErr, syscall.EAGAIN)
}

// exchange writes the request and reads the response. Whole is true if the connection
// can be used again.
func (c *connection) exchange(e *exchange, hc *fasthttp.HostClient, req *fasthttp.Request, resp *fasthttp.Response) (whole bool, err error) {
	stop := context.AfterFunc(e.ctx, func() { _ = c.Close() })
	defer func() {
		if !stop() {
			whole = false
		}
		if err != nil && e.ctx.Err() != nil {
			err = fmt.Errorf("given up: %w", context.Cause(e.ctx))
		}
	}()
	// A context that ended just before must not leave a part of the request behind.
	if err = e.ctx.Err(); err != nil {
		return false, err
	}
	bw := hc.AcquireWriter(countingWriter{c.Conn, &e.written})
	err = req.Write(bw)
	if err == nil {
		err = bw.Flush()
	}
	bw.Reset(io.Discard) // drop the reference to the connection and a sticky error
	hc.ReleaseWriter(bw)
	if err != nil {
		return false, fmt.Errorf("write: %w", err)
	}
	whole, err = c.read(hc, req, resp)
	if err == nil && (!echoes(resp, headerRequest, e.id) || !echoes(resp, headerAttempt, e.attempt)) {
		err = errMismatch
	}
	return whole, err
}

// echoes reports whether the response has the header exactly once, with the value.
func echoes(resp *fasthttp.Response, name, value string) bool {
	values := resp.Header.PeekAll(name)
	return len(values) == 1 && string(values[0]) == value
}

func (c *connection) read(hc *fasthttp.HostClient, req *fasthttp.Request, resp *fasthttp.Response) (bool, error) {
	br := hc.AcquireReader(c.Conn)
	defer func() {
		br.Reset(nil)
		hc.ReleaseReader(br)
	}()
	resp.SkipBody = req.Header.IsHead()
	for {
		if err := resp.Header.Read(br); err != nil {
			return false, fmt.Errorf("read the response header: %w", err)
		}
		if s := resp.StatusCode(); s >= fasthttp.StatusOK || s == fasthttp.StatusSwitchingProtocols {
			break
		}
	}
	if resp.StatusCode() == fasthttp.StatusSwitchingProtocols {
		return false, errors.New("the backend server switched protocols")
	}
	if !resp.SkipBody && !bodyless(resp.StatusCode()) {
		if resp.Header.ContentLength() < 0 {
			return false, errNoLength
		}
		if err := resp.ReadBody(br, maxResponseSize); err != nil {
			return false, fmt.Errorf("read the response body: %w", err)
		}
	}
	// Bytes after the response belong to no request on this connection.
	return br.Buffered() == 0 && !resp.ConnectionClose(), nil
}

// bodyless reports whether a response with the status never has a body.
func bodyless(status int) bool {
	return status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// countingWriter counts the bytes that the connection took.
type countingWriter struct {
	net.Conn
	written *int
}

func (w countingWriter) Write(p []byte) (int, error) {
	n, err := w.Conn.Write(p)
	*w.written += n
	return n, err
}

// hopHeaders concern one connection only and are not passed on, nor is Content-Length,
// which is written anew.
var hopHeaders = map[string]bool{
	"connection":          true,
	"content-length":      true,
	"expect":              true,
	"host":                true,
	"keep-alive":          true,
	"proxy-authenticate":  true,
	"proxy-authorization": true,
	"proxy-connection":    true,
	"te":                  true,
	"trailer":             true,
	"transfer-encoding":   true,
	"upgrade":             true,
}

// reserved reports whether a header is written by this project and never passed on.
func reserved(name string) bool {
	name = strings.ToLower(name)
	return hopHeaders[name] || strings.HasPrefix(name, "peridot-")
}
