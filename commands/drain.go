package commands

import (
	"context"
	"net/http"

	"dotterelgap/core/fleet"
	"dotterelgap/io/admin"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func newDrain(t *terminal) *ffcli.Command {
	fs := newFlagSet(t, "dotterelgap drain")
	var o operatorFlags
	o.bind(fs)
	return &ffcli.Command{
		Name:       "drain",
		ShortUsage: "dotterelgap drain [flags] NODE",
		ShortHelp:  "drains an entry or agent",
		LongHelp: help(`
Tells a process to accept no new requests, complete those in progress, and exit.

Example:
  dotterelgap drain agent-0c2d5b1e9f00
`),
		FlagSet: fs,
		Options: envOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return &UsageError{Message: "needs the id of a process; see 'dotterelgap status'"}
			}
			var ignored struct{}
			return o.client().Do(ctx, http.MethodPost, admin.PathDrain, admin.DrainRequest{Node: fleet.NodeID(args[0])}, &ignored)
		},
	}
}
