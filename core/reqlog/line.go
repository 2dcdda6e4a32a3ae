package reqlog

import (
	"bytes"
	"encoding/json"
	"strings"
	"time"
)

// line is one line of a log.
type line struct {
	At      time.Time
	Level   string
	Node    string
	Message string
	Request string
	Took    time.Duration
	Fields  map[string]json.RawMessage
}

// parse parses a line. It skips text before the first brace, which a log collector may have
// added.
func parse(data []byte) (l line, ok bool) {
	at := bytes.IndexByte(data, '{')
	if at < 0 || json.Unmarshal(data[at:], &l.Fields) != nil {
		return l, false
	}
	l.At, _ = time.Parse(time.RFC3339Nano, l.field("ts"))
	l.Level, l.Node, l.Message, l.Request = l.field("level"), l.field("node"), l.field("msg"), l.field("request")
	l.Took, _ = time.ParseDuration(l.field("took"))
	return l, l.Message != "" && !l.At.IsZero()
}

// lineJoiner joins the lines of a text into one.
var lineJoiner = strings.NewReplacer("\n\t", "; ", "\n", "; ")

// field returns the value of a field, without quotes and on one line: a joined error has
// several lines, but a timeline has one line per event.
func (l line) field(name string) string {
	raw, ok := l.Fields[name]
	if !ok {
		return ""
	}
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return lineJoiner.Replace(s)
	}
	return string(raw)
}

// start returns the time at which the line's request arrived.
func (l line) start() time.Time { return l.At.Add(-l.Took) }
