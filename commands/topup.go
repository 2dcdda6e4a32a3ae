package commands

import (
	"context"

	"dotterelgap/core/escrow"
	"dotterelgap/core/ledger"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func newTopUp(t *terminal) *ffcli.Command {
	fs := newFlagSet(t, "dotterelgap topup")
	var o operatorFlags
	o.bind(fs)
	customer := fs.String("customer", "", "customer that paid")
	tokens := fs.Int64("tokens", 0, "number of tokens")
	id := fs.String("id", "", "id of the payment; a payment is recorded once per id")
	return &ffcli.Command{
		Name:       "topup",
		ShortUsage: "dotterelgap topup [flags]",
		ShortHelp:  "records a payment",
		LongHelp: help(`
Records a payment of a customer. It is safe to retry it with the same id.

Example:
  dotterelgap topup -customer multan -tokens 500000 -id invoice-2291
`),
		FlagSet: fs,
		Options: envOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if err := noArgs(args); err != nil {
				return err
			}
			if *customer == "" || *id == "" || *tokens <= 0 {
				return &UsageError{Message: "needs -customer, -id and a positive -tokens"}
			}
			c, err := o.client().TopUp(ctx, ledger.TopUp{ID: *id, Customer: *customer, Tokens: escrow.Tokens(*tokens)})
			return t.showCustomer(&o, c, err)
		},
	}
}
