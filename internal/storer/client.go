package storer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"

	"peridotpitch/internal/poster"
)

// defaultRetryAfter is reported if a 429 answer does not say when to retry.
const defaultRetryAfter = 100 * time.Millisecond

// Options configures a Client. Zero fields take the defaults of package poster.
type Options struct {
	Timeout        time.Duration // of a call whose context has no earlier deadline
	DialTimeout    time.Duration
	MaxConnections int
}

// Client implements Store over HTTP.
type Client struct {
	calls   *poster.Poster
	watches *poster.Poster // waiting watches get connections of their own
	timeout time.Duration
}

var _ Store = (*Client)(nil)

// maxWatchWait bounds the time that one watch waits.
const maxWatchWait = time.Minute

// NewClient returns a client of the store at address, and a function that closes its
// idle connections.
func NewClient(address netip.AddrPort, o Options) (*Client, func()) {
	po := poster.Options{Timeout: o.Timeout, DialTimeout: o.DialTimeout, MaxConnections: o.MaxConnections}
	if po.Timeout <= 0 {
		po.Timeout = poster.DefaultTimeout
	}
	wo := po
	wo.Timeout += maxWatchWait
	c := &Client{timeout: po.Timeout}
	var closeCalls, closeWatches func()
	c.calls, closeCalls = poster.New(address, po)
	c.watches, closeWatches = poster.New(address, wo)
	return c, func() {
		closeCalls()
		closeWatches()
	}
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	var out struct {
		Found         bool
		Value         []byte
		Revision      uint64
		StoreRevision uint64
	}
	err := c.call(ctx, c.calls, "/kv/get", struct{ Key string }{key}, &out, "")
	if err != nil {
		return Entry{}, err
	}
	return Entry{Key: key, Value: out.Value, Revision: out.Revision}, nil
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]Entry, uint64, error) {
	var out struct {
		Entries       []Entry
		StoreRevision uint64
	}
	err := c.call(ctx, c.calls, "/kv/list", struct{ Prefix string }{prefix}, &out, "")
	return out.Entries, out.StoreRevision, err
}

// CompareAndSwap implements Store.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte) (bool, uint64, error) {
	if len(value) > MaxValueSize {
		return false, 0, &TooLargeError{Key: key, Size: len(value)}
	}
	in := struct {
		Key            string
		ExpectRevision uint64
		Value          []byte
	}{key, expect, value}
	var out struct {
		Swapped  bool
		Revision uint64
	}
	err := c.call(ctx, c.calls, "/kv/cas", in, &out, key)
	var l *TooLargeError
	if errors.As(err, &l) {
		l.Size = len(value)
	}
	return out.Swapped, out.Revision, err
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, expect uint64) (bool, error) {
	in := struct {
		Key            string
		ExpectRevision uint64
	}{key, expect}
	var out struct{ Swapped bool }
	err := c.call(ctx, c.calls, "/kv/delete", in, &out, key)
	return out.Swapped, err
}

// Watch implements Store. A wait over one minute is shortened to one minute.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Events, error) {
	wait = min(wait, maxWatchWait)
	ctx, cancel := context.WithTimeout(ctx, wait+c.timeout)
	defer cancel()
	in := struct {
		Prefix        string
		AfterRevision uint64
		Wait          time.Duration
	}{prefix, after, wait}
	var out Events
	err := c.call(ctx, c.watches, "/kv/watch", in, &out, "")
	return out, err
}

// Hosts implements Store.
func (c *Client) Hosts(ctx context.Context) (HostList, error) {
	var out HostList
	err := c.call(ctx, c.calls, "/hosts/list", struct{}{}, &out, "")
	return out, err
}

// call sends one call. A non-empty write names the key that the call writes; without
// it the call has no effect on the store, so that a lost answer is not an unknown outcome.
func (c *Client) call(ctx context.Context, p *poster.Poster, path string, in, out any, write string) error {
	a, err := p.Post(ctx, path, in)
	if err != nil {
		var pe *poster.Error
		if write != "" && errors.As(err, &pe) && pe.Sent {
			return merry.Wrap(&UnknownOutcomeError{Key: write, Reason: err.Error()})
		}
		return merry.Wrap(&UnavailableError{Address: p.Address(), Reason: err.Error()})
	}
	switch a.Status {
	case http.StatusOK:
	case http.StatusServiceUnavailable:
		return merry.Wrap(&UnavailableError{Address: p.Address(), Reason: fmt.Sprintf("%s was refused with status %d", path, a.Status)})
	case http.StatusTooManyRequests:
		if a.RetryAfter == 0 {
			a.RetryAfter = defaultRetryAfter
		}
		return merry.Wrap(&RateLimitedError{RetryAfter: a.RetryAfter})
	case http.StatusRequestEntityTooLarge:
		return merry.Wrap(&TooLargeError{Key: write})
	default:
		return c.unclear(p, write, fmt.Sprintf("%s was answered with unexpected status %d", path, a.Status))
	}
	if err := json.Unmarshal(a.Body, out); err != nil {
		return c.unclear(p, write, fmt.Sprintf("answer to %s cannot be decoded: %v", path, err))
	}
	return nil
}

// unclear classifies an answer that does not say whether the call took effect.
func (c *Client) unclear(p *poster.Poster, write, reason string) error {
	if write != "" {
		return merry.Wrap(&UnknownOutcomeError{Key: write, Reason: reason})
	}
	return merry.Wrap(&UnavailableError{Address: p.Address(), Reason: reason})
}
