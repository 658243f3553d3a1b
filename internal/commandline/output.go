package commandline

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"peridotpitch/internal/administrator"
	"peridotpitch/internal/configurator"
)

// show prints v as JSON if -json is set. Otherwise it calls printText with a writer that
// aligns tab-separated columns.
func (c *call) show(v any, printText func(w io.Writer)) error {
	if c.json {
		return writeJSON(c.Stdout, v)
	}
	w := tabwriter.NewWriter(c.Stdout, 0, 0, 2, ' ', 0)
	printText(w)
	return w.Flush()
}

func writeJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	e.SetEscapeHTML(false)
	return e.Encode(v)
}

// row writes a line of tab-separated cells. An empty cell becomes "-".
func row(w io.Writer, cells ...any) {
	texts := make([]string, len(cells))
	for i, c := range cells {
		if texts[i] = fmt.Sprint(c); texts[i] == "" {
			texts[i] = "-"
		}
	}
	_, _ = fmt.Fprintln(w, strings.Join(texts, "\t"))
}

// fail prints err, and returns the exit code for it.
func fail(e Environment, asJSON bool, err error) int {
	code, shown := classify(err)
	if asJSON {
		_ = writeJSON(e.Stdout, struct{ Error *administrator.Error }{shown})
	}
	var invalid *configurator.InvalidError
	if errors.As(err, &invalid) { // the error's text lists the faults with the name of the file
		_, _ = fmt.Fprintf(e.Stderr, "peridotpitch: %s:\n%v\n", shown.Message, err)
		return code
	}
	_, _ = fmt.Fprintf(e.Stderr, "peridotpitch: %s\n", shown.Message)
	for _, f := range shown.Faults {
		_, _ = fmt.Fprintf(e.Stderr, "  %s\n", f)
	}
	if shown.Diff != "" {
		_, _ = fmt.Fprintf(e.Stderr, "difference from the submission to the configuration in effect:\n%s", shown.Diff)
	}
	return code
}

// classify returns the exit code for err and the error to print.
func classify(err error) (int, *administrator.Error) {
	var usage *usageError
	var remote *administrator.Error
	var unreachable *administrator.NoAnswerError
	var invalid *configurator.InvalidError
	switch {
	case errors.As(err, &usage):
		return ExitUsage, &administrator.Error{Code: administrator.CodeBadRequest, Message: err.Error()}
	case errors.As(err, &remote):
		if remote.Code == administrator.CodeUnavailable || remote.Code == administrator.CodeUnknownOutcome {
			return ExitUnreachable, remote
		}
		return ExitRefused, remote
	case errors.As(err, &unreachable):
		code := administrator.CodeUnavailable
		if unreachable.Sent {
			code = administrator.CodeUnknownOutcome
		}
		return ExitUnreachable, &administrator.Error{Code: code, Message: err.Error()}
	case errors.As(err, &invalid):
		return ExitRefused, &administrator.Error{Code: administrator.CodeRefused, Faults: invalid.Faults,
			Message: fmt.Sprintf("%s is refused, faults: %d", invalid.Name, len(invalid.Faults))}
	}
	return ExitRefused, &administrator.Error{Code: administrator.CodeInternal, Message: err.Error()}
}

// formatTime formats t in UTC. It returns an empty string for the zero time.
func formatTime(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.UTC().Format(time.RFC3339)
}

// formatAge formats d rounded to 100 ms.
func formatAge(d time.Duration) string { return d.Round(100 * time.Millisecond).String() }

func formatResources(r configurator.Resources) string {
	return fmt.Sprintf("%.4g cores, %s, %d accelerators", r.Cores, configurator.FormatSize(r.Memory), r.Accelerators)
}
