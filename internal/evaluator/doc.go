// Package evaluator compares the product's policies with baselines on virtual time. It
// drives the real decision packages through an event loop with fakes at their interfaces:
// workers, callers and the platform. Interference between classes is a hidden matrix that
// the decisions see only through late reports.
//
// A run is a pure function of its Config: it reads no clock and uses seeded random number
// sources, separate ones for the environment and for the decisions, so that all policies
// meet the same load, sizes and faults. It has no lock; runs share no state.
package evaluator
