// Package recorder keeps decision records in bounded memory, so that operators can find out
// later why a job, task, worker or request was treated in a certain way. It also logs each
// record as one key=value line and counts it in a Prometheus counter.
//
// A Recorder is safe for concurrent use. Lock order: it has a single mutex, which is not held
// while it logs or calls other packages.
package recorder
