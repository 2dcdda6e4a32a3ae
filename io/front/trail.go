package front

import (
	"time"

	"dotterelgap/core/sched"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// attempt is the log record of one attempt at an upstream.
type attempt struct {
	upstream string
	addr     string
	choice   sched.Choice
	outcome  sched.Outcome
	status   int
	signals  sched.Signals
	// at is the time from the start of the request to that of the attempt.
	at, took time.Duration
	err      error
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (t attempt) MarshalLogObject(e zapcore.ObjectEncoder) error {
	e.AddString("upstream", t.upstream)
	e.AddString("addr", t.addr)
	t.choice.Log(e.AddInt, e.AddDuration, e.AddFloat64)
	e.AddString("outcome", t.outcome.String())
	e.AddInt("status", t.status)
	if t.signals.Limit.Named {
		e.AddFloat64("limit", t.signals.Limit.PerSecond)
	}
	if t.signals.Leaving {
		e.AddBool("leaving", true)
	}
	if t.signals.Pause > 0 {
		e.AddDuration("pause", t.signals.Pause)
	}
	e.AddDuration("at", t.at.Round(time.Millisecond))
	e.AddDuration("took", t.took.Round(time.Millisecond))
	if t.err != nil {
		e.AddString("error", t.err.Error())
	}
	return nil
}

// attemptLog lists the attempts of a request in order.
type attemptLog []attempt

// MarshalLogArray implements zapcore.ArrayMarshaler.
func (t attemptLog) MarshalLogArray(e zapcore.ArrayEncoder) error {
	for _, a := range t {
		if err := e.AppendObject(a); err != nil {
			return err
		}
	}
	return nil
}

// logResult logs in one line how the request ended and why, and records its metrics.
// failure is nil if the request succeeded.
func (c *call) logResult(failure *responseError) {
	c.f.metrics.countRequest(c, failure)
	fields := make([]zap.Field, 0, 16)
	fields = append(fields, zap.String("request", c.id), zap.Duration("took", time.Since(c.start).Round(time.Millisecond)))
	if c.route != nil {
		fields = append(fields, zap.String("route", c.route.Name), zap.String("kind", string(c.route.Kind)),
			zap.String("customer", c.customer), zap.Duration("limit", c.deadline.Sub(c.start).Round(time.Millisecond)))
	}
	if c.service != nil {
		fields = append(fields, zap.String("service", c.service.Name))
	}
	if c.table != nil {
		fields = append(fields, zap.Uint64("policy", c.table.Number))
	}
	if !c.firstByteAt.IsZero() {
		fields = append(fields, zap.Duration("first", c.firstByteAt.Sub(c.start).Round(time.Millisecond)))
	}
	if c.maxTokens() > 0 {
		fields = append(fields, zap.Int64("worst", int64(c.maxTokens())), zap.Int64("billed", int64(c.billed)))
	}
	if c.billed > 0 {
		fields = append(fields, zap.String("ended_by", string(c.ended)))
	}
	if c.reserveTook > 0 {
		fields = append(fields, zap.Duration("reserve_took", c.reserveTook.Round(time.Millisecond)))
	}
	if c.admitted.asked {
		fields = append(fields, zap.Duration("waited", c.admitted.waited.Round(time.Millisecond)))
	}
	if c.admitted.decision.Reason != "" {
		fields = append(fields, zap.String("reason", string(c.admitted.decision.Reason)))
	}
	if len(c.attempts) > 0 {
		fields = append(fields, zap.Array("attempts", c.attempts))
	}
	if failure != nil && len(c.info.Parts) > 0 {
		fields = append(fields, zap.Strings("parts", partIDs(c.info.Parts)))
	}
	if c.lastErr != nil {
		fields = append(fields, zap.NamedError("cause", c.lastErr))
	}
	if failure == nil {
		c.f.log.Info("front: served", fields...)
		return
	}
	fields = append(fields, zap.String("outcome", failure.code), zap.Int("status", failure.status), zap.Bool("cut_off", c.relayed))
	if failure.retryAfter > 0 {
		fields = append(fields, zap.Duration("retry_after", failure.retryAfter.Round(time.Millisecond)))
	}
	c.f.log.Warn("front: not served", fields...)
}

// Limits of the parts of a prompt in a log line.
const (
	maxLoggedParts  = 8
	maxLoggedPartID = 32 // bytes
)

// partIDs returns the ids of a prompt's first parts for a log line, shortened if they are
// long.
func partIDs(parts []sched.Part) []string {
	ids := make([]string, 0, min(len(parts), maxLoggedParts))
	for _, p := range parts[:cap(ids)] {
		ids = append(ids, p.ID[:min(len(p.ID), maxLoggedPartID)])
	}
	return ids
}
