// Package explainer reads the log files of entry hosts. It writes the lines about a job, task
// or worker, a table of how the jobs of each queue spent their time, and a table of the
// leaders. It needs no running host.
package explainer
