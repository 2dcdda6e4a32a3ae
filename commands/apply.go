package commands

import (
	"context"
	"fmt"

	"dotterelgap/io/admin"

	"github.com/google/uuid"
	"github.com/peterbourgon/ff/v3/ffcli"
)

func newApply(t *terminal) *ffcli.Command {
	fs := newFlagSet(t, "dotterelgap apply")
	var o operatorFlags
	o.bind(fs)
	base := fs.Int64("base", -1, "version that the document is based on; -1 for the version in force")
	change := fs.String("change-id", "", "id of the change; use the same id to retry after a lost response")
	return &ffcli.Command{
		Name:       "apply",
		ShortUsage: "dotterelgap apply [flags] DOCUMENT",
		ShortHelp:  "applies a document as the new configuration",
		LongHelp: help(`
Proposes the document as the version after -base. Of several changes with the
same base one is accepted; the others exit with code 3 and report the id of the
accepted change. Retrying a change with its id returns the result of the first
attempt.

Example:
  dotterelgap apply -admin http://10.0.0.1:7400 -base 7 -change-id add-multan trial.json
`),
		FlagSet: fs,
		Options: envOptions(),
		Exec: func(ctx context.Context, args []string) error {
			name, data, _, err := oneDocument(args)
			if err != nil {
				return err
			}
			req := admin.ApplyRequest{ChangeID: *change, Base: uint64(max(*base, 0)), File: name, Document: string(data)}
			return t.apply(ctx, &o, req, *base < 0)
		},
	}
}

func (t *terminal) apply(ctx context.Context, o *operatorFlags, req admin.ApplyRequest, latestBase bool) error {
	c := o.client()
	if latestBase {
		current, err := c.Config(ctx)
		if err != nil {
			return err
		}
		req.Base = current.Version
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
		if err := t.printJSON(r.Result); err != nil {
			return err
		}
	}
	v := r.Result
	switch {
	case v.Accepted && !o.json:
		t.printf("accepted as version %d\n", v.Version)
		if v.Reason != "" {
			t.printf("warning: %s\n", v.Reason)
		}
	case v.Winner != "":
		return &ConflictError{Message: fmt.Sprintf("conflict: version %d is change %q", v.Base+1, v.Winner)}
	case !v.Accepted:
		return &ConflictError{Message: "refused: " + v.Reason}
	}
	return nil
}
