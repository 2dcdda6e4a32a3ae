package reqlog_test

import (
	"fmt"
	"strings"
	"testing"

	"dotterelgap/core/reqlog"

	"github.com/matryer/is"
)

// Lines that are too long or malformed are counted and do not affect the lines after them.
// Of the other lines of a node, only those around the time of the request are reported.
func TestReader(t *testing.T) {
	is := is.New(t)
	var log strings.Builder
	log.WriteString(strings.Repeat("x", 3<<20) + "\n")
	log.WriteString("not a log line\n{\"ts\":\"soon\",\"msg\":\"m\"}\n")
	for i := range 10_000 {
		fmt.Fprintf(&log, `{"ts":"2026-01-01T10:00:%02d.%03dZ","msg":"node: tokens were borrowed","node":"n1","tokens":%d}`+"\n", i/1000, i%1000, i)
	}
	log.WriteString(`{"ts":"2026-01-01T10:00:10.000Z","msg":"front: served","node":"n1","request":"r1","took":"500ms"}`)
	r := reqlog.NewReader("r1")
	is.NoErr(r.Read(strings.NewReader(log.String())))
	report := r.Report()
	is.True(report.Found())
	is.Equal(report.Lines, 10_004)
	is.Equal(report.Malformed, 3)
	var out strings.Builder
	is.NoErr(report.Write(&out))
	is.True(strings.Contains(out.String(), "10:00:09.500  arrived"))
	is.Equal(strings.Count(out.String(), "tokens were borrowed"), 3_500) // from 3 s before the request
}

// A joined error is printed on one line of the timeline.
func TestJoinedErrorsAreOneLine(t *testing.T) {
	is := is.New(t)
	const log = `{"ts":"2026-01-01T10:00:09.900Z","msg":"node: the control group does not answer a statement","node":"n1","error":"no leader\n\tcontext deadline exceeded\nn2: no answer"}
{"ts":"2026-01-01T10:00:10.000Z","msg":"front: served","node":"n1","request":"r1","took":"500ms"}`
	r := reqlog.NewReader("r1")
	is.NoErr(r.Read(strings.NewReader(log)))
	var out strings.Builder
	is.NoErr(r.Report().Write(&out))
	is.True(strings.Contains(out.String(), "no leader; context deadline exceeded; n2: no answer\n"))
}
