package commands

import (
	"context"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"dotterelgap/core/quota"
	"dotterelgap/io/conns"
	"dotterelgap/io/disk"
	"dotterelgap/io/intake"
	"dotterelgap/io/node"
	"dotterelgap/io/telem"
	"dotterelgap/io/wire"
	"dotterelgap/platform"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v3/ffcli"
	"go.uber.org/zap"
)

// Timeouts and delays of a node.
const (
	// leaveNotice is how long a leaving node continues to accept requests: the
	// balancer probes once a second and needs two responses to detect that the
	// node leaves.
	leaveNotice = 2500 * time.Millisecond
	// metricsBody and metricsMemory limit the body of a request for metrics, which has none, and the
	// memory of all such requests, in bytes.
	metricsBody   = 4 << 10
	metricsMemory = 1 << 20
	// stopMargin is the part of the stop timeout that is reserved for the exit of
	// the process.
	stopMargin = 500 * time.Millisecond
)

func newNode(t *terminal) *ffcli.Command {
	fs := newFlagSet(t, "dotterelgap node")
	file := fs.String("config", "", "settings file, JSON with comments")
	var o nodeOverrides
	o.register(fs)
	return &ffcli.Command{
		Name:       "node",
		ShortUsage: "dotterelgap node -config FILE [flags]",
		ShortHelp:  "serves callers, calls upstreams directly, and can be a control host",
		LongHelp: help(`
Serves callers and calls upstreams itself, without agents next to them. Nodes
find each other through a few seeds. A node with a data folder can be a control
host. On SIGTERM it reports that it is not ready, completes the requests in
progress, returns its budgets and exits. On SIGHUP it reads its settings again.
A flag that has a value replaces the field of the settings file.

Example:
  dotterelgap node -config /etc/dotterelgap/node.json
`),
		FlagSet: fs,
		Options: envOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if err := noArgs(args); err != nil {
				return err
			}
			if *file == "" {
				return &UsageError{Message: "needs -config"}
			}
			return runNode(ctx, t, *file, &o)
		},
	}
}

func runNode(ctx context.Context, term *terminal, file string, o *nodeOverrides) error {
	term.signals.IgnoreClosedOutput()
	s, err := readNodeSettings(file, o)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(memoryLimit(s.MemoryMB))
	t, err := telem.Start(s.telemetry(), "node")
	if err != nil {
		return err
	}
	t.Log = t.Log.With(zap.String("node", s.Name))
	n, err := startNode(t, term.fs, s)
	if err != nil {
		return err
	}
	if err := serveMetrics(t, s); err != nil {
		return err
	}
	t.Log.Info("node: listening", zap.Stringer("callers", s.Listen), zap.Stringer("internal", s.Internal))
	closed := make(chan struct{})
	var watching sync.WaitGroup
	watching.Go(func() { watchSettings(closed, term.signals.Hangups(), t.Log, file, o, n) })
	<-ctx.Done()
	t.Log.Info("node: stopping")
	closeCtx, cancel := context.WithTimeout(context.Background(), s.StopTimeout.Std()-stopMargin)
	defer cancel()
	_, err = n.Close(closeCtx)
	close(closed)
	watching.Wait()
	t.Log.Info("node: stopped", zap.Error(err))
	return trace.NewAggregate(err, t.Close())
}

func startNode(t *telem.Telemetry, fsys disk.FS, s *NodeSettings) (*node.Node, error) {
	server, err := wire.Listen(wire.Params{Addr: s.Internal.AddrPort, Log: t.Log})
	if err != nil {
		return nil, err
	}
	deps := node.Deps{
		Log: t.Log, Pool: wire.NewPool(nil), Server: server, Rand: newRand(), Place: s.place(), Regions: s.Regions, Seeds: s.seeds(),
		FS: fsys, DataDir: s.DataDir, Bootstrap: s.Bootstrap, Size: s.size(), Retry: s.retry(), Sched: s.sched(), Quota: quota.DefaultOptions(),
		Admission: s.Admission, LeaveNotice: leaveNotice, Memory: memoryPart(1, s.MemoryMB), Intake: s.callerIntake(), Operators: s.operatorIntake(),
		Interface: node.Interface{
			Dialect: platform.Dialect(), Decode: platform.DecodePolicy, MaxBody: platform.MaxBody,
			API:   func(n *node.Node) http.Handler { return platform.Control(n) },
			Ready: func(n *node.Node) http.Handler { return platform.Ready(n) },
		},
	}
	if deps.Callers, err = listen(s.Listen.String()); err != nil {
		return nil, err
	}
	if s.API.IsValid() {
		if deps.API, err = listen(s.API.String()); err != nil {
			return nil, err
		}
	}
	if s.Ready.IsValid() {
		if deps.Ready, err = listen(s.Ready.String()); err != nil {
			return nil, err
		}
	}
	return node.Start(deps)
}

// serveMetrics serves metrics until the process exits.
func serveMetrics(t *telem.Telemetry, s *NodeSettings) error {
	if !s.Metrics.IsValid() {
		return nil
	}
	ln, err := listen(s.Metrics.String())
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", t.Metrics())
	srv := intake.NewServer(mux, intake.ServerOptions{
		Most: conns.Shares().Metrics, MaxBody: metricsBody, Gate: intake.NewGate(intake.Options{Memory: metricsMemory}),
	})
	go func() { _ = srv.Serve(ln) }()
	return nil
}

func listen(addr string) (net.Listener, error) {
	ln, err := net.Listen("tcp4", addr)
	return ln, trace.Wrap(err)
}

// settingsPollInterval is the time between two checks of the settings file, which may
// change without a signal.
const settingsPollInterval = 2 * time.Second

// watchSettings reads the settings again when they change and on SIGHUP, until the node is
// closed. Only the seeds of a running node can be changed.
func watchSettings(closed <-chan struct{}, hangups <-chan os.Signal, log *zap.Logger, file string, o *nodeOverrides, n *node.Node) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastModified := modTime(file)
	for {
		select {
		case <-closed:
			return
		case <-hangups:
		case <-ticker.C:
			if modTime(file).Equal(lastModified) {
				continue
			}
		}
		lastModified = modTime(file)
		s, err := readNodeSettings(file, o)
		if err != nil {
			log.Error("node: invalid settings; keeping the previous ones", zap.Error(err))
			continue
		}
		n.SetSeeds(s.seeds())
		log.Info("node: settings read again")
	}
}

func modTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
