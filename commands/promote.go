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
	out := fs.String("out", "", "file for the promoted document; if empty, the standard output")
	return &ffcli.Command{
		Name:       "promote",
		ShortUsage: "dotterelgap promote [flags] FROM TO",
		ShortHelp:  "copies the intent of a trial document to production",
		LongHelp: help(`
Writes a document with the intent block of FROM and the environment block of TO,
both byte for byte. Review it with diff, then apply it.

Example:
  dotterelgap promote -out next.json trial.json production.json
`),
		FlagSet: fs,
		Options: envOptions(),
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 2 {
				return &UsageError{Message: "needs two documents: FROM and TO"}
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
	_, _ = fmt.Fprintf(t.err, "intent %s is the same in both documents\n", digest)
	if out == "" {
		_, err = t.out.Write(text)
		return trace.Wrap(err)
	}
	return trace.ConvertSystemError(os.WriteFile(out, text, 0o600))
}
