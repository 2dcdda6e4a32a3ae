package front

import (
	"bytes"
	"context"
	"io"
	"time"

	"dotterelgap/core/quota"
	"dotterelgap/core/sched"
	"dotterelgap/io/conns"
)

// Limits of relaying a stream.
const (
	relayBufferSize = 2 << 10
	// maxEventSize limits the size of one event; a stream with a longer one counts as
	// broken.
	maxEventSize = 64 << 10
)

// streamRelay relays the events of a stream to the caller. It writes only complete
// events, since a connection to an upstream may break in the middle of one.
type streamRelay struct {
	c       *call
	pending []byte
	lastID  string
	events  int
	// lastEventAt is when the latest event arrived.
	lastEventAt time.Time
}

// relayStream relays a stream to the caller. If the connection to the upstream breaks, the
// rest of the stream can be fetched from another upstream only if the route is resumable.
func (c *call) relayStream(ctx context.Context, a *conns.Response) attemptResult {
	if c.stream == nil {
		c.stream = &streamRelay{c: c}
	}
	s := c.stream
	s.pending = s.pending[:0]
	err := s.copy(ctx, a)
	c.billed = s.billed()
	switch {
	case err == nil:
		return finalResult(sched.Served)
	case c.response.err != nil:
		c.lastErr = c.response.err
		return attemptResult{outcome: sched.Canceled, final: true, failure: c.response.failure()}
	case ctx.Err() != nil:
		c.lastErr = context.Cause(ctx)
		return attemptResult{outcome: c.relayStopOutcome(), final: true, failure: errTimeout}
	}
	c.lastErr = err
	if s.events == 0 && conns.ClosedByPeer(err) {
		c.recordCrash(true)
	}
	return attemptResult{outcome: sched.Failed, failure: errInDoubt, mayHaveRun: true}
}

// relayStopOutcome returns the outcome of an attempt whose context ended while its response was
// relayed.
func (c *call) relayStopOutcome() sched.Outcome {
	if c.silent() {
		return sched.Stalled
	}
	return sched.Canceled
}

// billed returns the tokens to bill for the stream: those of the prompt and of the
// events that were relayed, or 0 if the caller received no event.
func (s *streamRelay) billed() quota.Tokens {
	if s.c.service.Engine == nil || s.events == 0 {
		return 0
	}
	tokens := s.events * s.c.service.Engine.EventTokens
	return quota.Tokens(s.c.info.Input + min(tokens, s.c.info.Output))
}

func (s *streamRelay) copy(ctx context.Context, a *conns.Response) error {
	buf := make([]byte, relayBufferSize)
	begun := false
	earlier := s.events
	for {
		n, err := a.Body.Read(buf)
		if n > 0 {
			if !begun {
				begun = true
				s.c.f.recordFirstToken(s.c.choice, time.Since(s.c.sentAt))
			}
			s.pending = append(s.pending, buf[:n]...)
			if err := s.writeEvents(ctx, a); err != nil {
				return err
			}
		}
		if err == io.EOF {
			if !a.Framed && s.events == earlier {
				return io.ErrUnexpectedEOF
			}
			return s.finish(a)
		}
		if err != nil {
			return err
		}
	}
}

// writeEvents writes the complete events in pending to the caller.
func (s *streamRelay) writeEvents(ctx context.Context, a *conns.Response) error {
	end := bytes.LastIndex(s.pending, []byte("\n\n"))
	if end < 0 {
		if len(s.pending) > maxEventSize {
			return errInDoubt
		}
		return nil
	}
	end += 2
	if err := s.c.begin(ctx); err != nil {
		return err
	}
	if s.events == 0 {
		s.c.f.guard.answered(s.c.shared)
	}
	s.countEvents(s.pending[:end])
	s.lastEventAt = time.Now()
	if err := s.write(a, s.pending[:end]); err != nil {
		return err
	}
	s.pending = append(s.pending[:0], s.pending[end:]...)
	return nil
}

// countEvents counts the events and records the id of the last one.
func (s *streamRelay) countEvents(events []byte) {
	for event := range bytes.SplitSeq(events, []byte("\n\n")) {
		if len(event) == 0 {
			continue
		}
		s.events++
		for line := range bytes.SplitSeq(event, []byte("\n")) {
			if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
				s.lastID = string(bytes.TrimSpace(id))
			}
		}
	}
}

// writeHead forwards the head of the response of the first upstream that streams.
func (s *streamRelay) writeHead(a *conns.Response) {
	if s.c.relayed {
		return
	}
	s.c.copyResponseHeader(a.Header)
	s.c.firstByteAt = time.Now()
	s.c.w.WriteHeader(a.Status)
	s.c.relayed = true
}

func (s *streamRelay) write(a *conns.Response, data []byte) error {
	s.writeHead(a)
	_, err := s.c.response.Write(data)
	return err
}

// finish completes the response. A stream that ends within an event has been broken off.
func (s *streamRelay) finish(a *conns.Response) error {
	if len(bytes.TrimSpace(s.pending)) > 0 {
		return io.ErrUnexpectedEOF
	}
	s.writeHead(a)
	return nil
}
