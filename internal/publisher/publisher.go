package publisher

import (
	"context"
	"fmt"
	"time"

	"peridotpitch/internal/configurator"
	"peridotpitch/internal/storer"
)

// CurrentKey is the store's key of the configuration in effect.
const CurrentKey = "config/current"

// HistoryPrefix precedes the generation, in decimal with leading zeros, in the store's
// keys of past and present records.
const HistoryPrefix = "config/history/"

// HistoryLimit is the number of history records that are kept.
const HistoryLimit = 500

// Submission is what an operator applies.
type Submission struct {
	Text      string
	Signature []byte
	Key       string // name of the signing key
	Replaces  uint64 // generation that the operator reviewed the change against
	AppliedBy string // operator, as shown to others
}

// Applied says that a submission is in effect.
type Applied struct {
	Record configurator.Record
	// AlreadyInEffect is set if the same signed text had been applied before.
	AlreadyInEffect bool
	Diff            string // against the replaced configuration
}

// LostRaceError says that another submission took effect first.
type LostRaceError struct {
	Generation uint64 // in effect
	AppliedBy  string
	Key        string
	AppliedAt  time.Time
	Diff       string // from the refused submission to the configuration in effect
}

func (e *LostRaceError) Error() string {
	return fmt.Sprintf("generation %d was applied first by %s (key %q) at %s",
		e.Generation, e.AppliedBy, e.Key, e.AppliedAt.UTC().Format(time.RFC3339))
}

// UnknownError says that the submission may or may not have taken effect.
type UnknownError struct {
	Generation uint64
	Cause      error
}

func (e *UnknownError) Error() string {
	return fmt.Sprintf("outcome of applying generation %d is unknown, read config show before applying again: %v",
		e.Generation, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// Publisher applies submissions. It is safe for concurrent use.
type Publisher struct {
	store  storer.Store
	keys   configurator.Keys
	writer string
	now    func() time.Time
}

// NewPublisher returns a publisher. writer identifies this process uniquely among all
// processes that ever write to the store.
func NewPublisher(store storer.Store, keys configurator.Keys, writer string, now func() time.Time) *Publisher {
	return &Publisher{store: store, keys: keys, writer: writer, now: now}
}

// Apply makes s the configuration in effect, or changes nothing and returns a
// *configurator.RefusedError, a *LostRaceError, a storer error or an *UnknownError.
func (p *Publisher) Apply(_ context.Context, _ Submission) (Applied, error) {
	return Applied{}, &UnknownError{}
}

// History returns the newest records first, at most limit of them.
func (p *Publisher) History(_ context.Context, _ int) ([]configurator.Record, error) {
	return nil, &storer.UnavailableError{}
}
