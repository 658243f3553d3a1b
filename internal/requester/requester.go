package requester

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"peridotpitch/internal/converter"
)

// Defaults of Options.
const (
	DefaultTimeout         = 2 * time.Second
	DefaultDialTimeout     = time.Second
	DefaultMaxConnections  = 64
	DefaultMaxAnswerBytes  = 64 << 20
	defaultMaxIdleDuration = 5 * time.Second // shorter than the idle timeout of common servers
)

// Options configures a Requester. Zero fields take the defaults.
type Options struct {
	Timeout        time.Duration // of a call whose context has no earlier deadline
	DialTimeout    time.Duration
	MaxConnections int
	MaxAnswerBytes int
}

func (o Options) withDefaults() Options {
	if o.Timeout <= 0 {
		o.Timeout = DefaultTimeout
	}
	if o.DialTimeout <= 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.MaxConnections <= 0 {
		o.MaxConnections = DefaultMaxConnections
	}
	if o.MaxAnswerBytes <= 0 {
		o.MaxAnswerBytes = DefaultMaxAnswerBytes
	}
	return o
}

// Error reports a failed call. If Sent is false, the call had no effect.
type Error struct {
	Address netip.AddrPort
	Path    string
	Sent    bool // at least one byte of the request was written to the network
	Cause   error
}

func (e *Error) Error() string {
	sent := "not sent"
	if e.Sent {
		sent = "sent"
	}
	return fmt.Sprintf("post to %s%s (%s): %v", e.Address, e.Path, sent, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Answer is a complete HTTP response.
type Answer struct {
	Status     int
	RetryAfter time.Duration // 0 if the response has none
	Body       []byte
}

// Requester sends requests to one address. It is safe for concurrent use.
type Requester struct {
	address netip.AddrPort
	options Options
	client  *fasthttp.HostClient
}

// New returns a Requester and a function that closes its idle connections.
func New(address netip.AddrPort, o Options) (*Requester, func()) {
	o = o.withDefaults()
	r := &Requester{address: address, options: o}
	r.client = &fasthttp.HostClient{
		Addr:                address.String(),
		MaxConns:            o.MaxConnections,
		MaxIdleConnDuration: defaultMaxIdleDuration,
		MaxResponseBodySize: o.MaxAnswerBytes,
		DialTimeout: func(addr string, timeout time.Duration) (net.Conn, error) {
			if timeout <= 0 || timeout > o.DialTimeout {
				timeout = o.DialTimeout
			}
			return net.DialTimeout("tcp", addr, timeout)
		},
	}
	return r, r.client.CloseIdleConnections
}

// Address returns the address of the server.
func (r *Requester) Address() netip.AddrPort { return r.address }

// Post sends in as JSON once and returns the answer, whatever its status code. Errors are
// of type *Error.
func (r *Requester) Post(ctx context.Context, path string, in any) (Answer, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return Answer{}, &Error{Address: r.address, Path: path, Cause: fmt.Errorf("encode request: %w", err)}
	}
	ctx, cancel := context.WithTimeout(ctx, r.options.Timeout)
	defer cancel()
	a, sent, err := r.exchange(ctx, path, body)
	if err != nil {
		if c := context.Cause(ctx); c != nil {
			err = errors.Join(c, err)
		}
		return Answer{}, &Error{Address: r.address, Path: path, Sent: sent, Cause: err}
	}
	return a, nil
}

// exchange sends a request and reads the answer. It reports whether any byte of the request
// was sent. It uses the client's connections directly instead of HostClient.Do, because Do
// cannot be canceled and does not report whether the request was written.
func (r *Requester) exchange(ctx context.Context, path string, body []byte) (Answer, bool, error) {
	if err := ctx.Err(); err != nil {
		return Answer{}, false, err
	}
	deadline, _ := ctx.Deadline()
	cc, err := r.client.AcquireConn(time.Until(deadline), false)
	if err != nil {
		return Answer{}, false, err
	}
	conn := &countingConn{Conn: cc.Conn()}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	err = r.roundTrip(conn, path, body, resp)
	if !stop() && err == nil {
		// ctx ended after the answer was complete: the answer is valid, but the
		// connection is closed.
		r.client.CloseConn(cc)
		return answerOf(resp), true, nil
	}
	if err != nil || resp.ConnectionClose() {
		r.client.CloseConn(cc)
	} else {
		r.client.ReleaseConn(cc)
	}
	if err != nil {
		return Answer{}, conn.written > 0, err
	}
	return answerOf(resp), true, nil
}

func (r *Requester) roundTrip(conn net.Conn, path string, body []byte, resp *fasthttp.Response) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI(path)
	req.Header.SetHost(r.client.Addr)
	req.Header.SetContentType("application/json")
	req.SetBodyRaw(body)
	bw := bufio.NewWriter(conn)
	if err := req.Write(bw); err != nil {
		return err
	}
	if err := bw.Flush(); err != nil {
		return err
	}
	return resp.ReadLimitBody(bufio.NewReader(conn), r.options.MaxAnswerBytes)
}

func answerOf(resp *fasthttp.Response) Answer {
	a := Answer{Status: resp.StatusCode(), Body: append([]byte(nil), resp.Body()...)}
	if s, err := strconv.ParseFloat(string(resp.Header.Peek("Retry-After")), 64); err == nil && s > 0 {
		a.RetryAfter = converter.Seconds(s)
	}
	return a
}

// countingConn counts the bytes that were written to the network.
type countingConn struct {
	net.Conn
	written int
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written += n
	return n, err
}
