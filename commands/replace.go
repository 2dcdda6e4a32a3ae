package commands

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"dotterelgap/core/raft"
	"dotterelgap/io/admin"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func newReplace(t *terminal) *ffcli.Command {
	fs := newFlagSet(t, "dotterelgap replace")
	var o operatorFlags
	o.bind(fs)
	limit := fs.Duration("timeout", time.Minute, "how long to wait for the replacement")
	return &ffcli.Command{
		Name:       "replace",
		ShortUsage: "dotterelgap replace [flags] MEMBER",
		ShortHelp:  "replaces a lost control host",
		LongHelp: help(`
Removes a lost control host from the group after a new host has caught up, and
waits until the group can tolerate the loss of any other host. Start the new host
first, with an empty data folder and without -bootstrap. It is safe to retry the
command.

Example:
  dotterelgap replace 5f0c3a9d11e24b07
`),
		FlagSet: fs,
		Options: envOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return &UsageError{Message: "needs the id of a member; see 'dotterelgap status'"}
			}
			id, err := strconv.ParseUint(args[0], 16, 64)
			if err != nil {
				return &UsageError{Message: "the id of a member must be a hexadecimal number; see 'dotterelgap status'"}
			}
			ctx, cancel := context.WithTimeout(ctx, *limit)
			defer cancel()
			return t.replace(ctx, &o, raft.MemberID(id))
		},
	}
}

func (t *terminal) replace(ctx context.Context, o *operatorFlags, lost raft.MemberID) error {
	last := ""
	return pollUntil(ctx, func() (bool, error) {
		var r admin.ReplaceReply
		err := o.client().Do(ctx, http.MethodPost, admin.PathReplace, admin.ReplaceRequest{Lost: lost}, &r)
		if err != nil {
			return false, err
		}
		if r.Message != last {
			last = r.Message
			t.printf("%s\n", last)
		}
		return r.Complete, nil
	})
}
