package commands

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"dotterelgap/core/config"
	"dotterelgap/core/escrow"
	"dotterelgap/core/fleet"
	"dotterelgap/core/ledger"
	"dotterelgap/core/raft"
	"dotterelgap/io/admin"
	"dotterelgap/io/wire"

	"github.com/google/uuid"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// pollInterval is the time between two looks at something that takes a while.
const pollInterval = 200 * time.Millisecond

func pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

func newTopUp(t *terminal) *ffcli.Command {
	fs := newFlagSet(t, "dotterelgap topup")
	var o operatorFlags
	o.bind(fs)
	customer := fs.String("customer", "", "customer that paid")
	tokens := fs.Int64("tokens", 0, "number of tokens")
	id := fs.String("id", "", "id of the payment; it counts once, however often it is sent")
	return &ffcli.Command{
		Name:       "topup",
		ShortUsage: "dotterelgap topup [flags]",
		ShortHelp:  "books a payment",
		LongHelp: help(`
Books a payment of a customer. Repeating it with the same id is safe.

Example:
  dotterelgap topup -customer multan -tokens 500000 -id invoice-2291
`),
		FlagSet: fs,
		Options: env(),
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
Shows what a customer paid, what was billed, the grants by place, and what is in
doubt and why.

Example:
  dotterelgap customer multan
`),
		FlagSet: fs,
		Options: env(),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return &UsageError{Message: "one customer is needed"}
			}
			c, err := o.client().Customer(ctx, args[0])
			return t.showCustomer(&o, c, err)
		},
	}
}

func newStatus(t *terminal) *ffcli.Command {
	fs := newFlagSet(t, "dotterelgap status")
	var o operatorFlags
	o.bind(fs)
	return &ffcli.Command{
		Name:       "status",
		ShortUsage: "dotterelgap status [flags]",
		ShortHelp:  "shows the fleet",
		LongHelp: help(`
Shows the configuration in force and who lags behind it, the control group, the
live processes, and the grants in doubt.

Example:
  dotterelgap status -json
`),
		FlagSet: fs,
		Options: env(),
		Exec: func(ctx context.Context, args []string) error {
			if err := noArgs(args); err != nil {
				return err
			}
			s, err := o.client().Status(ctx)
			if err != nil {
				return err
			}
			if o.json {
				return t.printJSON(s)
			}
			t.printStatus(s)
			return nil
		},
	}
}

func (t *terminal) printStatus(s admin.StatusReply) {
	t.printf("configuration: version %d of environment %q, %d processes lag\n", s.Version, s.Environment, len(s.Lagging))
	t.printf("fleet: %d voters, %d processes\n", s.Control.Members.Voters(), len(s.Nodes))
	for _, m := range s.Control.Members.Members {
		kind := "learner"
		if m.Voter {
			kind = "voter"
		}
		if m.ID == s.Control.Self {
			kind = "leader"
		}
		t.printf("control %x at %s: %s, has %d of %d entries\n", uint64(m.ID), m.Addr, kind, s.Control.Match[m.ID], s.Control.Commit)
	}
	for _, n := range s.Nodes {
		t.printf("%s %s in %s at %s", n.Role, n.ID, n.Place, n.Addr)
		if n.Role == fleet.RoleAgent {
			t.printf(": %s, %d running, %d waiting", n.Service, n.Running, n.Waiting)
		} else {
			t.printf(": version %d", n.Config)
		}
		if n.Draining {
			t.printf(", draining")
		}
		t.printf("\n")
	}
	for _, g := range s.Doubts {
		t.printf("grant %d: %d tokens in doubt: %s\n", g.ID, g.Outstanding, g.Doubt)
	}
}

func newDrain(t *terminal) *ffcli.Command {
	fs := newFlagSet(t, "dotterelgap drain")
	var o operatorFlags
	o.bind(fs)
	return &ffcli.Command{
		Name:       "drain",
		ShortUsage: "dotterelgap drain [flags] NODE",
		ShortHelp:  "makes an entry or agent leave",
		LongHelp: help(`
Tells a process to take no new work, finish what it has, and end.

Example:
  dotterelgap drain agent-0c2d5b1e9f00
`),
		FlagSet: fs,
		Options: env(),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return &UsageError{Message: "one process id is needed; see 'dotterelgap status'"}
			}
			var ignored struct{}
			return o.client().Do(ctx, http.MethodPost, admin.PathDrain, admin.DrainRequest{Node: fleet.NodeID(args[0])}, &ignored)
		},
	}
}

func newReplace(t *terminal) *ffcli.Command {
	fs := newFlagSet(t, "dotterelgap replace")
	var o operatorFlags
	o.bind(fs)
	limit := fs.Duration("timeout", time.Minute, "how long to wait for the repair")
	return &ffcli.Command{
		Name:       "replace",
		ShortUsage: "dotterelgap replace [flags] MEMBER",
		ShortHelp:  "replaces a lost control host",
		LongHelp: help(`
Takes a lost control host out of the group once a new host has caught up, and
waits until the group could lose any other host. Start the new host first, with
an empty data folder and without -bootstrap. Repeating the command is safe.

Example:
  dotterelgap replace 5f0c3a9d11e24b07
`),
		FlagSet: fs,
		Options: env(),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return &UsageError{Message: "one member is needed; see 'dotterelgap status'"}
			}
			id, err := strconv.ParseUint(args[0], 16, 64)
			if err != nil {
				return &UsageError{Message: "a member is a hexadecimal number; see 'dotterelgap status'"}
			}
			ctx, cancel := context.WithTimeout(ctx, *limit)
			defer cancel()
			return t.replace(ctx, &o, raft.MemberID(id))
		},
	}
}

func (t *terminal) replace(ctx context.Context, o *operatorFlags, lost raft.MemberID) error {
	last := ""
	return repeatUntil(ctx, func() (bool, error) {
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

func newWriteOff(t *terminal) *ffcli.Command {
	fs := newFlagSet(t, "dotterelgap write-off")
	var o operatorFlags
	o.bind(fs)
	id := fs.String("id", "", "id of the write-off; it counts once")
	grant := fs.Uint64("grant", 0, "grant in doubt")
	bill := fs.Int64("bill", 0, "tokens to bill; the rest returns to the customer")
	return &ffcli.Command{
		Name:       "write-off",
		ShortUsage: "dotterelgap write-off [flags]",
		ShortHelp:  "ends the doubt about a grant",
		LongHelp: help(`
Settles a grant whose use can't be found out, since an agent ended without its
accounts. Repeating it with the same id is safe.

Example:
  dotterelgap write-off -id case-17 -grant 8812 -bill 0
`),
		FlagSet: fs,
		Options: env(),
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

func newOrder(t *terminal) *ffcli.Command {
	fs := newFlagSet(t, "dotterelgap order")
	var o operatorFlags
	o.bind(fs)
	id := fs.String("id", "", "id of the order; give the same again to repeat it")
	node := fs.String("agent", "", "agent beside the engine")
	action := fs.String("action", "", "load_model, load_adapter, load_version or change_role")
	name := fs.String("name", "", "what to load, or which role")
	return &ffcli.Command{
		Name:       "order",
		ShortUsage: "dotterelgap order [flags]",
		ShortHelp:  "gives an engine an order",
		LongHelp: help(`
Gives an engine an order under a fencing number of the control log.

Example:
  dotterelgap order -id roll-7 -agent agent-0c2d5b1e9f00 -action load_version -name v7
`),
		FlagSet: fs,
		Options: env(),
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

func newKeygen(t *terminal) *ffcli.Command {
	fs := newFlagSet(t, "dotterelgap keygen")
	dir := fs.String("dir", "", "folder for the fleet's authority and a process's certificate; without it a bearer key is made")
	name := fs.String("name", "process", "name of the process")
	return &ffcli.Command{
		Name:       "keygen",
		ShortUsage: "dotterelgap keygen [flags]",
		ShortHelp:  "makes a bearer key or a process's certificate",
		LongHelp: help(`
Without -dir: prints a random bearer key and its digest for the document. With
-dir: makes the fleet's authority there, once, and a certificate for a process.

Example:
  dotterelgap keygen
  dotterelgap keygen -dir keys -name entry-1
`),
		FlagSet: fs,
		Options: env(),
		Exec: func(_ context.Context, args []string) error {
			if err := noArgs(args); err != nil {
				return err
			}
			if *dir == "" {
				key := newKey()
				t.printf("key    %s\ndigest %s\n", key, config.DigestOf(key))
				return nil
			}
			keys, err := wire.Generate(*dir, *name, time.Now())
			if err != nil {
				return err
			}
			return t.printJSON(keys)
		},
	}
}

func newVersion(t *terminal) *ffcli.Command {
	return &ffcli.Command{
		Name:       "version",
		ShortUsage: "dotterelgap version",
		ShortHelp:  "prints the version",
		LongHelp:   help("Prints the version.\n\nExample:\n  dotterelgap version"),
		FlagSet:    newFlagSet(t, "dotterelgap version"),
		Exec: func(context.Context, []string) error {
			t.printf("dotterelgap %s\n", Version)
			return nil
		},
	}
}

// Version is the version of the program.
const Version = "0.1.0"
