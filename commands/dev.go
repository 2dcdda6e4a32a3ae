package commands

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"dotterelgap/core/config"
	"dotterelgap/core/parse"
	"dotterelgap/io/admin"
	"dotterelgap/io/engine"
	"dotterelgap/io/telem"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// Size and timeouts of the dev fleet.
const (
	devModels       = 3
	devStartTimeout = 30 * time.Second
	devStopTimeout  = 5 * time.Second
)

// devOptions are the flags of the dev command.
type devOptions struct {
	listen  string
	admin   string
	dataDir string
	once    bool
}

func newDev(t *terminal) *ffcli.Command {
	fs := newFlagSet(t, "dotterelgap dev")
	var o devOptions
	fs.StringVar(&o.listen, "listen", "127.0.0.1:8080", "IP address and port for callers")
	fs.StringVar(&o.admin, "admin-listen", "127.0.0.1:7400", "IP address and port for operators")
	fs.StringVar(&o.dataDir, "data-dir", "", "data folder; if empty, a temporary folder that is deleted on exit")
	fs.BoolVar(&o.once, "once", false, "exit after the first request")
	return &ffcli.Command{
		Name:       "dev",
		ShortUsage: "dotterelgap dev [flags]",
		ShortHelp:  "runs all roles and stand-in upstreams in one process",
		LongHelp: help(`
Runs a control host, an entry, agents and stand-in upstreams in one process,
applies a small document, sends one request and prints the customer's account. It
then serves requests until it is interrupted.

Example:
  dotterelgap dev
  dotterelgap dev -once -listen 127.0.0.1:0 -admin-listen 127.0.0.1:0
`),
		FlagSet: fs,
		Options: []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, args []string) error {
			if err := noArgs(args); err != nil {
				return err
			}
			return t.runDev(ctx, o)
		},
	}
}

// devFleet is the fleet of the dev command: all roles in one process, with stand-in
// upstreams.
type devFleet struct {
	telemetry *telem.Telemetry
	roles     []stopper
	servers   []*http.Server
	entryAddr string
	adminURL  string
	keys      devKeys
}

type devKeys struct {
	operator, customer string
}

func (t *terminal) runDev(ctx context.Context, o devOptions) error {
	dir := o.dataDir
	if dir == "" {
		temp, err := os.MkdirTemp("", "dotterelgap-dev-")
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		defer func() { _ = os.RemoveAll(temp) }()
		dir = temp
	}
	tel, err := telem.Start(telem.Settings{LogLevel: "warn"}, "dev")
	if err != nil {
		return err
	}
	f := &devFleet{telemetry: tel, keys: devKeys{operator: newKey(), customer: newKey()}}
	defer f.close()
	started := time.Now()
	if err := f.start(ctx, o, dir); err != nil {
		return err
	}
	if err := f.prepare(ctx); err != nil {
		return err
	}
	t.printf("ready after %s\n", time.Since(started).Round(time.Millisecond))
	if err := f.demo(ctx, t); err != nil || o.once {
		return err
	}
	f.printInstructions(t)
	<-ctx.Done()
	return nil
}

// start starts a control host, agents with their upstreams, and an entry.
func (f *devFleet) start(ctx context.Context, o devOptions, dir string) error {
	control, err := f.startControl(ctx, o, dir)
	if err != nil {
		return err
	}
	for range devModels {
		if err := f.startAgent(control, "assistant", engine.NewModel(engine.DefaultOptions())); err != nil {
			return err
		}
	}
	if err := f.startAgent(control, "orders", engine.NewPlain(0)); err != nil {
		return err
	}
	return f.startEntry(o, control)
}

func (f *devFleet) process(s *Settings) (*process, error) {
	s.Internal = parse.Addr{AddrPort: netip.MustParseAddrPort("127.0.0.1:0")}
	s.Place = "laptop"
	return newProcess(f.telemetry, s, "dev")
}

func (f *devFleet) startControl(ctx context.Context, o devOptions, dir string) (netip.AddrPort, error) {
	s := defaultSettings()
	s.Size = 1
	s.DataDir = filepath.Join(dir, "control")
	s.FirstOperator = config.DigestOf(f.keys.operator)
	p, err := f.process(s)
	if err != nil {
		return netip.AddrPort{}, err
	}
	ln, err := net.Listen("tcp", o.admin)
	if err != nil {
		return netip.AddrPort{}, trace.Wrap(err)
	}
	f.adminURL = "http://" + ln.Addr().String()
	c, err := startControl(ctx, p, s, ln, true, func(error) {})
	if err != nil {
		return netip.AddrPort{}, err
	}
	f.roles = append(f.roles, c)
	return p.server.Addr(), nil
}

func (f *devFleet) startAgent(control netip.AddrPort, service string, upstream http.Handler) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return trace.Wrap(err)
	}
	srv := &http.Server{Handler: upstream, ReadHeaderTimeout: time.Second}
	f.servers = append(f.servers, srv)
	go func() { _ = srv.Serve(ln) }()
	s := defaultSettings()
	s.Service = service
	s.Upstream = "http://" + ln.Addr().String()
	s.Control = []parse.Addr{{AddrPort: control}}
	p, err := f.process(s)
	if err != nil {
		return err
	}
	a, err := startAgent(p, s, nil)
	if err != nil {
		return err
	}
	f.roles = append(f.roles, a)
	return nil
}

func (f *devFleet) startEntry(o devOptions, control netip.AddrPort) error {
	s := defaultSettings()
	s.Control = []parse.Addr{{AddrPort: control}}
	s.LeaveNotice = 0
	s.ReportInterval = parse.Duration(time.Second)
	p, err := f.process(s)
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", o.listen)
	if err != nil {
		return trace.Wrap(err)
	}
	f.entryAddr = ln.Addr().String()
	e, err := startEntry(p, s, ln, nil)
	if err != nil {
		return err
	}
	f.roles = append(f.roles, e)
	return nil
}

// document returns the configuration of the dev fleet.
func (f *devFleet) document() string {
	return fmt.Sprintf(`{
  "intent": {
    "services": [
      {"name": "assistant", "kind": "model", "max_output_tokens": 512},
      {"name": "orders", "kind": "plain", "tokens_per_call": 5}
    ],
    "customers": [
      {"name": "workshop", "weight": 1, "services": [
        {"service": "assistant", "priority": "normal"},
        {"service": "orders", "priority": "high"}
      ]}
    ]
  },
  "environment": {
    "name": "laptop",
    "customer_keys": {"workshop": [%q]},
    "top_ups": [{"id": "first", "customer": "workshop", "tokens": 100000}],
    "operators": [{"name": "developer", "keys": [%q]}]
  }
}`, config.DigestOf(f.keys.customer), config.DigestOf(f.keys.operator))
}

// prepare applies the document and waits until all processes use it.
func (f *devFleet) prepare(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, devStartTimeout)
	defer cancel()
	client := admin.NewClient([]string{f.adminURL}, f.keys.operator)
	req := admin.ApplyRequest{ChangeID: uuid.NewString(), File: "built-in document", Document: f.document()}
	err := pollUntil(ctx, func() (bool, error) {
		_, err := client.Apply(ctx, req)
		var unreachable *admin.UnreachableError
		if errors.As(err, &unreachable) {
			return false, nil
		}
		return err == nil, err
	})
	if err != nil {
		return err
	}
	return pollUntil(ctx, func() (bool, error) {
		s, err := client.Status(ctx)
		if err != nil {
			return false, err
		}
		return len(s.Lagging) == 0 && len(s.Nodes) == devModels+2 && f.isReady(), nil
	})
}

func (f *devFleet) isReady() bool {
	resp, err := http.Get("http://" + f.entryAddr + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// close stops all roles, starting with the entry.
func (f *devFleet) close() {
	ctx, cancel := context.WithTimeout(context.Background(), devStopTimeout)
	defer cancel()
	for i := len(f.roles) - 1; i >= 0; i-- {
		if _, err := f.roles[i].Close(ctx); err != nil {
			f.telemetry.Log.Warn("dev: failed to stop a role: " + err.Error())
		}
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
	_ = f.telemetry.Close()
}
