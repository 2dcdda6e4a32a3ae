package front

import (
	"time"

	"dotterelgap/core/sched"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// try is one attempt as the log tells it.
type try struct {
	upstream string
	addr     string
	choice   sched.Choice
	outcome  sched.Outcome
	status   int
	// at is when the attempt began, after the request's start.
	at, took time.Duration
	err      error
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (t try) MarshalLogObject(e zapcore.ObjectEncoder) error {
	e.AddString("upstream", t.upstream)
	e.AddString("addr", t.addr)
	t.choice.Log(e.AddInt, e.AddDuration, e.AddFloat64)
	e.AddString("outcome", t.outcome.String())
	e.AddInt("status", t.status)
	e.AddDuration("at", t.at.Round(time.Millisecond))
	e.AddDuration("took", t.took.Round(time.Millisecond))
	if t.err != nil {
		e.AddString("error", t.err.Error())
	}
	return nil
}

// trail is a request's attempts.
type trail []try

// MarshalLogArray implements zapcore.ArrayMarshaler.
func (t trail) MarshalLogArray(e zapcore.ArrayEncoder) error {
	for _, a := range t {
		if err := e.AppendObject(a); err != nil {
			return err
		}
	}
	return nil
}

// logEnd writes one line on how the request ended, with what decided it.
func (c *call) logEnd(out *refusal) {
	c.f.metrics.ended(c, out)
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
	if !c.first.IsZero() {
		fields = append(fields, zap.Duration("first", c.first.Sub(c.start).Round(time.Millisecond)))
	}
	if c.worst() > 0 {
		fields = append(fields, zap.Int64("worst", int64(c.worst())), zap.Int64("billed", int64(c.billed)))
	}
	if c.reserved > 0 {
		fields = append(fields, zap.Duration("reserve_took", c.reserved.Round(time.Millisecond)))
	}
	if len(c.trail) > 0 {
		fields = append(fields, zap.Array("attempts", c.trail))
	}
	if c.lastErr != nil {
		fields = append(fields, zap.NamedError("cause", c.lastErr))
	}
	if out == nil {
		c.f.log.Info("front: served", fields...)
		return
	}
	fields = append(fields, zap.String("outcome", out.code), zap.Int("status", out.status), zap.Bool("cut_off", c.passed))
	if out.retryAfter > 0 {
		fields = append(fields, zap.Duration("retry_after", out.retryAfter.Round(time.Millisecond)))
	}
	c.f.log.Warn("front: not served", fields...)
}
