// Package recorder keeps the records of decisions in bounded memory, so that operators
// can ask later why a job, a task, a worker or a request was treated as it was. Every
// record is also one key=value log line and one count of a prometheus counter.
//
// A Recorder is safe for concurrent use. Lock order: it has a single mutex, which is
// held neither while logging nor while calling other packages.
package recorder
