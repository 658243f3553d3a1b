package storer

import (
	"context"
	"fmt"
	"time"
)

// Condition is met while a key's last change has the revision. Revision 0 means that
// the key does not exist.
type Condition struct {
	Key      string
	Revision uint64
}

// Transaction writes several keys if all its conditions are met, and else none.
type Transaction struct {
	Conditions []Condition
	Puts       []Entry // Key and Value
	Deletes    []string
}

// ConflictError says that a condition of a transaction was not met. Entries are the
// conditions' keys as they are now; a key that does not exist has Revision 0.
type ConflictError struct{ Entries []Entry }

func (e *ConflictError) Error() string {
	return fmt.Sprintf("a condition of the transaction is not met; %d keys were compared", len(e.Entries))
}

// Revision returns a compared key's present revision.
func (e *ConflictError) Revision(key string) uint64 {
	for _, n := range e.Entries {
		if n.Key == key {
			return n.Revision
		}
	}
	return 0
}

// Database is a store with transactions. Its reads are linearizable. Errors are
// *UnavailableError, *UnknownOutcomeError, *RateLimitedError and, of Commit,
// *ConflictError.
type Database interface {
	// Get returns an entry with Revision 0 if the key does not exist.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose keys start with prefix, and the store's revision
	// before the first of them was read.
	List(ctx context.Context, prefix string) ([]Entry, uint64, error)
	// Commit executes a transaction and returns its revision. After an
	// *UnknownOutcomeError it may have been executed, or may be executed later while its
	// conditions are met.
	Commit(ctx context.Context, t Transaction) (uint64, error)
	// Watch waits for changes under prefix after the given store revision.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Events, error)
}
