// Package emulator emulates the external systems that peridotpitch talks to: the platform
// (key-value store and host list), workers, and backend servers. The emulators implement
// docs/protocols.md, count calls and violations of guarantees, and inject faults that can
// be changed at run time. They make no decision that the product must make. A worker, for
// example, accepts work beyond its capacity and counts it.
//
// Store and Machine work without a network and use the clock of package time, so that
// tests can run them in virtual time (testing/synctest). Platform and Worker serve them over HTTP; Backend
// is an HTTP server.
//
// Lock order: Machine, then Worker, then Backend, then RunLog. Store and faultInjector
// have locks of their own and call nothing while they hold them.
package emulator
