// Package coordinator runs one entry host on the platform. Every host accepts jobs and
// answers for them; one host at a time leads and gives orders to the workers.
//
// The store holds everything that lasts:
//
//	peridot/lead/term      who leads; rewritten at each election only
//	peridot/lead/head      rewritten by each of the leader's writes
//	peridot/roster         workers that the leader may have started tasks on
//	peridot/learnt         what the leader has learnt of images
//	peridot/in/job/ID      a submitted job, created if absent by the host that accepts it
//	peridot/in/cancel/ID   a request to cancel it
//	peridot/record/ID      its progress, written by the leader; a final state replaces the job
//
// Each write of the leader expects the revisions of term and head. A write that was lost
// on the way and arrives later therefore fails once another write has been made or
// another leader elected. The revision of term is the fence of all orders to workers.
//
// Hosts ping the leader. A host that gets no answer, or learns that the leader has lost
// the store, watches head: if it does not change for a while, the host has itself
// elected by rewriting term. A wrong suspicion therefore needs a leader that neither
// answers nor writes.
//
// Lock order: leader.mu before Coordinator.mu. No lock is held during I/O.
package coordinator
