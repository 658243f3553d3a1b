// Package composer is the library with which operators write the configuration of
// peridotpitch as a Go program: failure domains, hosts, services, job classes, teams and
// the weights of tail latency, evictions and batch throughput. The program prints the text
// that operators review, sign and apply. The same program always prints the same text.
//
// Amounts of memory are in bytes (see the constants KB to TB), lengths of time are of type
// time.Duration, and numbers of cores may be fractional. Composition.Text returns all faults of
// a composition in one error.
package composer
