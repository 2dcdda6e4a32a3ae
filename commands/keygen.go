package commands

import (
	"context"
	"time"

	"dotterelgap/core/config"
	"dotterelgap/io/wire"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func newKeygen(t *terminal) *ffcli.Command {
	fs := newFlagSet(t, "dotterelgap keygen")
	dir := fs.String("dir", "", "folder for the fleet's certificate authority and the certificate of a process; if empty, a bearer key is generated")
	name := fs.String("name", "process", "name of the process")
	return &ffcli.Command{
		Name:       "keygen",
		ShortUsage: "dotterelgap keygen [flags]",
		ShortHelp:  "generates a bearer key or the certificate of a process",
		LongHelp: help(`
Without -dir, prints a random bearer key and its digest for the document. With
-dir, creates the fleet's certificate authority in the folder, unless it exists
already, and a certificate for a process.

Example:
  dotterelgap keygen
  dotterelgap keygen -dir keys -name entry-1
`),
		FlagSet: fs,
		Options: envOptions(),
		Exec: func(_ context.Context, args []string) error {
			if err := noArgs(args); err != nil {
				return err
			}
			if *dir == "" {
				key := newKey()
				t.printf("key    %s\ndigest %s\n", key, config.DigestOf(key))
				return nil
			}
			keys, err := wire.Generate(*dir, *name, time.Now())
			if err != nil {
				return err
			}
			return t.printJSON(keys)
		},
	}
}
