package commands

import (
	"context"
	"slices"

	"dotterelgap/core/config"
	"dotterelgap/io/admin"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func newDiff(t *terminal) *ffcli.Command {
	fs := newFlagSet(t, "dotterelgap diff")
	var o operatorFlags
	o.bind(fs)
	return &ffcli.Command{
		Name:       "diff",
		ShortUsage: "dotterelgap diff [flags] DOCUMENT",
		ShortHelp:  "compares a document with the configuration in force",
		LongHelp: help(`
Lists the changes that applying the document would make. The exit code is 5 if
there are any.

Example:
  dotterelgap diff -admin http://10.0.0.1:7400 trial.json
`),
		FlagSet: fs,
		Options: envOptions(),
		Exec: func(ctx context.Context, args []string) error {
			_, _, doc, err := oneDocument(args)
			if err != nil {
				return err
			}
			current, err := o.client().Config(ctx)
			if err != nil {
				return err
			}
			return t.printDiff(o.json, current, config.Diff(config.Split(current.Document), config.Split(doc)))
		},
	}
}

// diffReport is the JSON output of diff.
type diffReport struct {
	Version uint64   `json:"version"`
	Put     []string `json:"put"`
	Delete  []string `json:"delete"`
}

func (t *terminal) printDiff(asJSON bool, current admin.ConfigReply, c config.Change) error {
	r := diffReport{Version: current.Version, Put: []string{}, Delete: append([]string{}, c.Delete...)}
	for k := range c.Put {
		r.Put = append(r.Put, k)
	}
	slices.Sort(r.Put)
	if asJSON {
		if err := t.printJSON(r); err != nil {
			return err
		}
	} else {
		t.printf("version %d is in force\n", r.Version)
		for _, k := range r.Put {
			t.printf("put    %s\n", k)
		}
		for _, k := range r.Delete {
			t.printf("delete %s\n", k)
		}
	}
	if c.Empty() {
		return nil
	}
	return &DiffersError{}
}
