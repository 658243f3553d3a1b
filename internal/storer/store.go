package storer

import (
	"context"
	"fmt"
	"net/netip"
	"time"
)

// MaxValueBytes is the maximum size of a value in the store, in bytes.
const MaxValueBytes = 1 << 20

// Entry is one key and its value in the store. Revision 0 means that the key does not exist.
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
	Compacted     bool // the store no longer has all events after the requested revision: list again
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

// HostList is the platform's list of hosts. It may be out of date.
type HostList struct {
	Hosts []Host
	Age   time.Duration // time since the list was current
}

// Store is the platform's key-value store and host list. Each call counts against the
// store's rate limits. Errors are of type *UnavailableError, *UnknownOutcomeError,
// *RateLimitedError or *TooLargeError.
type Store interface {
	// Get returns an entry with Revision 0 if the key does not exist.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose keys start with prefix, and the store's revision.
	List(ctx context.Context, prefix string) ([]Entry, uint64, error)
	// CompareAndSwap writes value if the key's revision is expect (0: the key must not
	// exist). It reports whether the value was written, and the key's current revision.
	CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte) (bool, uint64, error)
	// Delete removes the key if its revision is expect.
	Delete(ctx context.Context, key string, expect uint64) (bool, error)
	// Watch returns the changes of keys that start with prefix after the given store
	// revision. It waits up to wait for the first one.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Events, error)
	// Hosts returns the platform's list of hosts.
	Hosts(ctx context.Context) (HostList, error)
}

// UnavailableError reports that the call did not take effect: the store refused it, or could
// not be reached before the request was sent, or the answer to a read was lost.
type UnavailableError struct {
	Address netip.AddrPort
	Reason  string
	// Incomplete means that a part of the answer has arrived, so that the store has served the call.
	Incomplete bool
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("store %s is unavailable: %s", e.Address, e.Reason)
}

// UnknownOutcomeError reports that a write was sent and that its answer was lost or not
// usable: the write may have taken effect.
type UnknownOutcomeError struct {
	Key    string
	Reason string
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome of the write to %q is unknown: %s", e.Key, e.Reason)
}

// RateLimitedError reports that the store refused the call because a rate limit was
// exceeded. The call did not take effect.
type RateLimitedError struct {
	RetryAfter time.Duration
}

func (e *RateLimitedError) Error() string {
	return fmt.Sprintf("store refused the call over its rate, retry after %s", e.RetryAfter)
}

// TooLargeError reports that a value is larger than MaxValueBytes.
type TooLargeError struct {
	Key  string
	Size int // bytes
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("value of %q has %d bytes, the store holds at most %d", e.Key, e.Size, MaxValueBytes)
}
