package storer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"peridotpitch/internal/requester"
)

// defaultRetryAfter is the RetryAfter of a RateLimitedError if the answer with status 429 has
// no Retry-After header.
const defaultRetryAfter = 100 * time.Millisecond

// Options configures a Client. Zero fields take the defaults of package requester.
type Options struct {
	Timeout        time.Duration // of a call whose context has no earlier deadline
	DialTimeout    time.Duration
	MaxConnections int
}

// Client implements Store over HTTP.
type Client struct {
	callRequester  *requester.Requester
	watchRequester *requester.Requester // separate, so that waiting watches do not block other calls
	timeout        time.Duration
}

var _ Store = (*Client)(nil)

// maxWatchWait bounds the time that one watch call waits for changes.
const maxWatchWait = time.Minute

// NewClient returns a client of the store at address, and a function that closes its
// idle connections.
func NewClient(address netip.AddrPort, o Options) (*Client, func()) {
	callOptions := requester.Options{Timeout: o.Timeout, DialTimeout: o.DialTimeout, MaxConnections: o.MaxConnections}
	if callOptions.Timeout <= 0 {
		callOptions.Timeout = requester.DefaultTimeout
	}
	watchOptions := callOptions
	watchOptions.Timeout += maxWatchWait
	c := &Client{timeout: callOptions.Timeout}
	var closeCalls, closeWatches func()
	c.callRequester, closeCalls = requester.New(address, callOptions)
	c.watchRequester, closeWatches = requester.New(address, watchOptions)
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
	err := c.call(ctx, c.callRequester, "/kv/get", struct{ Key string }{key}, &out, "")
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
	err := c.call(ctx, c.callRequester, "/kv/list", struct{ Prefix string }{prefix}, &out, "")
	return out.Entries, out.StoreRevision, err
}

// CompareAndSwap implements Store.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte) (bool, uint64, error) {
	if len(value) > MaxValueBytes {
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
	err := c.call(ctx, c.callRequester, "/kv/cas", in, &out, key)
	var tooLarge *TooLargeError
	if errors.As(err, &tooLarge) {
		tooLarge.Size = len(value)
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
	err := c.call(ctx, c.callRequester, "/kv/delete", in, &out, key)
	return out.Swapped, err
}

// Watch implements Store. It waits for maxWatchWait at most.
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
	err := c.call(ctx, c.watchRequester, "/kv/watch", in, &out, "")
	return out, err
}

// Hosts implements Store.
func (c *Client) Hosts(ctx context.Context) (HostList, error) {
	var out HostList
	err := c.call(ctx, c.callRequester, "/hosts/list", struct{}{}, &out, "")
	return out, err
}

// call sends in to path and decodes the answer into out. writtenKey is the key that the call
// writes, empty for a read. If the answer to a read is lost, the error is an
// *UnavailableError: a read changes nothing, so its outcome does not matter.
func (c *Client) call(ctx context.Context, r *requester.Requester, path string, in, out any, writtenKey string) error {
	a, err := r.Post(ctx, path, in)
	if err != nil {
		var re *requester.Error
		if writtenKey != "" && errors.As(err, &re) && re.Sent {
			return &UnknownOutcomeError{Key: writtenKey, Reason: err.Error()}
		}
		return &UnavailableError{Address: r.Address(), Reason: err.Error()}
	}
	switch a.Status {
	case http.StatusOK:
	case http.StatusServiceUnavailable:
		return &UnavailableError{Address: r.Address(), Reason: fmt.Sprintf("%s was refused with status %d", path, a.Status)}
	case http.StatusTooManyRequests:
		if a.RetryAfter == 0 {
			a.RetryAfter = defaultRetryAfter
		}
		return &RateLimitedError{RetryAfter: a.RetryAfter}
	case http.StatusRequestEntityTooLarge:
		return &TooLargeError{Key: writtenKey}
	default:
		return c.ambiguousAnswer(r, writtenKey, fmt.Sprintf("%s was answered with unexpected status %d", path, a.Status))
	}
	if err := json.Unmarshal(a.Body, out); err != nil {
		return c.ambiguousAnswer(r, writtenKey, fmt.Sprintf("answer to %s cannot be decoded: %v", path, err))
	}
	return nil
}

// ambiguousAnswer returns the error for an answer that does not say whether the call took
// effect.
func (c *Client) ambiguousAnswer(r *requester.Requester, writtenKey, reason string) error {
	if writtenKey != "" {
		return &UnknownOutcomeError{Key: writtenKey, Reason: reason}
	}
	return &UnavailableError{Address: r.Address(), Reason: reason}
}
