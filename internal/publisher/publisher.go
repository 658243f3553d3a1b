package publisher

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"peridotpitch/internal/configurator"
	"peridotpitch/internal/storer"
)

// MaxHistoryRecords is the number of history records that are kept.
const MaxHistoryRecords = 500

// HistoryRecordsWithText is the number of newest records that History returns with their
// text. The texts of all records together can exceed 100 MB.
const HistoryRecordsWithText = 20

// pruneGenerations is the number of generations beyond MaxHistoryRecords whose records each
// application tries to delete. It is above 1, so that a later application deletes the records
// that an earlier one failed to delete.
const pruneGenerations = 10

// Attempts to determine whether a write whose answer was lost took effect. All attempts
// together last about as long as an operator's request may take.
const (
	maxResolveAttempts = 6
	resolveDelay       = 500 * time.Millisecond // before each attempt
)

// Submission is a signed configuration text that an operator applies.
type Submission struct {
	Text      string
	Signature []byte
	Key       string // name of the signing key
	Replaces  uint64 // generation that the operator compared the text with
	AppliedBy string // operator, as shown to other operators
}

// ApplyResult is the result of a submission that is in effect.
type ApplyResult struct {
	Record configurator.Record
	// AlreadyInEffect is set if the same signed text had been applied before.
	AlreadyInEffect bool
	// Diff is the difference from the replaced configuration.
	Diff string
}

// LostRaceError reports that another submission of the same generation took effect first.
type LostRaceError struct {
	Generation uint64 // in effect
	AppliedBy  string
	Key        string // name of the key that signed the text in effect
	AppliedAt  time.Time
	Diff       string // from the refused submission to the configuration in effect
}

func (e *LostRaceError) Error() string {
	return fmt.Sprintf("generation %d was applied first by %s (key %q) at %s",
		e.Generation, e.AppliedBy, e.Key, e.AppliedAt.UTC().Format(time.RFC3339))
}

// UnknownOutcomeError reports that the submission may or may not have taken effect.
type UnknownOutcomeError struct {
	Generation uint64
	Cause      error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("it is unknown whether generation %d took effect; applying the same text again is safe: %v",
		e.Generation, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// NotAppliedError reports that the submission did not take effect because a call to
// the store failed or the store holds a value that is not a valid record.
type NotAppliedError struct{ Cause error }

func (e *NotAppliedError) Error() string {
	return fmt.Sprintf("not applied, the configuration is unchanged: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *NotAppliedError) Unwrap() error { return e.Cause }

// Publisher applies submissions. It is safe for concurrent use.
type Publisher struct {
	store    storer.Store
	keys     configurator.Keys
	writer   string
	now      func() time.Time
	sequence atomic.Uint64
}

// NewPublisher returns a publisher. writer identifies this process uniquely among all
// processes that ever write to the store.
func NewPublisher(store storer.Store, keys configurator.Keys, writer string, now func() time.Time) *Publisher {
	return &Publisher{store: store, keys: keys, writer: writer, now: now}
}

// Apply makes s the configuration in effect. Its errors are *configurator.RefusedError,
// *LostRaceError and *NotAppliedError, which leave the configuration unchanged, and
// *UnknownOutcomeError.
func (p *Publisher) Apply(ctx context.Context, s Submission) (ApplyResult, error) {
	c, err := configurator.VerifyText([]byte(s.Text), s.Signature, s.Key, p.keys)
	if err != nil {
		return ApplyResult{}, err
	}
	if s.Replaces != c.Replaces {
		return ApplyResult{}, &configurator.RefusedError{Reason: configurator.RefusedStale, Generation: c.Generation, Key: s.Key,
			Detail: fmt.Sprintf("the submission replaces generation %d, its text %d", s.Replaces, c.Replaces)}
	}
	before, err := readCurrent(ctx, p.store, p.keys)
	if err != nil {
		return ApplyResult{}, &NotAppliedError{err}
	}
	if done, err := checkReplaces(before, s, c); err != nil {
		return ApplyResult{}, err
	} else if done {
		return ApplyResult{Record: before.record, AlreadyInEffect: true}, nil
	}
	w, err := p.newWrite(before, s, c)
	if err != nil {
		return ApplyResult{}, err
	}
	// The replaced record is written to the history first. A generation older than the
	// current one without a history record was therefore never in effect, even if its
	// writer crashed right after the swap.
	if err := p.writeHistory(ctx, before.record.Generation, before.value); err != nil {
		return ApplyResult{}, &NotAppliedError{err}
	}
	var already *alreadyInEffectError
	if err := p.swap(ctx, w); errors.As(err, &already) {
		return ApplyResult{Record: already.record, AlreadyInEffect: true}, nil
	} else if err != nil {
		return ApplyResult{}, err
	}
	// If these calls fail, the next application repeats them.
	_ = p.writeHistory(ctx, w.record.Generation, w.value)
	p.prune(ctx, w.record.Generation)
	return ApplyResult{Record: w.record, Diff: configurator.Diff(before.parsed, c)}, nil
}

// alreadyInEffectError reports that another host applied the same signed text in the
// meantime.
type alreadyInEffectError struct{ record configurator.Record }

func (*alreadyInEffectError) Error() string { return "the same text is already in effect" }

// checkReplaces reports whether s is already in effect. It returns an error if s may not
// replace b.
func checkReplaces(b current, s Submission, c *configurator.Configuration) (bool, error) {
	switch {
	case b.record.Text == s.Text && bytes.Equal(b.record.Signature, s.Signature):
		return true, nil
	case b.record.Generation == c.Replaces:
		return false, nil
	case b.record.Generation == c.Generation:
		return false, &LostRaceError{Generation: b.record.Generation, AppliedBy: b.record.AppliedBy, Key: b.record.Key,
			AppliedAt: b.record.AppliedAt, Diff: configurator.Diff(c, b.parsed)}
	}
	detail := fmt.Sprintf("the text replaces generation %d, but generation %d is in effect", c.Replaces, b.record.Generation)
	if b.record.AppliedBy != "" {
		detail += fmt.Sprintf(", applied by %s (key %q)", b.record.AppliedBy, b.record.Key)
	}
	return false, &configurator.RefusedError{Reason: configurator.RefusedStale, Generation: c.Generation,
		CurrentGeneration: b.record.Generation, Key: s.Key, Detail: detail}
}

// swapWrite is one compare-and-swap of CurrentKey.
type swapWrite struct {
	record     configurator.Record
	value      []byte
	expect     uint64 // revision that the swap replaces
	submission Submission
	parsed     *configurator.Configuration
}

func (p *Publisher) newWrite(b current, s Submission, c *configurator.Configuration) (swapWrite, error) {
	r := configurator.Record{Generation: c.Generation, Text: s.Text, Signature: s.Signature, Key: s.Key,
		AppliedBy: s.AppliedBy, AppliedAt: p.now().UTC(), Writer: p.writer, Sequence: p.sequence.Add(1)}
	value, err := json.Marshal(r)
	if err != nil {
		return swapWrite{}, err
	}
	if len(value) > storer.MaxValueBytes {
		return swapWrite{}, &configurator.RefusedError{Reason: configurator.RefusedTooLarge, Generation: c.Generation, Key: s.Key,
			Detail: fmt.Sprintf("the record has %d bytes, the store holds at most %d", len(value), storer.MaxValueBytes)}
	}
	return swapWrite{r, value, b.revision, s, c}, nil
}

// swap writes w. If the answer is lost, it determines whether the write took effect.
func (p *Publisher) swap(ctx context.Context, w swapWrite) error {
	swapped, err := p.compareAndSwap(ctx, CurrentKey, w.expect, w.value)
	switch {
	case err == nil && swapped:
		return nil
	case err == nil:
		return p.swapRefused(ctx, w)
	case !mayHaveWritten(err):
		return &NotAppliedError{err}
	}
	return p.resolveOutcome(ctx, w, err)
}

// swapRefused returns an error that describes the record that took effect instead of w.
func (p *Publisher) swapRefused(ctx context.Context, w swapWrite) error {
	b, err := readCurrent(ctx, p.store, p.keys)
	if err != nil {
		return &NotAppliedError{err}
	}
	done, err := checkReplaces(b, w.submission, w.parsed)
	if done {
		return &alreadyInEffectError{b.record}
	}
	if err == nil {
		// The generation is unchanged at a new revision. Only a writer other than an entry
		// host causes this.
		err = &NotAppliedError{&CorruptError{Key: CurrentKey, Revision: b.revision, Cause: errors.New("value was rewritten meanwhile")}}
	}
	return err
}

// resolveOutcome reads the store until it can tell whether w took effect although its answer
// was lost. While the revision is unchanged, w may still reach the store. The same swap is
// therefore sent again. This is safe, because both swaps expect the same revision and at most
// one of them takes effect.
func (p *Publisher) resolveOutcome(ctx context.Context, w swapWrite, cause error) error {
	for range maxResolveAttempts {
		if err := sleep(ctx, resolveDelay); err != nil {
			break
		}
		b, err := readCurrent(ctx, p.store, p.keys)
		switch {
		case err != nil:
			cause = err
		case b.record.Writer == w.record.Writer && b.record.Sequence == w.record.Sequence:
			return nil
		case b.revision == w.expect:
			swapped, err := p.compareAndSwap(ctx, CurrentKey, w.expect, w.value)
			if err == nil && swapped {
				return nil
			}
			if err != nil {
				cause = err
			}
		case b.record.Generation > w.record.Generation:
			wasInEffect, err := p.inHistory(ctx, w)
			if err == nil && wasInEffect {
				return nil
			}
			if err == nil {
				return p.swapRefused(ctx, w)
			}
			cause = err
		default:
			return p.swapRefused(ctx, w)
		}
	}
	return &UnknownOutcomeError{Generation: w.record.Generation, Cause: cause}
}

// inHistory reports whether the history holds the record of w, that is, whether w was in
// effect.
func (p *Publisher) inHistory(ctx context.Context, w swapWrite) (bool, error) {
	r, err := p.readHistory(ctx, w.record.Generation)
	return r.Writer == w.record.Writer && r.Sequence == w.record.Sequence, err
}

func (p *Publisher) compareAndSwap(ctx context.Context, key string, expect uint64, value []byte) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	swapped, _, err := p.store.CompareAndSwap(ctx, key, expect, value)
	return swapped, err
}

// mayHaveWritten reports whether a write that failed with err may have taken effect.
func mayHaveWritten(err error) bool {
	var unavailable *storer.UnavailableError
	var limited *storer.RateLimitedError
	var large *storer.TooLargeError
	return !errors.As(err, &unavailable) && !errors.As(err, &limited) && !errors.As(err, &large)
}

// writeHistory writes a history record unless one exists for the generation. If the answer is
// lost, the write is repeated without a read, because every writer of this key writes the same
// value.
func (p *Publisher) writeHistory(ctx context.Context, generation uint64, value []byte) error {
	if generation == 0 {
		return nil
	}
	_, err := p.compareAndSwap(ctx, historyKey(generation), 0, value)
	if err != nil && mayHaveWritten(err) {
		_, err = p.compareAndSwap(ctx, historyKey(generation), 0, value)
	}
	return err
}

// prune deletes history records beyond MaxHistoryRecords. It stops at the first failed read.
func (p *Publisher) prune(ctx context.Context, generation uint64) {
	for i := range uint64(pruneGenerations) {
		if generation <= MaxHistoryRecords+i {
			return
		}
		key := historyKey(generation - MaxHistoryRecords - i)
		e, err := p.get(ctx, key)
		if err != nil {
			return
		}
		if e.Revision != 0 {
			_, _ = p.store.Delete(ctx, key, e.Revision)
		}
	}
}

// History returns at most limit records, newest first. Records after the first
// HistoryRecordsWithText lack text and signature. A record that cannot be decoded is left
// out.
func (p *Publisher) History(ctx context.Context, limit int) ([]configurator.Record, error) {
	b, err := readCurrent(ctx, p.store, p.keys)
	if err != nil {
		return nil, err
	}
	var rs []configurator.Record
	if b.revision != 0 {
		rs = append(rs, b.record)
	}
	for g := b.record.Generation; g > 1 && len(rs) < min(limit, MaxHistoryRecords); g-- {
		r, err := p.readHistory(ctx, g-1)
		var corrupt *CorruptError
		if errors.As(err, &corrupt) {
			continue
		}
		if err != nil {
			return nil, err
		}
		if r.Generation == 0 {
			break
		}
		if len(rs) >= HistoryRecordsWithText {
			r.Text, r.Signature = "", nil
		}
		rs = append(rs, r)
	}
	return rs, nil
}

// readHistory returns the history record of a generation, a zero Record if there is none.
func (p *Publisher) readHistory(ctx context.Context, generation uint64) (configurator.Record, error) {
	e, err := p.get(ctx, historyKey(generation))
	if err != nil || e.Revision == 0 {
		return configurator.Record{}, err
	}
	return decodeRecord(e)
}

func (p *Publisher) get(ctx context.Context, key string) (storer.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return p.store.Get(ctx, key)
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
