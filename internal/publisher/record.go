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

// HistoryPrefix is the prefix of the store's keys for the records that are or were in
// effect. The generation follows it in decimal.
const HistoryPrefix = "config/history/"

// callTimeout is the timeout of a store call other than a watch, and of a fetch from a
// peer. Two reads and the delay between them fit into the 7 s within which a
// configuration takes effect.
const callTimeout = 1500 * time.Millisecond

// CorruptError reports that a value in the store is not a record that this host accepts.
// The value is left unchanged so that an operator can repair it.
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

// decodeRecord decodes a record. It does not verify the signature.
func decodeRecord(e storer.Entry) (configurator.Record, error) {
	var r configurator.Record
	if err := json.Unmarshal(e.Value, &r); err != nil {
		return r, &CorruptError{Key: e.Key, Revision: e.Revision, Cause: err}
	}
	return r, nil
}

// current is what the store holds at CurrentKey.
type current struct {
	record   configurator.Record // zero if no configuration was applied yet
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
	r, err := decodeRecord(e)
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
