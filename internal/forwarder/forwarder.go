package forwarder

import (
	"context"
	"time"
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
	Reason   string
	Rejected bool // the backend server rejected the request; false if nothing was written
}

// Unknown says that the request may have run.
type Unknown struct {
	Reason string
}

func (Answered) result() {}
func (NotRun) result()   {}
func (Unknown) result()  {}

// Forwarder holds the connections to all instances. It is safe for concurrent use.
type Forwarder struct{}

// New returns a forwarder and a function that closes its idle connections.
func New() (*Forwarder, func()) { return &Forwarder{}, func() {} }

// Send makes one attempt. It returns when the response is complete, when ctx ends or
// at the deadline, whichever is first.
func (f *Forwarder) Send(_ context.Context, _ Request) Result { return NotRun{} }

// Retain closes the connections to all instances that are not listed.
func (f *Forwarder) Retain(_ []string) {}
