package commands

import (
	"context"
	"fmt"
	"os"
	"slices"

	"dotterelgap/core/config"
	"dotterelgap/io/admin"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
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
			name, data, err := oneFile(args)
			if err != nil {
				return err
			}
			doc, err := config.Parse(name, data)
			if err != nil {
				return err
			}
			t.printf("%s: environment %s, %d customers, %d services, no mistakes\n",
				name, doc.Environment.Name, len(doc.Intent.Customers), len(doc.Intent.Services))
			return nil
		},
	}
}

func newDiff(t *terminal) *ffcli.Command {
	fs := newFlagSet(t, "dotterelgap diff")
	var o operatorFlags
	o.bind(fs)
	return &ffcli.Command{
		Name:       "diff",
		ShortUsage: "dotterelgap diff [flags] DOCUMENT",
		ShortHelp:  "compares a document with what is in force",
		LongHelp: help(`
Lists what applying the document would change. Exit code 5 says that something
differs.

Example:
  dotterelgap diff -admin http://10.0.0.1:7400 trial.json
`),
		FlagSet: fs,
		Options: env(),
		Exec: func(ctx context.Context, args []string) error {
			name, data, err := oneFile(args)
			if err != nil {
				return err
			}
			doc, err := config.Parse(name, data)
			if err != nil {
				return err
			}
			now, err := o.client().Config(ctx)
			if err != nil {
				return err
			}
			return t.printDiff(o.json, now, config.Diff(config.Split(now.Document), config.Split(doc)))
		},
	}
}

// diffReport is what diff prints as JSON.
type diffReport struct {
	Version uint64   `json:"version"`
	Put     []string `json:"put"`
	Delete  []string `json:"delete"`
}

func (t *terminal) printDiff(asJSON bool, now admin.ConfigReply, c config.Change) error {
	r := diffReport{Version: now.Version, Put: []string{}, Delete: append([]string{}, c.Delete...)}
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

func newApply(t *terminal) *ffcli.Command {
	fs := newFlagSet(t, "dotterelgap apply")
	var o operatorFlags
	o.bind(fs)
	base := fs.Int64("base", -1, "version that the document was written for; -1 takes the one in force")
	change := fs.String("change-id", "", "id of the change; give the same again to repeat it after a lost answer")
	return &ffcli.Command{
		Name:       "apply",
		ShortUsage: "dotterelgap apply [flags] DOCUMENT",
		ShortHelp:  "puts a document in force",
		LongHelp: help(`
Proposes the document as the version after -base. Of several changes with the
same base one is accepted; the others end with exit code 3 and the winner's id.
Repeating a change with its id gives its first verdict again.

Example:
  dotterelgap apply -admin http://10.0.0.1:7400 -base 7 -change-id add-multan trial.json
`),
		FlagSet: fs,
		Options: env(),
		Exec: func(ctx context.Context, args []string) error {
			name, data, err := oneFile(args)
			if err != nil {
				return err
			}
			if _, err := config.Parse(name, data); err != nil {
				return err
			}
			req := admin.ApplyRequest{ChangeID: *change, Base: uint64(max(*base, 0)), File: name, Document: string(data)}
			return t.apply(ctx, &o, req, *base < 0)
		},
	}
}

func (t *terminal) apply(ctx context.Context, o *operatorFlags, req admin.ApplyRequest, newest bool) error {
	c := o.client()
	if newest {
		now, err := c.Config(ctx)
		if err != nil {
			return err
		}
		req.Base = now.Version
	}
	if req.ChangeID == "" {
		req.ChangeID = uuid.NewString()
	}
	_, _ = fmt.Fprintf(t.err, "change id %s, base %d\n", req.ChangeID, req.Base)
	r, err := c.Apply(ctx, req)
	if err != nil {
		return err
	}
	if o.json {
		if err := t.printJSON(r.Verdict); err != nil {
			return err
		}
	}
	v := r.Verdict
	switch {
	case v.Accepted && !o.json:
		t.printf("accepted as version %d\n", v.Version)
		if v.Reason != "" {
			t.printf("but: %s\n", v.Reason)
		}
	case v.Winner != "":
		return &ConflictError{Message: fmt.Sprintf("conflict: version %d is change %q", v.Base+1, v.Winner)}
	case !v.Accepted:
		return &ConflictError{Message: "refused: " + v.Reason}
	}
	return nil
}

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
		Options: env(),
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
