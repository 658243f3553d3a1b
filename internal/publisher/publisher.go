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

// HistoryLimit is the number of history records that are kept.
const HistoryLimit = 500

// HistoryTexts is the number of newest records that History returns with their text.
// All texts together can exceed 100 MB.
const HistoryTexts = 20

// pruneWindow is the number of generations beyond HistoryLimit that each application
// looks at, so that records which one application failed to delete go with a later one.
const pruneWindow = 10

// resolveAttempts bounds the attempts to learn the outcome of a lost answer, which
// start resolveDelay apart. Together they last about as long as an operator's request.
const (
	resolveAttempts = 6
	resolveDelay    = 500 * time.Millisecond
)

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
	// Diff is the difference from the replaced configuration.
	Diff string
}

// LostRaceError says that another submission of the same generation took effect first.
type LostRaceError struct {
	Generation uint64 // in effect
	AppliedBy  string
	Key        string // that signed the text in effect
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
	return fmt.Sprintf("it is unknown whether generation %d took effect; applying the same text again is safe: %v",
		e.Generation, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// NotAppliedError says that the submission did not take effect because the store could
// not be used.
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
// *LostRaceError and *NotAppliedError, after which nothing has changed, and
// *UnknownError.
func (p *Publisher) Apply(ctx context.Context, s Submission) (Applied, error) {
	c, err := configurator.VerifyText([]byte(s.Text), s.Signature, s.Key, p.keys)
	if err != nil {
		return Applied{}, err
	}
	if s.Replaces != c.Replaces {
		return Applied{}, &configurator.RefusedError{Reason: configurator.RefusedStale, Generation: c.Generation, Key: s.Key,
			Detail: fmt.Sprintf("the submission replaces generation %d, its text %d", s.Replaces, c.Replaces)}
	}
	before, err := readCurrent(ctx, p.store, p.keys)
	if err != nil {
		return Applied{}, &NotAppliedError{err}
	}
	if done, err := compare(before, s, c); err != nil {
		return Applied{}, err
	} else if done {
		return Applied{Record: before.record, AlreadyInEffect: true}, nil
	}
	w, err := p.newWrite(before, s, c)
	if err != nil {
		return Applied{}, err
	}
	// The replaced record goes into the history first. A missing history record of an
	// older generation therefore proves that it was never in effect, also if its writer
	// died right after the swap.
	if err := p.remember(ctx, before.record.Generation, before.value); err != nil {
		return Applied{}, &NotAppliedError{err}
	}
	var already *alreadyInEffect
	if err := p.swap(ctx, w); errors.As(err, &already) {
		return Applied{Record: already.record, AlreadyInEffect: true}, nil
	} else if err != nil {
		return Applied{}, err
	}
	// Failures here are repaired by the next application.
	_ = p.remember(ctx, w.record.Generation, w.value)
	p.prune(ctx, w.record.Generation)
	return Applied{Record: w.record, Diff: configurator.Diff(before.parsed, c)}, nil
}

// alreadyInEffect says that another host applied the same signed text meanwhile.
type alreadyInEffect struct{ record configurator.Record }

func (*alreadyInEffect) Error() string { return "the same text is already in effect" }

// compare reports whether s is already in effect, or why it may not replace b.
func compare(b current, s Submission, c *configurator.Configuration) (bool, error) {
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

// write is one compare-and-swap of CurrentKey.
type write struct {
	record     configurator.Record
	value      []byte
	expect     uint64
	submission Submission
	parsed     *configurator.Configuration
}

func (p *Publisher) newWrite(b current, s Submission, c *configurator.Configuration) (write, error) {
	r := configurator.Record{Generation: c.Generation, Text: s.Text, Signature: s.Signature, Key: s.Key,
		AppliedBy: s.AppliedBy, AppliedAt: p.now().UTC(), Writer: p.writer, Sequence: p.sequence.Add(1)}
	value, err := json.Marshal(r)
	if err != nil {
		return write{}, err
	}
	if len(value) > storer.MaxValueSize {
		return write{}, &configurator.RefusedError{Reason: configurator.RefusedTooLarge, Generation: c.Generation, Key: s.Key,
			Detail: fmt.Sprintf("the record has %d bytes, the store holds at most %d", len(value), storer.MaxValueSize)}
	}
	return write{r, value, b.revision, s, c}, nil
}

// swap writes w once, or finds out what became of it.
func (p *Publisher) swap(ctx context.Context, w write) error {
	swapped, err := p.compareAndSwap(ctx, CurrentKey, w.expect, w.value)
	switch {
	case err == nil && swapped:
		return nil
	case err == nil:
		return p.lost(ctx, w)
	case !mayHaveWritten(err):
		return &NotAppliedError{err}
	}
	return p.resolve(ctx, w, err)
}

// lost says which record took effect instead of w.
func (p *Publisher) lost(ctx context.Context, w write) error {
	b, err := readCurrent(ctx, p.store, p.keys)
	if err != nil {
		return &NotAppliedError{err}
	}
	done, err := compare(b, w.submission, w.parsed)
	if done {
		return &alreadyInEffect{b.record}
	}
	if err == nil {
		// Only an outside change of the store leaves the generation at a new revision.
		err = &NotAppliedError{&CorruptError{Key: CurrentKey, Revision: b.revision, Cause: errors.New("value was rewritten meanwhile")}}
	}
	return err
}

// resolve reads back until it knows whether w, whose answer was lost, took effect.
// While the revision is unchanged, w may still be on its way; then the same swap is
// sent again, which is safe because both expect the same revision and at most one of
// them takes effect.
func (p *Publisher) resolve(ctx context.Context, w write, cause error) error {
	for range resolveAttempts {
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
				return p.lost(ctx, w)
			}
			cause = err
		default:
			return p.lost(ctx, w)
		}
	}
	return &UnknownError{Generation: w.record.Generation, Cause: cause}
}

func (p *Publisher) inHistory(ctx context.Context, w write) (bool, error) {
	r, err := p.history(ctx, w.record.Generation)
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

// remember writes a history record unless it exists. A lost answer needs no read-back:
// every writer of this key writes the same value.
func (p *Publisher) remember(ctx context.Context, generation uint64, value []byte) error {
	if generation == 0 {
		return nil
	}
	_, err := p.compareAndSwap(ctx, historyKey(generation), 0, value)
	if err != nil && mayHaveWritten(err) {
		_, err = p.compareAndSwap(ctx, historyKey(generation), 0, value)
	}
	return err
}

// prune deletes the history records that are beyond HistoryLimit.
func (p *Publisher) prune(ctx context.Context, generation uint64) {
	for i := range uint64(pruneWindow) {
		if generation <= HistoryLimit+i {
			return
		}
		key := historyKey(generation - HistoryLimit - i)
		e, err := p.get(ctx, key)
		if err != nil {
			return
		}
		if e.Revision != 0 {
			_, _ = p.store.Delete(ctx, key, e.Revision)
		}
	}
}

// History returns the newest records first, at most limit of them. Records after the
// first HistoryTexts lack text and signature. A record that cannot be decoded is left
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
	for g := b.record.Generation; g > 1 && len(rs) < min(limit, HistoryLimit); g-- {
		r, err := p.history(ctx, g-1)
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
		if len(rs) >= HistoryTexts {
			r.Text, r.Signature = "", nil
		}
		rs = append(rs, r)
	}
	return rs, nil
}

// history returns a record with Generation 0 if there is none.
func (p *Publisher) history(ctx context.Context, generation uint64) (configurator.Record, error) {
	e, err := p.get(ctx, historyKey(generation))
	if err != nil || e.Revision == 0 {
		return configurator.Record{}, err
	}
	return decode(e)
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
