// Package explainer reads the log files of entry hosts, and writes the lines about a job,
// task or worker, how the jobs of a queue spent their time, and which hosts led when. It
// needs no running host.
package explainer
