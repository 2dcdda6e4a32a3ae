package telem

import (
	"time"

	"go.uber.org/zap/zapcore"
)

// bufferCore is a zapcore.Core that writes log lines to a LogBuffer.
type bufferCore struct {
	zapcore.LevelEnabler
	enc    zapcore.Encoder
	buffer *LogBuffer
}

// newBufferCore returns a core whose buffer reports dropped lines in the same encoding.
func newBufferCore(level zapcore.LevelEnabler, enc zapcore.Encoder, buffer *LogBuffer) *bufferCore {
	buffer.encodeDropped = func(n uint64) []byte {
		e := zapcore.Entry{Level: zapcore.WarnLevel, Time: time.Now(), Message: "telem: log lines were dropped"}
		buf, err := enc.EncodeEntry(e, []zapcore.Field{{Key: "lines", Type: zapcore.Uint64Type, Integer: int64(n)}})
		if err != nil {
			return nil
		}
		defer buf.Free()
		return append([]byte(nil), buf.Bytes()...)
	}
	return &bufferCore{LevelEnabler: level, enc: enc, buffer: buffer}
}

// With implements zapcore.Core.
func (c *bufferCore) With(fields []zapcore.Field) zapcore.Core {
	next := &bufferCore{LevelEnabler: c.LevelEnabler, enc: c.enc.Clone(), buffer: c.buffer}
	for _, f := range fields {
		f.AddTo(next.enc)
	}
	return next
}

// Check implements zapcore.Core.
func (c *bufferCore) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return checked.AddCore(e, c)
	}
	return checked
}

// Write implements zapcore.Core.
func (c *bufferCore) Write(e zapcore.Entry, fields []zapcore.Field) error {
	buf, err := c.enc.EncodeEntry(e, fields)
	if err != nil {
		return err
	}
	c.buffer.Put(e.Level, buf.Bytes())
	buf.Free()
	return nil
}

// Sync implements zapcore.Core. It does nothing, since the buffer writes asynchronously.
func (c *bufferCore) Sync() error { return nil }
