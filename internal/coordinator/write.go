package coordinator

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/time/rate"

	"peridotpitch/internal/orchestrator"
	"peridotpitch/internal/storer"
	"peridotpitch/internal/timekeeper"
)

// wakeWriter makes runWriter write without waiting for its timer.
func (ld *leadership) wakeWriter() {
	select {
	case ld.writeWakeup <- struct{}{}:
	default:
	}
}

// writeResult is the result of a write of the leader.
type writeResult string

const (
	writeConfirmed writeResult = "confirmed"
	writePartial   writeResult = "partial" // confirmed, and further changes are due that did not fit
	writeFailed    writeResult = "failed"
)

// runWriter writes the orchestrator's changes to the store, and head at least every
// headWriteInterval. All hosts share the store's limit of writes, so writes that callers wait for
// are paced as well: the first maxUrgentWrites are made at once, and further ones join the next
// write after writeBatchDelay. Only a write whose changes did not all fit is followed at once.
func (ld *leadership) runWriter(ctx context.Context) {
	t := time.NewTimer(0)
	defer t.Stop()
	urgent := rate.NewLimiter(rate.Every(writeBatchDelay), maxUrgentWrites)
	for ctx.Err() == nil {
		select {
		case <-ld.writeWakeup:
			now := timekeeper.Now()
			sleep(ctx, urgent.ReserveN(now, 1).DelayFrom(now))
		case <-t.C:
			urgent.AllowN(timekeeper.Now(), 1)
		case <-ctx.Done():
			return
		}
		result := ld.writeBatch(ctx, false)
		for result == writePartial && ctx.Err() == nil {
			result = ld.writeBatch(ctx, false)
		}
		pause := headWriteInterval
		if result == writeFailed {
			pause = writeRetryDelay
		} else if ld.unwritten() {
			pause = writeBatchDelay
		}
		t.Reset(pause)
	}
}

const (
	// writePace is the time for one write from which further ones are made at the same time. All hosts share the store's rate
	// of writes; a leader whose writes take longer makes no more of them in a second than one whose writes take this long.
	writePace = 20 * time.Millisecond
	// maxParallelWrites bounds the writes that follow one write of head at the same time.
	maxParallelWrites = 8
)

// parallelWrites returns how many further writes may follow a write of head at the same time if a write takes so long.
func parallelWrites(took time.Duration) int { return int(min(maxParallelWrites, took/writePace)) }

// writeBatch writes the most urgent changes. If all is set, they include changes that would otherwise wait for a later one.
//
// The first write rewrites head. If more changes are due and writes are slow, further writes with other jobs follow, all at the
// same time. They hold only while head is as the first write has left it: one of them that is executed late, after the next
// write of head, has no effect.
func (ld *leadership) writeBatch(ctx context.Context, all bool) writeResult {
	ld.writeMu.Lock()
	defer ld.writeMu.Unlock()
	ld.mu.Lock()
	batches := ld.orch.NextBatches(1+parallelWrites(ld.writeTime), maxBatchKeys, all, timekeeper.Now())
	ld.mu.Unlock()
	begin := timekeeper.Now()
	if !ld.commitHead(ctx, batches[0]) {
		return writeFailed
	}
	ld.writeTime = timekeeper.Now().Sub(begin)
	var failed atomic.Bool
	var group sync.WaitGroup
	for _, b := range batches[1:] {
		group.Go(func() {
			if !ld.commitBeside(ctx, b) {
				failed.Store(true)
			}
		})
	}
	group.Wait()
	switch {
	case failed.Load():
		return writeFailed
	case batches[len(batches)-1].More:
		return writePartial
	}
	return writeConfirmed
}

// commitHead writes a batch and head, and reports whether that was confirmed. ld.writeMu must be held.
func (ld *leadership) commitHead(ctx context.Context, batch orchestrator.Batch) bool {
	tx, err := ld.transaction(batch)
	if err == nil {
		err = ld.addHead(&tx)
	}
	if err != nil {
		ld.c.log.Error("WriteFailed", "Cause", err.Error())
		return false
	}
	sent := timekeeper.Now()
	revision, err := ld.commit(ctx, tx, batch)
	var conflict *storer.ConflictError
	var unknown *storer.UnknownOutcomeError
	switch {
	case err == nil:
		ld.headRevision = revision
		ld.recordConfirmedWrite(sent, revision, batch)
		return true
	case errors.As(err, &conflict):
		ld.resolveConflict(conflict)
	case errors.As(err, &unknown):
		ld.resolveUnknownOutcome(ctx, tx, batch)
	default:
		ld.c.log.Debug("WriteRefused", "Cause", err.Error())
	}
	return false
}

// commitBeside writes a batch without head, and reports whether that was confirmed. Without an answer its changes stay due:
// they are written again after the next write of head. ld.writeMu must be held.
func (ld *leadership) commitBeside(ctx context.Context, batch orchestrator.Batch) bool {
	tx, err := ld.transaction(batch)
	if err != nil {
		ld.c.log.Error("WriteFailed", "Cause", err.Error())
		return false
	}
	sent := timekeeper.Now()
	revision, err := ld.commit(ctx, tx, batch)
	var conflict *storer.ConflictError
	switch {
	case err == nil:
		ld.recordConfirmedWrite(sent, revision, batch)
		return true
	case errors.As(err, &conflict):
		if r := conflict.Revision(keyTerm); r != ld.term.Revision {
			ld.depose(errOtherHostElected.Error(), r)
		}
	default:
		ld.c.log.Debug("WriteRefused", "Cause", err.Error())
	}
	return false
}

// commit sends a transaction with a batch to the store and measures it.
func (ld *leadership) commit(ctx context.Context, tx storer.Transaction, batch orchestrator.Batch) (uint64, error) {
	sent := timekeeper.Now()
	revision, err := ld.c.store.Commit(ctx, tx)
	ld.c.metrics.leaderWrites.Inc()
	ld.writes.add(len(batch.Entries), timekeeper.Now().Sub(sent))
	return revision, err
}

// recordConfirmedWrite passes a write of this leader, of which the store has confirmed that no other leader was elected before it, to the
// orchestrator. revision is that of the write.
func (ld *leadership) recordConfirmedWrite(sent time.Time, revision uint64, batch orchestrator.Batch) {
	for last := ld.lastConfirmedSent.Load(); last < sent.UnixNano() && !ld.lastConfirmedSent.CompareAndSwap(last, sent.UnixNano()); {
		last = ld.lastConfirmedSent.Load()
	}
	ld.apply(orchestrator.Confirmed{SentAt: sent, Revision: revision})
	ld.apply(orchestrator.Written{Batch: batch})
	ld.notifyAcks()
}

// timeSinceConfirmedWrite returns the time since the last confirmed write was sent.
func (ld *leadership) timeSinceConfirmedWrite() time.Duration {
	return timekeeper.Now().Sub(time.Unix(0, ld.lastConfirmedSent.Load()))
}

// transaction returns the transaction that writes a batch while term and head are as this leader knows them.
func (ld *leadership) transaction(batch orchestrator.Batch) (storer.Transaction, error) {
	tx := storer.Transaction{Conditions: []storer.Condition{{Key: keyTerm, Revision: ld.term.Revision}, {Key: keyHead, Revision: ld.headRevision}}}
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
	if batch.Statistics != nil {
		value, err := orchestrator.EncodeWorkloadStatistics(*batch.Statistics)
		if err != nil {
			return storer.Transaction{}, err
		}
		tx.Puts = append(tx.Puts, storer.Entry{Key: keyWorkloadStatistics, Value: value})
	}
	return tx, nil
}

// addHead adds a new value of head to a transaction. It is unique, so that resolveUnknownOutcome can check whether the
// transaction was executed.
func (ld *leadership) addHead(tx *storer.Transaction) error {
	head, err := msgpack.Marshal([]any{ld.c.processID, timekeeper.Now().UnixNano()})
	if err != nil {
		return err
	}
	tx.Puts = append(tx.Puts, storer.Entry{Key: keyHead, Value: head})
	return nil
}

// resolveConflict ends the leadership if another host was elected. Otherwise an earlier
// write with an unknown outcome was executed, and its revision of head is adopted.
func (ld *leadership) resolveConflict(conflict *storer.ConflictError) {
	if r := conflict.Revision(keyTerm); r != ld.term.Revision {
		ld.depose(errOtherHostElected.Error(), r)
		return
	}
	ld.headRevision = conflict.Revision(keyHead)
}

// resolveUnknownOutcome reads head after a write with an unknown outcome. If head has the
// value of the write, the batch was stored. Otherwise the write may still be executed, but
// only while head is unchanged, so the result of the next write shows whether it was.
func (ld *leadership) resolveUnknownOutcome(ctx context.Context, tx storer.Transaction, batch orchestrator.Batch) {
	sent := timekeeper.Now()
	entries, _, err := ld.list(ctx, prefixLeader)
	if err != nil {
		return
	}
	for _, e := range entries {
		if e.Key == keyTerm && e.Revision != ld.term.Revision {
			ld.depose(errOtherHostElected.Error(), e.Revision)
			return
		}
	}
	for _, e := range entries {
		if e.Key == keyHead && bytes.Equal(e.Value, tx.Puts[len(tx.Puts)-1].Value) {
			ld.headRevision = e.Revision
			ld.recordConfirmedWrite(sent, e.Revision, batch)
		}
	}
}

// earlyYieldInterval is the shortest time between two early hand-overs of a host (see yieldTo), in case
// the stronger host can't win an election.
const earlyYieldInterval = 10 * time.Second

// yieldTo starts a hand-over to a host with a larger processor share, at most once in a term. If this
// leader has started nothing yet, its successor knows as much as it does, so that the hand-over need not
// wait for the answers of all workers.
func (ld *leadership) yieldTo(host string) {
	now := timekeeper.Now().UnixNano()
	ld.mu.Lock()
	early := !ld.startsSent && now-ld.c.yieldedEarlyAt.Load() >= int64(earlyYieldInterval)
	start := !ld.yielding && (early || ld.loaded && ld.orch.RecordsNameAllRuns())
	ld.yielding = ld.yielding || start
	ld.mu.Unlock()
	if !start {
		return
	}
	if early {
		ld.c.yieldedEarlyAt.Store(now)
	}
	ld.c.log.Info("StepAside", "Epoch", ld.term.Revision, "For", host, "Reason", "the host has a larger processor share")
	go ld.handOver(context.Background(), host)
}

// handOver stops sending commands, writes all records and ends the leadership. preferred is
// the host that should campaign first; it may be empty.
func (ld *leadership) handOver(ctx context.Context, preferred string) {
	ld.apply(orchestrator.HandOver{})
	ld.mu.Lock()
	// Without a start of this leader, the records still name all runs if they did when it was elected.
	// What it has not written, its successor learns from the workers.
	asInherited := ld.inheritedHandedOff && !ld.startsSent
	clean := asInherited || ld.loaded && ld.orch.RecordsNameAllRuns()
	ld.handingOver = true
	for _, p := range ld.pollers {
		p.cancel()
	}
	ld.mu.Unlock()
	deadline := timekeeper.Now().Add(handOverTimeout)
	for clean && !asInherited && ld.unwritten() && !ld.ended() {
		if ld.writeBatch(ctx, true) != writeFailed {
			continue
		}
		clean = timekeeper.Now().Before(deadline) && ctx.Err() == nil
		sleep(ctx, writeRetryDelay)
	}
	if !ld.ended() { // else another host leads, and the term is not this leader's to change
		ld.vacate(ctx, clean, preferred)
	}
	ld.cancel()
	<-ld.done
}

// ended reports whether the leadership has ended.
func (ld *leadership) ended() bool {
	if ld.deposed.Load() {
		return true
	}
	select {
	case <-ld.done:
		return true
	default:
		return false
	}
}

// handOverTimeout bounds the time for the writes of a hand-over.
const handOverTimeout = 1500 * time.Millisecond

func (ld *leadership) unwritten() bool {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	return ld.orch.HasUnwrittenChanges()
}

// vacate writes a term without a leader.
func (ld *leadership) vacate(ctx context.Context, clean bool, preferred string) {
	share := max(ld.term.Share, ld.c.settings.ProcessorShare, ld.hosts.largestShare(timekeeper.Now()))
	value, err := msgpack.Marshal(&term{HandedOff: clean, Preferred: preferred, Share: share, BoundsSince: ld.term.BoundsSince})
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
	ld.c.log.Info("HandedOver", "Epoch", ld.term.Revision, "Clean", clean, "Preferred", preferred, "Revision", revision)
}
