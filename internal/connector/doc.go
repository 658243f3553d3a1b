// Package connector keeps the connections of a process within its limit of file descriptors. Budget counts the
// connections that the process opens to workers, and finds out from failures how many the limit allows. Listener goes
// on accepting connections after the limit was reached.
package connector
