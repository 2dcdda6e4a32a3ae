package entry

import (
	"net/http"
	"strconv"
	"time"

	"dotterelgap/io/wire"
)

// sink forwards a response to a caller. It forwards a streamed response as it arrives, and
// any other only once it is complete, so that its outcome is known.
type sink struct {
	w           http.ResponseWriter
	rc          *http.ResponseController
	limits      Limits
	key         string
	stream      bool
	head        *wire.Piece
	buffered    []byte
	headWritten bool
	// disconnected is set once a write to the caller has failed.
	disconnected bool
}

func newSink(w http.ResponseWriter, limits Limits, key string, stream bool) *sink {
	return &sink{w: w, rc: http.NewResponseController(w), limits: limits, key: key, stream: stream}
}

func (s *sink) setHead(p wire.Piece) {
	if s.head == nil {
		s.head = &p
	}
	// Only a response with status 200 is streamed. An error response is short, so it is
	// forwarded once it is complete.
	s.stream = s.stream && s.head.Status == http.StatusOK
}

func (s *sink) data(data []byte) {
	if !s.stream {
		s.buffered = append(s.buffered, data...)
		return
	}
	if !s.headWritten {
		s.w.Header().Set("Trailer", headerOutcome)
		s.writeHead()
	}
	s.write(data)
	if err := s.rc.Flush(); err != nil {
		s.disconnected = true
	}
}

func (s *sink) writeHead() {
	s.headWritten = true
	h := s.w.Header()
	if s.head.Type != "" {
		h.Set("Content-Type", s.head.Type)
	}
	h.Set(headerRequestKey, s.key)
	s.w.WriteHeader(s.head.Status)
}

func (s *sink) write(data []byte) {
	if s.disconnected {
		return
	}
	_ = s.rc.SetWriteDeadline(time.Now().Add(s.limits.WriteTimeout))
	if _, err := s.w.Write(data); err != nil {
		s.disconnected = true
	}
}

// finish ends a complete response.
func (s *sink) finish() {
	if s.headWritten {
		s.w.Header().Set(headerOutcome, string(OutcomeDone))
		return
	}
	if s.head == nil {
		s.head = &wire.Piece{Status: http.StatusOK}
	}
	s.w.Header().Set(headerOutcome, string(OutcomeDone))
	s.w.Header().Set("Content-Length", strconv.Itoa(len(s.buffered)))
	s.writeHead()
	s.write(s.buffered)
}

// fail ends a response that was forwarded in part: the caller gets an error event, and the
// connection is aborted so that the response does not look complete.
func (s *sink) fail(p *Problem) {
	p.RequestKey = s.key
	s.write([]byte("event: error\ndata: " + string(p.body()) + "\n\n"))
	_ = s.rc.Flush()
	panic(http.ErrAbortHandler)
}

// reset discards the buffered response before another attempt.
func (s *sink) reset() {
	s.head = nil
	s.buffered = nil
}
