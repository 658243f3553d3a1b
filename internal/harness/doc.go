// Package harness supports tests that run the programs as processes. It builds peridotpitch
// and standin once for each test binary, starts them as child processes of the test, waits
// for events with a long timeout, sends signals and collects the output. Only tests start
// processes; the product never does.
//
// A Process has one lock, which guards its collected output.
package harness
