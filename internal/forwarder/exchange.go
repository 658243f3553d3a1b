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

// attemptStateKey is the key of the attemptState among the user values of a fasthttp
// request.
type attemptStateKey struct{}

// attemptState is the state of one attempt.
type attemptState struct {
	ctx            context.Context
	instanceClient *instanceClient
	id             string
	number         string // number of the attempt, as sent in headerAttempt
	bytesWritten   int    // bytes of the request that the operating system accepted
}

// transport is the transport of every fasthttp.HostClient. Unlike fasthttp's own transport,
// it counts written bytes, stops when the context of the attempt ends, and rejects a response
// without Content-Length.
type transport struct{}

// errNoContentLength is returned for a response whose end is marked by the last chunk or by
// the closing of the connection, because a truncated body of such a response can look
// complete.
var errNoContentLength = errors.New("the response has no Content-Length")

// errEchoMismatch is returned for a response to another request or attempt. The connection
// is closed, because more such responses may follow on it.
var errEchoMismatch = errors.New("the response does not echo the request's identity and attempt")

// RoundTrip implements fasthttp.RoundTripper. It never requests a retry.
func (transport) RoundTrip(hc *fasthttp.HostClient, req *fasthttp.Request, resp *fasthttp.Response) (bool, error) {
	e := req.UserValue(attemptStateKey{}).(*attemptState)
	for {
		cc, err := hc.AcquireConn(0, false)
		if err != nil {
			return false, err
		}
		conn := cc.Conn().(*connection)
		if !conn.idleAndOpen() {
			hc.CloseConn(cc)
			continue
		}
		if err = conn.connect(e.ctx, hc.Addr); err != nil {
			hc.CloseConn(cc)
			return false, err
		}
		reusable, err := conn.roundTrip(e, hc, req, resp)
		if reusable && err == nil && int64(hc.ConnsCount()) <= e.instanceClient.maxConnections.Load() {
			hc.ReleaseConn(cc)
		} else {
			hc.CloseConn(cc)
		}
		return false, err
	}
}

// connection is a TCP connection that is opened by the first request on it, so that the
// context of that request also bounds the opening.
type connection struct {
	net.Conn
	mutex  sync.Mutex
	closed bool
}

// newUnopenedConnection implements fasthttp.DialFuncWithTimeout. The connection is opened
// by connect.
func newUnopenedConnection(string, time.Duration) (net.Conn, error) { return &connection{}, nil }

func (c *connection) connect(ctx context.Context, address string) error {
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

// idleAndOpen reports whether the connection can take a request: it is not opened yet, or
// is open and has no unread bytes. If the backend server has closed it, or has sent bytes
// without a request, the next request on it would end with the outcome Unknown.
func (c *connection) idleAndOpen() bool {
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

// roundTrip writes the request and reads the response. It reports whether the connection
// can be reused.
func (c *connection) roundTrip(e *attemptState, hc *fasthttp.HostClient, req *fasthttp.Request, resp *fasthttp.Response) (reusable bool, err error) {
	stop := context.AfterFunc(e.ctx, func() { _ = c.Close() })
	defer func() {
		if !stop() {
			reusable = false
		}
		if err != nil && e.ctx.Err() != nil {
			err = fmt.Errorf("given up: %w", context.Cause(e.ctx))
		}
	}()
	// If the context has already ended, no part of the request must be written.
	if err = e.ctx.Err(); err != nil {
		return false, err
	}
	bw := hc.AcquireWriter(countingWriter{c.Conn, &e.bytesWritten})
	err = req.Write(bw)
	if err == nil {
		err = bw.Flush()
	}
	bw.Reset(io.Discard) // drop the reference to the connection, and the error that the writer keeps
	hc.ReleaseWriter(bw)
	if err != nil {
		return false, fmt.Errorf("write: %w", err)
	}
	reusable, err = c.readResponse(hc, req, resp)
	if err == nil && (!echoes(resp, headerRequest, e.id) || !echoes(resp, headerAttempt, e.number)) {
		err = errEchoMismatch
	}
	return reusable, err
}

// echoes reports whether the response has the header exactly once and with this value.
func echoes(resp *fasthttp.Response, name, value string) bool {
	values := resp.Header.PeekAll(name)
	return len(values) == 1 && string(values[0]) == value
}

func (c *connection) readResponse(hc *fasthttp.HostClient, req *fasthttp.Request, resp *fasthttp.Response) (bool, error) {
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
	if !resp.SkipBody && !hasNoBody(resp.StatusCode()) {
		if resp.Header.ContentLength() < 0 {
			return false, errNoContentLength
		}
		if err := resp.ReadBody(br, maxResponseBodyBytes); err != nil {
			return false, fmt.Errorf("read the response body: %w", err)
		}
	}
	// Bytes after the response belong to no request, so the connection is not reused.
	return br.Buffered() == 0 && !resp.ConnectionClose(), nil
}

// hasNoBody reports whether responses with this status never have a body.
func hasNoBody(status int) bool {
	return status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// countingWriter counts the bytes that the connection accepted.
type countingWriter struct {
	net.Conn
	bytesWritten *int
}

func (w countingWriter) Write(p []byte) (int, error) {
	n, err := w.Conn.Write(p)
	*w.bytesWritten += n
	return n, err
}

// hopByHopHeaders are not forwarded, because they concern a single connection. The list also
// has Content-Length and Host, because they are set for each request.
var hopByHopHeaders = map[string]bool{
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

// mustNotForward reports whether a header is hop-by-hop or part of the protocol of entry
// hosts. Such a header is not copied between caller and backend server.
func mustNotForward(name string) bool {
	name = strings.ToLower(name)
	return hopByHopHeaders[name] || strings.HasPrefix(name, "peridot-")
}
