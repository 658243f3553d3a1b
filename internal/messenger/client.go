package messenger

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcerr"

	"peridotpitch/internal/configurator"
	"peridotpitch/internal/scheduler"
)

// Defaults of Options.
const (
	DefaultExchangeTimeout = time.Second
	DefaultCallTimeout     = 5 * time.Second
	DefaultDialTimeout     = time.Second
	DefaultMaxForwards     = 64
	// forwardMargin is added to a forwarded request's own timeout, so that the other
	// host's final outcome arrives before this host gives up.
	forwardMargin = 250 * time.Millisecond
	// Bounds of the pause after a failed dial. The upper bound equals the interval of
	// heartbeats, so that a peer that returns is seen by the next heartbeat or the one
	// after.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// idleAfter is the age at which surplus idle connections are closed.
	idleAfter = 30 * time.Second
)

// NotSentError says that no byte of a message left this host.
type NotSentError struct {
	Address netip.AddrPort
	Method  string
	Cause   error
}

func (e *NotSentError) Error() string {
	return fmt.Sprintf("%s was not sent to entry host %s: %v", e.Method, e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// LostError says that a message was sent, wholly or in part, and that no answer came.
type LostError struct {
	Address netip.AddrPort
	Method  string
	Cause   error
}

func (e *LostError) Error() string {
	return fmt.Sprintf("entry host %s gave no answer to %s: %v", e.Address, e.Method, e.Cause)
}

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Cause }

// RefusedError says that the peer answered with an error.
type RefusedError struct {
	Address netip.AddrPort
	Method  string
	Reason  string
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("entry host %s answered %s with an error: %s", e.Address, e.Method, e.Reason)
}

// Options configures a Client. Zero fields take the defaults.
type Options struct {
	ExchangeTimeout time.Duration
	CallTimeout     time.Duration // of all calls but Exchange and Forward
	DialTimeout     time.Duration
	MaxForwards     int        // Forward calls at the same time; further ones wait
	Rand            *rand.Rand // jitter of the backoff; not used elsewhere at the same time
}

// Client implements Peer for the entry host at one address.
type Client struct {
	address  netip.AddrPort
	options  Options
	backoff  *backoff
	exchange *lane
	forward  *lane
	other    *lane
}

var _ Peer = (*Client)(nil)

// NewClient returns a client and a function that closes its connections. It connects at
// the first call.
func NewClient(address netip.AddrPort, o Options) (*Client, func()) {
	if o.ExchangeTimeout <= 0 {
		o.ExchangeTimeout = DefaultExchangeTimeout
	}
	if o.CallTimeout <= 0 {
		o.CallTimeout = DefaultCallTimeout
	}
	if o.DialTimeout <= 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.MaxForwards <= 0 {
		o.MaxForwards = DefaultMaxForwards
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	b := &backoff{rnd: o.Rand}
	c := &Client{address: address, options: o, backoff: b}
	c.exchange, c.forward, c.other = c.newLane(1), c.newLane(o.MaxForwards), c.newLane(1)
	return c, func() {
		for _, l := range []*lane{c.exchange, c.forward, c.other} {
			l.close()
		}
	}
}

// Exchange implements Peer.
func (c *Client) Exchange(ctx context.Context, m Heartbeat) (HeartbeatAnswer, error) {
	var out HeartbeatAnswer
	err := c.exchange.call(ctx, c.options.ExchangeTimeout, methodExchange, &m, &out)
	return out, err
}

// Forward implements Peer. It ends shortly after the request's own timeout.
func (c *Client) Forward(ctx context.Context, m ForwardRequest) (ForwardAnswer, error) {
	var out ForwardAnswer
	err := c.forward.call(ctx, m.Timeout+forwardMargin, methodForward, &m, &out)
	return out, err
}

// SubmitJob implements Peer.
func (c *Client) SubmitJob(ctx context.Context, m scheduler.JobSpec) (JobAnswer, error) {
	var out JobAnswer
	err := c.call(ctx, methodSubmitJob, &m, &out)
	return out, err
}

// CancelJob implements Peer.
func (c *Client) CancelJob(ctx context.Context, name string) (JobAnswer, error) {
	var out JobAnswer
	err := c.call(ctx, methodCancelJob, &cancelRequest{name}, &out)
	return out, err
}

// ListJobs implements Peer.
func (c *Client) ListJobs(ctx context.Context, m ListRequest) ([]scheduler.JobStatus, error) {
	var out jobList
	err := c.call(ctx, methodListJobs, &m, &out)
	return out.Jobs, err
}

// FetchConfiguration implements Peer.
func (c *Client) FetchConfiguration(ctx context.Context) (configurator.Record, error) {
	var out configurator.Record
	err := c.call(ctx, methodFetchConfiguration, &nothing{}, &out)
	return out, err
}

// Explain implements Peer.
func (c *Client) Explain(ctx context.Context, id string) (ExplainAnswer, error) {
	var out ExplainAnswer
	err := c.call(ctx, methodExplain, &explainRequest{id}, &out)
	return out, err
}

// Drain implements Peer.
func (c *Client) Drain(ctx context.Context, host string, undo bool) error {
	return c.call(ctx, methodDrain, &drainRequest{host, undo}, &nothing{})
}

// Invoke calls a method that ServeMethods serves. Up to MaxForwards such calls run at
// the same time.
func (c *Client) Invoke(ctx context.Context, timeout time.Duration, method string, in, out any) error {
	return c.forward.call(ctx, timeout, method, in, out)
}

func (c *Client) call(ctx context.Context, method string, in, out any) error {
	return c.other.call(ctx, c.options.CallTimeout, method, in, out)
}

// lane is a bounded set of connections for one kind of call.
type lane struct {
	client *Client
	slots  chan struct{} // one token for each call that may run

	mu     sync.Mutex // guards the fields below
	idle   []*connection
	busy   map[*connection]bool
	closed bool
}

// connection is one drpc connection, with the time of its last use.
type connection struct {
	*drpcconn.Conn
	transport *countingConn
	lastUse   time.Time
}

func (c *Client) newLane(size int) *lane {
	return &lane{client: c, slots: make(chan struct{}, size), busy: make(map[*connection]bool)}
}

var errClosed = errors.New("client is closed")

// call runs one call on a connection of its own.
func (l *lane) call(ctx context.Context, timeout time.Duration, method string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	notSent := func(err error) error {
		return &NotSentError{Address: l.client.address, Method: method, Cause: err}
	}
	// Encoded before a connection is taken: what cannot be encoded is not sent.
	body, err := encoding{}.Marshal(in)
	if err != nil {
		return notSent(err)
	}
	select {
	case l.slots <- struct{}{}:
		defer func() { <-l.slots }()
	case <-ctx.Done():
		return notSent(fmt.Errorf("wait for a free connection: %w", ctx.Err()))
	}
	cn, err := l.take(ctx)
	if err != nil {
		return notSent(err)
	}
	before := cn.transport.written.Load()
	err = cn.Invoke(ctx, method, encoded{}, body, out)
	sent := cn.transport.written.Load() > before
	code := drpcerr.Code(err)
	l.put(cn, err == nil || code != 0)
	switch {
	case err == nil:
		return nil
	case code != 0:
		return &RefusedError{Address: l.client.address, Method: method, Reason: err.Error()}
	case !sent:
		return notSent(err)
	}
	return &LostError{Address: l.client.address, Method: method, Cause: err}
}

// encoded is the client's drpc encoding: requests are already encoded.
type encoded struct{ encoding }

// Marshal implements drpc.Encoding.
func (encoded) Marshal(m drpc.Message) ([]byte, error) {
	b, ok := m.([]byte)
	if !ok {
		return nil, fmt.Errorf("message of type %T is not encoded", m)
	}
	return b, nil
}

// take returns an open idle connection, or dials one.
func (l *lane) take(ctx context.Context) (*connection, error) {
	if cn, err := l.takeIdle(); cn != nil || err != nil {
		return cn, err
	}
	t, err := l.client.dial(ctx)
	if err != nil {
		return nil, err
	}
	cn := &connection{transport: t}
	cn.Conn = drpcconn.NewWithOptions(t, drpcconn.Options{Manager: managerOptions()})
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		go closeQuietly(cn)
		return nil, errClosed
	}
	l.busy[cn] = true
	return cn, nil
}

func (l *lane) takeIdle() (*connection, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, errClosed
	}
	for len(l.idle) > 0 {
		cn := l.idle[len(l.idle)-1]
		l.idle = l.idle[:len(l.idle)-1]
		select {
		case <-cn.Closed(): // the peer closed it while it was idle
		default:
			l.busy[cn] = true
			return cn, nil
		}
	}
	return nil, nil
}

// put gives a connection back, or closes it if its call did not end cleanly. It also
// closes what has been idle for long, except the one that was just used.
func (l *lane) put(cn *connection, keep bool) {
	now := time.Now()
	cn.lastUse = now
	var drop []*connection
	l.mu.Lock()
	delete(l.busy, cn)
	if keep && !l.closed {
		l.idle = append(l.idle, cn)
	} else {
		drop = append(drop, cn)
	}
	l.idle = slices.DeleteFunc(l.idle, func(o *connection) bool {
		old := now.Sub(o.lastUse) > idleAfter
		if old {
			drop = append(drop, o)
		}
		return old
	})
	l.mu.Unlock()
	for _, o := range drop {
		closeQuietly(o)
	}
}

func (l *lane) close() {
	l.mu.Lock()
	l.closed = true
	all := l.idle
	l.idle = nil
	for cn := range l.busy {
		all = append(all, cn)
	}
	l.mu.Unlock()
	for _, cn := range all {
		closeQuietly(cn)
	}
}

// closeQuietly closes a connection whose state no longer matters.
func closeQuietly(cn *connection) { _ = cn.Close() }

// dial connects to the peer, unless an earlier attempt failed a short time ago.
func (c *Client) dial(ctx context.Context) (*countingConn, error) {
	if err := c.backoff.allow(time.Now()); err != nil {
		return nil, err
	}
	d := net.Dialer{Timeout: c.options.DialTimeout}
	conn, err := d.DialContext(ctx, "tcp", c.address.String())
	if err != nil && ctx.Err() == context.Canceled {
		return nil, err // says nothing about the peer
	}
	c.backoff.result(err, time.Now())
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn}, nil
}

// backoff spaces the attempts to connect to one peer.
type backoff struct {
	mu    sync.Mutex // guards the fields below
	rnd   *rand.Rand
	pause time.Duration // before jitter
	next  time.Time
	last  error
}

func (b *backoff) allow(now time.Time) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Before(b.next) {
		return fmt.Errorf("next attempt to connect in %s, after: %w", b.next.Sub(now).Round(time.Millisecond), b.last)
	}
	return nil
}

// result records an attempt. The pause doubles with each failure and has a jitter of
// one half of it, so that hosts do not connect to a returning peer all at once.
func (b *backoff) result(err error, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err == nil {
		b.pause, b.next, b.last = 0, time.Time{}, nil
		return
	}
	b.pause = min(max(minBackoff, 2*b.pause), maxBackoff)
	b.next = now.Add(b.pause/2 + time.Duration(b.rnd.Int64N(int64(b.pause/2)+1)))
	b.last = err
}

// countingConn counts the bytes that the network accepted.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}
