// Package coordinator runs one entry host. Every entry host accepts jobs and answers
// requests about them. One entry host at a time is the leader: it schedules the jobs and
// sends commands to the workers.
//
// All persistent state is in the store:
//
//	peridot/lead/term      the current leader; written by elections and hand-overs only
//	peridot/lead/head      rewritten by each write of the leader, so that other hosts see that it
//	                       still writes
//	peridot/roster         workers on which the leader may have started tasks
//	peridot/learnt         workload statistics that the leader has collected
//	peridot/in/job/ID      a submitted job, created if absent by the host that accepts it
//	peridot/in/cancel/ID   a request to cancel the job, which may not be in the store yet
//	peridot/record/ID      the job's progress, written by the leader; the write of a final
//	                       state deletes the two keys above
//
// Each write of the leader is conditional on the revisions of term and head. A write that
// is delayed therefore fails if another write of head or an election was executed before it. While writes
// are slow, several follow one write of head at the same time. They do not rewrite head, and no two of them
// write the same job. The revision of term is the epoch. Calls to workers carry it as a fencing token, or the revision of a later
// write of the leader, which is below the epochs of later leaders.
//
// The other hosts ping the leader. A host whose ping fails, or whose leader reports that
// it cannot reach the store, polls head. If head does not change for the election timeout, the
// host campaigns by rewriting term, on the condition that head still has not changed. A working leader is
// therefore replaced only if it neither answers pings nor writes to the store. The timeout allows for how late the
// leader was when it last answered.
//
// Lock order: leadership.mu before Coordinator.mu. No lock except leadership.writeMu is
// held during I/O.
package coordinator
