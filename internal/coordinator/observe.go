package coordinator

import (
	"context"
	"time"

	"peridotpitch/internal/storer"
)

// observedStore tells the outcome of each call to the store.
type observedStore struct {
	storer.Database
	answered func(err error)
}

func (s observedStore) Get(ctx context.Context, key string) (storer.Entry, error) {
	e, err := s.Database.Get(ctx, key)
	s.answered(err)
	return e, err
}

func (s observedStore) List(ctx context.Context, prefix string) ([]storer.Entry, uint64, error) {
	es, revision, err := s.Database.List(ctx, prefix)
	s.answered(err)
	return es, revision, err
}

func (s observedStore) Commit(ctx context.Context, t storer.Transaction) (uint64, error) {
	revision, err := s.Database.Commit(ctx, t)
	s.answered(err)
	return revision, err
}

func (s observedStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (storer.Events, error) {
	es, err := s.Database.Watch(ctx, prefix, after, wait)
	s.answered(err)
	return es, err
}
