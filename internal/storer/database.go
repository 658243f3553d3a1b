package storer

import (
	"context"
	"fmt"
	"time"
)

// Condition is met if Revision is the revision of the key's last change. Revision 0 means
// that the key does not exist.
type Condition struct {
	Key      string
	Revision uint64
}

// Transaction writes and deletes several keys if all its conditions are met, and otherwise
// none.
type Transaction struct {
	Conditions []Condition
	Puts       []Entry // only Key and Value are used
	Deletes    []string
}

// ConflictError reports that a condition of a transaction was not met. Entries are the
// current entries of the conditions' keys; a key that does not exist has Revision 0.
type ConflictError struct{ Entries []Entry }

func (e *ConflictError) Error() string {
	return fmt.Sprintf("a condition of the transaction is not met; %d keys were compared", len(e.Entries))
}

// Revision returns the current revision of a compared key, 0 if it does not exist.
func (e *ConflictError) Revision(key string) uint64 {
	for _, n := range e.Entries {
		if n.Key == key {
			return n.Revision
		}
	}
	return 0
}

// TransactionalStore is a key-value store with transactions. Its reads are linearizable. Errors are of
// type *UnavailableError, *UnknownOutcomeError, *RateLimitedError or, from Commit,
// *ConflictError.
type TransactionalStore interface {
	// Get returns an entry with Revision 0 if the key does not exist.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose keys start with prefix, and the store's revision
	// before the first of them was read.
	List(ctx context.Context, prefix string) ([]Entry, uint64, error)
	// Commit executes a transaction and returns its revision. After an
	// *UnknownOutcomeError the transaction may have been executed, or may still be executed
	// later if its conditions are met then.
	Commit(ctx context.Context, t Transaction) (uint64, error)
	// Watch returns the changes of keys that start with prefix after the given store
	// revision. It waits up to wait for the first one.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Events, error)
}
