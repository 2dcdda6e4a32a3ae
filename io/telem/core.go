package telem

import (
	"time"

	"go.uber.org/zap/zapcore"
)

// ringCore hands zap's lines to a ring.
type ringCore struct {
	zapcore.LevelEnabler
	enc  zapcore.Encoder
	ring *Ring
}

// newRingCore returns a core whose ring says, by the same encoder, what it drops.
func newRingCore(level zapcore.LevelEnabler, enc zapcore.Encoder, ring *Ring) *ringCore {
	ring.sayLost = func(n uint64) []byte {
		e := zapcore.Entry{Level: zapcore.WarnLevel, Time: time.Now(), Message: "telem: log lines were dropped"}
		buf, err := enc.EncodeEntry(e, []zapcore.Field{{Key: "lines", Type: zapcore.Uint64Type, Integer: int64(n)}})
		if err != nil {
			return nil
		}
		defer buf.Free()
		return append([]byte(nil), buf.Bytes()...)
	}
	return &ringCore{LevelEnabler: level, enc: enc, ring: ring}
}

// With implements zapcore.Core.
func (c *ringCore) With(fields []zapcore.Field) zapcore.Core {
	next := &ringCore{LevelEnabler: c.LevelEnabler, enc: c.enc.Clone(), ring: c.ring}
	for _, f := range fields {
		f.AddTo(next.enc)
	}
	return next
}

// Check implements zapcore.Core.
func (c *ringCore) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return checked.AddCore(e, c)
	}
	return checked
}

// Write implements zapcore.Core.
func (c *ringCore) Write(e zapcore.Entry, fields []zapcore.Field) error {
	buf, err := c.enc.EncodeEntry(e, fields)
	if err != nil {
		return err
	}
	c.ring.Put(e.Level, buf.Bytes())
	buf.Free()
	return nil
}

// Sync implements zapcore.Core. The ring writes by itself.
func (c *ringCore) Sync() error { return nil }
