package coordinator

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpitch/internal/orchestrator"
	"peridotpitch/internal/storer"
)

// writtenStore counts transactions and confirms them at once.
type writtenStore struct {
	storer.TransactionalStore
	writes *atomic.Int64
}

func (s writtenStore) Commit(context.Context, storer.Transaction) (uint64, error) {
	return uint64(s.writes.Add(1)), nil
}

// Guards against a leader that writes once for each job that ends: all hosts share the store's
// limit of 400 writes a second. TestStoreCallsAreBounded saw 25 writes of the leader in 1.3 s.
func TestUrgentWritesArePaced(t *testing.T) {
	is := is.New(t)
	store := writtenStore{writes: new(atomic.Int64)}
	ld, _ := newTestLeadership(store)
	ld.apply(orchestrator.Inherited{})
	ctx, cancel := context.WithTimeout(context.Background(), 900*time.Millisecond)
	defer cancel()
	go func() {
		for ctx.Err() == nil {
			ld.wakeWriter()
			time.Sleep(5 * time.Millisecond)
		}
	}()
	time.AfterFunc(30*time.Millisecond, func() { is.True(store.writes.Load() >= 2) }) // nobody waits for the first ones
	ld.runWriter(ctx)
	is.True(store.writes.Load() <= maxUrgentWrites+12)
}
