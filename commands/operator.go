package commands

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"dotterelgap/core/config"
	"dotterelgap/io/admin"

	"github.com/gravitational/trace"
)

// operatorFlags are the flags of all commands that use the admin API.
type operatorFlags struct {
	addrs string
	key   string
	json  bool
}

func (o *operatorFlags) bind(fs *flag.FlagSet) {
	fs.StringVar(&o.addrs, "admin", "http://127.0.0.1:7400", "base URLs of control hosts, separated by commas")
	fs.StringVar(&o.key, "operator-key", "", "bearer key of the operator (preferably set in DOTTERELGAP_OPERATOR_KEY)")
	fs.BoolVar(&o.json, "json", false, "print JSON")
}

func (o *operatorFlags) client() *admin.Client {
	return admin.NewClient(strings.Split(o.addrs, ","), o.key)
}

// printJSON prints v as indented JSON.
func (t *terminal) printJSON(v any) error {
	enc := json.NewEncoder(t.out)
	enc.SetIndent("", "  ")
	return trace.Wrap(enc.Encode(v))
}

func (t *terminal) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(t.out, format, args...)
}

// oneFile reads the file that is named by the only argument.
func oneFile(args []string) (name string, data []byte, err error) {
	if len(args) != 1 {
		return "", nil, &UsageError{Message: "needs one document"}
	}
	data, err = os.ReadFile(args[0])
	if err != nil {
		return "", nil, &UsageError{Message: err.Error()}
	}
	return args[0], data, nil
}

// oneDocument reads and checks the document that is named by the only argument.
func oneDocument(args []string) (name string, data []byte, doc config.Document, err error) {
	name, data, err = oneFile(args)
	if err != nil {
		return name, data, doc, err
	}
	doc, err = config.Parse(name, data)
	return name, data, doc, err
}

func printCustomer(t *terminal, c admin.CustomerReply) {
	t.printf("customer %s: paid %d, billed %d, free %d, granted %d (of that spent %d)\n",
		c.Name, c.Paid, c.Billed, c.Free, c.Granted, c.Spent)
	for _, g := range c.Grants {
		t.printf("  grant %d in %s at %s: %d of %d outstanding, spent %d", g.ID, g.Place, g.Holder, g.Outstanding, g.Amount, g.Spent)
		if g.Doubt != "" {
			t.printf(" (%s)", g.Doubt)
		}
		t.printf("\n")
	}
}

// pollUntil calls step at intervals until it reports that it is done, it fails or ctx
// ends.
func pollUntil(ctx context.Context, step func() (bool, error)) error {
	for {
		done, err := step()
		if err != nil || done {
			return err
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
}

// pollInterval is the time between two calls of step in pollUntil.
const pollInterval = 200 * time.Millisecond

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
