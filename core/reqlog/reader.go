package reqlog

import (
	"bufio"
	"errors"
	"io"
	"slices"
	"time"
)

const (
	// before is how long before a request's start beliefs count.
	before = 3 * time.Second
	// maxLine bounds a line, in bytes; a longer one is passed over.
	maxLine = 1 << 20
	// maxBeliefs bounds the other lines that are kept for a node.
	maxBeliefs = 4096
)

// Reader collects the lines that tell of one request.
type Reader struct {
	request string
	lines   int
	bad     int
	own     []line
	// beliefs are the lines of no request, by node; the oldest are dropped.
	beliefs map[string][]line
}

// NewReader returns a reader for one request's id.
func NewReader(request string) *Reader {
	return &Reader{request: request, beliefs: map[string][]line{}}
}

// Read takes in a log. Lines that can't be read are counted and passed over.
func (r *Reader) Read(in io.Reader) error {
	br := bufio.NewReaderSize(in, maxLine)
	for {
		data, err := br.ReadSlice('\n')
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			r.lines++
			r.bad++
			if err := skip(br); err != nil && err != io.EOF {
				return err
			}
			continue
		case len(data) > 0:
			r.take(data)
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// skip passes over the rest of a line.
func skip(br *bufio.Reader) error {
	for {
		_, err := br.ReadSlice('\n')
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

func (r *Reader) take(data []byte) {
	r.lines++
	l, ok := parse(data)
	switch {
	case !ok:
		r.bad++
	case l.Request == r.request:
		r.own = append(r.own, l)
	case l.Request == "":
		list := append(r.beliefs[l.Node], l)
		r.beliefs[l.Node] = list[max(len(list)-maxBeliefs, 0):]
	}
}

// Report puts together what was read.
func (r *Reader) Report() Report {
	out := Report{Request: r.request, Lines: r.lines, Bad: r.bad}
	slices.SortStableFunc(r.own, func(a, b line) int { return a.At.Compare(b.At) })
	for _, l := range r.own {
		out.Parts = append(out.Parts, part{line: l, beliefs: r.around(l)})
	}
	return out
}

// around lists what the line's node came to believe while the request ran and
// shortly before.
func (r *Reader) around(l line) []line {
	var out []line
	for _, b := range r.beliefs[l.Node] {
		if !b.At.Before(l.start().Add(-before)) && !b.At.After(l.At) {
			out = append(out, b)
		}
	}
	return out
}
