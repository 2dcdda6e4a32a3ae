package commands

import (
	"context"
	"strconv"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func newCheck(t *terminal) *ffcli.Command {
	fs := newFlagSet(t, "dotterelgap check")
	node := fs.Bool("node", false, "check the settings file of a node instead of a document")
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: "dotterelgap check [-node] FILE",
		ShortHelp:  "checks a document or the settings of a node",
		LongHelp: help(`
Checks a whole document and lists every mistake with its file and line. It does
not connect to other processes. With -node, FILE is the settings file of a node.

Example:
  dotterelgap check trial.json
  dotterelgap check -node /etc/dotterelgap/node.json
`),
		FlagSet: fs,
		Options: envOptions(),
		Exec: func(_ context.Context, args []string) error {
			if *node {
				return checkNode(t, args)
			}
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

// checkNode checks the settings file of a node.
func checkNode(t *terminal, args []string) error {
	if len(args) != 1 {
		return &UsageError{Message: "needs one settings file"}
	}
	s, err := readNodeSettings(args[0], &nodeOverrides{})
	if err != nil {
		return err
	}
	kind := "no control host"
	if s.DataDir != "" {
		kind = "control host where its folder is one of " + strconv.Itoa(s.size())
	}
	t.printf("%s: node %s in %s, %d seeds, %s, no mistakes\n", args[0], s.Name, s.Place, len(s.Seeds), kind)
	return nil
}
