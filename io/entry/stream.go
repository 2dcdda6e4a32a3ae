package entry

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"dotterelgap/core/fleet"
	"dotterelgap/io/wire"

	"github.com/cespare/xxhash/v2"
)

// stream reads one attempt's answer from an agent, over several connections if
// need be, and checks every piece.
type stream struct {
	e          *Entry
	node       fleet.Node
	dispatch   wire.Dispatch
	sink       *sink
	offset     int64
	digest     *xxhash.Digest
	started    time.Time
	firstToken time.Duration
	load       *wire.Load
	// headSeen is set once the upstream is known to have answered.
	headSeen bool
}

func newStream(e *Entry, n fleet.Node, d wire.Dispatch, s *sink) *stream {
	return &stream{e: e, node: n, dispatch: d, sink: s, digest: xxhash.New(), started: time.Now()}
}

// streamError says that a connection ended before the answer did.
type streamError struct {
	// sent is false if the dispatch did not leave this process.
	sent bool
	err  error
}

func (e *streamError) Error() string { return "the stream from the agent broke: " + e.err.Error() }

func (e *streamError) Unwrap() error { return e.err }

// read dispatches and reads until the last piece, or returns a *brokenError.
func (s *stream) read(ctx context.Context) (wire.Piece, error) {
	s.dispatch.Offset = s.offset
	resp, err := s.open(ctx)
	if err != nil {
		return wire.Piece{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	dec := gob.NewDecoder(resp.Body)
	for {
		var p wire.Piece
		if err := dec.Decode(&p); err != nil {
			return wire.Piece{}, &streamError{sent: true, err: err}
		}
		last, err := s.handlePiece(p)
		if err != nil {
			return wire.Piece{}, &streamError{sent: true, err: err}
		}
		if last {
			// Reading to the end lets the connection be used again.
			_, _ = io.Copy(io.Discard, resp.Body)
			return p, nil
		}
		if s.sink.disconnected {
			return wire.Piece{}, &disconnectedError{}
		}
	}
}

// disconnectedError says that the caller no longer takes the answer.
type disconnectedError struct{}

func (e *disconnectedError) Error() string { return "the caller is gone" }

func (s *stream) open(ctx context.Context) (*http.Response, error) {
	var buf bytes.Buffer
	if err := gob.NewEncoder(&buf).Encode(&s.dispatch); err != nil {
		return nil, &streamError{err: err}
	}
	url := "http://" + s.node.Addr.String() + wire.PathRun
	if s.e.deps.TLS != nil {
		url = "https://" + s.node.Addr.String() + wire.PathRun
	}
	sent := &wire.SentTracker{}
	req, err := http.NewRequestWithContext(sent.Attach(ctx), http.MethodPost, url, &buf)
	if err != nil {
		return nil, &streamError{err: err}
	}
	req.GetBody = nil
	resp, err := s.e.streams.Do(req)
	if err != nil {
		return nil, &streamError{sent: sent.Connected(), err: err}
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		return nil, &streamError{sent: true, err: errors.New(resp.Status)}
	}
	return resp, nil
}

// handlePiece checks a piece and passes it on. It tells whether it was the last one.
func (s *stream) handlePiece(p wire.Piece) (bool, error) {
	if p.Key != s.dispatch.Key {
		return false, fmt.Errorf("a piece belongs to request %q", p.Key)
	}
	switch p.Kind {
	case wire.PieceHead:
		s.headSeen = true
		s.sink.setHead(p)
		return false, nil
	case wire.PieceData:
		return false, s.handleData(p)
	case wire.PieceEnd:
		if p.Offset != s.offset || p.Digest != s.digest.Sum64() {
			return false, fmt.Errorf("the answer is not whole: %d of %d bytes", s.offset, p.Offset)
		}
	}
	s.load = &p.Load
	return true, nil
}

// handleData passes on what is new in a piece: a repeated one brings nothing, one
// behind a gap is an error.
func (s *stream) handleData(p wire.Piece) error {
	if p.Offset > s.offset {
		return fmt.Errorf("bytes %d to %d are missing", s.offset, p.Offset)
	}
	overlap := s.offset - p.Offset
	if overlap >= int64(len(p.Data)) {
		return nil
	}
	data := p.Data[overlap:]
	if s.firstToken == 0 {
		s.firstToken = time.Since(s.started)
	}
	s.offset += int64(len(data))
	_, _ = s.digest.Write(data)
	s.sink.data(data)
	return nil
}
