package commands

import (
	"context"
	"fmt"
	"os"

	"dotterelgap/core/config"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v3/ffcli"
)

func newPromote(t *terminal) *ffcli.Command {
	fs := newFlagSet(t, "dotterelgap promote")
	out := fs.String("out", "", "file for the promoted document; the standard output if empty")
	return &ffcli.Command{
		Name:       "promote",
		ShortUsage: "dotterelgap promote [flags] FROM TO",
		ShortHelp:  "carries a trial's intent over to production",
		LongHelp: help(`
Writes a document with the intent block of FROM, byte for byte, and the
environment block of TO, byte for byte. Review it with diff and apply it.

Example:
  dotterelgap promote -out next.json trial.json production.json
`),
		FlagSet: fs,
		Options: envOptions(),
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 2 {
				return &UsageError{Message: "two documents are needed: FROM and TO"}
			}
			return t.promote(args[0], args[1], *out)
		},
	}
}

func (t *terminal) promote(from, to, out string) error {
	source, err := os.ReadFile(from)
	if err != nil {
		return &UsageError{Message: err.Error()}
	}
	target, err := os.ReadFile(to)
	if err != nil {
		return &UsageError{Message: err.Error()}
	}
	text, digest, err := config.Promote(from, source, to, target)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(t.err, "intent %s is the same in both\n", digest)
	if out == "" {
		_, err = t.out.Write(text)
		return trace.Wrap(err)
	}
	return trace.ConvertSystemError(os.WriteFile(out, text, 0o600))
}
