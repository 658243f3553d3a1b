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

	"github.com/ansel1/merry/v2"

	"peridotpitch/internal/poster"
)

const (
	// maxAnswerSize bounds a report: 1,000 listed tasks take about 400 kB.
	maxAnswerSize = 8 << 20
	// idleAfter is the age at which the connections of an unused address are dropped.
	idleAfter = 10 * time.Minute
	// maxConnections per worker; a slow call must not delay the next report.
	maxConnections = 8
)

// UnreachableError says that a worker gave no usable answer. The message certainly had
// no effect only if Sent is false.
type UnreachableError struct {
	Address netip.AddrPort
	Sent    bool
	Status  int // HTTP status, 0 if no answer came
	Reason  string
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("worker %s gave no usable answer (sent=%t): %s", e.Address, e.Sent, e.Reason)
}

// Options configures a Client. Zero fields take the defaults of package poster.
type Options struct {
	Timeout     time.Duration // of a call whose context has no earlier deadline
	DialTimeout time.Duration
}

// Client implements Workers over HTTP. It keeps connections per worker.
type Client struct {
	options poster.Options
	mu      sync.Mutex // guards posters; held only for look-ups
	posters map[netip.AddrPort]*entry
}

type entry struct {
	poster  *poster.Poster
	close   func()
	lastUse time.Time
}

var _ Workers = (*Client)(nil)

// NewClient returns a client, and a function that closes its idle connections.
func NewClient(o Options) (*Client, func()) {
	c := &Client{
		options: poster.Options{
			Timeout: o.Timeout, DialTimeout: o.DialTimeout,
			MaxConnections: maxConnections, MaxAnswerSize: maxAnswerSize,
		},
		posters: make(map[netip.AddrPort]*entry),
	}
	return c, c.close
}

// Fence implements Workers.
func (c *Client) Fence(ctx context.Context, address netip.AddrPort, epoch uint64, owner string) (FenceAnswer, error) {
	in := struct {
		Epoch uint64
		Owner string
	}{epoch, owner}
	var out FenceAnswer
	err := c.call(ctx, address, "/worker/fence", in, &out)
	return out, err
}

// Report implements Workers.
func (c *Client) Report(ctx context.Context, address netip.AddrPort) (Report, error) {
	var out Report
	err := c.call(ctx, address, "/worker/report", struct{}{}, &out)
	return out, err
}

// Apply implements Workers.
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
		return ApplyAnswer{}, merry.Wrap(&UnreachableError{Address: address, Sent: true, Status: http.StatusOK, Reason: reason})
	}
	return out, err
}

func (c *Client) call(ctx context.Context, address netip.AddrPort, path string, in, out any) error {
	a, err := c.poster(address).Post(ctx, path, in)
	if err != nil {
		var pe *poster.Error
		sent := !errors.As(err, &pe) || pe.Sent
		return merry.Wrap(&UnreachableError{Address: address, Sent: sent, Reason: err.Error()})
	}
	if a.Status != http.StatusOK {
		reason := fmt.Sprintf("%s was answered with status %d", path, a.Status)
		return merry.Wrap(&UnreachableError{Address: address, Sent: true, Status: a.Status, Reason: reason})
	}
	if err := json.Unmarshal(a.Body, out); err != nil {
		reason := fmt.Sprintf("answer to %s cannot be decoded: %v", path, err)
		return merry.Wrap(&UnreachableError{Address: address, Sent: true, Status: a.Status, Reason: reason})
	}
	return nil
}

// poster returns the poster of address. When it creates one, it drops those that were
// not used for idleAfter, so that replaced workers leave nothing behind.
func (c *Client) poster(address netip.AddrPort) *poster.Poster {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, ok := c.posters[address]; ok {
		e.lastUse = now
		return e.poster
	}
	for a, e := range c.posters {
		if now.Sub(e.lastUse) > idleAfter {
			e.close()
			delete(c.posters, a)
		}
	}
	p, stop := poster.New(address, c.options)
	c.posters[address] = &entry{poster: p, close: stop, lastUse: now}
	return p
}

func (c *Client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for a, e := range c.posters {
		e.close()
		delete(c.posters, a)
	}
}
