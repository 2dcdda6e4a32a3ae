package commands

import (
	"context"
	"net/http"
	"time"

	"dotterelgap/io/engine"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// newStandIn returns the command that runs a stand-in upstream in its own process.
func newStandIn(t *terminal) *ffcli.Command {
	fs := newFlagSet(t, "dotterelgap stand-in")
	opts := engine.DefaultOptions()
	listen := fs.String("listen", "127.0.0.1:8000", "IP address and port")
	kind := fs.String("kind", "model", "model or plain")
	delay := fs.Duration("delay", 0, "duration of a call of a plain service")
	fs.IntVar(&opts.Slots, "slots", opts.Slots, "requests that a model engine runs concurrently")
	fs.IntVar(&opts.Length, "length", opts.Length, "tokens per response")
	fs.DurationVar(&opts.TokenTime, "token-time", opts.TokenTime, "time between two tokens")
	fs.DurationVar(&opts.PrefillTime, "prefill-time", opts.PrefillTime, "time per prompt token")
	return &ffcli.Command{
		Name:       "stand-in",
		ShortUsage: "dotterelgap stand-in [flags]",
		ShortHelp:  "runs a stand-in upstream",
		LongHelp: help(`
Runs a stand-in model engine or plain service for load runs and tests. GET /counts
returns counts of the requests that it received.

Example:
  dotterelgap stand-in -listen 127.0.0.1:8000 -kind model
`),
		FlagSet: fs,
		Options: envOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if err := noArgs(args); err != nil {
				return err
			}
			var h http.Handler = engine.NewModel(opts)
			if *kind == "plain" {
				h = engine.NewPlain(*delay)
			}
			return serveUntilDone(ctx, *listen, h)
		},
	}
}

func serveUntilDone(ctx context.Context, listen string, h http.Handler) error {
	srv := &http.Server{Addr: listen, Handler: h, ReadHeaderTimeout: 5 * time.Second}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	err := srv.ListenAndServe()
	if ctx.Err() != nil {
		return nil
	}
	return trace.Wrap(err)
}
