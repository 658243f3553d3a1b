package commander

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"peridotpitch/internal/requester"
)

const (
	// maxAnswerBytes bounds an answer. A report with 1,000 tasks takes about 400 kB.
	maxAnswerBytes = 8 << 20
	// maxRequesterIdle is the time without calls after which the requester of an address is
	// removed.
	maxRequesterIdle = 10 * time.Minute
	// maxConnectionsPerWorker is above 1 so that a slow call does not delay the next report.
	maxConnectionsPerWorker = 8
)

// NoAnswerError reports that a worker gave no usable answer. If Sent is true, the message
// may have taken effect; if it is false, the message had no effect.
type NoAnswerError struct {
	Address netip.AddrPort
	Sent    bool
	Status  int // HTTP status, 0 if no answer arrived
	Reason  string
}

func (e *NoAnswerError) Error() string {
	return fmt.Sprintf("worker %s gave no usable answer (sent=%t): %s", e.Address, e.Sent, e.Reason)
}

// Options configures a Client. Zero fields take the defaults of package requester.
type Options struct {
	Timeout     time.Duration // of a call whose context has no earlier deadline
	DialTimeout time.Duration
}

// Client implements WorkerClient over HTTP. It keeps a connection pool for each worker.
type Client struct {
	options    requester.Options
	mu         sync.Mutex // guards requesters; not held during calls
	requesters map[netip.AddrPort]*requesterEntry
}

// requesterEntry is the connection pool of one worker.
type requesterEntry struct {
	requester  *requester.Requester
	closeIdle  func()
	lastUsedAt time.Time
}

var _ WorkerClient = (*Client)(nil)

// NewClient returns a client, and a function that closes its idle connections.
func NewClient(o Options) (*Client, func()) {
	c := &Client{
		options: requester.Options{
			Timeout: o.Timeout, DialTimeout: o.DialTimeout,
			MaxConnections: maxConnectionsPerWorker, MaxAnswerBytes: maxAnswerBytes,
		},
		requesters: make(map[netip.AddrPort]*requesterEntry),
	}
	return c, c.close
}

// Fence implements WorkerClient.
func (c *Client) Fence(ctx context.Context, address netip.AddrPort, epoch uint64, owner string) (FenceAnswer, error) {
	in := struct {
		Epoch uint64
		Owner string
	}{epoch, owner}
	var out FenceAnswer
	err := c.call(ctx, address, "/worker/fence", in, &out)
	return out, err
}

// Report implements WorkerClient.
func (c *Client) Report(ctx context.Context, address netip.AddrPort) (Report, error) {
	var out Report
	err := c.call(ctx, address, "/worker/report", struct{}{}, &out)
	return out, err
}

// Apply implements WorkerClient.
func (c *Client) Apply(ctx context.Context, address netip.AddrPort, epoch uint64, owner string, commands []Command) (ApplyAnswer, error) {
	in := struct {
		Epoch    uint64
		Owner    string
		Commands []Command
	}{epoch, owner, commands}
	var out ApplyAnswer
	err := c.call(ctx, address, "/worker/apply", in, &out)
	if err == nil && out.Accepted && len(out.Results) != len(commands) {
		reason := fmt.Sprintf("%d results for %d commands", len(out.Results), len(commands))
		return ApplyAnswer{}, &NoAnswerError{Address: address, Sent: true, Status: http.StatusOK, Reason: reason}
	}
	return out, err
}

func (c *Client) call(ctx context.Context, address netip.AddrPort, path string, in, out any) error {
	a, err := c.requesterFor(address).Post(ctx, path, in)
	if err != nil {
		var re *requester.Error
		sent := !errors.As(err, &re) || re.Sent
		return &NoAnswerError{Address: address, Sent: sent, Reason: err.Error()}
	}
	if a.Status != http.StatusOK {
		reason := fmt.Sprintf("%s was answered with status %d", path, a.Status)
		return &NoAnswerError{Address: address, Sent: true, Status: a.Status, Reason: reason}
	}
	if err := json.Unmarshal(a.Body, out); err != nil {
		reason := fmt.Sprintf("answer to %s cannot be decoded: %v", path, err)
		return &NoAnswerError{Address: address, Sent: true, Status: a.Status, Reason: reason}
	}
	return nil
}

// requesterFor returns the requester of address. When it creates one, it removes those that have
// been unused for maxRequesterIdle, so that requesters of replaced workers do not accumulate.
func (c *Client) requesterFor(address netip.AddrPort) *requester.Requester {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, ok := c.requesters[address]; ok {
		e.lastUsedAt = now
		return e.requester
	}
	for a, e := range c.requesters {
		if now.Sub(e.lastUsedAt) > maxRequesterIdle {
			e.closeIdle()
			delete(c.requesters, a)
		}
	}
	r, stop := requester.New(address, c.options)
	c.requesters[address] = &requesterEntry{requester: r, closeIdle: stop, lastUsedAt: now}
	return r
}

func (c *Client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for a, e := range c.requesters {
		e.closeIdle()
		delete(c.requesters, a)
	}
}
