package commandline

import (
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"peridotpitch/internal/explainer"
)

var explainCommand = command{
	name: "explain", arguments: "ID [LOG...]", minArguments: 1, maxArguments: 1 + maxLogFiles, remote: true, minLocalArguments: 2,
	summary: "Show the decisions about a job, task, worker or request, from entry hosts or from log files.",
	setup: func(*flag.FlagSet) func(*call) error {
		return func(c *call) error {
			if len(c.arguments) > 1 {
				return c.explainLogs(c.arguments[1:], c.arguments[0])
			}
			as, err := c.client.Explain(c.ctx, c.arguments[0])
			if err != nil {
				return err
			}
			return c.show(as, func(w io.Writer) {
				for _, a := range as {
					for _, r := range a.Records {
						_, _ = fmt.Fprintf(w, "%s: %s\n", a.Host, r)
					}
				}
			})
		}
	},
}

// explainLogs prints the log lines about an ID.
func (c *call) explainLogs(files []string, id string) error {
	g, err := c.readLogs(files)
	if err != nil {
		return err
	}
	return g.Explain(c.Stdout, id)
}

var breakdownCommand = command{
	name: "breakdown", arguments: "LOG...", minArguments: 1, maxArguments: maxLogFiles,
	summary: "Show from log files how long the jobs of each queue waited and ran, and which hosts led.",
	setup: func(*flag.FlagSet) func(*call) error {
		return func(c *call) error {
			g, err := c.readLogs(c.arguments)
			if err != nil {
				return err
			}
			if err := g.Breakdown(c.Stdout); err != nil {
				return err
			}
			if _, err := fmt.Fprintln(c.Stdout); err != nil {
				return err
			}
			return g.Leaders(c.Stdout)
		}
	},
}

// maxLogFiles limits the log files of one call. A deployment has at most a few hundred
// hosts.
const maxLogFiles = 1000

// readLogs reads the log files of entry hosts. "-" stands for standard input.
func (c *call) readLogs(files []string) (*explainer.Log, error) {
	sources := make([]explainer.Source, 0, len(files))
	for _, path := range files {
		s := explainer.Source{Name: strings.TrimSuffix(filepath.Base(path), filepath.Ext(path)), Open: func() (io.ReadCloser, error) { return os.Open(path) }}
		if path == "-" {
			s = explainer.Source{Name: "stdin", Open: func() (io.ReadCloser, error) { return io.NopCloser(os.Stdin), nil }}
		}
		sources = append(sources, s)
	}
	g, err := explainer.Read(sources...)
	if err != nil {
		return nil, err
	}
	if len(g.Lines) == 0 {
		return nil, fmt.Errorf("no log lines of an entry host in %s", strings.Join(files, ", "))
	}
	if g.Skipped > 0 {
		_, _ = fmt.Fprintf(c.Stderr, "skipped %d lines that are not log lines of an entry host\n", g.Skipped)
	}
	return g, nil
}
