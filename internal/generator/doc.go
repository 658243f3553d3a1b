// Package generator is a bounded load generator: callers that send requests at a given
// rate whether or not earlier ones were answered, and a submitter of jobs. It checks that
// each answer is whole and belongs to its request, and compares the outcomes with what
// the stand-ins of the backend servers ran.
//
// One lock guards a run's results; nothing is called while it is held.
package generator
