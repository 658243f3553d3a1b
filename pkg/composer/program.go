package composer

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"

	"peridotpitch/internal/configurator"
)

// Exit codes of a program.
const (
	ExitDone   = 0
	ExitFailed = 1 // faulty composition or unreadable file
	ExitUsage  = 2
)

// Run executes an operator's program: it prints the text of what build returns, or with
// -diff the differences from an earlier text. -replaces N makes it generation N+1; with
// -diff the default of N is the earlier text's generation. It returns the exit code.
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
		_, _ = fmt.Fprintf(stderr, "argument %q is too many; allowed: -replaces, -diff\n", fs.Arg(0))
		return ExitUsage
	}
	output, err := produce(build, *replaces, *diff)
	if err == nil {
		_, err = stdout.Write(output)
	}
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	return ExitDone
}

func produce(build func(uint64) *Composition, replaces uint64, diff string) ([]byte, error) {
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
