// Package harness supports tests of whole processes. It builds the two programs once for
// each test binary, starts them as child processes of the test, waits for events with a
// wide limit, sends signals and collects logs. Only tests start processes; the product
// never does.
//
// A Process has one lock, for the lines that it printed.
package harness
