package front

import (
	"errors"
	"net/http"
	"time"

	"dotterelgap/io/intake"
)

// defaultMaxBody limits the size of a body if the policy sets no limit, in bytes.
const defaultMaxBody = 4 << 20

// headLimits returns the limits on the head of a request and on idle connections: those of the policy,
// or the defaults.
func (f *Front) headLimits() (bytes int, timeout, idle time.Duration) {
	bytes, timeout, idle = headerBytes, headerTimeout, idleTimeout
	table := f.table.Load()
	if table == nil {
		return bytes, timeout, idle
	}
	l := table.Limits
	if l.HeaderBytes > 0 {
		bytes = l.HeaderBytes
	}
	if l.HeaderTimeout > 0 {
		timeout = l.HeaderTimeout
	}
	if l.IdleTimeout > 0 {
		idle = l.IdleTimeout
	}
	return bytes, timeout, idle
}

// readBody reads the body until the request's deadline.
func (c *call) readBody() *responseError {
	limit := c.table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if c.r.ContentLength == 0 {
		return nil
	}
	body, err := c.f.deps.Intake.Read(c.w, c.r, limit, c.deadline)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return errTooLarge
	case errors.Is(err, intake.ErrSlow):
		return errSlowBody
	case errors.Is(err, intake.ErrFull):
		return errNoMemory
	case err != nil:
		return errBadBody
	}
	c.held, c.body = body, body.Data
	return nil
}

// refuseBody prepares the response to a request that was rejected before its body was read.
func (c *call) refuseBody() {
	if c.held == nil {
		intake.Refuse(c.w, c.r)
	}
}

// releaseBody frees the memory of the body once the request has ended.
func (c *call) releaseBody() {
	if c.held != nil {
		c.held.Close()
	}
}
