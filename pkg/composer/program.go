package composer

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"

	"peridotpitch/internal/configurator"
)

// Exit codes returned by Run.
const (
	ExitDone   = 0
	ExitFailed = 1 // invalid composition, unreadable file or failed output
	ExitUsage  = 2 // invalid arguments
)

// Run executes an operator's program and returns its exit code. It prints the text of the
// composition that build returns, or with -diff FILE the differences from the earlier text in
// the file. With -replaces N the composition has generation N+1. The default of N is 0, or
// with -diff the generation of the earlier text.
func Run(arguments []string, stdout, stderr io.Writer, build func(replaces uint64) *Composition) int {
	fs := flag.NewFlagSet("composer", flag.ContinueOnError)
	fs.SetOutput(stderr)
	replaces := fs.Uint64("replaces", 0, "`generation` that must be in effect when the text is applied")
	diff := fs.String("diff", "", "print the differences from the earlier text in this `file` instead")
	if err := fs.Parse(arguments); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return ExitDone
		}
		return ExitUsage
	}
	if fs.NArg() > 0 {
		_, _ = fmt.Fprintf(stderr, "unexpected argument %q; allowed: -replaces, -diff\n", fs.Arg(0))
		return ExitUsage
	}
	output, err := render(build, *replaces, *diff)
	if err == nil {
		_, err = stdout.Write(output)
	}
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	return ExitDone
}

// render returns the text of the composition, or its differences from the text in the file
// diff.
func render(build func(uint64) *Composition, replaces uint64, diff string) ([]byte, error) {
	if diff == "" {
		return build(replaces).Text()
	}
	old, err := os.ReadFile(diff)
	if err != nil {
		return nil, err
	}
	if replaces == 0 {
		if replaces, err = generationOf(old); err != nil {
			return nil, err
		}
	}
	d, err := build(replaces).Diff(old)
	return []byte(d), err
}

func generationOf(text []byte) (uint64, error) {
	c, err := configurator.Parse(text)
	if err != nil {
		return 0, err
	}
	return c.Generation, nil
}
