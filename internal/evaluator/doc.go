// Package evaluator compares the product's policies with baseline policies by simulation on
// virtual time. An event loop drives the real router, limiter and placer against a simulated
// platform with simulated workers and callers. The interference coefficients between classes
// are hidden from the policies, which observe only the slowdowns in delayed reports.
//
// A run is a pure function of its Config: it reads no clock and takes its random numbers
// from seeded sources. The environment and the policies have separate sources, so that all
// policies are compared under the same load, task sizes and faults. Runs share no state and
// need no locks.
package evaluator
