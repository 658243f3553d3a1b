package forwarder

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// Headers of the protocol with backend servers.
const (
	headerRequest   = "Peridot-Request"
	headerAttempt   = "Peridot-Attempt"
	headerDeadline  = "Peridot-Deadline" // milliseconds left
	headerSlotsUsed = "Peridot-Slots-Used"
	headerNotRun    = "Peridot-Not-Run"
)

const (
	// maxResponseSize bounds a response body, in bytes. It leaves room for the
	// envelope in a message to another entry host (4 MB).
	maxResponseSize = 3 << 20
	// maxIdle is how long an unused connection stays open. It is shorter than the
	// usual idle timeout of an HTTP server (60 s or more), so that this side closes first.
	maxIdle = 30 * time.Second
	// readBufferSize bounds a response header, in bytes.
	readBufferSize = 16 << 10
)

// Header is one HTTP header field.
type Header struct{ Name, Value string }

// Request is one attempt of a request to an instance.
type Request struct {
	ID          string
	Attempt     int
	Instance    string
	Address     string // ip:port
	Connections int    // bound of open connections to the instance
	Method      string
	Path        string // with the query string
	Headers     []Header
	Body        []byte
	Deadline    time.Time
}

// Result is the end of an attempt: Answered, NotRun or Unknown.
type Result interface{ result() }

// Answered is a complete response that echoed the request's identity and attempt.
type Answered struct {
	Status    int
	Headers   []Header
	Body      []byte
	SlotsUsed int // negative if the backend server sent none
	Latency   time.Duration
}

// NotRun says that the request did not run: no byte was written, or the backend server
// said so.
type NotRun struct {
	Reason    string
	Rejected  bool // the backend server rejected the request; false if nothing was written
	SlotsUsed int  // negative if the backend server sent none
}

// Unknown says that the request may have run.
type Unknown struct {
	Reason string
}

func (Answered) result() {}
func (NotRun) result()   {}
func (Unknown) result()  {}

// Forwarder holds the connections to all instances. It is safe for concurrent use.
type Forwarder struct {
	mutex     sync.Mutex
	instances map[string]*client
	closed    bool
}

// client is the host client of one instance at one address.
type client struct {
	address     string
	connections atomic.Int64 // bound; 0 if retired
	host        *fasthttp.HostClient
}

// New returns a forwarder and a function that closes its idle connections and refuses
// further requests. Requests in flight end normally.
func New() (*Forwarder, func()) {
	f := &Forwarder{instances: make(map[string]*client)}
	return f, f.close
}

func (f *Forwarder) close() {
	f.mutex.Lock()
	f.closed = true
	clients := f.instances
	f.instances = make(map[string]*client)
	f.mutex.Unlock()
	for _, c := range clients {
		c.retire()
	}
}

// Retain sets the bound of connections of each listed instance, and closes the idle
// connections to all others.
func (f *Forwarder) Retain(connections map[string]int) {
	var retired, shrunk []*client
	f.mutex.Lock()
	for name, c := range f.instances {
		n, listed := connections[name]
		switch {
		case !listed:
			delete(f.instances, name)
			retired = append(retired, c)
		case n > 0 && c.bound(n):
			shrunk = append(shrunk, c)
		}
	}
	f.mutex.Unlock()
	for _, c := range retired {
		c.retire()
	}
	for _, c := range shrunk {
		c.host.CloseIdleConnections()
	}
}

// client returns the host client of the request's instance. Nil means closed.
func (f *Forwarder) client(q Request) *client {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.closed {
		return nil
	}
	c := f.instances[q.Instance]
	if c != nil && c.address != q.Address {
		// The instance was started again elsewhere. fasthttp's closing of idle
		// connections takes no lock of this package.
		c.retire()
		c = nil
	}
	if c == nil {
		c = newClient(q)
		f.instances[q.Instance] = c
	}
	if q.Connections > 0 {
		c.bound(q.Connections)
	}
	return c
}

// bound sets the bound of connections and reports whether it became smaller.
func (c *client) bound(connections int) (smaller bool) {
	old := c.connections.Swap(int64(connections))
	if old != int64(connections) {
		c.host.SetMaxConns(connections)
	}
	return int64(connections) < old
}

func newClient(q Request) *client {
	c := &client{
		address: q.Address,
		host: &fasthttp.HostClient{
			Addr:                     q.Address,
			Transport:                exchanger{},
			DialTimeout:              dialLater,
			MaxConns:                 max(1, q.Connections),
			MaxIdleConnDuration:      maxIdle,
			ConnPoolStrategy:         fasthttp.LIFO,
			ReadBufferSize:           readBufferSize,
			NoDefaultUserAgentHeader: true,
			DisablePathNormalizing:   true,
			// Retries are decided in the dispatcher only. The transport also never
			// asks for one.
			MaxIdemponentCallAttempts: 1,
			RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) {
				return false, false
			},
		},
	}
	c.connections.Store(int64(max(1, q.Connections)))
	return c
}

// retire closes idle connections. A connection in use is closed when its exchange ends.
func (c *client) retire() {
	c.connections.Store(0)
	c.host.CloseIdleConnections()
}

// Send makes one attempt. It returns when the response is complete, when ctx ends or
// at the deadline, whichever is first.
func (f *Forwarder) Send(ctx context.Context, q Request) Result {
	c := f.client(q)
	if c == nil {
		return NotRun{Reason: "the forwarder is closed", SlotsUsed: -1}
	}
	if !strings.HasPrefix(q.Path, "/") {
		return NotRun{Reason: fmt.Sprintf("path %q does not begin with a slash", q.Path), SlotsUsed: -1}
	}
	ctx, cancel := context.WithDeadline(ctx, q.Deadline)
	defer cancel()
	if err := ctx.Err(); err != nil {
		return NotRun{Reason: "given up before sending: " + err.Error(), SlotsUsed: -1}
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	fill(req, q)
	resp.Header.SetNoDefaultContentType(true)
	e := &exchange{ctx: ctx, client: c, id: q.ID, attempt: strconv.Itoa(q.Attempt)}
	req.SetUserValue(exchangeKey{}, e)
	started := time.Now()
	if err := c.host.Do(req, resp); err != nil {
		if e.written == 0 {
			return NotRun{Reason: "nothing was written: " + err.Error(), SlotsUsed: -1}
		}
		return Unknown{Reason: err.Error()}
	}
	return accept(resp, time.Since(started))
}

// fill writes the attempt into a request of fasthttp's pool.
func fill(req *fasthttp.Request, q Request) {
	req.Header.SetNoDefaultContentType(true)
	req.SetRequestURI("http://" + q.Address + q.Path)
	req.Header.SetMethod(q.Method)
	for _, h := range q.Headers {
		if !reserved(h.Name) {
			req.Header.Add(h.Name, h.Value)
		}
	}
	req.Header.Set(headerRequest, q.ID)
	req.Header.Set(headerAttempt, strconv.Itoa(q.Attempt))
	left := max(0, time.Until(q.Deadline))
	req.Header.Set(headerDeadline, strconv.FormatInt(left.Milliseconds(), 10))
	req.SetBody(q.Body)
}

// accept turns a complete response that echoed the attempt into a result.
func accept(resp *fasthttp.Response, latency time.Duration) Result {
	used := -1
	if n, err := strconv.Atoi(string(resp.Header.Peek(headerSlotsUsed))); err == nil && n >= 0 {
		used = n
	}
	status := resp.StatusCode()
	if status == fasthttp.StatusServiceUnavailable && string(resp.Header.Peek(headerNotRun)) == "true" {
		return NotRun{Reason: "rejected by the backend server", Rejected: true, SlotsUsed: used}
	}
	a := Answered{
		Status:    status,
		Body:      append([]byte(nil), resp.Body()...),
		SlotsUsed: used,
		Latency:   latency,
	}
	for k, v := range resp.Header.All() {
		if name := string(k); !reserved(name) {
			a.Headers = append(a.Headers, Header{name, string(v)})
		}
	}
	return a
}
