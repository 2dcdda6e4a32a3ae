package commands

import (
	"context"
	"fmt"
	"time"

	"dotterelgap/core/trial"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v3/ffcli"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// experimentFlags are the flags of all experiments.
type experimentFlags struct {
	seeds  int
	first  uint64
	chart  string
	policy string
}

func newExperiment(t *terminal) *ffcli.Command {
	fs := newFlagSet(t, "dotterelgap experiment")
	var f experimentFlags
	fs.IntVar(&f.seeds, "seeds", 5, "number of runs per policy")
	fs.Uint64Var(&f.first, "first-seed", 1, "first seed; the runs use consecutive seeds")
	fs.StringVar(&f.chart, "chart", "", "file for a chart (.svg or .png)")
	fs.StringVar(&f.policy, "policy", "", "run only the policy with this name")
	cut := fs.Duration("cut", 30*time.Minute, "length of the partition")
	ample := fs.Bool("ample", false, "give every customer more tokens than it needs, to simulate steady use")
	deaths := fs.Duration("deaths", 10*time.Minute, "mean time between two crashes of an entry; 0 for none")
	return &ffcli.Command{
		Name:       "experiment",
		ShortUsage: "dotterelgap experiment [flags] budgets",
		ShortHelp:  "compares policies in seeded simulations",
		LongHelp: help(`
Runs the state machines in a simulated fleet of the required size and compares
budget policies over a long partition with top-ups, crashes of entries and
exhausted budgets. Prints a Markdown table.

Example:
  dotterelgap experiment -seeds 5 -chart docs/design/budgets.svg budgets
`),
		FlagSet: fs,
		Options: envOptions(),
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 1 || args[0] != "budgets" {
				return &UsageError{Message: "needs the name of an experiment: budgets"}
			}
			s := trial.DefaultSetup()
			s.PartitionEnd = s.PartitionStart + *cut
			s.DeathEvery = *deaths
			if *ample {
				s = s.Ample()
			}
			return t.compareBudgets(s, f)
		},
	}
}

func (t *terminal) compareBudgets(s trial.Setup, f experimentFlags) error {
	var seeds []uint64
	for i := range f.seeds {
		seeds = append(seeds, f.first+uint64(i))
	}
	var policies []trial.NamedPolicy
	for _, p := range trial.BudgetPolicies() {
		if f.policy == "" || p.Name == f.policy {
			policies = append(policies, p)
		}
	}
	if len(policies) == 0 {
		return &UsageError{Message: fmt.Sprintf("unknown policy %q", f.policy)}
	}
	results := trial.Compare(s, policies, seeds)
	if err := trial.Table(t.out, results); err != nil {
		return trace.Wrap(err)
	}
	if f.chart == "" {
		return nil
	}
	return drawRefusals(f.chart, results)
}

// drawRefusals writes a bar chart with the two rates of false refusals per policy.
func drawRefusals(file string, results []*trial.Result) error {
	p := plot.New()
	p.Title.Text = "False refusals, % of requests"
	p.X.Min = 0
	var callerSide, fleet plotter.Values
	var names []string
	for i := len(results) - 1; i >= 0; i-- {
		r := results[i]
		callerSide = append(callerSide, 100*r.FalseReachableRate())
		fleet = append(fleet, 100*r.FalseFleetRate())
		names = append(names, r.Policy)
	}
	width := vg.Points(7)
	a, err := plotter.NewBarChart(callerSide, width)
	if err != nil {
		return trace.Wrap(err)
	}
	b, err := plotter.NewBarChart(fleet, width)
	if err != nil {
		return trace.Wrap(err)
	}
	a.Horizontal, b.Horizontal = true, true
	a.Offset, b.Offset = width/2, -width/2
	b.Color = plotter.DefaultLineStyle.Color
	p.Add(a, b)
	p.Legend.Add("caller's side of the partition", a)
	p.Legend.Add("whole fleet", b)
	p.Legend.Top = true
	p.NominalY(names...)
	return trace.Wrap(p.Save(20*vg.Centimeter, 12*vg.Centimeter, file))
}
