package commands

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func newCheck(t *terminal) *ffcli.Command {
	fs := newFlagSet(t, "dotterelgap check")
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: "dotterelgap check DOCUMENT",
		ShortHelp:  "checks a document",
		LongHelp: help(`
Checks a document in full and lists every mistake with its file and line. It
talks to nobody.

Example:
  dotterelgap check trial.json
`),
		FlagSet: fs,
		Options: env(),
		Exec: func(_ context.Context, args []string) error {
			name, _, doc, err := oneDocument(args)
			if err != nil {
				return err
			}
			t.printf("%s: environment %s, %d customers, %d services, no mistakes\n",
				name, doc.Environment.Name, len(doc.Intent.Customers), len(doc.Intent.Services))
			return nil
		},
	}
}
