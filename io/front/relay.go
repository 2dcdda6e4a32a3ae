package front

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"dotterelgap/core/quota"
	"dotterelgap/core/sched"
	"dotterelgap/io/conns"
)

// Sizes and times of passing a stream on.
const (
	relayBuffer = 2 << 10
	// maxEvent bounds one event; a stream with a longer one is broken.
	maxEvent = 64 << 10
	// writeTimeout bounds one write to a slow caller.
	writeTimeout = 5 * time.Second
)

// relay passes a stream's events on, whole ones only: an upstream may break off
// in the middle of one.
type relay struct {
	c      *call
	rc     *http.ResponseController
	held   []byte
	lastID string
	events int
	// gone is set once the caller can't be written to.
	gone error
}

// relay passes a stream on. What is left of it after a break can be fetched from
// another upstream only where the route says so.
func (c *call) relay(ctx context.Context, a *conns.Answer) verdict {
	if c.stream == nil {
		c.stream = &relay{c: c, rc: http.NewResponseController(c.w)}
	}
	s := c.stream
	s.held = s.held[:0]
	err := s.copy(a)
	_ = s.rc.SetWriteDeadline(time.Time{})
	c.billed = s.billed()
	switch {
	case err == nil:
		return done(sched.Served)
	case s.gone != nil:
		c.lastErr = s.gone
		return verdict{outcome: sched.Canceled, final: true, refusal: errTimeout}
	case ctx.Err() != nil:
		c.lastErr = context.Cause(ctx)
		return verdict{outcome: sched.Canceled, final: true, refusal: errTimeout}
	}
	c.lastErr = err
	return verdict{outcome: sched.Failed, refusal: errLost, mayHaveRun: true}
}

// billed is what the stream has used: the prompt, and the tokens passed on. A customer
// whose caller got nothing is billed nothing.
func (s *relay) billed() quota.Tokens {
	if s.c.service.Engine == nil || s.events == 0 {
		return 0
	}
	tokens := s.events * s.c.service.Engine.EventTokens
	return quota.Tokens(s.c.terms.Input + min(tokens, s.c.terms.Output))
}

func (s *relay) copy(a *conns.Answer) error {
	buf := make([]byte, relayBuffer)
	begun := false
	for {
		n, err := a.Body.Read(buf)
		if n > 0 {
			if !begun {
				begun = true
				s.c.f.firstToken(s.c.choice, time.Since(s.c.sent))
			}
			s.held = append(s.held, buf[:n]...)
			if err := s.passWhole(a); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return s.end(a)
		}
		if err != nil {
			return err
		}
	}
}

// passWhole passes on the whole events that are held.
func (s *relay) passWhole(a *conns.Answer) error {
	end := bytes.LastIndex(s.held, []byte("\n\n"))
	if end < 0 {
		if len(s.held) > maxEvent {
			return errLost
		}
		return nil
	}
	end += 2
	s.note(s.held[:end])
	if err := s.write(a, s.held[:end]); err != nil {
		return err
	}
	s.held = append(s.held[:0], s.held[end:]...)
	return nil
}

// note counts the events and keeps the last one's id.
func (s *relay) note(events []byte) {
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

// begin passes on the head of the first upstream's answer.
func (s *relay) begin(a *conns.Answer) {
	if s.c.passed {
		return
	}
	copyHeader(s.c.w.Header(), a.Header)
	s.c.first = time.Now()
	s.c.w.WriteHeader(a.Status)
	s.c.passed = true
}

func (s *relay) write(a *conns.Answer, data []byte) error {
	s.begin(a)
	_ = s.rc.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := s.c.w.Write(data); err != nil {
		s.gone = err
		return err
	}
	if err := s.rc.Flush(); err != nil {
		s.gone = err
		return err
	}
	return nil
}

// end passes on what follows the last event, if anything.
func (s *relay) end(a *conns.Answer) error {
	if len(s.held) > 0 {
		return s.write(a, s.held)
	}
	s.begin(a)
	return nil
}
