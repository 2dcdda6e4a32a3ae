package commands

import (
	"context"

	"dotterelgap/io/admin"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func (t *terminal) showCustomer(o *operatorFlags, c admin.CustomerReply, err error) error {
	if err != nil {
		return err
	}
	if o.json {
		return t.printJSON(c)
	}
	printCustomer(t, c)
	return nil
}

func newCustomer(t *terminal) *ffcli.Command {
	fs := newFlagSet(t, "dotterelgap customer")
	var o operatorFlags
	o.bind(fs)
	return &ffcli.Command{
		Name:       "customer",
		ShortUsage: "dotterelgap customer [flags] NAME",
		ShortHelp:  "shows a customer's budget",
		LongHelp: help(`
Shows the tokens that a customer has paid and been billed, the grants with their
places, and which grants are in doubt and why.

Example:
  dotterelgap customer multan
`),
		FlagSet: fs,
		Options: envOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return &UsageError{Message: "needs the name of a customer"}
			}
			c, err := o.client().Customer(ctx, args[0])
			return t.showCustomer(&o, c, err)
		},
	}
}
