package publisher

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"peridotpitch/internal/configurator"
	"peridotpitch/internal/storer"
)

// CurrentKey is the store's key of the configuration in effect.
const CurrentKey = "config/current"

// HistoryPrefix precedes the generation, in decimal, in the store's keys of the records
// that are or were in effect.
const HistoryPrefix = "config/history/"

// callTimeout bounds a store call other than a watch, and a fetch from a peer. Reading
// twice with a pause between stays within the 7 s in which a configuration takes effect.
const callTimeout = 1500 * time.Millisecond

// CorruptError says that a value of the store is no record that this host accepts. It
// is left as it is for an operator to repair.
type CorruptError struct {
	Key      string
	Revision uint64
	Cause    error
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("store value %q at revision %d is refused and left unchanged: %v", e.Key, e.Revision, e.Cause)
}

// Unwrap returns the cause.
func (e *CorruptError) Unwrap() error { return e.Cause }

// decode reads a record. It does not verify the signature.
func decode(e storer.Entry) (configurator.Record, error) {
	var r configurator.Record
	if err := json.Unmarshal(e.Value, &r); err != nil {
		return r, &CorruptError{Key: e.Key, Revision: e.Revision, Cause: err}
	}
	return r, nil
}

// current is what the store holds at CurrentKey.
type current struct {
	record   configurator.Record // Generation 0: none yet
	parsed   *configurator.Configuration
	value    []byte
	revision uint64
}

// readCurrent reads and verifies the configuration in effect.
func readCurrent(ctx context.Context, s storer.Store, keys configurator.Keys) (current, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e, err := s.Get(ctx, CurrentKey)
	if err != nil || e.Revision == 0 {
		return current{}, err
	}
	r, err := decode(e)
	if err != nil {
		return current{}, err
	}
	c, err := configurator.NewAdopter(keys).Offer(r)
	if err != nil {
		return current{}, &CorruptError{Key: e.Key, Revision: e.Revision, Cause: err}
	}
	return current{record: r, parsed: c, value: e.Value, revision: e.Revision}, nil
}

func historyKey(generation uint64) string { return fmt.Sprintf("%s%d", HistoryPrefix, generation) }
