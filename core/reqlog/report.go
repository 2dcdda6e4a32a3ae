package reqlog

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
)

// Report contains what the logs say about a request.
type Report struct {
	Request string
	// Lines is the number of lines read, and Malformed how many of them cannot be parsed.
	Lines, Malformed int
	Entries          []entry
}

// entry is one line of the request, with the other lines of its node around that time.
type entry struct {
	line      line
	nodeLines []line
}

// attempt is one attempt to send the request to an upstream.
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
	for _, e := range r.Entries {
		e.write(out)
	}
	fmt.Fprintf(out, "%d lines were read, %d of them could not be parsed\n", r.Lines, r.Malformed)
	_, err := io.WriteString(w, out.String())
	return err
}

// timeFormat is the format of printed times.
const timeFormat = "15:04:05.000"

func (e entry) write(out *strings.Builder) {
	l := e.line
	fmt.Fprintf(out, "request %s at %s\n", l.Request, l.Node)
	fmt.Fprintf(out, "  %s  arrived%s\n", l.start().Format(timeFormat), l.formatFields("route", "kind", "service", "customer", "limit", "policy", "worst"))
	if took := l.field("reserve_took"); took != "" {
		fmt.Fprintf(out, "  +%-9s reservation took this long\n", took)
	}
	for _, a := range l.attempts() {
		a.write(out)
	}
	if first := l.field("first"); first != "" {
		fmt.Fprintf(out, "  +%-9s response began\n", first)
	}
	outcome := l.field("outcome")
	if outcome == "" {
		outcome = "served"
	}
	fmt.Fprintf(out, "  +%-9s %s%s\n", l.Took, outcome, l.formatFields("status", "retry_after", "cut_off", "billed"))
	if cause := l.field("cause"); cause != "" {
		fmt.Fprintf(out, "  cause      %s\n", cause)
	}
	if len(e.nodeLines) == 0 {
		return
	}
	fmt.Fprintf(out, "  other log lines of %s, from %s before its arrival:\n", l.Node, lookback)
	for _, n := range e.nodeLines {
		fmt.Fprintf(out, "    %s  %s%s\n", n.At.Format(timeFormat), n.Message, n.otherFields())
	}
}

func (a attempt) write(out *strings.Builder) {
	fmt.Fprintf(out, "  +%-9s sent to %s at %s: %d in flight from this node, %d upstreams usable", a.At, a.Upstream, a.Addr, a.InFlight, a.Usable)
	if a.Rank != nil {
		fmt.Fprintf(out, ", home rank %d, %d tokens to prefill, estimated wait %s, %.2f times as slow as usual", *a.Rank, a.Uncached, a.Wait, a.Slow)
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

// attempts returns the attempts in the line, or nil if they cannot be parsed.
func (l line) attempts() []attempt {
	var out []attempt
	if json.Unmarshal(l.Fields["attempts"], &out) != nil {
		return nil
	}
	return out
}

// formatFields formats the named fields, except those that the line lacks.
func (l line) formatFields(names ...string) string {
	var out strings.Builder
	for _, n := range names {
		if v := l.field(n); v != "" {
			fmt.Fprintf(&out, ", %s %s", n, v)
		}
	}
	return out.String()
}

// commonFields are the fields that every line has.
var commonFields = []string{"ts", "level", "node", "msg"}

// otherFields formats all fields except the common ones.
func (l line) otherFields() string {
	var names []string
	for n := range l.Fields {
		if !slices.Contains(commonFields, n) {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	return l.formatFields(names...)
}

// Found reports whether the logs contain a line of the request.
func (r Report) Found() bool { return len(r.Entries) > 0 }
