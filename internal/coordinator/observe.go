package coordinator

import (
	"context"
	"time"

	"peridotpitch/internal/storer"
)

// observedStore passes the error of each call to the store, or nil, to onResult. It leaves out
// calls that this host has cancelled, which say nothing about the store.
type observedStore struct {
	storer.TransactionalStore
	onResult func(err error)
}

func (s observedStore) observe(ctx context.Context, err error) {
	if err == nil || ctx.Err() == nil {
		s.onResult(err)
	}
}

func (s observedStore) Get(ctx context.Context, key string) (storer.Entry, error) {
	e, err := s.TransactionalStore.Get(ctx, key)
	s.observe(ctx, err)
	return e, err
}

func (s observedStore) List(ctx context.Context, prefix string) ([]storer.Entry, uint64, error) {
	es, revision, err := s.TransactionalStore.List(ctx, prefix)
	s.observe(ctx, err)
	return es, revision, err
}

func (s observedStore) Commit(ctx context.Context, t storer.Transaction) (uint64, error) {
	revision, err := s.TransactionalStore.Commit(ctx, t)
	s.observe(ctx, err)
	return revision, err
}

func (s observedStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (storer.Events, error) {
	es, err := s.TransactionalStore.Watch(ctx, prefix, after, wait)
	s.observe(ctx, err)
	return es, err
}
