package coordinator

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"peridotpitch/internal/orchestrator"
	"peridotpitch/internal/storer"
	"peridotpitch/internal/timekeeper"
)

func (ld *leader) writeSoon() {
	select {
	case ld.urgent <- struct{}{}:
	default:
	}
}

// write brings the orchestrator's changes to the store, and head at least every
// headEvery.
func (ld *leader) write(ctx context.Context) {
	t := time.NewTimer(0)
	defer t.Stop()
	for ctx.Err() == nil {
		select {
		case <-ld.urgent:
		case <-t.C:
		case <-ctx.Done():
			return
		}
		pause := headEvery
		if !ld.writeBatch(ctx, false) {
			pause = writeRetry
		} else if ld.unwritten() {
			pause = collectFor
		}
		t.Reset(pause)
	}
}

// writeBatch writes the most urgent changes and reports whether that succeeded.
func (ld *leader) writeBatch(ctx context.Context, all bool) bool {
	ld.writeMu.Lock()
	defer ld.writeMu.Unlock()
	ld.mu.Lock()
	batch, _ := ld.o.NextBatch(batchLimit, all, timekeeper.Now())
	ld.mu.Unlock()
	tx, err := ld.transaction(batch)
	if err != nil {
		ld.c.log.Error("WriteFailed", "Cause", err.Error())
		return false
	}
	sent := timekeeper.Now()
	revision, err := ld.c.store.Commit(ctx, tx)
	ld.c.metrics.writes.Inc()
	var conflict *storer.ConflictError
	var unknown *storer.UnknownOutcomeError
	switch {
	case err == nil:
		ld.head = revision
		ld.confirmed(sent, batch)
		if len(batch.Entries) == batchLimit {
			ld.writeSoon()
		}
		return true
	case errors.As(err, &conflict):
		ld.settleConflict(conflict)
	case errors.As(err, &unknown):
		ld.settleUnknown(ctx, tx, batch)
	default:
		ld.c.log.Debug("WriteRefused", "Cause", err.Error())
	}
	return false
}

func (ld *leader) confirmed(sent time.Time, batch orchestrator.Batch) {
	ld.confirmedAt.Store(sent.UnixNano())
	ld.step(orchestrator.Confirmed{SentAt: sent})
	ld.step(orchestrator.Written{Batch: batch})
}

// unconfirmed returns how long ago the last write was sent that the store has taken.
func (ld *leader) unconfirmed() time.Duration {
	return timekeeper.Now().Sub(time.Unix(0, ld.confirmedAt.Load()))
}

// transaction returns the write of a batch. Its head is unique, so that the leader can
// tell afterwards whether it was executed.
func (ld *leader) transaction(batch orchestrator.Batch) (storer.Transaction, error) {
	head, err := msgpack.Marshal([]any{ld.c.process, timekeeper.Now().UnixNano()})
	if err != nil {
		return storer.Transaction{}, err
	}
	tx := storer.Transaction{
		Conditions: []storer.Condition{{Key: keyTerm, Revision: ld.term.Revision}, {Key: keyHead, Revision: ld.head}},
		Puts:       []storer.Entry{{Key: keyHead, Value: head}},
	}
	for _, e := range batch.Entries {
		key := prefixRecord + e.Record.ID
		if e.Delete {
			tx.Deletes = append(tx.Deletes, key)
			continue
		}
		value, err := orchestrator.EncodeRecord(e.Record)
		if err != nil {
			return storer.Transaction{}, err
		}
		tx.Puts = append(tx.Puts, storer.Entry{Key: key, Value: value})
		if e.Record.State.Final() {
			tx.Deletes = append(tx.Deletes, prefixJob+e.Record.ID, prefixCancel+e.Record.ID)
		}
	}
	if batch.Roster != nil {
		value, err := orchestrator.EncodeRoster(*batch.Roster)
		if err != nil {
			return storer.Transaction{}, err
		}
		tx.Puts = append(tx.Puts, storer.Entry{Key: keyRoster, Value: value})
	}
	if batch.Learnt != nil {
		value, err := orchestrator.EncodeExperience(*batch.Learnt)
		if err != nil {
			return storer.Transaction{}, err
		}
		tx.Puts = append(tx.Puts, storer.Entry{Key: keyLearnt, Value: value})
	}
	return tx, nil
}

// settleConflict finds out whether another host was elected. Otherwise an earlier write
// without an answer has been executed after all.
func (ld *leader) settleConflict(conflict *storer.ConflictError) {
	if r := conflict.Revision(keyTerm); r != ld.term.Revision {
		ld.c.log.Warn("StepDown", "Epoch", ld.term.Revision, "Reason", errDeposed.Error(), "Found", r)
		ld.cancel()
		return
	}
	ld.head = conflict.Revision(keyHead)
}

// settleUnknown reads head back. If the write was executed, so was its batch. If not, it
// can only be executed while head stays as it is, so that the next write settles it.
func (ld *leader) settleUnknown(ctx context.Context, tx storer.Transaction, batch orchestrator.Batch) {
	sent := timekeeper.Now()
	entries, _, err := ld.list(ctx, prefixLead)
	if err != nil {
		return
	}
	for _, e := range entries {
		if e.Key == keyTerm && e.Revision != ld.term.Revision {
			ld.c.log.Warn("StepDown", "Epoch", ld.term.Revision, "Reason", errDeposed.Error(), "Found", e.Revision)
			ld.cancel()
			return
		}
	}
	for _, e := range entries {
		if e.Key == keyHead && bytes.Equal(e.Value, tx.Puts[0].Value) {
			ld.head = e.Revision
			ld.confirmed(sent, batch)
		}
	}
}

// stepAside hands the leadership over to a host with more processors, once.
func (ld *leader) stepAside(host string) {
	ld.mu.Lock()
	first := ld.loaded && !ld.aside && ld.o.KnowsRuns()
	ld.aside = ld.aside || first
	ld.mu.Unlock()
	if !first {
		return
	}
	ld.c.log.Info("StepAside", "Epoch", ld.term.Revision, "For", host, "Reason", "it has more processors")
	go ld.handOver(context.Background(), host)
}

// handOver stops all orders, writes every record and gives the leadership up, to a
// preferred host if one is named.
func (ld *leader) handOver(ctx context.Context, preferred string) {
	ld.step(orchestrator.HandOver{})
	ld.mu.Lock()
	clean := ld.loaded && ld.o.KnowsRuns()
	ld.handing = true
	for _, k := range ld.lookers {
		k.cancel()
	}
	ld.mu.Unlock()
	deadline := timekeeper.Now().Add(handOverTimeout)
	for clean && ld.unwritten() {
		if ld.writeBatch(ctx, true) {
			continue
		}
		clean = timekeeper.Now().Before(deadline) && ctx.Err() == nil
		sleep(ctx, writeRetry)
	}
	ld.vacate(ctx, clean, preferred)
	ld.cancel()
	<-ld.ended
}

// handOverTimeout bounds the writes of a leader that leaves.
const handOverTimeout = 1500 * time.Millisecond

func (ld *leader) unwritten() bool {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	return ld.o.Unwritten()
}

// vacate writes a term that names no leader.
func (ld *leader) vacate(ctx context.Context, clean bool, preferred string) {
	value, err := msgpack.Marshal(&term{HandedOff: clean, Preferred: preferred, Share: ld.term.Share})
	if err != nil {
		ld.c.log.Error("HandOverFailed", "Cause", err.Error())
		return
	}
	revision, err := ld.c.store.Commit(ctx, storer.Transaction{
		Conditions: []storer.Condition{{Key: keyTerm, Revision: ld.term.Revision}},
		Puts:       []storer.Entry{{Key: keyTerm, Value: value}},
	})
	if err != nil {
		ld.c.log.Warn("HandOverFailed", "Epoch", ld.term.Revision, "Cause", err.Error())
		return
	}
	ld.c.log.Info("HandedOver", "Epoch", ld.term.Revision, "Clean", clean, "Revision", revision)
}
