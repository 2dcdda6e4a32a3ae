package commands

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func newVersion(t *terminal) *ffcli.Command {
	return &ffcli.Command{
		Name:       "version",
		ShortUsage: "dotterelgap version",
		ShortHelp:  "prints the version",
		LongHelp:   help("Prints the version.\n\nExample:\n  dotterelgap version"),
		FlagSet:    newFlagSet(t, "dotterelgap version"),
		Exec: func(context.Context, []string) error {
			t.printf("dotterelgap %s\n", Version)
			return nil
		},
	}
}

// Version is the version of the program.
const Version = "0.1.0"
