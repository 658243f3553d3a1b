package keeper

import "time"

// Version identifies what a successor read from a shard's journal. Two equal versions
// mean that the owner renewed nothing in between.
type Version struct {
	Epoch    uint64
	Renewal  uint64
	Writer   string
	Sequence uint64
}

// Successor tells whether this host may promise not to claim a shard, and whether it
// may claim it.
type Successor struct {
	ttl    time.Duration
	start  time.Time
	shards map[string]*candidate
}

// candidate is a successor's view of one shard.
type candidate struct {
	version   Version
	seen      bool
	firstSeen time.Time // when version was first read
	epoch     uint64    // highest epoch read or promised
	promised  time.Time // end of the last promise
	claiming  bool      // a claim was sent and its outcome is not known
}

// NewSuccessor returns the rules of a process that started at start. It promises at
// once, but claims nothing for one TTL: an earlier process of the same host may have
// given a promise that this one does not know of.
func NewSuccessor(ttl time.Duration, start time.Time) *Successor {
	return &Successor{ttl: ttl, start: start, shards: make(map[string]*candidate)}
}

func (s *Successor) shard(name string) *candidate {
	c, ok := s.shards[name]
	if !ok {
		c = &candidate{}
		s.shards[name] = c
	}
	return c
}

// Promise asks for a promise not to claim the shard for one TTL from now and reports
// whether it is given. It is refused to an owner whose epoch is known to be over, and
// while an own claim may still take effect. A promise covers the shard, not just the
// epoch for which it was asked.
func (s *Successor) Promise(shard string, epoch uint64, now time.Time) bool {
	c := s.shard(shard)
	if c.claiming || epoch < c.epoch {
		return false
	}
	c.epoch = epoch
	c.promised = now.Add(s.ttl)
	return true
}

// Seen records a version of the shard's journal that was received at now.
func (s *Successor) Seen(shard string, v Version, now time.Time) {
	c := s.shard(shard)
	c.epoch = max(c.epoch, v.Epoch)
	if c.seen && c.version == v {
		return
	}
	c.version, c.seen, c.firstSeen = v, true, now
}

// MayClaim reports whether a claim may be sent at now: the journal has not changed for
// one TTL since this host first read it, no promise is outstanding, the process has run
// for one TTL, and no earlier claim is unresolved.
func (s *Successor) MayClaim(shard string, now time.Time) bool {
	c := s.shard(shard)
	return c.seen && !c.claiming &&
		!now.Before(s.start.Add(s.ttl)) &&
		!now.Before(c.firstSeen.Add(s.ttl)) &&
		!now.Before(c.promised)
}

// MayClaimReleased is MayClaim for a journal that its owner gave up in writing: the
// wait for the owner's tenure is not needed. Promises still bind, because they may
// have been given to a later owner.
func (s *Successor) MayClaimReleased(shard string, now time.Time) bool {
	c := s.shard(shard)
	return c.seen && !c.claiming && !now.Before(s.start.Add(s.ttl))
}

// Claiming records that a claim is about to be sent. Until Resolved no promise is
// given, because the claim may take effect at any time.
func (s *Successor) Claiming(shard string) { s.shard(shard).claiming = true }

// Resolved records that the outcome of the claim is known.
func (s *Successor) Resolved(shard string) { s.shard(shard).claiming = false }
