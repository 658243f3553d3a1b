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

// Guards against a submission that is refused for the wrong reason or leaves a trace.
func TestApplyRefusals(t *testing.T) {
	simulate(t, func(ctx context.Context, is *is.I) {
		s := newFakeStore()
		p := NewPublisher(s, keys, "writer", time.Now)
		first, err := p.Apply(ctx, submission(1, "first"))
		is.NoErr(err)
		is.Equal(first.Record.Generation, uint64(1))
		revision := s.revision

		unsigned, altered, unknown, foreign, invalid, mismatch := submission(2, "x"), submission(2, "x"), submission(2, "x"), submission(2, "x"), submission(2, "x"), submission(2, "x")
		unsigned.Signature = nil
		altered.Text = strings.Replace(altered.Text, "Firm = x", "Firm = y", 1)
		unknown.Key = "eve"
		foreign.Key = "ben" // signed by ana
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
			{foreign, configurator.RefusedWrongSignature},
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
		s.set(func(s *fakeStore) { s.down = true })
		_, err = p.Apply(ctx, submission(2, "second"))
		var unchanged *NotAppliedError
		is.True(errors.As(err, &unchanged))
	})
}

// Guards against two winners of a race, and a loser who does not learn who won with
// which text.
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
				is.True(lost == nil && errors.As(err, &lost)) // exactly one loses
			}
		}
		is.True(lost != nil)
		other := map[string]string{"ana at desk": "ben at desk", "ben at desk": "ana at desk"}
		is.Equal(lost.Diff, fmt.Sprintf("~ [Configuration] Firm = %s -> %s\n", other[lost.AppliedBy], lost.AppliedBy))
	})
}

// Guards against a lost answer that is taken for a failure or a success without looking,
// also if the write takes effect late or was already replaced.
func TestApplyLostAnswer(t *testing.T) {
	for _, w := range []lostWay{lostAfterEffect, lostBeforeEffect, lostLate} {
		t.Run(string(w), func(t *testing.T) {
			simulate(t, func(ctx context.Context, is *is.I) {
				s := newFakeStore()
				lose := true
				s.loseAnswer = func(key string) lostWay {
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
			s.loseAnswer = func(key string) lostWay {
				if key != CurrentKey {
					return ""
				}
				s.loseAnswer = func(string) lostWay { return "" }
				go func() { _, _ = other.Apply(ctx, submission(2, "second")) }()
				return lostAfterEffect
			}
			_, err := NewPublisher(s, keys, "writer", time.Now).Apply(ctx, submission(1, "first"))
			is.NoErr(err) // it was in effect, its history record shows it
		})
	})
	t.Run("store gone", func(t *testing.T) {
		simulate(t, func(ctx context.Context, is *is.I) {
			s := newFakeStore()
			s.loseAnswer = func(string) lostWay { s.down = true; return lostAfterEffect }
			_, err := NewPublisher(s, keys, "writer", time.Now).Apply(ctx, submission(1, "first"))
			var unknown *UnknownError
			is.True(errors.As(err, &unknown))
		})
	})
}

// Guards against a history that grows without bound, has gaps, or is in another order.
func TestHistory(t *testing.T) {
	simulate(t, func(ctx context.Context, is *is.I) {
		s := newFakeStore()
		p := NewPublisher(s, keys, "writer", time.Now)
		for g := uint64(1); g <= HistoryLimit+20; g++ {
			s.set(func(s *fakeStore) { s.down = false })
			_, err := p.Apply(ctx, submission(g, "firm"))
			is.NoErr(err)
		}
		is.Equal(len(s.entries), HistoryLimit+1) // and config/current
		rs, err := p.History(ctx, HistoryLimit)
		is.NoErr(err)
		is.Equal(len(rs), HistoryLimit)
		for i, r := range rs {
			is.Equal(r.Generation, uint64(HistoryLimit+20-i))
			is.Equal(r.Text != "", i < HistoryTexts) // bounds memory
		}
	})
}

type applyInput struct {
	replaces uint64
	operator string // empty: read
}

type applyOutput struct {
	known      bool
	applied    bool
	generation uint64 // in effect, as told to the loser or the reader
	winner     string
}

type inEffect struct {
	generation uint64
	operator   string
}

// applyModel is one register with compare-and-swap on the generation. An application
// with an unknown outcome takes effect or not.
var applyModel = porcupine.Model{
	Init: func() any { return inEffect{} },
	Step: func(state, input, output any) (bool, any) {
		st, in, out := state.(inEffect), input.(applyInput), output.(applyOutput)
		next := inEffect{in.replaces + 1, in.operator}
		switch {
		case in.operator != "" && !out.known:
			if st.generation == in.replaces {
				return true, next
			}
			return true, st
		case out.applied:
			return st.generation == in.replaces, next
		}
		return st == inEffect{out.generation, out.winner}, st
	},
}

// Guards against histories of racing operators that no order of single applications
// explains: two winners of one generation, a loser told of a winner that never was in
// effect, or a lost answer reported the wrong way.
func TestApplyLinearizable(t *testing.T) {
	for n := range uint64(20) {
		simulate(t, func(ctx context.Context, is *is.I) {
			random := rand.New(rand.NewPCG(n, 2))
			s := newFakeStore()
			s.delay = func() time.Duration { return time.Duration(random.Int64N(int64(300 * time.Millisecond))) }
			s.loseAnswer = func(string) lostWay {
				return []lostWay{"", "", "", lostAfterEffect, lostBeforeEffect, lostLate}[random.IntN(6)]
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
							continue // no effect, and no claim about a winner
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
			time.Sleep(2 * time.Second) // late effects
			s.set(func(s *fakeStore) { s.delay = func() time.Duration { return 0 } })
			b, err := readCurrent(ctx, s, keys)
			is.NoErr(err)
			history = append(history, porcupine.Operation{ClientId: 4, Input: applyInput{}, Call: clock.Add(1),
				Output: applyOutput{known: true, generation: b.record.Generation, winner: b.record.AppliedBy}, Return: clock.Add(1)})
			if !porcupine.CheckOperations(applyModel, history) {
				t.Errorf("seed %d: history of %d operations is not linearizable", n, len(history))
			}
			is.True(len(history) > 5 && b.record.Generation > 1) // the race was exercised
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
