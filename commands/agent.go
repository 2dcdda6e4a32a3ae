package commands

import (
	"context"

	"dotterelgap/core/fleet"
	"dotterelgap/core/runs"
	"dotterelgap/io/agent"
	"dotterelgap/io/sigs"

	"github.com/peterbourgon/ff/v3/ffcli"
	"go.uber.org/zap"
)

// requestsPerSlot is the number of requests that an agent accepts per slot of its
// upstream, including those that wait at the upstream.
const requestsPerSlot = 2

var agentKeys = []string{
	"place", "internal", "control", "service", "upstream", "slots", "stop_timeout",
	"ca_file", "cert_file", "key_file", "log_level", "log_format", "trace_file", "trace_share",
}

func newAgent(t *terminal) *ffcli.Command {
	s := defaultSettings()
	fs := newFlagSet(t, "dotterelgap agent")
	return &ffcli.Command{
		Name:       "agent",
		ShortUsage: "dotterelgap agent [flags]",
		ShortHelp:  "runs and meters the requests of one upstream",
		LongHelp: help(`
Registers the upstream next to it, admits or refuses requests, runs them and
meters their use. On SIGTERM it immediately refuses new requests, completes those
in progress, reports the use that it has metered and exits.

Example:
  dotterelgap agent -place sialkot -internal 10.0.0.7:7200 -service peg-assistant \
    -upstream http://127.0.0.1:8000 -control 10.0.0.1:7300,10.0.1.1:7300,10.0.2.1:7300
`),
		FlagSet: fs,
		Options: s.bind(fs, agentKeys...),
		Exec: func(ctx context.Context, args []string) error {
			if err := noArgs(args); err != nil {
				return err
			}
			if err := s.check("place", "internal", "control", "service", "upstream"); err != nil {
				return err
			}
			return runAgent(ctx, t.signals, s)
		},
	}
}

func runAgent(ctx context.Context, signals *sigs.Signals, s *Settings) error {
	if _, err := s.upstreamURL(); err != nil {
		return err
	}
	p, err := startProcess(signals, s, "agent")
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	a, err := startAgent(p, s, stop)
	if err != nil {
		return err
	}
	p.Log.Info("agent: listening", zap.Stringer("internal", p.server.Addr()), zap.String("upstream", s.Upstream))
	return p.runUntilDone(ctx, s, "agent", a)
}

func startAgent(p *process, s *Settings, stop func()) (*agent.Agent, error) {
	u, err := s.upstreamURL()
	if err != nil {
		return nil, err
	}
	limits := runs.DefaultLimits()
	limits.Running = requestsPerSlot * s.Slots
	return agent.Start(agent.Deps{
		Log: p.Log, Server: p.server, Pool: p.pool, Control: s.controlAddrs(), Upstream: u,
		Node: fleet.Node{
			ID: fleet.NewNodeID(fleet.RoleAgent, p.rnd), Role: fleet.RoleAgent, Place: s.place(),
			Addr: p.server.Addr(), Service: s.Service, Slots: s.Slots,
		},
		Limits: limits, Stop: stop,
	})
}
