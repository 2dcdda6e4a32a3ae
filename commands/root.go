package commands

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"

	"dotterelgap/io/disk"
	"dotterelgap/io/sigs"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// envPrefix is the prefix of environment variables: DOTTERELGAP_LOG_LEVEL sets the
// flag -log-level.
const envPrefix = "DOTTERELGAP"

// terminal holds the input and output streams of a command, the signals of its process, and the file
// system of the data folder.
type terminal struct {
	in      io.Reader
	out     io.Writer
	err     io.Writer
	signals *sigs.Signals
	fs      disk.FS
}

// Execute runs the command line and returns the exit code.
func Execute(args []string, in io.Reader, out, errOut io.Writer) int {
	return ExecuteOn(disk.OS(), args, in, out, errOut)
}

// ExecuteOn runs the command line with the data folder of a node in a file system, and returns the exit
// code.
func ExecuteOn(fsys disk.FS, args []string, in io.Reader, out, errOut io.Writer) int {
	t := &terminal{signals: sigs.Catch(), in: in, out: out, err: errOut, fs: fsys}
	err := newRoot(t).ParseAndRun(t.signals.Context(), args)
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
Operators: check, diff, apply, promote, topup, customer, budget, status, explain, where, drain,
replace, write-off, order, keygen, version.

Exit codes: 0 success; 1 failure; 2 invalid command line or file, nothing was
done; 3 conflict with another change; 4 no response, it is safe to retry; 5 diff
found differences.

Example:
  dotterelgap dev
`),
		FlagSet: fs,
		Subcommands: append([]*ffcli.Command{newEntry(t), newAgent(t), newControl(t), newNode(t)}, t.endedByHangup(
			newDev(t), newCheck(t), newDiff(t), newExplain(t), newApply(t), newPromote(t), newTopUp(t), newCustomer(t), newBudget(t), newWhere(t),
			newStatus(t), newDrain(t), newReplace(t), newWriteOff(t), newOrder(t), newKeygen(t), newStandIn(t),
			newExperiment(t), newLoad(t), newVersion(t),
		)...),
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return &UsageError{Message: fmt.Sprintf("unknown subcommand %q; see 'dotterelgap -h'", args[0])}
			}
			return &UsageError{Message: "needs a subcommand; see 'dotterelgap -h'"}
		},
	}
}

// endedByHangup makes commands that are run in a terminal stop when it is closed.
func (t *terminal) endedByHangup(commands ...*ffcli.Command) []*ffcli.Command {
	for _, c := range commands {
		run := c.Exec
		c.Exec = func(ctx context.Context, args []string) error {
			t.signals.StopOnHangup()
			return run(ctx, args)
		}
	}
	return commands
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
