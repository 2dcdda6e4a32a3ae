package reqlog

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
)

// Report is what the logs tell of a request.
type Report struct {
	Request string
	// Lines counts what was read, Bad what could not be.
	Lines, Bad int
	Parts      []part
}

// part is one line of the request, with what its node came to believe.
type part struct {
	line    line
	beliefs []line
}

// attempt is one upstream that the request was offered to.
type attempt struct {
	Upstream string  `json:"upstream"`
	Addr     string  `json:"addr"`
	InFlight int     `json:"in_flight"`
	Usable   int     `json:"usable"`
	Rank     *int    `json:"rank"`
	Uncached int     `json:"uncached"`
	Wait     string  `json:"wait"`
	Slow     float64 `json:"slow"`
	Outcome  string  `json:"outcome"`
	Status   int     `json:"status"`
	At       string  `json:"at"`
	Took     string  `json:"took"`
	Error    string  `json:"error"`
}

// Write prints the request's timeline.
func (r Report) Write(w io.Writer) error {
	out := &strings.Builder{}
	for _, p := range r.Parts {
		p.write(out)
	}
	fmt.Fprintf(out, "%d lines were read, %d of them could not be\n", r.Lines, r.Bad)
	_, err := io.WriteString(w, out.String())
	return err
}

// clock is how times are printed.
const clock = "15:04:05.000"

func (p part) write(out *strings.Builder) {
	l := p.line
	fmt.Fprintf(out, "request %s at %s\n", l.Request, l.Node)
	fmt.Fprintf(out, "  %s  arrived%s\n", l.start().Format(clock), l.pairs("route", "kind", "service", "customer", "limit", "policy", "worst"))
	if took := l.text("reserve_took"); took != "" {
		fmt.Fprintf(out, "  +%-9s its budget took that long\n", took)
	}
	for _, a := range l.attempts() {
		a.write(out)
	}
	if first := l.text("first"); first != "" {
		fmt.Fprintf(out, "  +%-9s the answer began\n", first)
	}
	outcome := l.text("outcome")
	if outcome == "" {
		outcome = "served"
	}
	fmt.Fprintf(out, "  +%-9s %s%s\n", l.Took, outcome, l.pairs("status", "retry_after", "cut_off", "billed"))
	if cause := l.text("cause"); cause != "" {
		fmt.Fprintf(out, "  because    %s\n", cause)
	}
	if len(p.beliefs) == 0 {
		return
	}
	fmt.Fprintf(out, "  what %s came to believe from %s before on:\n", l.Node, before)
	for _, b := range p.beliefs {
		fmt.Fprintf(out, "    %s  %s%s\n", b.At.Format(clock), b.Message, b.others())
	}
}

func (a attempt) write(out *strings.Builder) {
	fmt.Fprintf(out, "  +%-9s sent to %s at %s: %d in flight here, %d to choose from", a.At, a.Upstream, a.Addr, a.InFlight, a.Usable)
	if a.Rank != nil {
		fmt.Fprintf(out, ", home rank %d, %d tokens to read, believed wait %s, %.2f times as slow as usual", *a.Rank, a.Uncached, a.Wait, a.Slow)
	}
	fmt.Fprintf(out, "; %s after %s", a.Outcome, a.Took)
	if a.Status != 0 {
		fmt.Fprintf(out, ", status %d", a.Status)
	}
	if a.Error != "" {
		fmt.Fprintf(out, ", %s", a.Error)
	}
	out.WriteByte('\n')
}

// attempts reads the line's attempts; what can't be read is left out.
func (l line) attempts() []attempt {
	var out []attempt
	if json.Unmarshal(l.Fields["attempts"], &out) != nil {
		return nil
	}
	return out
}

// pairs prints the named fields that the line has.
func (l line) pairs(names ...string) string {
	var out strings.Builder
	for _, n := range names {
		if v := l.text(n); v != "" {
			fmt.Fprintf(&out, ", %s %s", n, v)
		}
	}
	return out.String()
}

// usual are the fields that each line has.
var usual = []string{"ts", "level", "node", "msg"}

// others prints the fields that not each line has.
func (l line) others() string {
	var names []string
	for n := range l.Fields {
		if !slices.Contains(usual, n) {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	return l.pairs(names...)
}

// Found tells whether a line tells of the request.
func (r Report) Found() bool { return len(r.Parts) > 0 }
