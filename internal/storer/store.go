package storer

import (
	"context"
	"fmt"
	"net/netip"
	"time"
)

// MaxValueSize is the largest value the store holds, in bytes.
const MaxValueSize = 1 << 20

// Entry is one key of the store. Revision 0 means that the key does not exist.
type Entry struct {
	Key      string
	Value    []byte
	Revision uint64
	Deleted  bool // set in watch events
}

// Events is the answer to a watch.
type Events struct {
	Events        []Entry
	StoreRevision uint64
	Compacted     bool // events after the requested revision were dropped: list again
}

// HostState is a host's state in the platform's list.
type HostState string

// Host states.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is a host in the platform's list.
type Host struct {
	Name          string
	Address       string
	FailureDomain string
	State         HostState
}

// HostList is the platform's lagging list of hosts.
type HostList struct {
	Hosts []Host
	Age   time.Duration // how old the list is
}

// Store is the platform's key-value store and host list. Each call counts against the
// store's rates. Errors are *UnavailableError, *UnknownOutcomeError, *RateLimitedError
// and *TooLargeError.
type Store interface {
	// Get returns an entry with Revision 0 if the key does not exist.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose keys start with prefix, and the store's revision.
	List(ctx context.Context, prefix string) ([]Entry, uint64, error)
	// CompareAndSwap writes value if the key's revision is expect (0: the key must not
	// exist). It reports whether it wrote, and the key's new or current revision.
	CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte) (bool, uint64, error)
	// Delete removes the key if its revision is expect.
	Delete(ctx context.Context, key string, expect uint64) (bool, error)
	// Watch waits for changes under prefix after the given store revision.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Events, error)
	// Hosts returns the platform's list of hosts.
	Hosts(ctx context.Context) (HostList, error)
}

// UnavailableError says that the call did not take effect because the store refused
// it or could not be reached before the request was sent.
type UnavailableError struct {
	Address netip.AddrPort
	Reason  string
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("store %s is unavailable: %s", e.Address, e.Reason)
}

// UnknownOutcomeError says that a write was sent and its answer was lost: it may have
// taken effect.
type UnknownOutcomeError struct {
	Key    string
	Reason string
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome of the write to %q is unknown: %s", e.Key, e.Reason)
}

// RateLimitedError says that the store refused the call because of its rates. The
// call did not take effect.
type RateLimitedError struct {
	RetryAfter time.Duration
}

func (e *RateLimitedError) Error() string {
	return fmt.Sprintf("store refused the call over its rate, retry after %s", e.RetryAfter)
}

// TooLargeError says that a value is over MaxValueSize.
type TooLargeError struct {
	Key  string
	Size int // bytes
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("value of %q has %d bytes, the store holds at most %d", e.Key, e.Size, MaxValueSize)
}
