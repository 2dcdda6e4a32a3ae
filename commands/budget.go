package commands

import (
	"context"
	"net/netip"
	"strings"
	"text/tabwriter"
	"time"

	"dotterelgap/core/quota"
	"dotterelgap/io/ctrl"
	"dotterelgap/io/wire"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// budgetTimeout limits the time to find the leader and get its reply.
const budgetTimeout = 5 * time.Second

// UnknownBudgetError means that the ledger has no such customer.
type UnknownBudgetError struct {
	Customer string
}

// Error implements error.
func (e *UnknownBudgetError) Error() string { return "no customer " + e.Customer + " in the ledger" }

func newBudget(t *terminal) *ffcli.Command {
	fs := newFlagSet(t, "dotterelgap budget")
	addrs := fs.String("nodes", "127.0.0.1:7500", "internal addresses of nodes with a data folder, separated by commas")
	asJSON := fs.Bool("json", false, "print JSON")
	return &ffcli.Command{
		Name:       "budget",
		ShortUsage: "dotterelgap budget [flags] CUSTOMER",
		ShortHelp:  "shows where a customer's tokens are in a fleet of nodes",
		LongHelp: help(`
Shows what a customer has paid, what nodes that have ended were billed, and what
each node has spent, reserved and still holds, as far as the nodes have reported.
The leader of the control group replies.

Example:
  dotterelgap budget -nodes 10.1.0.9:7500,10.2.0.41:7500 multan
`),
		FlagSet: fs,
		Options: envOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return &UsageError{Message: "needs the name of a customer"}
			}
			nodes, err := parseNodes(*addrs)
			if err != nil {
				return err
			}
			v, err := fetchBudget(ctx, nodes, args[0])
			if err != nil {
				return err
			}
			if *asJSON {
				return t.printJSON(v)
			}
			return t.printBudget(v)
		},
	}
}

func parseNodes(list string) ([]netip.AddrPort, error) {
	var out []netip.AddrPort
	for s := range strings.SplitSeq(list, ",") {
		a, err := netip.ParseAddrPort(strings.TrimSpace(s))
		if err != nil {
			return nil, &UsageError{Message: "-nodes: " + err.Error()}
		}
		out = append(out, a)
	}
	return out, nil
}

func fetchBudget(ctx context.Context, nodes []netip.AddrPort, customer string) (quota.AccountView, error) {
	ctx, cancel := context.WithTimeout(ctx, budgetTimeout)
	defer cancel()
	pool := wire.NewPool(nil)
	defer func() { _ = pool.Close() }()
	r, err := ctrl.Call[wire.AccountReply](ctx, ctrl.NewClient(pool, nodes), "Control.Account", &wire.AccountArgs{Customer: customer})
	if err != nil {
		return quota.AccountView{}, trace.Wrap(err)
	}
	if !r.Known {
		return quota.AccountView{}, &UnknownBudgetError{Customer: customer}
	}
	return r.Account, nil
}

func (t *terminal) printBudget(v quota.AccountView) error {
	if !v.Bounded {
		t.printf("customer %s: not limited\n", v.Customer)
	} else {
		t.printf("customer %s: paid %d, free %d, billed to ended nodes %d (of that not reported as used %d)\n",
			v.Customer, v.Paid, v.Free, v.Ended, v.Forfeited)
	}
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', tabwriter.AlignRight)
	rows := &terminal{out: w}
	rows.printf("node\tspent\tin progress\treserved\tunspent\t\n")
	for _, h := range v.Holders {
		rows.printf("%s\t%d\t%d\t%d\t%d\t\n", h.Addr, h.Spent, h.Begun, h.Reserved, h.Unspent)
	}
	return trace.Wrap(w.Flush())
}
