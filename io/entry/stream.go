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

// stream reads the response of one attempt from an agent and checks every piece. After a
// connection failure, the response can be resumed over a new connection.
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
	// headSeen is set once the head of the upstream's response has arrived.
	headSeen bool
}

func newStream(e *Entry, n fleet.Node, d wire.Dispatch, s *sink) *stream {
	return &stream{e: e, node: n, dispatch: d, sink: s, digest: xxhash.New(), started: time.Now()}
}

// streamError is the error of a connection that ended before the response was complete.
type streamError struct {
	// sent is false if it is certain that the dispatch was not sent.
	sent bool
	err  error
}

func (e *streamError) Error() string { return "stream from the agent failed: " + e.err.Error() }

func (e *streamError) Unwrap() error { return e.err }

// read sends the dispatch and reads the response up to the last piece. The error is a
// *streamError, or a *disconnectedError if the caller disconnected.
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
			// A connection can only be reused after its body was read to the end.
			_, _ = io.Copy(io.Discard, resp.Body)
			return p, nil
		}
		if s.sink.disconnected {
			return wire.Piece{}, &disconnectedError{}
		}
	}
}

// disconnectedError is the error of a response whose caller disconnected.
type disconnectedError struct{}

func (e *disconnectedError) Error() string { return "caller disconnected" }

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

// handlePiece checks a piece, forwards it and reports whether it is the last one.
func (s *stream) handlePiece(p wire.Piece) (bool, error) {
	if p.Key != s.dispatch.Key {
		return false, fmt.Errorf("piece belongs to request %q", p.Key)
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
			return false, fmt.Errorf("response is incomplete or corrupt: received %d of %d bytes", s.offset, p.Offset)
		}
	}
	s.load = &p.Load
	return true, nil
}

// handleData forwards the bytes of a piece that have not been received before. A gap before
// the piece is an error.
func (s *stream) handleData(p wire.Piece) error {
	if p.Offset > s.offset {
		return fmt.Errorf("missing bytes from %d to %d", s.offset, p.Offset)
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
