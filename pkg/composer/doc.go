// Package composer is the library in which operators write the configuration of
// peridotpitch as a Go program: failure domains, hosts, services, job classes, teams and
// weights. The program prints the text that operators review, sign and apply; the same
// program always prints the same text.
//
// Amounts of memory are in bytes (use the constants KB to TB), times are durations,
// cores may be fractional. Faults are returned by Text as one error that lists all of
// them.
package composer
