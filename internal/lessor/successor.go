package lessor

import "time"

// Version identifies the state of a shard's journal. If a successor reads the same Version twice,
// the owner has not renewed its lease between the two reads.
type Version struct {
	Epoch    uint64
	Renewal  uint64
	Writer   string
	Sequence uint64
}

// Successor decides whether this host may promise not to claim a shard, and whether it may claim
// the shard.
type Successor struct {
	ttl          time.Duration
	processStart time.Time
	shards       map[string]*shardView
}

// shardView is what a successor has read and promised for one shard.
type shardView struct {
	version       Version   // last version read
	read          bool      // a version has been read
	firstRead     time.Time // when version was first read
	highestEpoch  uint64    // highest epoch read or promised to
	promisedUntil time.Time // end of the last promise
	claimPending  bool      // a claim was sent and its outcome is unknown
}

// NewSuccessor returns the Successor of a process that started at start. It gives promises at once
// but permits no claim for one TTL, because an earlier process of the same host may have given a
// promise that is still in effect.
func NewSuccessor(ttl time.Duration, start time.Time) *Successor {
	return &Successor{ttl: ttl, processStart: start, shards: make(map[string]*shardView)}
}

// shard returns the view of a shard and creates it if necessary.
func (s *Successor) shard(name string) *shardView {
	v, ok := s.shards[name]
	if !ok {
		v = &shardView{}
		s.shards[name] = v
	}
	return v
}

// Promise gives a promise not to claim the shard for one TTL from now, or returns false if it is
// refused. A promise is refused to an owner whose epoch is lower than one that this host has read
// or given a promise for, and while a claim by this host may still take effect. A promise excludes
// claims of the shard in any epoch, not only in the one that is passed.
func (s *Successor) Promise(shard string, epoch uint64, now time.Time) bool {
	c := s.shard(shard)
	if c.claimPending || epoch < c.highestEpoch {
		return false
	}
	c.highestEpoch = epoch
	c.promisedUntil = now.Add(s.ttl)
	return true
}

// RecordVersion records that version v of the shard's journal was received at now.
func (s *Successor) RecordVersion(shard string, v Version, now time.Time) {
	c := s.shard(shard)
	c.highestEpoch = max(c.highestEpoch, v.Epoch)
	if c.read && c.version == v {
		return
	}
	c.version, c.read, c.firstRead = v, true, now
}

// MayClaim reports whether a claim may be sent at now. Four conditions must be met: this host first
// read the current version of the journal at least one TTL ago, no promise is in effect, the process
// has run for one TTL, and no earlier claim is unresolved.
func (s *Successor) MayClaim(shard string, now time.Time) bool {
	c := s.shard(shard)
	return c.read && !c.claimPending &&
		!now.Before(s.processStart.Add(s.ttl)) &&
		!now.Before(c.firstRead.Add(s.ttl)) &&
		!now.Before(c.promisedUntil)
}

// MayClaimReleased is like MayClaim, but for a journal in which the owner has recorded that it
// released the shard. It does not wait for the owner's lease to end. The process must still have run
// for one TTL, because an earlier process may have given a promise to a later owner. Promises of
// this process are not checked.
func (s *Successor) MayClaimReleased(shard string, now time.Time) bool {
	c := s.shard(shard)
	return c.read && !c.claimPending && !now.Before(s.processStart.Add(s.ttl))
}

// ClaimStarted records that a claim is about to be sent. No promise is given before ClaimResolved, because
// the claim may take effect at any time.
func (s *Successor) ClaimStarted(shard string) { s.shard(shard).claimPending = true }

// ClaimResolved records that the outcome of the claim is known.
func (s *Successor) ClaimResolved(shard string) { s.shard(shard).claimPending = false }
