package main

import (
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"standin": main})
}

// Guards against a subcommand without a help text, or one that starts with invalid flags. Package
// harness tests that SIGTERM stops the program.
func TestUsageAndFlagErrors(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/script"})
}
