package commands

import (
	"context"
	"io"
	"os"

	"dotterelgap/core/reqlog"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v3/ffcli"
)

func newExplain(t *terminal) *ffcli.Command {
	fs := newFlagSet(t, "dotterelgap explain")
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: "dotterelgap explain REQUEST [LOG...]",
		ShortHelp:  "prints the history of one request from log files",
		LongHelp: help(`
Reads the log files of all processes, or the standard input, and prints the
timeline of the request with this id: the upstreams that it was sent to, what the
process knew when it chose them, how the request ended, and which changes in its
view of the system the process logged shortly before. Lines that can't be parsed
are counted and skipped. The exit code is 1 if no line mentions the request.

Example:
  dotterelgap explain 8319dc9bab8933b6 node-*.log
`),
		FlagSet: fs,
		Options: envOptions(),
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return &UsageError{Message: "needs a request's id"}
			}
			return t.explain(args[0], args[1:])
		},
	}
}

// NotFoundError means that no line of the logs mentions a request.
type NotFoundError struct {
	Request string
}

// Error implements error.
func (e *NotFoundError) Error() string { return "no line tells of request " + e.Request }

func (t *terminal) explain(request string, files []string) error {
	r := reqlog.NewReader(request)
	if len(files) == 0 {
		if err := r.Read(t.in); err != nil {
			return trace.Wrap(err)
		}
	}
	for _, name := range files {
		if err := readFile(name, r.Read); err != nil {
			return err
		}
	}
	report := r.Report()
	if err := report.Write(t.out); err != nil {
		return trace.Wrap(err)
	}
	if !report.Found() {
		return &NotFoundError{Request: request}
	}
	return nil
}

// readFile opens a file and passes it to read.
func readFile(name string, read func(io.Reader) error) error {
	f, err := os.Open(name)
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = f.Close() }()
	return trace.Wrap(read(f), "reading %s", name)
}
