// Package explainer answers from the log files of entry hosts what happened to a job and
// where the time of a queue's jobs went. It needs no running host.
package explainer
