package publisher

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	"peridotpitch/internal/configurator"
)

// Guards against a refused submission that reports the wrong reason or writes to the store.
func TestApplyRefusals(t *testing.T) {
	simulate(t, func(ctx context.Context, is *is.I) {
		s := newFakeStore()
		p := NewPublisher(s, keys, "writer", time.Now)
		first, err := p.Apply(ctx, submission(1, "first"))
		is.NoErr(err)
		is.Equal(first.Record.Generation, uint64(1))
		revision := s.revision

		unsigned, altered, unknown, otherKey, invalid, mismatch := submission(2, "x"), submission(2, "x"), submission(2, "x"), submission(2, "x"), submission(2, "x"), submission(2, "x")
		unsigned.Signature = nil
		altered.Text = strings.Replace(altered.Text, "Firm = x", "Firm = y", 1)
		unknown.Key = "eve"
		otherKey.Key = "ben" // signed by ana
		invalid.Text = strings.Replace(invalid.Text, "Region", "Place", 1)
		invalid.Signature = configurator.Sign([]byte(invalid.Text), ana)
		mismatch.Replaces = 7
		for _, c := range []struct {
			s    Submission
			want configurator.RefusalReason
		}{
			{unsigned, configurator.RefusedUnsigned},
			{altered, configurator.RefusedWrongSignature},
			{unknown, configurator.RefusedUnknownKey},
			{otherKey, configurator.RefusedWrongSignature},
			{invalid, configurator.RefusedInvalid},
			{mismatch, configurator.RefusedStale},
			{submission(3, "ahead"), configurator.RefusedStale},
		} {
			_, err := p.Apply(ctx, c.s)
			var refused *configurator.RefusedError
			is.True(errors.As(err, &refused))
			is.Equal(refused.Reason, c.want)
			is.Equal(s.revision, revision) // nothing written
		}
		again, err := p.Apply(ctx, submission(1, "first"))
		is.NoErr(err)
		is.True(again.AlreadyInEffect)
		s.set(func(s *fakeStore) { s.unavailable = true })
		_, err = p.Apply(ctx, submission(2, "second"))
		var unchanged *NotAppliedError
		is.True(errors.As(err, &unchanged))
	})
}

// Guards against two concurrent submissions of one generation that both succeed, and
// against an error that does not name the operator and the text that took effect.
func TestApplyRace(t *testing.T) {
	simulate(t, func(ctx context.Context, is *is.I) {
		s := newFakeStore()
		a, b := NewPublisher(s, keys, "writer-a", time.Now), NewPublisher(s, keys, "writer-b", time.Now)
		results := make(chan error, 2)
		go func() { _, err := a.Apply(ctx, submission(1, "ana at desk")); results <- err }()
		go func() { _, err := b.Apply(ctx, submission(1, "ben at desk")); results <- err }()
		var lost *LostRaceError
		for range 2 {
			if err := <-results; err != nil {
				is.True(lost == nil && errors.As(err, &lost)) // exactly one submission loses the race
			}
		}
		is.True(lost != nil)
		other := map[string]string{"ana at desk": "ben at desk", "ben at desk": "ana at desk"}
		is.Equal(lost.Diff, fmt.Sprintf("~ [Configuration] Firm = %s -> %s\n", other[lost.AppliedBy], lost.AppliedBy))
	})
}

// Guards against reporting a write whose answer was lost as failed or successful without
// reading it back, also if the write takes effect late or was already replaced.
func TestApplyLostAnswer(t *testing.T) {
	for _, w := range []answerLoss{lostAfterWrite, lostWithoutWrite, lostBeforeLateWrite} {
		t.Run(string(w), func(t *testing.T) {
			simulate(t, func(ctx context.Context, is *is.I) {
				s := newFakeStore()
				lose := true
				s.loseAnswer = func(key string) answerLoss {
					if key != CurrentKey || !lose {
						return ""
					}
					lose = false
					return w
				}
				applied, err := NewPublisher(s, keys, "writer", time.Now).Apply(ctx, submission(1, "first"))
				is.NoErr(err)
				time.Sleep(2 * time.Second)
				e, err := s.Get(ctx, CurrentKey)
				is.NoErr(err)
				var r configurator.Record
				is.NoErr(json.Unmarshal(e.Value, &r))
				is.Equal(r.Sequence, applied.Record.Sequence)
			})
		})
	}
	t.Run("replaced meanwhile", func(t *testing.T) {
		simulate(t, func(ctx context.Context, is *is.I) {
			s := newFakeStore()
			other := NewPublisher(s, keys, "other", time.Now)
			s.loseAnswer = func(key string) answerLoss {
				if key != CurrentKey {
					return ""
				}
				s.loseAnswer = func(string) answerLoss { return "" }
				go func() { _, _ = other.Apply(ctx, submission(2, "second")) }()
				return lostAfterWrite
			}
			_, err := NewPublisher(s, keys, "writer", time.Now).Apply(ctx, submission(1, "first"))
			is.NoErr(err) // the history record shows that the text was in effect
		})
	})
	t.Run("store becomes unavailable", func(t *testing.T) {
		simulate(t, func(ctx context.Context, is *is.I) {
			s := newFakeStore()
			s.loseAnswer = func(string) answerLoss { s.unavailable = true; return lostAfterWrite }
			_, err := NewPublisher(s, keys, "writer", time.Now).Apply(ctx, submission(1, "first"))
			var unknown *UnknownOutcomeError
			is.True(errors.As(err, &unknown))
		})
	})
}

// Guards against a history that grows beyond MaxHistoryRecords, has gaps, or is not ordered
// from the newest record to the oldest.
func TestHistory(t *testing.T) {
	simulate(t, func(ctx context.Context, is *is.I) {
		s := newFakeStore()
		p := NewPublisher(s, keys, "writer", time.Now)
		for g := uint64(1); g <= MaxHistoryRecords+20; g++ {
			s.set(func(s *fakeStore) { s.unavailable = false })
			_, err := p.Apply(ctx, submission(g, "firm"))
			is.NoErr(err)
		}
		is.Equal(len(s.entries), MaxHistoryRecords+1) // the history and config/current
		rs, err := p.History(ctx, MaxHistoryRecords)
		is.NoErr(err)
		is.Equal(len(rs), MaxHistoryRecords)
		for i, r := range rs {
			is.Equal(r.Generation, uint64(MaxHistoryRecords+20-i))
			is.Equal(r.Text != "", i < HistoryRecordsWithText)
		}
	})
}

type applyInput struct {
	replaces uint64
	operator string // operator of an application; empty for a read
}

type applyOutput struct {
	known      bool
	applied    bool
	generation uint64 // generation in effect, from the LostRaceError or the read
	winner     string
}

// registerState is the configuration in effect.
type registerState struct {
	generation uint64
	operator   string
}

// applyModel is a register with compare-and-swap on the generation. An application with
// an unknown outcome may or may not take effect.
var applyModel = porcupine.Model{
	Init: func() any { return registerState{} },
	Step: func(state, input, output any) (bool, any) {
		st, in, out := state.(registerState), input.(applyInput), output.(applyOutput)
		next := registerState{in.replaces + 1, in.operator}
		switch {
		case in.operator != "" && !out.known:
			if st.generation == in.replaces {
				return true, next
			}
			return true, st
		case out.applied:
			return st.generation == in.replaces, next
		}
		return st == registerState{out.generation, out.winner}, st
	},
}

// Guards against results of concurrent applications that are not linearizable: two
// operators succeed with the same generation, an error names an operator whose text never
// took effect, or a lost answer is reported with the wrong outcome.
func TestApplyLinearizable(t *testing.T) {
	for n := range uint64(20) {
		simulate(t, func(ctx context.Context, is *is.I) {
			random := rand.New(rand.NewPCG(n, 2))
			s := newFakeStore()
			s.delay = func() time.Duration { return time.Duration(random.Int64N(int64(300 * time.Millisecond))) }
			s.loseAnswer = func(string) answerLoss {
				return []answerLoss{"", "", "", lostAfterWrite, lostWithoutWrite, lostBeforeLateWrite}[random.IntN(6)]
			}
			var clock atomic.Int64
			var mu sync.Mutex
			var history []porcupine.Operation
			var operators sync.WaitGroup
			for k := range 4 {
				operators.Go(func() {
					p := NewPublisher(s, keys, fmt.Sprint("writer-", k), time.Now)
					for i := range 5 {
						var replaces uint64
						if b, err := readCurrent(ctx, s, keys); err == nil {
							replaces = b.record.Generation
						}
						operator := fmt.Sprintf("%d at %d", k, i)
						call := clock.Add(1)
						_, err := p.Apply(ctx, submission(replaces+1, operator))
						end := clock.Add(1)
						var lost *LostRaceError
						var refused *configurator.RefusedError
						var unchanged *NotAppliedError
						out := applyOutput{known: true, applied: err == nil}
						switch {
						case errors.As(err, &lost):
							out.generation, out.winner = lost.Generation, lost.AppliedBy
						case errors.As(err, &refused) || errors.As(err, &unchanged):
							continue // no effect, and no generation in effect to check
						case err != nil:
							out.known, end = false, int64(1)<<40 // may take effect at any later time
						}
						mu.Lock()
						history = append(history, porcupine.Operation{ClientId: k, Input: applyInput{replaces, operator}, Call: call, Output: out, Return: end})
						mu.Unlock()
					}
				})
			}
			operators.Wait()
			time.Sleep(2 * time.Second) // writes that take effect late
			s.set(func(s *fakeStore) { s.delay = func() time.Duration { return 0 } })
			b, err := readCurrent(ctx, s, keys)
			is.NoErr(err)
			history = append(history, porcupine.Operation{ClientId: 4, Input: applyInput{}, Call: clock.Add(1),
				Output: applyOutput{known: true, generation: b.record.Generation, winner: b.record.AppliedBy}, Return: clock.Add(1)})
			if !porcupine.CheckOperations(applyModel, history) {
				t.Errorf("seed %d: history of %d operations is not linearizable", n, len(history))
			}
			is.True(len(history) > 5 && b.record.Generation > 1) // enough applications competed
		})
	}
}

func ExamplePublisher_Apply() {
	noon := func() time.Time { return time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC) }
	p := NewPublisher(newFakeStore(), keys, "sampaloc-1/process-1", noon)
	applied, err := p.Apply(context.Background(), submission(1, "ana"))
	fmt.Println(applied.Record.Generation, err)
	_, err = p.Apply(context.Background(), submission(1, "ben"))
	fmt.Println(err)
	// Output:
	// 1 <nil>
	// generation 1 was applied first by ana (key "ana") at 2026-12-03T12:00:00Z
}
