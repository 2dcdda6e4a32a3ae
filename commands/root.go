package commands

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// envPrefix is the prefix of environment variables: DOTTERELGAP_LOG_LEVEL sets the
// flag -log-level.
const envPrefix = "DOTTERELGAP"

// terminal holds the input and output streams of a command.
type terminal struct {
	in  io.Reader
	out io.Writer
	err io.Writer
}

// Execute runs the command line and returns the exit code.
func Execute(args []string, in io.Reader, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	t := &terminal{in: in, out: out, err: errOut}
	err := newRoot(t).ParseAndRun(ctx, args)
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		_, _ = fmt.Fprintln(errOut, "dotterelgap:", err)
	}
	return exitCode(err)
}

func newRoot(t *terminal) *ffcli.Command {
	fs := newFlagSet(t, "dotterelgap")
	return &ffcli.Command{
		Name:       "dotterelgap",
		ShortUsage: "dotterelgap <subcommand> [flags]",
		ShortHelp:  "routes requests and manages prepaid token budgets",
		LongHelp: help(`
Processes: entry, agent, control, node, dev, stand-in.
Load tests and simulations: load, experiment.
Operators: check, diff, apply, promote, topup, customer, status, explain, drain,
replace, write-off, order, keygen, version.

Exit codes: 0 success; 1 failure; 2 invalid command line or file, nothing was
done; 3 conflict with another change; 4 no response, it is safe to retry; 5 diff
found differences.

Example:
  dotterelgap dev
`),
		FlagSet: fs,
		Subcommands: []*ffcli.Command{
			newEntry(t), newAgent(t), newControl(t), newNode(t), newDev(t),
			newCheck(t), newDiff(t), newExplain(t), newApply(t), newPromote(t), newTopUp(t), newCustomer(t),
			newStatus(t), newDrain(t), newReplace(t), newWriteOff(t), newOrder(t), newKeygen(t), newStandIn(t), newExperiment(t), newLoad(t), newVersion(t),
		},
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return &UsageError{Message: fmt.Sprintf("unknown subcommand %q; see 'dotterelgap -h'", args[0])}
			}
			return &UsageError{Message: "needs a subcommand; see 'dotterelgap -h'"}
		},
	}
}

func newFlagSet(t *terminal, name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(t.err)
	return fs
}

func help(text string) string {
	return strings.TrimSpace(text)
}

// envOptions returns the options that let environment variables set flags.
func envOptions() []ff.Option {
	return []ff.Option{ff.WithEnvVarPrefix(envPrefix)}
}

// noArgs returns a *UsageError if arguments follow the flags.
func noArgs(args []string) error {
	if len(args) > 0 {
		return &UsageError{Message: fmt.Sprintf("unexpected argument %q", args[0])}
	}
	return nil
}
