// Package emulator holds stand-ins for the outside systems that peridotpitch meets by
// protocol: the platform (key-value store and host list), workers, and backend servers.
// They follow docs/protocols.md, count what they are asked to do and what they see go
// wrong, and have fault switches that can be changed at run time. They contain no
// decision of the product: a worker accepts work beyond its capacity and counts it.
//
// Store and Machine are usable without a network and take their time from package time,
// so that tests can run them in virtual time. Platform, Worker and Backend serve them
// over HTTP.
//
// Lock order: Machine, then Worker, then Backend, then Ledger. Store and the fault
// switch have locks of their own and call nothing while they hold them.
package emulator
