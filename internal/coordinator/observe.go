package coordinator

import (
	"context"
	"time"

	"peridotpitch/internal/storer"
)

// observedStore passes the result of each call to the store to onResult.
type observedStore struct {
	storer.Database
	onResult func(err error)
}

func (s observedStore) Get(ctx context.Context, key string) (storer.Entry, error) {
	e, err := s.Database.Get(ctx, key)
	s.onResult(err)
	return e, err
}

func (s observedStore) List(ctx context.Context, prefix string) ([]storer.Entry, uint64, error) {
	es, revision, err := s.Database.List(ctx, prefix)
	s.onResult(err)
	return es, revision, err
}

func (s observedStore) Commit(ctx context.Context, t storer.Transaction) (uint64, error) {
	revision, err := s.Database.Commit(ctx, t)
	s.onResult(err)
	return revision, err
}

func (s observedStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (storer.Events, error) {
	es, err := s.Database.Watch(ctx, prefix, after, wait)
	s.onResult(err)
	return es, err
}
