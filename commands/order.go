package commands

import (
	"context"
	"fmt"
	"net/http"

	"dotterelgap/core/fleet"
	"dotterelgap/io/admin"

	"github.com/google/uuid"
	"github.com/peterbourgon/ff/v3/ffcli"
)

func newOrder(t *terminal) *ffcli.Command {
	fs := newFlagSet(t, "dotterelgap order")
	var o operatorFlags
	o.bind(fs)
	id := fs.String("id", "", "id of the order; use the same id to retry it")
	node := fs.String("agent", "", "id of the agent that runs next to the engine")
	action := fs.String("action", "", "load_model, load_adapter, load_version or change_role")
	name := fs.String("name", "", "name of the model, adapter, version or role")
	return &ffcli.Command{
		Name:       "order",
		ShortUsage: "dotterelgap order [flags]",
		ShortHelp:  "sends an order to an engine",
		LongHelp: help(`
Sends an order to an engine, with a fencing number from the control log.

Example:
  dotterelgap order -id roll-7 -agent agent-0c2d5b1e9f00 -action load_version -name v7
`),
		FlagSet: fs,
		Options: envOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if err := noArgs(args); err != nil {
				return err
			}
			if *node == "" || *action == "" {
				return &UsageError{Message: "needs -agent and -action"}
			}
			if *id == "" {
				*id = uuid.NewString()
			}
			var r admin.OrderReply
			req := admin.OrderRequest{ID: *id, Agent: fleet.NodeID(*node), Action: *action, Name: *name}
			if err := o.client().Do(ctx, http.MethodPost, admin.PathOrders, req, &r); err != nil {
				return err
			}
			if !r.Done {
				return fmt.Errorf("order %d was not carried out: %s", r.Number, r.Message)
			}
			t.printf("order %d was carried out\n", r.Number)
			return nil
		},
	}
}
