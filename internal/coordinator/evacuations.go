package coordinator

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"peridotpitch/internal/orchestrator"
	"peridotpitch/internal/storer"
	"peridotpitch/internal/timekeeper"
)

const (
	// evacuationWatchTimeout is how long one watch of the evacuations lasts at most.
	evacuationWatchTimeout = time.Second
	// evacuationReadInterval is the interval at which all evacuations are read. A watch may miss a change that is
	// made while the store is about to drop its history.
	evacuationReadInterval = 2 * time.Second
	evacuationRetryDelay   = 150 * time.Millisecond
	// maxConfirmedWriteAge is how long ago the last confirmed write may have been sent for the store to count as serving the
	// leader, which writes each headWriteInterval.
	maxConfirmedWriteAge = time.Second
	// lateEvacuationsLogInterval is the shortest time between two log lines on late evacuations.
	lateEvacuationsLogInterval = 2 * time.Second
)

// evacuationEntry is what one key under the evacuations' prefix says.
type evacuationEntry struct {
	revision      uint64
	failureDomain string // empty: the key has been deleted, or names none
}

// evacuationList holds the operators' requests to evacuate failure domains, as the leader has read them.
type evacuationList struct {
	entries  map[string]evacuationEntry // by key; deleted ones only until the next read of all
	logged   map[string]uint64          // revision of the last EvacuationUnclear, by key
	revision uint64                     // of the store, at the last read of all or change
	position watchPosition
	readAt   time.Time // when the last read of all was sent; zero: the next call is one

	lateLoggedAt time.Time // of the last EvacuationsLate
}

// failureDomains returns the evacuated failure domains, sorted and without repetitions.
func (l *evacuationList) failureDomains() []string {
	var names []string
	for e := range maps.Values(l.entries) {
		if e.failureDomain != "" {
			names = append(names, e.failureDomain)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// readEvacuations reads all evacuations and passes them to the orchestrator.
func (ld *leadership) readEvacuations(ctx context.Context) error {
	prefix, l := ld.c.deps.Keys.Evacuations, &ld.evacuations
	if prefix == "" {
		return nil
	}
	begin, asked := time.Now(), timekeeper.Now()
	entries, revision, err := ld.list(ctx, prefix)
	if err != nil {
		return err
	}
	if revision < l.revision {
		return &staleReadError{Revision: revision, Known: l.revision}
	}
	l.entries = make(map[string]evacuationEntry, len(entries))
	for _, e := range entries {
		ld.addEvacuation(e)
	}
	maps.DeleteFunc(l.logged, func(key string, _ uint64) bool { _, present := l.entries[key]; return !present })
	l.revision, l.readAt = revision, begin
	l.position.restart(revision, begin)
	ld.passEvacuations()
	ld.evacuationsCheckedAt.Store(asked.UnixNano())
	return nil
}

// watchEvacuations passes changes of the evacuations to the orchestrator until ctx is done.
func (ld *leadership) watchEvacuations(ctx context.Context) {
	if ld.c.deps.Keys.Evacuations == "" {
		return
	}
	for ctx.Err() == nil {
		update := ld.watchEvacuationsOnce
		if time.Since(ld.evacuations.readAt) >= evacuationReadInterval {
			update = ld.readEvacuations
		}
		if err := update(ctx); err != nil {
			ld.logEvacuationsNotRead(err)
			ld.evacuations.readAt = time.Time{}
			sleep(ctx, evacuationRetryDelay)
		}
	}
}

// logEvacuationsNotRead logs a failed call for the evacuations if starts wait for it.
func (ld *leadership) logEvacuationsNotRead(err error) {
	l := &ld.evacuations
	if !ld.evacuationsOutOfTime() || time.Since(l.lateLoggedAt) < lateEvacuationsLogInterval {
		ld.c.log.Debug("EvacuationsNotRead", "Cause", err.Error())
		return
	}
	l.lateLoggedAt = time.Now()
	ld.c.log.Warn("EvacuationsLate", "Epoch", ld.term.Revision, "Age", ld.evacuationsAge().Round(time.Millisecond).String(),
		"Outcome", "nothing starts until the evacuations are known", "Cause", err.Error())
}

// evacuationsAge returns the time since the leader's list of evacuations is known to have been complete.
func (ld *leadership) evacuationsAge() time.Duration {
	return timekeeper.Now().Sub(time.Unix(0, ld.evacuationsCheckedAt.Load()))
}

// evacuationsOutOfTime reports whether an evacuation may have been requested longer ago than the deadline without this leader's
// knowing, although the store serves it. A leader that has lost the store goes on: its starts keep accepted jobs running, and
// operators can't reach the store either, or the leader is replaced.
func (ld *leadership) evacuationsOutOfTime() bool {
	d := ld.c.settings.EvacuationDeadline
	return d > 0 && ld.c.deps.Keys.Evacuations != "" && ld.evacuationsAge() >= d && ld.timeSinceConfirmedWrite() < maxConfirmedWriteAge
}

// watchEvacuationsOnce runs one watch, which ends when the next read of all is due.
func (ld *leadership) watchEvacuationsOnce(ctx context.Context) error {
	l, begin, asked := &ld.evacuations, time.Now(), timekeeper.Now()
	wait := max(time.Millisecond, min(evacuationWatchTimeout, l.readAt.Add(evacuationReadInterval).Sub(begin)))
	es, err := ld.c.store.Watch(ctx, ld.c.deps.Keys.Evacuations, l.position.start(), wait)
	if err != nil {
		return err
	}
	if es.Compacted {
		l.readAt = time.Time{}
		return nil
	}
	for _, e := range es.Events {
		if e.Revision <= l.entries[e.Key].revision {
			continue // an earlier change than the one that is known
		}
		ld.addEvacuation(e)
		l.revision = max(l.revision, e.Revision)
	}
	if len(es.Events) > 0 {
		// The next watch would report these changes again at once. A change that this one has missed before them is
		// found by the next read of all.
		l.position.restart(l.revision, begin)
		ld.passEvacuations()
	} else {
		l.position.advance(es.StoreRevision, begin)
	}
	ld.evacuationsCheckedAt.Store(asked.UnixNano())
	return nil
}

// addEvacuation puts the present state of a key into the list.
func (ld *leadership) addEvacuation(e storer.Entry) {
	entry := evacuationEntry{revision: e.Revision}
	if !e.Deleted {
		entry.failureDomain = ld.decodeEvacuation(e)
	}
	ld.evacuations.entries[e.Key] = entry
}

// decodeEvacuation returns the failure domain that an entry evacuates, empty if it names none, and logs what was
// not understood.
func (ld *leadership) decodeEvacuation(e storer.Entry) string {
	decoded, err := ld.c.deps.Decoder.Evacuation(e.Key, e.Value)
	switch {
	case err != nil:
		ld.logUnclearEvacuation(e, "ignored", err.Error())
		return ""
	case decoded.Fault != "":
		ld.logUnclearEvacuation(e, "the evacuation holds", decoded.Fault)
	}
	return decoded.FailureDomain
}

// logUnclearEvacuation logs an entry that was not understood, once for each key and revision.
func (ld *leadership) logUnclearEvacuation(e storer.Entry, outcome, cause string) {
	if ld.evacuations.logged[e.Key] == e.Revision {
		return
	}
	if ld.evacuations.logged == nil {
		ld.evacuations.logged = make(map[string]uint64)
	}
	ld.evacuations.logged[e.Key] = e.Revision
	ld.c.log.Warn("EvacuationUnclear", "Key", e.Key, "Revision", e.Revision, "Outcome", outcome, "Cause", cause)
}

// passEvacuations passes the complete list to the orchestrator if it has changed, or has not been passed yet. The
// senders of commands learn of it first, because the orchestrator may be busy.
func (ld *leadership) passEvacuations() {
	names := ld.evacuations.failureDomains()
	if known := ld.evacuated.Load(); known != nil && slices.Equal(*known, names) {
		return
	}
	ld.evacuated.Store(&names)
	ld.c.metrics.evacuated.Set(float64(len(names)))
	ld.apply(orchestrator.EvacuationsListed{FailureDomains: names})
}

// evacuates reports whether operators evacuate a failure domain. It does not take ld.mu.
func (ld *leadership) evacuates(failureDomain string) bool {
	names := ld.evacuated.Load()
	if names == nil {
		return false
	}
	_, found := slices.BinarySearch(*names, failureDomain)
	return found
}

// staleReadError reports an answer of the store that is older than one that it has given before.
type staleReadError struct {
	Revision uint64 // of the answer
	Known    uint64
}

func (e *staleReadError) Error() string {
	return fmt.Sprintf("the store answered with its state at revision %d, after one at %d", e.Revision, e.Known)
}
