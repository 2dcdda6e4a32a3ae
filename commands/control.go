package commands

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"dotterelgap/core/raft"
	"dotterelgap/io/ctrl"
	"dotterelgap/io/disk"
	"dotterelgap/io/sigs"
	"dotterelgap/io/wire"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v3/ffcli"
	"go.uber.org/zap"
)

var controlKeys = []string{
	"listen", "internal", "control", "data_dir", "size", "first_operator", "stop_timeout",
	"ca_file", "cert_file", "key_file", "log_level", "log_format", "trace_file", "trace_share",
}

func newControl(t *terminal) *ffcli.Command {
	s := defaultSettings()
	flags := newFlagSet(t, "dotterelgap control")
	options := s.bind(flags, controlKeys...)
	bootstrap := flags.Bool("bootstrap", false, "form a new control group; only for the very first start of a single host")
	return &ffcli.Command{
		Name:       "control",
		ShortUsage: "dotterelgap control [flags]",
		ShortHelp:  "stores configuration and budgets on a host with a disk",
		LongHelp: help(`
Stores the replicated log. Start one host once with -bootstrap; the others, and
all hosts that are added later, join the group at the addresses in -control. A
host with an empty data folder is a new member, whatever its address.

Example:
  dotterelgap control -internal 10.0.0.1:7300 -listen 10.0.0.1:7400 -data-dir /var/lib/dotterelgap \
    -control 10.0.0.1:7300,10.0.1.1:7300,10.0.2.1:7300 -first-operator DIGEST -bootstrap
`),
		FlagSet: flags,
		Options: options,
		Exec: func(ctx context.Context, args []string) error {
			if err := noArgs(args); err != nil {
				return err
			}
			if err := s.check("listen", "internal", "control", "data_dir"); err != nil {
				return err
			}
			return runControl(ctx, t.signals, s, *bootstrap)
		},
	}
}

func runControl(ctx context.Context, signals *sigs.Signals, s *Settings, bootstrap bool) error {
	p, err := startProcess(signals, s, "control")
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", s.Listen.String())
	if err != nil {
		return trace.Wrap(err)
	}
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	c, err := startControl(ctx, p, s, ln, bootstrap, stop)
	if err != nil {
		return err
	}
	p.Log.Info("control: listening", zap.Stringer("operators", ln.Addr()), zap.Stringer("internal", p.server.Addr()))
	err = p.runUntilDone(ctx, s, "control", c)
	var diskErr *diskFailedError
	if errors.As(context.Cause(ctx), &diskErr) {
		return diskErr
	}
	return err
}

// diskFailedError means that a control host stopped because it could not use its data
// folder.
type diskFailedError struct{ err error }

func (e *diskFailedError) Error() string { return "data folder failed: " + e.err.Error() }

// controlRole is a running control host with its HTTP admin API.
type controlRole struct {
	host   *ctrl.Host
	client *ctrl.Client
	server *wire.Server
	http   *http.Server
	cancel context.CancelFunc
}

// Close implements stopper. A control host has no requests that could be aborted.
func (c *controlRole) Close(ctx context.Context) (int, error) {
	c.cancel()
	c.host.Leave(ctx, c.client)
	err := c.http.Shutdown(ctx)
	hostErr := c.host.Close()
	return 0, trace.NewAggregate(err, hostErr, c.server.Close(ctx))
}

func startControl(ctx context.Context, p *process, s *Settings, ln net.Listener, bootstrap bool, stop context.CancelCauseFunc) (*controlRole, error) {
	self := p.server.Addr()
	f, err := openFolder(ctx, p, s, self, bootstrap)
	if err != nil {
		return nil, err
	}
	h, err := ctrl.Start(ctrl.Deps{
		Log: p.Log, Store: f.Store, Identity: f.Identity, Saved: f.Saved, Pool: p.pool, Addr: self,
		Size: s.Size, FirstOperator: s.FirstOperator, Rand: p.rnd,
		Fatal: func(err error) { stop(&diskFailedError{err}) },
	})
	if err != nil {
		return nil, err
	}
	if err := p.server.Register("Control", ctrl.NewService(h)); err != nil {
		return nil, err
	}
	p.server.Serve()
	client := ctrl.NewClient(p.pool, append(s.controlAddrs(), self))
	mux := http.NewServeMux()
	mux.Handle("/v1/", ctrl.AdminHandler(client))
	mux.Handle("GET /metrics", p.Metrics())
	role := &controlRole{host: h, client: client, server: p.server, http: &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}}
	joinCtx, cancel := context.WithCancel(ctx)
	role.cancel = cancel
	go func() { _ = role.http.Serve(ln) }()
	if !f.Member() {
		go ctrl.Join(joinCtx, p.Log, client, raft.Member{ID: f.Identity.Member, Addr: self})
	}
	return role, nil
}

// openFolder opens the data folder, or initializes it for a new member if it is empty.
func openFolder(ctx context.Context, p *process, s *Settings, self netip.AddrPort, bootstrap bool) (ctrl.Folder, error) {
	f, err := ctrl.OpenFolder(disk.OS(), s.DataDir)
	if err == nil {
		if bootstrap {
			p.Log.Info("control: the data folder belongs to a group already; ignoring -bootstrap")
		}
		return f, nil
	}
	if !ctrl.IsEmpty(err) {
		return f, err
	}
	if bootstrap {
		err := ctrl.RefuseSecondGroup(ctx, p.pool, s.controlAddrs(), self)
		var exists *ctrl.GroupExistsError
		if errors.As(err, &exists) {
			return f, &UsageError{Message: exists.Error() + "; start without -bootstrap to join it"}
		}
		if err != nil {
			return f, err
		}
	}
	f, err = ctrl.MakeFolder(disk.OS(), s.DataDir, p.rnd, self, bootstrap)
	if err == nil {
		p.Log.Info("control: initialized a new data folder", zap.String("member", fmt.Sprintf("%x", uint64(f.Identity.Member))))
	}
	return f, err
}
