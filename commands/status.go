package commands

import (
	"context"

	"dotterelgap/core/fleet"
	"dotterelgap/io/admin"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func newStatus(t *terminal) *ffcli.Command {
	fs := newFlagSet(t, "dotterelgap status")
	var o operatorFlags
	o.bind(fs)
	return &ffcli.Command{
		Name:       "status",
		ShortUsage: "dotterelgap status [flags]",
		ShortHelp:  "shows the state of the fleet",
		LongHelp: help(`
Shows the configuration in force and which processes lag behind it, the control
group, the live processes, and the grants in doubt.

Example:
  dotterelgap status -json
`),
		FlagSet: fs,
		Options: envOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if err := noArgs(args); err != nil {
				return err
			}
			s, err := o.client().Status(ctx)
			if err != nil {
				return err
			}
			if o.json {
				return t.printJSON(s)
			}
			t.printStatus(s)
			return nil
		},
	}
}

func (t *terminal) printStatus(s admin.StatusReply) {
	t.printf("configuration: version %d of environment %q, %d processes lag\n", s.Version, s.Environment, len(s.Lagging))
	t.printf("fleet: %d voters, %d processes\n", s.Control.Members.Voters(), len(s.Nodes))
	for _, m := range s.Control.Members.Members {
		kind := "learner"
		if m.Voter {
			kind = "voter"
		}
		if m.ID == s.Control.Self {
			kind = "leader"
		}
		t.printf("control %x at %s: %s, has %d of %d entries\n", uint64(m.ID), m.Addr, kind, s.Control.Match[m.ID], s.Control.Commit)
	}
	for _, n := range s.Nodes {
		t.printf("%s %s in %s at %s", n.Role, n.ID, n.Place, n.Addr)
		if n.Role == fleet.RoleAgent {
			t.printf(": %s, %d running, %d waiting", n.Service, n.Running, n.Waiting)
		} else {
			t.printf(": version %d", n.Config)
		}
		if n.Draining {
			t.printf(", draining")
		}
		t.printf("\n")
	}
	for _, g := range s.Doubts {
		t.printf("grant %d: %d tokens in doubt: %s\n", g.ID, g.Outstanding, g.Doubt)
	}
}
