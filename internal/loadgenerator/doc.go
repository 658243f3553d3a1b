// Package loadgenerator generates a bounded load: callers send requests at a given rate,
// whether or not earlier requests have been answered (an open-loop load), and a submitter
// submits jobs. The package checks that each answer is complete and belongs to its
// request, and compares the outcomes with the executions that the emulated backend
// servers counted.
//
// One lock guards a run's results; nothing is called while it is held.
package loadgenerator
