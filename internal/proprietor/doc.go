// Package proprietor is the runtime that owns shards on one entry host. It loads
// journals from the store, watches other owners, claims shards when their owner's
// tenure has certainly ended, and carries out the actions of scheduler.Shard against
// the store and the workers.
//
// Lock order: Proprietor.mutex before holding.mutex before Proprietor.closing.
// None of them is held during I/O.
package proprietor
