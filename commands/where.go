package commands

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"text/tabwriter"
	"time"

	"dotterelgap/core/sched"
	"dotterelgap/io/front"
	"dotterelgap/io/wire"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// whereTimeout limits the time to reach the node and get its reply.
const whereTimeout = 5 * time.Second

func newWhere(t *terminal) *ffcli.Command {
	fs := newFlagSet(t, "dotterelgap where")
	addr := fs.String("node", "127.0.0.1:7500", "internal address of the node that is asked")
	host := fs.String("host", "", "host of the request")
	asJSON := fs.Bool("json", false, "print JSON")
	header := http.Header{}
	fs.Func("H", "header of the request, as `Name: value`; may be given several times", func(text string) error {
		name, value, ok := strings.Cut(text, ":")
		if !ok || strings.TrimSpace(name) == "" {
			return fmt.Errorf("%q is not a header", text)
		}
		header.Add(strings.TrimSpace(name), strings.TrimSpace(value))
		return nil
	})
	return &ffcli.Command{
		Name:       "where",
		ShortUsage: "dotterelgap where [flags] PATH",
		ShortHelp:  "shows where a request would go now, and why, without sending it",
		LongHelp: help(`
Asks a node where it would send a request with this host, path and headers now:
the route, the service, the upstream, and for each upstream of the service the
estimates or the reason why it gets no such request. Nothing is sent, reserved
or counted. Whether the customer has tokens left is not looked at; see budget.

Example:
  dotterelgap where -node 10.1.0.9:7500 -host h.example -H 'Authorization: Bearer k1' /plan/x
`),
		FlagSet: fs,
		Options: envOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return &UsageError{Message: "needs the path of a request"}
			}
			node, err := netip.ParseAddrPort(*addr)
			if err != nil {
				return &UsageError{Message: "-node: " + err.Error()}
			}
			d, err := fetchWhere(ctx, node, wire.WhereArgs{Host: *host, Path: args[0], Header: header})
			if err != nil {
				return err
			}
			if *asJSON {
				return t.printJSON(d)
			}
			return t.printWhere(d)
		},
	}
}

func fetchWhere(ctx context.Context, node netip.AddrPort, args wire.WhereArgs) (front.Destination, error) {
	ctx, cancel := context.WithTimeout(ctx, whereTimeout)
	defer cancel()
	pool := wire.NewPool(nil)
	defer func() { _ = pool.Close() }()
	var d front.Destination
	err := pool.Call(ctx, node, "Node.Where", &args, &d)
	return d, trace.Wrap(err)
}

func (t *terminal) printWhere(d front.Destination) error {
	t.printf("policy %d, route %q, service %q, customer %q, priority %d, objective %s, timeout %s\n",
		d.Policy, d.Route, d.Service, d.Customer, d.Rank, d.Objective, d.Timeout)
	switch {
	case d.Code != "":
		t.printf("would be rejected: %s\n", d.Code)
	case d.Waits:
		t.printf("would wait for a place or be rejected early: %d requests wait already\n", d.Waiting)
	default:
		t.printf("would be sent to %s\n", d.Upstream)
	}
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	rows := &terminal{out: w}
	rows.printf("upstream\tplace\tin flight\tuncached\twait\tfirst token\tslowdown\tleft out\n")
	for _, p := range d.Prospects {
		rows.printf("%s\t%s\t%d\t%d\t%s\t%s\t%.2f\t%s\n", p.Upstream.ID, p.Upstream.Place, p.InFlight, p.Uncached,
			p.Wait.Round(time.Millisecond), p.FirstToken.Round(time.Millisecond), p.Slowdown, leftOut(p.Reason, p.OpensIn))
	}
	return trace.Wrap(w.Flush())
}

// leftOut describes why an upstream gets no request, or returns "-".
func leftOut(reason sched.Reason, opensIn time.Duration) string {
	switch {
	case reason == "":
		return "-"
	case opensIn > 0:
		return fmt.Sprintf("%s, for %s", reason, opensIn.Round(time.Millisecond))
	}
	return string(reason)
}
