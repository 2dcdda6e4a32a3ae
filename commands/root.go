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

// envPrefix starts the names of environment variables: the flag -log-level is
// DOTTERELGAP_LOG_LEVEL.
const envPrefix = "DOTTERELGAP"

// terminal is what a command reads and writes.
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
		ShortHelp:  "routes requests and keeps prepaid token budgets",
		LongHelp: help(`
Processes: entry, agent, control, node, dev, stand-in. Trials: load, experiment. Operators: check, diff, apply, promote,
topup, customer, status, explain, drain, replace, write-off, order, keygen, version.

Exit codes: 0 done; 1 failed; 2 wrong command line or file, nothing was done;
3 conflict with another change; 4 no answer, repeating is safe; 5 diff found
differences.

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
				return &UsageError{Message: fmt.Sprintf("there is no subcommand %q; see 'dotterelgap -h'", args[0])}
			}
			return &UsageError{Message: "a subcommand is needed; see 'dotterelgap -h'"}
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

// envOptions lets flags be given by environment variables too.
func envOptions() []ff.Option {
	return []ff.Option{ff.WithEnvVarPrefix(envPrefix)}
}

// noArgs refuses words behind the flags.
func noArgs(args []string) error {
	if len(args) > 0 {
		return &UsageError{Message: fmt.Sprintf("unexpected argument %q", args[0])}
	}
	return nil
}
