// Package shardowner runs the shards that one entry host owns. It loads journals from
// the store, watches the journals of other owners, claims a shard once its owner's lease
// has certainly ended, and carries out the actions of scheduler.Shard against the store
// and the workers.
//
// Lock order: Owner.mutex, then ownedShard.mutex, then Owner.closeMutex. None
// of them is held during I/O.
package shardowner
