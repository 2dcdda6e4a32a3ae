package trial

import (
	"fmt"
	"io"
	"time"

	"dotterelgap/core/escrow"
)

// NamedPolicy is a policy with the name that the tables and the command show.
type NamedPolicy struct {
	Name string
	Make NewPolicyFunc
}

// BudgetPolicies returns the policies that the experiment compares.
func BudgetPolicies() []NamedPolicy {
	opts := escrow.DefaultOptions()
	with := func(change func(*EscrowOptions)) NewPolicyFunc {
		o := EscrowOptions{Options: opts}
		change(&o)
		return NewEscrowWith(o)
	}
	return []NamedPolicy{
		{"clairvoyant floor", NewClairvoyant},
		{"escrow (chosen)", NewEscrow},
		{"escrow, no takeover", with(func(o *EscrowOptions) { o.NoTakeover = true })},
		{"escrow, no other places", with(func(o *EscrowOptions) { o.NoPeers = true })},
		{"escrow, holder per entry", with(func(o *EscrowOptions) { o.PerEntry = true })},
		{"escrow, dead grants burned", with(func(o *EscrowOptions) { o.Forfeit = true; o.NoTakeover = true })},
		{"escrow, wait up to 10 s", with(func(o *EscrowOptions) { o.Options.WaitLimit = 10 * time.Second })},
		{"escrow, no wait", with(func(o *EscrowOptions) { o.Options.WaitLimit = 20 * time.Millisecond })},
		{"static split", NewStatic},
		{"central check", NewCentral},
		{"timed leases", NewLeases},
		{"timed leases, careful", NewCarefulLeases},
		{"serve unchecked when cut off", NewFailOpen},
	}
}

// Compare runs every policy once per seed. It returns one result per policy, the
// sum of its runs.
func Compare(s Setup, policies []NamedPolicy, seeds []uint64) []*Result {
	var out []*Result
	for _, p := range policies {
		sum := newResult(p.Name)
		for _, seed := range seeds {
			sum.Add(Run(s, p.Name, p.Make, seed))
		}
		out = append(out, sum)
	}
	return out
}

// Table writes the results as a Markdown table.
func Table(w io.Writer, results []*Result) error {
	_, err := fmt.Fprintln(w, "| policy | overspend | false refusals, caller's side | false refusals, ideal split | false refusals, whole fleet | tokens refused wrongly (side / fleet) | control calls per request | wait p50 / p99 | dead entry's rest back, p50 / max | locked at the end |\n"+
		"| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	if err != nil {
		return err
	}
	for _, r := range results {
		_, err := fmt.Fprintf(w, "| %s | %d | %.4f%% | %.4f%% | %.4f%% | %d / %d | 1 in %s | %.1f / %.1f ms | %.1f / %.1f s | %d |\n",
			r.Policy, r.Overspend, 100*r.FalseReachableRate(), 100*r.FalseIdealRate(), 100*r.FalseFleetRate(), r.FalseReachableTokens, r.FalseFleetTokens, requestsPerCall(r),
			float64(r.Wait.ValueAtQuantile(50))/1000, float64(r.Wait.ValueAtQuantile(99))/1000,
			float64(r.Settle.ValueAtQuantile(50))/1000, float64(r.Settle.Max())/1000, r.Locked)
		if err != nil {
			return err
		}
	}
	return nil
}

// requestsPerCall returns the mean number of requests per call to control, as
// text.
func requestsPerCall(r *Result) string {
	if r.Calls == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f", 1/r.CallsPerRequest())
}
