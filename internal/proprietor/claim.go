package proprietor

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
	"peridotpitch/internal/keeper"
	"peridotpitch/internal/scheduler"
	"peridotpitch/internal/storer"
)

const (
	// watchEvery separates the watches of one host, so that the renewals of many
	// shards cost at most two calls per second.
	watchEvery = 500 * time.Millisecond
	watchWait  = 10 * time.Second
	// orphanAfter is the silence of an owner after which any entry host of the failure
	// domain renews the leases of its instances.
	orphanAfter = 60 * time.Second
	orphanEvery = time.Minute
	// orphanRenewBelow is the rest of an instance's lease below which it is renewed.
	orphanRenewBelow = 6 * time.Minute
)

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0)) }

// watchOwnDomain follows the journals of this failure domain.
func (p *Proprietor) watchOwnDomain(ctx context.Context) {
	prefix := journalKey(p.settings.FailureDomain) + "/"
	for ctx.Err() == nil {
		after, ok := p.list(ctx, prefix, p.settings.FailureDomain)
		for ok {
			var events storer.Events
			wait, cancel := context.WithTimeout(ctx, watchWait+callTimeout)
			events, err := p.settings.Store.Watch(wait, prefix, after, watchWait)
			cancel()
			ok = err == nil && !events.Compacted
			for _, e := range events.Events {
				p.read(e)
			}
			after = max(after, events.StoreRevision)
			sleep(ctx, watchEvery)
		}
		sleep(ctx, p.between(200*time.Millisecond, time.Second))
	}
}

// watchPredecessors reads the journals of the failure domains whose jobs this one takes
// over. A read every sixth of the delay finds a change in time.
func (p *Proprietor) watchPredecessors(ctx context.Context) {
	for {
		p.mutex.Lock()
		c, every := p.config, p.recovery/6
		p.mutex.Unlock()
		if c == nil {
			every = claimEvery
		} else {
			for _, d := range predecessors(c, p.settings.FailureDomain) {
				p.list(ctx, journalKey(d)+"/", d)
			}
			p.takeOver(ctx)
		}
		if !sleep(ctx, max(every, claimEvery)) {
			return
		}
	}
}

// list reads all journals of a failure domain.
func (p *Proprietor) list(ctx context.Context, prefix, domain string) (revision uint64, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entries, revision, err := p.settings.Store.List(ctx, prefix)
	if err != nil {
		return 0, false
	}
	present := make(map[string]bool, len(entries))
	for _, e := range entries {
		present[e.Key] = true
		p.read(e)
	}
	p.mutex.Lock()
	c := p.config
	p.mutex.Unlock()
	if c == nil {
		return 0, false // which journals are missing is not known yet
	}
	for _, name := range shardsOf(c, domain) {
		if !present[journalKey(name)] {
			p.read(storer.Entry{Key: journalKey(name), Deleted: true})
		}
	}
	return revision, true
}

// read takes one journal value into account.
func (p *Proprietor) read(e storer.Entry) {
	shard := e.Key[len(journalKey("")):]
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.placing == nil {
		return
	}
	k := p.known[shard]
	if k == nil {
		k = &knownShard{}
		p.known[shard] = k
	}
	if e.Revision < k.revision && !e.Deleted {
		return // read before a later value
	}
	j, revision := scheduler.Journal{Shard: shard}, uint64(0)
	if !e.Deleted {
		var err error
		if j, err = scheduler.DecodeJournal(shard, e.Value); err != nil {
			p.rejectLocked(k, shard, err)
			return
		}
		revision = e.Revision
	}
	p.seenLocked(k, &j, revision, time.Now())
}

// reject logs once that a journal cannot be decoded. The value is left as it is.
func (p *Proprietor) reject(shard string, err error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	k := p.known[shard]
	if k == nil {
		k = &knownShard{}
		p.known[shard] = k
	}
	p.rejectLocked(k, shard, err)
}

func (p *Proprietor) rejectLocked(k *knownShard, shard string, err error) {
	if !k.rejected {
		p.settings.Logger.Error("journal rejected", "Shard", shard, "Error", err)
	}
	k.rejected = true
}

// claimLoop claims the shards of this failure domain whose owner's tenure has ended.
func (p *Proprietor) claimLoop(ctx context.Context) {
	for sleep(ctx, claimEvery) {
		for _, name := range p.claimable(time.Now()) {
			p.background(func(ctx context.Context) { p.claim(ctx, name) })
		}
	}
}

// claimable returns the shards to be claimed and marks them busy.
func (p *Proprietor) claimable(now time.Time) []string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.config == nil || p.stopping {
		return nil
	}
	var names []string
	for _, name := range shardsOf(p.config, p.settings.FailureDomain) {
		k := p.known[name]
		if k == nil || k.busy || k.rejected || p.holdings[name] != nil || k.journal.MovedTo != "" {
			continue
		}
		if !p.mayFollow(k.journal.Owner, k.journal.Successors) {
			continue
		}
		at := now.Add(-p.stagger(name, k.journal.Owner))
		released := k.revision != 0 && k.journal.Owner == "" && p.placing.MayClaimReleased(name, at)
		if released || p.placing.MayClaim(name, at) {
			k.busy = true
			names = append(names, name)
		}
	}
	return names
}

// mayFollow reports whether the journal's owner counted on a promise of this host: only
// then is its tenure known to have ended. If none of the named hosts is configured any
// more, nobody else could claim the shard.
func (p *Proprietor) mayFollow(owner string, successors []string) bool {
	if owner == "" || owner == p.settings.Host || len(successors) == 0 || slices.Contains(successors, p.settings.Host) {
		return true
	}
	return !slices.ContainsFunc(p.config.EntryHosts, func(h configurator.EntryHost) bool {
		return h.Name == owner || slices.Contains(successors, h.Name)
	})
}

// stagger returns how long this host lets others go first. The last owner goes last.
func (p *Proprietor) stagger(shard, owner string) time.Duration {
	weight := func(host string) uint64 { return xxhash.Sum64String(host + "\x00" + shard) }
	mine, rank := weight(p.settings.Host), 0
	for _, h := range p.config.EntryHosts {
		if h.FailureDomain == p.settings.FailureDomain && h.Name != owner && weight(h.Name) > mine {
			rank++
		}
	}
	return time.Duration(rank) * claimStagger
}

// claim takes over a shard by one compare-and-swap.
func (p *Proprietor) claim(ctx context.Context, shard string) {
	defer p.free(shard)
	call, cancel := context.WithTimeout(ctx, callTimeout)
	records, err := p.settings.Store.Get(call, recordsKey(shard))
	cancel()
	if err != nil {
		sleep(ctx, p.between(200*time.Millisecond, 2*time.Second))
		return
	}
	p.mutex.Lock()
	k := p.known[shard]
	before, expect := k.journal, k.revision
	if !p.placing.MayClaim(shard, time.Now()) && before.Owner != "" {
		p.mutex.Unlock()
		return // the owner was heard of meanwhile
	}
	j := before
	j.Shard, j.Owner, j.Writer = shard, p.settings.Host, p.settings.Incarnation
	j.Epoch++
	j.Renewal++
	j.Sequence++
	j.Successors, j.RunningSuccessors = p.successors(p.config)
	p.placing.Claiming(shard)
	p.mutex.Unlock()
	revision, won, sentAt := p.swap(ctx, &j, expect)
	p.resolved(&j, revision, won)
	if won {
		p.own(j, before, records.Value, revision, sentAt)
	}
}

// resolved ends a claim. A journal that was written counts as read at once, because this
// host must not promise anything to the earlier owner any more.
func (p *Proprietor) resolved(j *scheduler.Journal, revision uint64, won bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if won {
		p.seenLocked(p.known[j.Shard], j, revision, time.Now())
	}
	p.placing.Resolved(j.Shard)
	p.running.Resolved(j.Shard)
}

// seenLocked takes a version of a journal into account.
func (p *Proprietor) seenLocked(k *knownShard, j *scheduler.Journal, revision uint64, now time.Time) {
	k.journal, k.revision, k.rejected = *j, revision, false
	v := keeper.Version{Epoch: j.Epoch, Renewal: j.Renewal, Writer: j.Writer, Sequence: j.Sequence}
	p.placing.Seen(j.Shard, v, now)
	p.running.Seen(j.Shard, v, now)
}

func (p *Proprietor) free(shard string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.known[shard].busy = false
}

// swap writes a journal that this host does not own yet and reports whether it holds
// afterwards. A lost answer is resolved by reading back.
func (p *Proprietor) swap(ctx context.Context, j *scheduler.Journal, expect uint64) (revision uint64, won bool, sentAt time.Time) {
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
			p.reread(ctx, key)
		}
		return revision, won, sentAt
	}
	if refused(err) {
		sleep(ctx, p.between(200*time.Millisecond, 2*time.Second))
		return 0, false, sentAt
	}
	for ctx.Err() == nil {
		entry, err := p.get(ctx, key)
		if err != nil {
			sleep(ctx, p.between(200*time.Millisecond, 2*time.Second))
			continue
		}
		found, err := scheduler.DecodeJournal(j.Shard, entry.Value)
		p.read(entry)
		return entry.Revision, err == nil && found.Writer == j.Writer && found.Sequence == j.Sequence, sentAt
	}
	return 0, false, sentAt
}

func (p *Proprietor) get(ctx context.Context, key string) (storer.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e, err := p.settings.Store.Get(ctx, key)
	e.Key, e.Deleted = key, e.Revision == 0
	return e, err
}

// reread brings the known value up to date after a lost race.
func (p *Proprietor) reread(ctx context.Context, key string) {
	if entry, err := p.get(ctx, key); err == nil {
		p.read(entry)
	}
}

// lose ends the ownership of a shard that another host has written.
func (p *Proprietor) lose(h *holding, j scheduler.Journal) {
	p.recordClaim(h.name, "ClaimedByOther", fmt.Sprintf("epoch %d is over, owner is now %q", h.epoch, cmp.Or(j.Owner, j.MovedTo)))
	h.mutex.Lock()
	h.lost = true
	h.mutex.Unlock()
	h.step(scheduler.JournalLost{Owner: cmp.Or(j.Owner, j.MovedTo)})
	p.drop(h)
}

// dropIfReleased ends an ownership that was given up in writing.
func (p *Proprietor) dropIfReleased(h *holding) {
	h.mutex.Lock()
	released := h.shard.Released()
	if released {
		h.lost = true
	}
	h.mutex.Unlock()
	if released {
		p.drop(h)
	}
}

func (p *Proprietor) drop(h *holding) {
	p.mutex.Lock()
	if p.holdings[h.name] == h {
		delete(p.holdings, h.name)
	}
	p.mutex.Unlock()
	h.stop()
}

// takeOver moves the jobs of shards in unresponsive failure domains to shards owned
// here, and completes moves that were begun.
func (p *Proprietor) takeOver(ctx context.Context) {
	p.mutex.Lock()
	now := time.Now()
	type move struct {
		journal  scheduler.Journal
		revision uint64
		target   *holding
	}
	var moves []move
	own := shardsOf(p.config, p.settings.FailureDomain)
	for _, d := range predecessors(p.config, p.settings.FailureDomain) {
		for _, name := range shardsOf(p.config, d) {
			k := p.known[name]
			if k == nil || k.busy || k.rejected || len(k.journal.Jobs) == 0 {
				continue
			}
			target := p.holdings[cmp.Or(k.journal.MovedTo, rendezvous(name, own))]
			if target == nil {
				continue
			}
			if k.journal.MovedTo == "" && !(p.running.MayClaim(name, now) && p.mayMove(k.journal.RunningSuccessors)) {
				continue
			}
			k.busy = true
			if k.journal.MovedTo == "" {
				p.running.Claiming(name)
			}
			moves = append(moves, move{k.journal, k.revision, target})
		}
	}
	p.mutex.Unlock()
	for _, m := range moves {
		p.move(ctx, m.journal, m.revision, m.target)
	}
}

func (p *Proprietor) mayMove(successors []string) bool {
	return p.mayFollow("", nil) && (len(successors) == 0 || slices.Contains(successors, p.settings.Host) ||
		!slices.ContainsFunc(p.config.EntryHosts, func(h configurator.EntryHost) bool { return slices.Contains(successors, h.Name) }))
}

// move marks a journal as moved and imports its jobs.
func (p *Proprietor) move(ctx context.Context, j scheduler.Journal, expect uint64, target *holding) {
	defer p.free(j.Shard)
	if j.MovedTo == "" {
		j.MovedTo, j.Owner, j.Writer = target.name, "", p.settings.Incarnation
		j.Epoch++
		j.Sequence++
		revision, won, _ := p.swap(ctx, &j, expect)
		p.resolved(&j, revision, won)
		if !won {
			return
		}
		p.recordClaim(j.Shard, "MovedToSuccessor", fmt.Sprintf("failure domain does not respond; %d jobs go to %s", len(j.Jobs), target.name))
	}
	target.step(scheduler.JobsImported{From: j.Shard, Jobs: j.Jobs})
}

// empty removes the imported jobs from a moved journal, so that it can be claimed again.
func (p *Proprietor) empty(ctx context.Context, shard, target string) {
	entry, err := p.get(ctx, journalKey(shard))
	if err != nil {
		return // the next pass imports again, which changes nothing, and comes back here
	}
	j, err := scheduler.DecodeJournal(shard, entry.Value)
	if err != nil || j.MovedTo != target {
		return
	}
	j.Empty(p.settings.Incarnation)
	if revision, won, _ := p.swap(ctx, &j, entry.Revision); won {
		value, err := j.Encode()
		if err == nil {
			p.read(storer.Entry{Key: journalKey(shard), Value: value, Revision: revision})
		}
	}
}

// renewOrphans renews the leases of service instances whose owner has not been heard
// of. It needs no tenure, because duplicate instances are harmless.
func (p *Proprietor) renewOrphans(ctx context.Context) {
	for sleep(ctx, orphanEvery) {
		for _, w := range p.orphans(time.Now()) {
			p.renewInstances(ctx, w)
		}
	}
}

// orphans returns the workers of the failure domain's shards without a known owner.
func (p *Proprietor) orphans(now time.Time) []configurator.Worker {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.config == nil {
		return nil
	}
	var ws []configurator.Worker
	for _, w := range p.config.Workers {
		shard := w.FailureDomain + "/" + w.Shard
		o := p.heard[shard]
		if w.FailureDomain == p.settings.FailureDomain && p.holdings[shard] == nil &&
			now.Sub(o.at) > orphanAfter && now.Sub(p.start) > orphanAfter {
			ws = append(ws, w)
		}
	}
	return ws
}

func (p *Proprietor) renewInstances(ctx context.Context, w configurator.Worker) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := p.settings.Workers.Report(ctx, w.Address)
	if err != nil {
		return
	}
	var cs []commander.Command
	for _, t := range r.Tasks {
		if t.Kind == commander.KindService && t.State.Active() && t.LeaseEnd-r.Clock < orphanRenewBelow {
			cs = append(cs, commander.Command{
				Verb: commander.VerbRenew, Task: t.Task, Attempt: t.Attempt, Kind: t.Kind, Class: t.Class, Service: t.Service,
				LeaseEnd: r.Clock + scheduler.ServiceLease, NotAfter: r.Clock + callTimeout,
			})
		}
	}
	if len(cs) == 0 {
		return
	}
	// With the epoch that the worker has accepted, the renewal displaces no owner.
	if _, err := p.settings.Workers.Apply(ctx, w.Address, r.Epoch, p.settings.Host, cs); err != nil {
		p.settings.Logger.Debug("instances not renewed", "Worker", w.Name, "Error", err)
	}
}
