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
	headerDeadline  = "Peridot-Deadline" // remaining time in milliseconds
	headerSlotsUsed = "Peridot-Slots-Used"
	headerNotRun    = "Peridot-Not-Run"
)

const (
	// maxResponseBodyBytes leaves room for the other fields of a message to another entry
	// host, which has at most 4 MiB.
	maxResponseBodyBytes = 3 << 20
	// maxIdleTime is how long an unused connection stays open. It is shorter than the idle
	// timeout of usual HTTP servers (60 s or more), so that the entry host closes the
	// connection first.
	maxIdleTime            = 30 * time.Second
	maxResponseHeaderBytes = 16 << 10
)

// Header is one HTTP header field.
type Header struct{ Name, Value string }

// Request is one attempt of a request to an instance.
type Request struct {
	ID          string
	Attempt     int
	Instance    string
	Address     string // ip:port
	Connections int    // maximum of open connections to the instance
	Method      string
	Path        string // with the query string
	Headers     []Header
	Body        []byte
	Deadline    time.Time
}

// Result is the result of an attempt: Answered, NotRun or Unknown.
type Result interface{ result() }

// Answered is a complete response that echoed the request's identity and attempt.
type Answered struct {
	Status    int
	Headers   []Header
	Body      []byte
	SlotsUsed int // negative if the backend server sent none
	Latency   time.Duration
}

// NotRun reports that the request did not run: no byte was written, or the backend server
// rejected it.
type NotRun struct {
	Reason    string
	Rejected  bool // the backend server rejected the request; false if nothing was written
	SlotsUsed int  // negative if the backend server sent none
}

// Unknown reports that the request may have run.
type Unknown struct {
	Reason string
}

func (Answered) result() {}
func (NotRun) result()   {}
func (Unknown) result()  {}

// Forwarder sends requests and keeps the connections to all instances. It is safe for
// concurrent use.
type Forwarder struct {
	mutex     sync.Mutex
	instances map[string]*instanceClient
	closed    bool
}

// instanceClient is the HTTP client of one instance at one address.
type instanceClient struct {
	address        string
	maxConnections atomic.Int64 // 0 after retire
	hostClient     *fasthttp.HostClient
}

// New returns a forwarder and a function that closes it: idle connections are closed,
// further requests are refused, and requests in flight finish normally.
func New() (*Forwarder, func()) {
	f := &Forwarder{instances: make(map[string]*instanceClient)}
	return f, f.close
}

func (f *Forwarder) close() {
	f.mutex.Lock()
	f.closed = true
	clients := f.instances
	f.instances = make(map[string]*instanceClient)
	f.mutex.Unlock()
	for _, c := range clients {
		c.retire()
	}
}

// SetInstances sets the maximum number of connections to each listed instance and removes all
// other instances. Idle connections to removed instances, and to instances whose maximum
// became smaller, are closed.
func (f *Forwarder) SetInstances(connections map[string]int) {
	var retired, reduced []*instanceClient
	f.mutex.Lock()
	for name, c := range f.instances {
		n, listed := connections[name]
		switch {
		case !listed:
			delete(f.instances, name)
			retired = append(retired, c)
		case n > 0 && c.setMaxConnections(n):
			reduced = append(reduced, c)
		}
	}
	f.mutex.Unlock()
	for _, c := range retired {
		c.retire()
	}
	for _, c := range reduced {
		c.hostClient.CloseIdleConnections()
	}
}

// instanceClient returns the client of the request's instance, or nil if the forwarder is
// closed.
func (f *Forwarder) instanceClient(q Request) *instanceClient {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.closed {
		return nil
	}
	c := f.instances[q.Instance]
	if c != nil && c.address != q.Address {
		// The instance has been restarted at another address. Closing its idle
		// connections does not take Forwarder.mutex, which is held here.
		c.retire()
		c = nil
	}
	if c == nil {
		c = newInstanceClient(q)
		f.instances[q.Instance] = c
	}
	if q.Connections > 0 {
		c.setMaxConnections(q.Connections)
	}
	return c
}

// setMaxConnections sets the maximum number of connections and reports whether it became
// smaller.
func (c *instanceClient) setMaxConnections(maxConnections int) (reduced bool) {
	previous := c.maxConnections.Swap(int64(maxConnections))
	if previous != int64(maxConnections) {
		c.hostClient.SetMaxConns(maxConnections)
	}
	return int64(maxConnections) < previous
}

func newInstanceClient(q Request) *instanceClient {
	c := &instanceClient{
		address: q.Address,
		hostClient: &fasthttp.HostClient{
			Addr:                     q.Address,
			Transport:                transport{},
			DialTimeout:              newUnopenedConnection,
			MaxConns:                 max(1, q.Connections),
			MaxIdleConnDuration:      maxIdleTime,
			ConnPoolStrategy:         fasthttp.LIFO,
			ReadBufferSize:           maxResponseHeaderBytes,
			NoDefaultUserAgentHeader: true,
			DisablePathNormalizing:   true,
			// Only the dispatcher decides on retries. MaxIdemponentCallAttempts and RetryIfErr
			// switch off those of fasthttp, and transport never requests one.
			MaxIdemponentCallAttempts: 1,
			RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) {
				return false, false
			},
		},
	}
	c.maxConnections.Store(int64(max(1, q.Connections)))
	return c
}

// retire closes the idle connections. A connection in use is closed when its request
// ends.
func (c *instanceClient) retire() {
	c.maxConnections.Store(0)
	c.hostClient.CloseIdleConnections()
}

// Send makes one attempt. It returns when the response is complete, when ctx ends or at
// the request's deadline, whichever comes first.
func (f *Forwarder) Send(ctx context.Context, q Request) Result {
	c := f.instanceClient(q)
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
	fillRequest(req, q)
	resp.Header.SetNoDefaultContentType(true)
	e := &attemptState{ctx: ctx, instanceClient: c, id: q.ID, number: strconv.Itoa(q.Attempt)}
	req.SetUserValue(attemptStateKey{}, e)
	started := time.Now()
	if err := c.hostClient.Do(req, resp); err != nil {
		if e.bytesWritten == 0 {
			return NotRun{Reason: "nothing was written: " + err.Error(), SlotsUsed: -1}
		}
		return Unknown{Reason: err.Error()}
	}
	return newResult(resp, time.Since(started))
}

// fillRequest writes the attempt into a request from fasthttp's pool.
func fillRequest(req *fasthttp.Request, q Request) {
	req.Header.SetNoDefaultContentType(true)
	req.SetRequestURI("http://" + q.Address + q.Path)
	req.Header.SetMethod(q.Method)
	for _, h := range q.Headers {
		if !mustNotForward(h.Name) {
			req.Header.Add(h.Name, h.Value)
		}
	}
	req.Header.Set(headerRequest, q.ID)
	req.Header.Set(headerAttempt, strconv.Itoa(q.Attempt))
	left := max(0, time.Until(q.Deadline))
	req.Header.Set(headerDeadline, strconv.FormatInt(left.Milliseconds(), 10))
	req.SetBody(q.Body)
}

// newResult returns the result for a complete response that echoed the request's identity
// and attempt.
func newResult(resp *fasthttp.Response, latency time.Duration) Result {
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
		if name := string(k); !mustNotForward(name) {
			a.Headers = append(a.Headers, Header{name, string(v)})
		}
	}
	return a
}
