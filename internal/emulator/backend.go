package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"
)

// Headers between the entry host and a backend server.
const (
	HeaderRequest   = "Peridot-Request"
	HeaderAttempt   = "Peridot-Attempt"
	HeaderDeadline  = "Peridot-Deadline" // remaining time in milliseconds
	HeaderSlotsUsed = "Peridot-Slots-Used"
	HeaderNotRun    = "Peridot-Not-Run"
)

// Defaults of BackendOptions.
const (
	DefaultSlots              = 8
	DefaultConnections        = 64
	DefaultServiceTime        = 5 * time.Millisecond
	DefaultAnswerPaddingBytes = 512
	// maxCountedIdentities limits the memory of Executions: the number of request
	// identities, and of tokens, whose executions are counted.
	maxCountedIdentities = 1 << 20
)

// TimeShape is the probability distribution of service times.
type TimeShape string

// Distributions of service times.
const (
	ShapeFixed       TimeShape = "fixed"
	ShapeExponential TimeShape = "exponential"
	ShapeLogNormal   TimeShape = "lognormal" // sigma 0.5 (logNormalSigma), median ServiceTime/e^(1/8)
)

// logNormalSigma is the standard deviation of the logarithm of service times with ShapeLogNormal.
const logNormalSigma = 0.5

// BackendOptions configures a Backend. Zero fields take the defaults.
type BackendOptions struct {
	Service            string
	Address            netip.AddrPort // zero: any loopback port
	Slots              int
	Connections        int
	ServiceTime        time.Duration // mean, without slowdown
	Shape              TimeShape     // default: lognormal
	AnswerPaddingBytes int           // padding in each answer body
	Executions         *Executions   // shared by the instances of a test; default: its own
	Faults             Faults
	Seed               uint64
}

// BackendCounts counts the requests and connections of a backend server.
type BackendCounts struct {
	Requests, Run, NotRun, ConnectionsRefused int
	MostRunning, MostConnections              int
	AfterDeadline                             int // executions that ended after the request's deadline
}

// Executions counts how often each request ran, by the identity that the entry host
// assigned to it, and by the caller's token (query argument "token") if it has one.
type Executions struct {
	mu        sync.Mutex // guards both maps
	byRequest map[string]int
	byToken   map[string]int
}

// NewExecutions returns an Executions without counts.
func NewExecutions() *Executions {
	return &Executions{byRequest: make(map[string]int), byToken: make(map[string]int)}
}

func (e *Executions) add(request, token string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.byRequest) < maxCountedIdentities {
		e.byRequest[request]++
	}
	if token != "" && len(e.byToken) < maxCountedIdentities {
		e.byToken[token]++
	}
}

// RequestCount returns how often the request with this identity ran.
func (e *Executions) RequestCount(identity string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.byRequest[identity]
}

// TokenCounts returns how often the request of each caller's token ran.
func (e *Executions) TokenCounts() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]int, len(e.byToken))
	for k, v := range e.byToken {
		out[k] = v
	}
	return out
}

// Backend is the backend server of one instance of a service.
type Backend struct {
	options BackendOptions
	server  *server

	mu          sync.Mutex // guards all fields below
	rng         *rand.Rand
	running     int
	connections int
	draining    bool
	slowdown    float64
	lastAnswer  *completedAnswer
	counts      BackendCounts
}

// completedAnswer is the answer to an earlier request. The fault WrongIdentity sends it to
// another request.
type completedAnswer struct{ request, attempt, body string }

// NewBackend starts an emulated backend server and returns it, its address and a function
// that stops it.
func NewBackend(o BackendOptions) (*Backend, netip.AddrPort, func(), error) {
	if o.Slots <= 0 {
		o.Slots = DefaultSlots
	}
	if o.Connections <= 0 {
		o.Connections = DefaultConnections
	}
	setDefault(&o.ServiceTime, DefaultServiceTime)
	if o.Shape == "" {
		o.Shape = ShapeLogNormal
	}
	if o.AnswerPaddingBytes <= 0 {
		o.AnswerPaddingBytes = DefaultAnswerPaddingBytes
	}
	if o.Executions == nil {
		o.Executions = NewExecutions()
	}
	l, address, err := listen(o.Address)
	if err != nil {
		return nil, netip.AddrPort{}, nil, err
	}
	b := &Backend{options: o, rng: rand.New(rand.NewPCG(o.Seed, 2)), slowdown: 1}
	b.server = newServer(address, newFaultInjector(o.Faults, o.Seed), b.control, b.handle)
	b.server.start(&connectionLimitListener{Listener: l, backend: b})
	return b, address, b.server.stop, nil
}

// SetFaults replaces the injected faults.
func (b *Backend) SetFaults(f Faults) { b.server.faults.set(f) }

// Executions returns the counter to which this instance adds its executions.
func (b *Backend) Executions() *Executions { return b.options.Executions }

// Counts returns the counts so far.
func (b *Backend) Counts() BackendCounts {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.counts
}

// Address implements Instance.
func (b *Backend) Address() string { return b.server.address.String() }

// Load implements Instance.
func (b *Backend) Load() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return float64(b.running) / float64(b.options.Slots)
}

// InFlight implements Instance.
func (b *Backend) InFlight() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running
}

// SetSlowdown implements Instance.
func (b *Backend) SetSlowdown(factor float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slowdown = factor
}

// Drain implements Instance: new requests are answered "not run".
func (b *Backend) Drain() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.draining = true
}

// Stop implements Instance. It returns at once.
func (b *Backend) Stop() { go b.server.stop() }

func (b *Backend) control(ctx *fasthttp.RequestCtx) bool {
	switch string(ctx.Path()) {
	case "/counts":
		writeJSON(ctx, b.Counts())
	case "/executions":
		writeJSON(ctx, b.options.Executions.TokenCounts())
	default:
		return false
	}
	return true
}

func (b *Backend) handle(ctx *fasthttp.RequestCtx) {
	request := string(ctx.Request.Header.Peek(HeaderRequest))
	attempt := string(ctx.Request.Header.Peek(HeaderAttempt))
	token := string(ctx.QueryArgs().Peek("token"))
	arrived := time.Now()
	d, ok := b.acquireSlot()
	if !ok {
		ctx.Error("not run: full or draining", fasthttp.StatusServiceUnavailable)
		ctx.Response.Header.Set(HeaderNotRun, "true")
		b.setEchoHeaders(ctx, request, attempt)
		return
	}
	b.options.Executions.add(request, token)
	if f := b.server.faults.get().SlowFactor; f > 0 {
		d = time.Duration(float64(d) * f)
	}
	sleepUnlessClosed(d, nil, b.server.stopped)
	a := completedAnswer{request, attempt, b.answerBody(token, ctx.PostBody())}
	late := deadlinePassed(ctx, arrived)
	if other := b.releaseSlot(a, late); other != nil && b.server.faults.draw(b.server.faults.get().WrongIdentity) {
		a = *other
	}
	ctx.SetContentType("text/plain")
	ctx.SetBodyString(a.body)
	b.setEchoHeaders(ctx, a.request, a.attempt)
}

func (b *Backend) setEchoHeaders(ctx *fasthttp.RequestCtx, request, attempt string) {
	ctx.Response.Header.Set(HeaderRequest, request)
	ctx.Response.Header.Set(HeaderAttempt, attempt)
	ctx.Response.Header.Set(HeaderSlotsUsed, strconv.Itoa(b.InFlight()))
}

// acquireSlot occupies a slot and draws the service time. It reports false if the instance
// is draining or has no free slot.
func (b *Backend) acquireSlot() (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts.Requests++
	if b.draining || b.running >= b.options.Slots {
		b.counts.NotRun++
		return 0, false
	}
	b.counts.Run++
	b.running++
	b.counts.MostRunning = max(b.counts.MostRunning, b.running)
	x := 1.0
	switch b.options.Shape {
	case ShapeExponential:
		x = b.rng.ExpFloat64()
	case ShapeLogNormal:
		x = math.Exp(logNormalSigma*b.rng.NormFloat64() - logNormalSigma*logNormalSigma/2)
	}
	return time.Duration(x * b.slowdown * float64(b.options.ServiceTime)), true
}

// releaseSlot frees the slot, stores a as the last answer and returns the answer before it,
// or nil.
func (b *Backend) releaseSlot(a completedAnswer, late bool) *completedAnswer {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
	if late {
		b.counts.AfterDeadline++
	}
	other := b.lastAnswer
	b.lastAnswer = &a
	return other
}

func deadlinePassed(ctx *fasthttp.RequestCtx, arrived time.Time) bool {
	ms, err := strconv.ParseInt(string(ctx.Request.Header.Peek(HeaderDeadline)), 10, 64)
	return err == nil && time.Since(arrived) > time.Duration(ms)*time.Millisecond
}

// answerBody returns a body that CheckBody can verify: the caller's token, a hash of the
// request's body, padding, and a checksum of these.
func (b *Backend) answerBody(token string, request []byte) string {
	var s strings.Builder
	fmt.Fprintf(&s, "token=%s\nservice=%s\nrequest=%016x\n", token, b.options.Service, xxhash.Sum64(request))
	s.WriteString(strings.Repeat(".", b.options.AnswerPaddingBytes))
	s.WriteString("\n")
	fmt.Fprintf(&s, "sum=%016x\n", xxhash.Sum64String(s.String()))
	return s.String()
}

// CheckBody returns an error unless answer is a complete, undamaged answer of a Backend to
// the request with this token and body.
func CheckBody(answer []byte, token string, request []byte) error {
	text := string(answer)
	at := strings.LastIndex(text, "sum=")
	if at < 0 {
		return fmt.Errorf("answer of %d bytes is truncated: it has no checksum", len(answer))
	}
	if want := fmt.Sprintf("sum=%016x\n", xxhash.Sum64String(text[:at])); text[at:] != want {
		return fmt.Errorf("answer of %d bytes is corrupt: its checksum does not match", len(answer))
	}
	lines := strings.SplitN(text, "\n", 4)
	if got := strings.TrimPrefix(lines[0], "token="); got != token {
		return fmt.Errorf("answer belongs to token %q, not to %q", got, token)
	}
	if want := fmt.Sprintf("request=%016x", xxhash.Sum64(request)); len(lines) < 3 || lines[2] != want {
		return fmt.Errorf("answer of token %q belongs to another request body", token)
	}
	return nil
}

// connectionLimitListener closes new connections while the instance has as many as its
// limit allows.
type connectionLimitListener struct {
	net.Listener
	backend *Backend
}

func (l *connectionLimitListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.backend.acquireConnection() {
			return &countedConn{Conn: c, backend: l.backend}, nil
		}
		_ = c.Close()
	}
}

func (b *Backend) acquireConnection() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.connections >= b.options.Connections {
		b.counts.ConnectionsRefused++
		return false
	}
	b.connections++
	b.counts.MostConnections = max(b.counts.MostConnections, b.connections)
	return true
}

// countedConn frees its place in the connection limit when it is closed.
type countedConn struct {
	net.Conn
	backend *Backend
	once    sync.Once
}

func (c *countedConn) Close() error {
	c.once.Do(func() {
		c.backend.mu.Lock()
		c.backend.connections--
		c.backend.mu.Unlock()
	})
	return c.Conn.Close()
}
