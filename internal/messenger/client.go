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
	DefaultExchangeTimeout       = time.Second
	DefaultCallTimeout           = 5 * time.Second
	DefaultDialTimeout           = time.Second
	DefaultMaxConcurrentForwards = 64
	// forwardTimeoutMargin is added to the timeout of a forwarded request, so that the
	// final outcome from the other host arrives before the call here times out.
	forwardTimeoutMargin = 250 * time.Millisecond
	// minDialBackoff is the delay after the first failed dial.
	minDialBackoff = 50 * time.Millisecond
	// maxDialBackoff equals the heartbeat interval inside a failure domain, so that a
	// peer that is reachable again is dialed for the next heartbeat or the one after that.
	maxDialBackoff = 500 * time.Millisecond
	// maxIdleTime is how long a surplus connection may stay unused before it is closed.
	maxIdleTime = 30 * time.Second
)

// NotSentError reports that no byte of a message left this host.
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

// NoAnswerError reports that a message was sent, wholly or in part, but not answered. The
// peer may have executed the call.
type NoAnswerError struct {
	Address netip.AddrPort
	Method  string
	Cause   error
}

func (e *NoAnswerError) Error() string {
	return fmt.Sprintf("entry host %s gave no answer to %s: %v", e.Address, e.Method, e.Cause)
}

// Unwrap returns the cause.
func (e *NoAnswerError) Unwrap() error { return e.Cause }

// RemoteError reports that the peer answered with an error.
type RemoteError struct {
	Address netip.AddrPort
	Method  string
	Reason  string
}

func (e *RemoteError) Error() string {
	return fmt.Sprintf("entry host %s answered %s with an error: %s", e.Address, e.Method, e.Reason)
}

// Options configures a Client. Zero fields take the defaults.
type Options struct {
	ExchangeTimeout       time.Duration
	CallTimeout           time.Duration // for all methods of Peer except Exchange and Forward
	DialTimeout           time.Duration
	MaxConcurrentForwards int // further Forward and Invoke calls wait for a connection
	// Dial connects to a peer; nil: over TCP, within DialTimeout. Tests connect in memory, for virtual time.
	Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	Rand *rand.Rand // jitter of the dial backoff; must not be used concurrently elsewhere
}

// Client implements Peer for the entry host at one address.
type Client struct {
	address      netip.AddrPort
	options      Options
	dialBackoff  *dialBackoff
	exchangePool *connectionPool
	forwardPool  *connectionPool
	otherPool    *connectionPool
}

var _ Peer = (*Client)(nil)

// NewClient returns a client and a function that closes its connections. The client
// connects at the first call.
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
	if o.MaxConcurrentForwards <= 0 {
		o.MaxConcurrentForwards = DefaultMaxConcurrentForwards
	}
	if o.Dial == nil {
		o.Dial = func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
			d := net.Dialer{Timeout: o.DialTimeout}
			return d.DialContext(ctx, "tcp", address.String())
		}
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	b := &dialBackoff{random: o.Rand}
	c := &Client{address: address, options: o, dialBackoff: b}
	c.exchangePool, c.forwardPool, c.otherPool = c.newPool(1), c.newPool(o.MaxConcurrentForwards), c.newPool(1)
	return c, func() {
		for _, p := range []*connectionPool{c.exchangePool, c.forwardPool, c.otherPool} {
			p.close()
		}
	}
}

// Exchange implements Peer.
func (c *Client) Exchange(ctx context.Context, m Heartbeat) (HeartbeatAnswer, error) {
	var out HeartbeatAnswer
	err := c.exchangePool.call(ctx, c.options.ExchangeTimeout, methodExchange, &m, &out)
	return out, err
}

// Forward implements Peer. It returns at the latest forwardTimeoutMargin after the
// request's timeout.
func (c *Client) Forward(ctx context.Context, m ForwardRequest) (ForwardAnswer, error) {
	var out ForwardAnswer
	err := c.forwardPool.call(ctx, m.Timeout+forwardTimeoutMargin, methodForward, &m, &out)
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
	err := c.call(ctx, methodFetchConfiguration, &emptyMessage{}, &out)
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
	return c.call(ctx, methodDrain, &drainRequest{host, undo}, &emptyMessage{})
}

// Invoke calls a method of a peer that uses NewMethodServer. It shares the connections of
// Forward: up to MaxConcurrentForwards calls run at the same time.
func (c *Client) Invoke(ctx context.Context, timeout time.Duration, method string, in, out any) error {
	return c.forwardPool.call(ctx, timeout, method, in, out)
}

func (c *Client) call(ctx context.Context, method string, in, out any) error {
	return c.otherPool.call(ctx, c.options.CallTimeout, method, in, out)
}

// connectionPool is a bounded set of connections to one peer, for one kind of call.
type connectionPool struct {
	client *Client
	tokens chan struct{} // semaphore: holds one element for each running call

	mu     sync.Mutex // guards the fields below
	idle   []*connection
	inUse  map[*connection]bool
	closed bool
}

// connection is one drpc connection with its transport and the time of its last use.
type connection struct {
	*drpcconn.Conn
	transport *countingConn
	lastUse   time.Time
}

func (c *Client) newPool(size int) *connectionPool {
	return &connectionPool{client: c, tokens: make(chan struct{}, size), inUse: make(map[*connection]bool)}
}

var errClientClosed = errors.New("client is closed")

// call makes one call on a connection that no other call uses at the same time.
func (p *connectionPool) call(ctx context.Context, timeout time.Duration, method string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	notSent := func(err error) error {
		return &NotSentError{Address: p.client.address, Method: method, Cause: err}
	}
	// Encode before acquiring a connection, so that an encoding error is reported as
	// not sent.
	body, err := encoding{}.Marshal(in)
	if err != nil {
		return notSent(err)
	}
	select {
	case p.tokens <- struct{}{}:
		defer func() { <-p.tokens }()
	case <-ctx.Done():
		return notSent(fmt.Errorf("wait for a free connection: %w", ctx.Err()))
	}
	cn, err := p.acquire(ctx)
	if err != nil {
		return notSent(err)
	}
	writtenBefore := cn.transport.bytesWritten.Load()
	err = cn.Invoke(ctx, method, preEncoded{}, body, out)
	sent := cn.transport.bytesWritten.Load() > writtenBefore
	code := drpcerr.Code(err)
	p.release(cn, err == nil || code != 0)
	switch {
	case err == nil:
		return nil
	case code != 0:
		return &RemoteError{Address: p.client.address, Method: method, Reason: err.Error()}
	case !sent:
		return notSent(err)
	}
	return &NoAnswerError{Address: p.client.address, Method: method, Cause: err}
}

// preEncoded is the drpc encoding of the client: it takes requests as encoded bytes and
// decodes answers.
type preEncoded struct{ encoding }

// Marshal implements drpc.Encoding.
func (preEncoded) Marshal(m drpc.Message) ([]byte, error) {
	b, ok := m.([]byte)
	if !ok {
		return nil, fmt.Errorf("message of type %T is not encoded", m)
	}
	return b, nil
}

// acquire returns an open idle connection, or dials a new one.
func (p *connectionPool) acquire(ctx context.Context) (*connection, error) {
	if cn, err := p.acquireIdle(); cn != nil || err != nil {
		return cn, err
	}
	t, err := p.client.dial(ctx)
	if err != nil {
		return nil, err
	}
	cn := &connection{transport: t}
	cn.Conn = drpcconn.NewWithOptions(t, drpcconn.Options{Manager: managerOptions()})
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		go closeQuietly(cn)
		return nil, errClientClosed
	}
	p.inUse[cn] = true
	return cn, nil
}

func (p *connectionPool) acquireIdle() (*connection, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errClientClosed
	}
	for len(p.idle) > 0 {
		cn := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		select {
		case <-cn.Closed(): // the peer closed it while it was idle
		default:
			p.inUse[cn] = true
			return cn, nil
		}
	}
	return nil, nil
}

// release returns a connection to the pool if keep is set, that is, if its call ended
// cleanly, and closes it otherwise. It also closes connections that have been idle for
// longer than maxIdleTime.
func (p *connectionPool) release(cn *connection, keep bool) {
	now := time.Now()
	cn.lastUse = now
	var toClose []*connection
	p.mu.Lock()
	delete(p.inUse, cn)
	if keep && !p.closed {
		p.idle = append(p.idle, cn)
	} else {
		toClose = append(toClose, cn)
	}
	p.idle = slices.DeleteFunc(p.idle, func(o *connection) bool {
		expired := now.Sub(o.lastUse) > maxIdleTime
		if expired {
			toClose = append(toClose, o)
		}
		return expired
	})
	p.mu.Unlock()
	for _, o := range toClose {
		closeQuietly(o)
	}
}

func (p *connectionPool) close() {
	p.mu.Lock()
	p.closed = true
	all := p.idle
	p.idle = nil
	for cn := range p.inUse {
		all = append(all, cn)
	}
	p.mu.Unlock()
	for _, cn := range all {
		closeQuietly(cn)
	}
}

// closeQuietly closes a connection and ignores the error.
func closeQuietly(cn *connection) { _ = cn.Close() }

// dial connects to the peer. After a failed attempt it fails without dialing until the
// backoff has passed.
func (c *Client) dial(ctx context.Context) (*countingConn, error) {
	if err := c.dialBackoff.check(time.Now()); err != nil {
		return nil, err
	}
	conn, err := c.options.Dial(ctx, c.address)
	if err != nil && ctx.Err() == context.Canceled {
		return nil, err // canceled by the caller, so no failure of the peer
	}
	c.dialBackoff.record(err, time.Now())
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn}, nil
}

// dialBackoff delays further attempts to connect to one peer after failed ones.
type dialBackoff struct {
	mu         sync.Mutex // guards the fields below
	random     *rand.Rand
	delay      time.Duration // without jitter; 0 after a success
	nextDialAt time.Time
	lastError  error
}

func (b *dialBackoff) check(now time.Time) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Before(b.nextDialAt) {
		return fmt.Errorf("next attempt to connect in %s, after: %w", b.nextDialAt.Sub(now).Round(time.Millisecond), b.lastError)
	}
	return nil
}

// record takes the result of an attempt to connect. The delay doubles with each failure. The
// next attempt is allowed after a random time between half the delay and the whole delay.
// The random time prevents all hosts from connecting at once to a peer that has restarted.
func (b *dialBackoff) record(err error, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err == nil {
		b.delay, b.nextDialAt, b.lastError = 0, time.Time{}, nil
		return
	}
	b.delay = min(max(minDialBackoff, 2*b.delay), maxDialBackoff)
	b.nextDialAt = now.Add(b.delay/2 + time.Duration(b.random.Int64N(int64(b.delay/2)+1)))
	b.lastError = err
}

// countingConn counts the bytes that the connection accepted for sending.
type countingConn struct {
	net.Conn
	bytesWritten atomic.Int64
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytesWritten.Add(int64(n))
	return n, err
}
