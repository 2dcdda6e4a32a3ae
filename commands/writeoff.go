package commands

import (
	"context"
	"net/http"

	"dotterelgap/core/escrow"
	"dotterelgap/core/ledger"
	"dotterelgap/io/admin"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func newWriteOff(t *terminal) *ffcli.Command {
	fs := newFlagSet(t, "dotterelgap write-off")
	var o operatorFlags
	o.bind(fs)
	id := fs.String("id", "", "id of the write-off; a write-off is recorded once per id")
	grant := fs.Uint64("grant", 0, "grant in doubt")
	bill := fs.Int64("bill", 0, "tokens to bill; the rest returns to the customer")
	return &ffcli.Command{
		Name:       "write-off",
		ShortUsage: "dotterelgap write-off [flags]",
		ShortHelp:  "settles a grant in doubt",
		LongHelp: help(`
Settles a grant whose use can't be determined because an agent exited without
reporting it. It is safe to retry it with the same id.

Example:
  dotterelgap write-off -id case-17 -grant 8812 -bill 0
`),
		FlagSet: fs,
		Options: envOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if err := noArgs(args); err != nil {
				return err
			}
			if *id == "" || *grant == 0 {
				return &UsageError{Message: "needs -id and -grant"}
			}
			w := ledger.WriteOff{ID: *id, Grant: escrow.GrantID(*grant), Bill: escrow.Tokens(*bill)}
			var ignored struct{}
			return o.client().Do(ctx, http.MethodPost, admin.PathWriteOffs, w, &ignored)
		},
	}
}
