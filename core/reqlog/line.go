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

// parse reads a line. What stands before the first brace, as added by whoever
// collected the logs, is passed over.
func parse(data []byte) (l line, ok bool) {
	at := bytes.IndexByte(data, '{')
	if at < 0 || json.Unmarshal(data[at:], &l.Fields) != nil {
		return l, false
	}
	l.At, _ = time.Parse(time.RFC3339Nano, l.text("ts"))
	l.Level, l.Node, l.Message, l.Request = l.text("level"), l.text("node"), l.text("msg"), l.text("request")
	l.Took, _ = time.ParseDuration(l.text("took"))
	return l, l.Message != "" && !l.At.IsZero()
}

// oneLine puts text of several lines on one.
var oneLine = strings.NewReplacer("\n\t", "; ", "\n", "; ")

// text is a field's text, without quotes and on one line: joined errors stand on a line
// each, and a timeline has one line for each event.
func (l line) text(name string) string {
	raw, ok := l.Fields[name]
	if !ok {
		return ""
	}
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return oneLine.Replace(s)
	}
	return string(raw)
}

// start is when the request of the line arrived.
func (l line) start() time.Time { return l.At.Add(-l.Took) }
