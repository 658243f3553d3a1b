package shardowner

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"peridotpitch/internal/commander"
	"peridotpitch/internal/configurator"
	"peridotpitch/internal/lessor"
	"peridotpitch/internal/scheduler"
	"peridotpitch/internal/storer"
)

const (
	// watchInterval is the time between the end of one watch and the next. A watch ends with
	// the first renewal of any shard; the interval limits a host to two calls per second.
	watchInterval = 500 * time.Millisecond
	// watchMaxWait is how long the store may delay its answer to a watch without events.
	watchMaxWait = 10 * time.Second
	// orphanTimeout is the time without a heartbeat from a shard's owner after which every
	// entry host of the failure domain renews the leases of the shard's service instances.
	orphanTimeout = 60 * time.Second
	// orphanRenewalInterval is the time between checks for service instances without a
	// responsive owner.
	orphanRenewalInterval = time.Minute
	// orphanRenewalThreshold is the remaining lease time below which a lease is renewed.
	orphanRenewalThreshold = 6 * time.Minute
)

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0)) }

// watchOwnDomain watches the journals of this failure domain.
func (p *Owner) watchOwnDomain(ctx context.Context) {
	prefix := journalKey(p.settings.FailureDomain) + "/"
	for ctx.Err() == nil {
		after, ok := p.loadJournals(ctx, prefix, p.settings.FailureDomain)
		for ok {
			var events storer.Events
			wait, cancel := context.WithTimeout(ctx, watchMaxWait+callTimeout)
			events, err := p.settings.Store.Watch(wait, prefix, after, watchMaxWait)
			cancel()
			ok = err == nil && !events.Compacted
			for _, e := range events.Events {
				p.cacheEntry(e)
			}
			after = max(after, events.StoreRevision)
			sleep(ctx, watchInterval)
		}
		sleep(ctx, p.randomDuration(200*time.Millisecond, time.Second))
	}
}

// pollPredecessors reads the journals of the failure domains whose jobs this one may have to
// import. It reads them six times within one TTL of the lease for running tasks, so that a
// renewal is noticed before the lease counts as ended.
func (p *Owner) pollPredecessors(ctx context.Context) {
	for {
		p.mutex.Lock()
		c, every := p.config, p.runningTTL/6
		p.mutex.Unlock()
		if c == nil {
			every = claimInterval
		} else {
			for _, d := range predecessors(c, p.settings.FailureDomain) {
				p.loadJournals(ctx, journalKey(d)+"/", d)
			}
			p.importJobs(ctx)
		}
		if !sleep(ctx, max(every, claimInterval)) {
			return
		}
	}
}

// loadJournals reads all journals of a failure domain. ok is false if the store did not
// answer or there is no configuration yet.
func (p *Owner) loadJournals(ctx context.Context, prefix, domain string) (revision uint64, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entries, revision, err := p.settings.Store.List(ctx, prefix)
	if err != nil {
		return 0, false
	}
	present := make(map[string]bool, len(entries))
	for _, e := range entries {
		present[e.Key] = true
		p.cacheEntry(e)
	}
	p.mutex.Lock()
	c := p.config
	p.mutex.Unlock()
	if c == nil {
		return 0, false // without the list of shards, missing journals cannot be detected
	}
	for _, name := range shardNames(c, domain) {
		if !present[journalKey(name)] {
			p.cacheEntry(storer.Entry{Key: journalKey(name), Deleted: true})
		}
	}
	return revision, true
}

// cacheEntry updates the cached journal from a store entry.
func (p *Owner) cacheEntry(e storer.Entry) {
	shard := e.Key[len(journalKey("")):]
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.placingSuccessor == nil {
		return
	}
	k := p.journals[shard]
	if k == nil {
		k = &cachedJournal{}
		p.journals[shard] = k
	}
	if e.Revision < k.revision && !e.Deleted {
		return // older than the cached version
	}
	j, revision := scheduler.Journal{Shard: shard}, uint64(0)
	if !e.Deleted {
		var err error
		if j, err = scheduler.DecodeJournal(shard, e.Value); err != nil {
			p.rejectJournalLocked(k, shard, err)
			return
		}
		revision = e.Revision
	}
	p.cacheJournalLocked(k, &j, revision, time.Now())
}

// rejectJournal logs once that a journal cannot be decoded, and excludes the shard from
// claims, so that the stored value is not overwritten.
func (p *Owner) rejectJournal(shard string, err error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	k := p.journals[shard]
	if k == nil {
		k = &cachedJournal{}
		p.journals[shard] = k
	}
	p.rejectJournalLocked(k, shard, err)
}

func (p *Owner) rejectJournalLocked(k *cachedJournal, shard string, err error) {
	if !k.undecodable {
		p.settings.Logger.Error("journal rejected", "Shard", shard, "Error", err)
	}
	k.undecodable = true
}

// claimLoop claims the shards of this failure domain whose owner's lease has ended.
func (p *Owner) claimLoop(ctx context.Context) {
	for sleep(ctx, claimInterval) {
		for _, name := range p.selectClaims(time.Now()) {
			p.background(func(ctx context.Context) { p.claim(ctx, name) })
		}
	}
}

// selectClaims returns the shards that this host may claim now and marks their claims as in
// progress.
func (p *Owner) selectClaims(now time.Time) []string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.config == nil || p.released {
		return nil
	}
	var names []string
	for _, name := range shardNames(p.config, p.settings.FailureDomain) {
		k := p.journals[name]
		if k == nil || k.claimOrImportInProgress || k.undecodable || p.shards[name] != nil || k.journal.MovedTo != "" {
			continue
		}
		if !p.mayClaimAfter(k.journal.Owner, k.journal.Successors) {
			continue
		}
		at := now.Add(-p.claimDelay(name, k.journal.Owner))
		released := k.revision != 0 && k.journal.Owner == "" && p.placingSuccessor.MayClaimReleased(name, at)
		if released || p.placingSuccessor.MayClaim(name, at) {
			k.claimOrImportInProgress = true
			names = append(names, name)
		}
	}
	return names
}

// mayClaimAfter reports whether this host may succeed the journal's owner. This host can tell
// that the owner's lease has ended only if the owner needs this host's promises, that is, if
// the journal lists this host as a successor. A host that is not listed may claim the shard
// if neither the owner nor any listed successor is configured any more, because no other host
// could claim it.
func (p *Owner) mayClaimAfter(owner string, successors []string) bool {
	if owner == "" || owner == p.settings.Host || len(successors) == 0 || slices.Contains(successors, p.settings.Host) {
		return true
	}
	return !slices.ContainsFunc(p.config.EntryHosts, func(h configurator.EntryHost) bool {
		return h.Name == owner || slices.Contains(successors, h.Name)
	})
}

// claimDelay returns how long this host waits before it claims a shard: one
// claimDelayPerRank for each host of the failure domain, other than the last owner, that has
// a higher hash with the shard's name.
func (p *Owner) claimDelay(shard, owner string) time.Duration {
	weight := func(host string) uint64 { return xxhash.Sum64String(host + "\x00" + shard) }
	mine, rank := weight(p.settings.Host), 0
	for _, h := range p.config.EntryHosts {
		if h.FailureDomain == p.settings.FailureDomain && h.Name != owner && weight(h.Name) > mine {
			rank++
		}
	}
	return time.Duration(rank) * claimDelayPerRank
}

// claim claims a shard by one compare-and-swap of its journal.
func (p *Owner) claim(ctx context.Context, shard string) {
	defer p.clearClaimOrImportInProgress(shard)
	call, cancel := context.WithTimeout(ctx, callTimeout)
	jobHistory, err := p.settings.Store.Get(call, jobHistoryKey(shard))
	cancel()
	if err != nil {
		sleep(ctx, p.randomDuration(200*time.Millisecond, 2*time.Second))
		return
	}
	p.mutex.Lock()
	k := p.journals[shard]
	before, expect := k.journal, k.revision
	if !p.placingSuccessor.MayClaim(shard, time.Now()) && before.Owner != "" {
		p.mutex.Unlock()
		return // since selectClaims, this host has given a promise or read a renewal
	}
	j := before
	j.Shard, j.Owner, j.Writer = shard, p.settings.Host, p.settings.Incarnation
	j.Epoch++
	j.Renewal++
	j.Sequence++
	j.Successors, j.RunningSuccessors = p.successors(p.config)
	p.placingSuccessor.ClaimStarted(shard)
	p.mutex.Unlock()
	revision, won, sentAt := p.compareAndSwapJournal(ctx, &j, expect)
	p.claimResolved(&j, revision, won)
	if won {
		p.startOwnership(j, before, jobHistory.Value, revision, sentAt)
	}
}

// claimResolved records that the outcome of a claim or import is known. If it succeeded, the
// written journal is cached at once, so that this host makes no further promise to the
// earlier owner.
func (p *Owner) claimResolved(j *scheduler.Journal, revision uint64, won bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if won {
		p.cacheJournalLocked(p.journals[j.Shard], j, revision, time.Now())
	}
	p.placingSuccessor.ClaimResolved(j.Shard)
	p.runningSuccessor.ClaimResolved(j.Shard)
}

// cacheJournalLocked caches a version of a journal. The caller holds mutex.
func (p *Owner) cacheJournalLocked(k *cachedJournal, j *scheduler.Journal, revision uint64, now time.Time) {
	k.journal, k.revision, k.undecodable = *j, revision, false
	v := lessor.Version{Epoch: j.Epoch, Renewal: j.Renewal, Writer: j.Writer, Sequence: j.Sequence}
	p.placingSuccessor.RecordVersion(j.Shard, v, now)
	p.runningSuccessor.RecordVersion(j.Shard, v, now)
}

// clearClaimOrImportInProgress allows the next claim or import of a shard.
func (p *Owner) clearClaimOrImportInProgress(shard string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.journals[shard].claimOrImportInProgress = false
}

// compareAndSwapJournal writes the journal of a shard that this host does not own and reports
// whether the write took effect. If the answer is lost, it reads the journal back to find out.
func (p *Owner) compareAndSwapJournal(ctx context.Context, j *scheduler.Journal, expect uint64) (revision uint64, won bool, sentAt time.Time) {
	value, err := j.Encode()
	if err != nil {
		return 0, false, time.Time{}
	}
	key := journalKey(j.Shard)
	sentAt = time.Now()
	call, cancel := context.WithTimeout(ctx, callTimeout)
	won, revision, err = p.settings.Store.CompareAndSwap(call, key, expect, value)
	cancel()
	if err == nil {
		if !won {
			p.refreshJournal(ctx, key)
		}
		return revision, won, sentAt
	}
	if writeNotApplied(err) {
		sleep(ctx, p.randomDuration(200*time.Millisecond, 2*time.Second))
		return 0, false, sentAt
	}
	for ctx.Err() == nil {
		entry, err := p.getEntry(ctx, key)
		if err != nil {
			sleep(ctx, p.randomDuration(200*time.Millisecond, 2*time.Second))
			continue
		}
		found, err := scheduler.DecodeJournal(j.Shard, entry.Value)
		p.cacheEntry(entry)
		return entry.Revision, err == nil && found.Writer == j.Writer && found.Sequence == j.Sequence, sentAt
	}
	return 0, false, sentAt
}

func (p *Owner) getEntry(ctx context.Context, key string) (storer.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e, err := p.settings.Store.Get(ctx, key)
	e.Key, e.Deleted = key, e.Revision == 0
	return e, err
}

// refreshJournal reads the stored journal after another host's write won the
// compare-and-swap.
func (p *Owner) refreshJournal(ctx context.Context, key string) {
	if entry, err := p.getEntry(ctx, key); err == nil {
		p.cacheEntry(entry)
	}
}

// loseShard ends the ownership of a shard whose journal another host has written.
func (p *Owner) loseShard(o *ownedShard, j scheduler.Journal) {
	p.recordOwnerChange(o.name, "ClaimedByOther", fmt.Sprintf("epoch %d superseded, new owner %q", o.epoch, cmp.Or(j.Owner, j.MovedTo)))
	o.mutex.Lock()
	o.lost = true
	o.mutex.Unlock()
	o.step(scheduler.JournalLost{Owner: cmp.Or(j.Owner, j.MovedTo)})
	p.removeShard(o)
}

// removeIfReleased removes a shard once the stored journal says that this host released it.
func (p *Owner) removeIfReleased(o *ownedShard) {
	o.mutex.Lock()
	released := o.shard.Ended()
	if released {
		o.lost = true
	}
	o.mutex.Unlock()
	if released {
		p.removeShard(o)
	}
}

// removeShard removes a shard from the owned ones and stops its goroutines.
func (p *Owner) removeShard(o *ownedShard) {
	p.mutex.Lock()
	if p.shards[o.name] == o {
		delete(p.shards, o.name)
	}
	p.mutex.Unlock()
	o.cancel()
}

// importJobs imports the jobs of shards in unresponsive failure domains into shards owned
// here, and completes imports that were begun earlier.
func (p *Owner) importJobs(ctx context.Context) {
	p.mutex.Lock()
	now := time.Now()
	type shardImport struct {
		journal  scheduler.Journal
		revision uint64
		target   *ownedShard
	}
	var imports []shardImport
	own := shardNames(p.config, p.settings.FailureDomain)
	for _, d := range predecessors(p.config, p.settings.FailureDomain) {
		for _, name := range shardNames(p.config, d) {
			k := p.journals[name]
			if k == nil || k.claimOrImportInProgress || k.undecodable || len(k.journal.Jobs) == 0 {
				continue
			}
			target := p.shards[cmp.Or(k.journal.MovedTo, rendezvous(name, own))]
			if target == nil {
				continue
			}
			if k.journal.MovedTo == "" && !(p.runningSuccessor.MayClaim(name, now) && p.mayImport(k.journal.RunningSuccessors)) {
				continue
			}
			k.claimOrImportInProgress = true
			if k.journal.MovedTo == "" {
				p.runningSuccessor.ClaimStarted(name)
			}
			imports = append(imports, shardImport{k.journal, k.revision, target})
		}
	}
	p.mutex.Unlock()
	for _, i := range imports {
		p.importShard(ctx, i.journal, i.revision, i.target)
	}
}

// mayImport reports whether this host may import the jobs of a shard. successors are the hosts
// that the journal lists for the lease for running tasks. As in mayClaimAfter, a host that is
// not listed may import the jobs only if no listed host is configured any more.
func (p *Owner) mayImport(successors []string) bool {
	return p.mayClaimAfter("", nil) && (len(successors) == 0 || slices.Contains(successors, p.settings.Host) ||
		!slices.ContainsFunc(p.config.EntryHosts, func(h configurator.EntryHost) bool { return slices.Contains(successors, h.Name) }))
}

// importShard marks a journal as moved, which ends the ownership of its shard, and adds its
// jobs to the target shard.
func (p *Owner) importShard(ctx context.Context, j scheduler.Journal, expect uint64, target *ownedShard) {
	defer p.clearClaimOrImportInProgress(j.Shard)
	if j.MovedTo == "" {
		j.MovedTo, j.Owner, j.Writer = target.name, "", p.settings.Incarnation
		j.Epoch++
		j.Sequence++
		revision, won, _ := p.compareAndSwapJournal(ctx, &j, expect)
		p.claimResolved(&j, revision, won)
		if !won {
			return
		}
		p.recordOwnerChange(j.Shard, "MovedToSuccessor", fmt.Sprintf("failure domain unresponsive, %d jobs moved to shard %s", len(j.Jobs), target.name))
	}
	target.step(scheduler.JobsImported{From: j.Shard, Jobs: j.Jobs})
}

// clearImportedJobs removes the imported jobs from a moved journal, so that the shard can be
// claimed again.
func (p *Owner) clearImportedJobs(ctx context.Context, shard, target string) {
	entry, err := p.getEntry(ctx, journalKey(shard))
	if err != nil {
		return // the next import of the same jobs has no effect and calls this again
	}
	j, err := scheduler.DecodeJournal(shard, entry.Value)
	if err != nil || j.MovedTo != target {
		return
	}
	j.ClearImported(p.settings.Incarnation)
	if revision, won, _ := p.compareAndSwapJournal(ctx, &j, entry.Revision); won {
		value, err := j.Encode()
		if err == nil {
			p.cacheEntry(storer.Entry{Key: journalKey(shard), Value: value, Revision: revision})
		}
	}
}

// renewOrphanedInstances renews the leases of service instances whose shard has no responsive
// owner. It needs no ownership lease, because duplicate instances are harmless.
func (p *Owner) renewOrphanedInstances(ctx context.Context) {
	for sleep(ctx, orphanRenewalInterval) {
		for _, w := range p.orphanedWorkers(time.Now()) {
			p.renewInstances(ctx, w)
		}
	}
}

// orphanedWorkers returns the workers of the shards of this failure domain whose owner has
// sent no heartbeat for orphanTimeout.
func (p *Owner) orphanedWorkers(now time.Time) []configurator.Worker {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.config == nil {
		return nil
	}
	var ws []configurator.Worker
	for _, w := range p.config.Workers {
		shard := w.FailureDomain + "/" + w.Shard
		o := p.reportedOwners[shard]
		if w.FailureDomain == p.settings.FailureDomain && p.shards[shard] == nil &&
			now.Sub(o.at) > orphanTimeout && now.Sub(p.startedAt) > orphanTimeout {
			ws = append(ws, w)
		}
	}
	return ws
}

// renewInstances renews the leases of the service instances on a worker that end soon.
func (p *Owner) renewInstances(ctx context.Context, w configurator.Worker) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := p.settings.Workers.Report(ctx, w.Address)
	if err != nil {
		return
	}
	var cs []commander.Command
	for _, t := range r.Tasks {
		if t.Kind == commander.KindService && t.State.Active() && t.LeaseEnd-r.Clock < orphanRenewalThreshold {
			cs = append(cs, commander.Command{
				Verb: commander.VerbRenew, Task: t.Task, Attempt: t.Attempt, Kind: t.Kind, Class: t.Class, Service: t.Service,
				LeaseEnd: r.Clock + scheduler.ServiceLeaseDuration, NotAfter: r.Clock + callTimeout,
			})
		}
	}
	if len(cs) == 0 {
		return
	}
	// The commands carry the epoch that the worker has already accepted, so that the worker
	// still accepts the commands of the current owner.
	if _, err := p.settings.Workers.Apply(ctx, w.Address, r.Epoch, p.settings.Host, cs); err != nil {
		p.settings.Logger.Debug("instances not renewed", "Worker", w.Name, "Error", err)
	}
}
