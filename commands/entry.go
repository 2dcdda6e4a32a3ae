package commands

import (
	"context"
	"net"
	"runtime/debug"

	"dotterelgap/core/escrow"
	"dotterelgap/core/fleet"
	"dotterelgap/io/conns"
	"dotterelgap/io/entry"
	"dotterelgap/io/intake"
	"dotterelgap/io/sigs"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v3/ffcli"
	"go.uber.org/zap"
)

var entryKeys = []string{
	"place", "listen", "internal", "control", "stop_timeout", "leave_notice", "budget_wait", "budget_horizon", "report_interval", "memory_mb",
	"ca_file", "cert_file", "key_file", "log_level", "log_format", "trace_file", "trace_share",
}

func newEntry(t *terminal) *ffcli.Command {
	s := defaultSettings()
	fs := newFlagSet(t, "dotterelgap entry")
	return &ffcli.Command{
		Name:       "entry",
		ShortUsage: "dotterelgap entry [flags]",
		ShortHelp:  "serves callers over HTTP",
		LongHelp: help(`
Serves callers over HTTP, reserves budget and forwards requests to agents. It
stores nothing on disk. On SIGTERM it reports that it is not ready, completes the
requests in progress, returns its grants and exits.

Example:
  dotterelgap entry -place sialkot -listen 10.0.0.4:8080 \
    -internal 10.0.0.4:7100 -control 10.0.0.1:7300,10.0.1.1:7300,10.0.2.1:7300
`),
		FlagSet: fs,
		Options: s.bind(fs, entryKeys...),
		Exec: func(ctx context.Context, args []string) error {
			if err := noArgs(args); err != nil {
				return err
			}
			if err := s.check("place", "listen", "internal", "control"); err != nil {
				return err
			}
			return runEntry(ctx, t.signals, s)
		},
	}
}

func runEntry(ctx context.Context, signals *sigs.Signals, s *Settings) error {
	debug.SetMemoryLimit(memoryLimit(s.MemoryMB))
	p, err := startProcess(signals, s, "entry")
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", s.Listen.String())
	if err != nil {
		return trace.Wrap(err)
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	e, err := startEntry(p, s, ln, stop)
	if err != nil {
		return err
	}
	p.Log.Info("entry: listening", zap.Stringer("callers", ln.Addr()), zap.Stringer("internal", p.server.Addr()))
	return p.runUntilDone(ctx, s, "entry", e)
}

func startEntry(p *process, s *Settings, ln net.Listener, stop func()) (*entry.Entry, error) {
	limits := entry.DefaultLimits()
	limits.LeaveNotice = s.LeaveNotice.Std()
	budget := escrow.DefaultOptions()
	budget.WaitLimit = s.BudgetWait.Std()
	budget.Horizon = s.BudgetHorizon.Std()
	budget.ReportInterval = s.ReportInterval.Std()
	return entry.Start(entry.Deps{
		Log: p.Log, Server: p.server, Listener: ln, Pool: p.pool, TLS: p.tls, Control: s.controlAddrs(),
		Node: fleet.Node{
			ID: fleet.NewNodeID(fleet.RoleEntry, p.rnd), Role: fleet.RoleEntry,
			Place: s.place(), Addr: p.server.Addr(),
		},
		Rand: p.rnd, Limits: limits, Budget: budget, Metrics: p.Metrics(), Stop: stop,
		Intake: intake.Options{Memory: memoryPart(callerShare, s.MemoryMB)}, MaxCallers: conns.Shares().Callers,
	})
}
