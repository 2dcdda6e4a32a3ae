package reqlog

import (
	"bufio"
	"errors"
	"io"
	"slices"
	"time"
)

const (
	// lookback is how long before the start of a request the other lines of its node are
	// reported.
	lookback = 3 * time.Second
	// maxLine limits the size of a line, in bytes. Longer lines are skipped.
	maxLine = 1 << 20
	// maxNodeLines limits the number of other lines that are kept for a node.
	maxNodeLines = 4096
)

// Reader collects the log lines of one request, and the lines without a request id.
type Reader struct {
	request   string
	lines     int
	malformed int
	// requestLines are the lines of the request.
	requestLines []line
	// nodeLines are the latest lines without a request id, by node.
	nodeLines map[string][]line
}

// NewReader returns a reader for the request with this id.
func NewReader(request string) *Reader {
	return &Reader{request: request, nodeLines: map[string][]line{}}
}

// Read reads a log. It counts and skips lines that cannot be parsed.
func (r *Reader) Read(in io.Reader) error {
	br := bufio.NewReaderSize(in, maxLine)
	for {
		data, err := br.ReadSlice('\n')
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			r.lines++
			r.malformed++
			if err := skipLine(br); err != nil && err != io.EOF {
				return err
			}
			continue
		case len(data) > 0:
			r.add(data)
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// skipLine skips the rest of a line.
func skipLine(br *bufio.Reader) error {
	for {
		_, err := br.ReadSlice('\n')
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// add parses a line and keeps it if a report may need it.
func (r *Reader) add(data []byte) {
	r.lines++
	l, ok := parse(data)
	switch {
	case !ok:
		r.malformed++
	case l.Request == r.request:
		r.requestLines = append(r.requestLines, l)
	case l.Request == "":
		list := append(r.nodeLines[l.Node], l)
		r.nodeLines[l.Node] = list[max(len(list)-maxNodeLines, 0):]
	}
}

// Report returns the report on the logs read so far.
func (r *Reader) Report() Report {
	out := Report{Request: r.request, Lines: r.lines, Malformed: r.malformed}
	slices.SortStableFunc(r.requestLines, func(a, b line) int { return a.At.Compare(b.At) })
	for _, l := range r.requestLines {
		out.Entries = append(out.Entries, entry{line: l, nodeLines: r.linesAround(l)})
	}
	return out
}

// linesAround returns the lines without a request id that the line's node logged while the
// request ran and shortly before.
func (r *Reader) linesAround(l line) []line {
	var out []line
	for _, n := range r.nodeLines[l.Node] {
		if !n.At.Before(l.start().Add(-lookback)) && !n.At.After(l.At) {
			out = append(out, n)
		}
	}
	return out
}
