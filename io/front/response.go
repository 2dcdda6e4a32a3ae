package front

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"time"
)

// Limits of what is held for a caller that reads slowly.
const (
	// writeTimeout limits the duration of one write. Meanwhile the upstream's response is not read,
	// and upstreams break off one that stays unread for some seconds.
	writeTimeout = time.Second
	// sendBuffer limits what the kernel holds for a connection, in bytes; Linux doubles it for its
	// own overhead. A longer unread response makes writes wait.
	sendBuffer = 16 << 10
)

// responseWriter writes a response to the caller, and gives up a caller that is slow to read it.
type responseWriter struct {
	w  http.ResponseWriter
	rc *http.ResponseController
	// err is the error of the first write that failed.
	err error
}

func newResponseWriter(w http.ResponseWriter) *responseWriter {
	return &responseWriter{w: w, rc: http.NewResponseController(w)}
}

// Write implements io.Writer. It returns once the kernel has the data.
func (r *responseWriter) Write(data []byte) (int, error) {
	r.extendDeadline()
	n, err := r.w.Write(data)
	if err == nil {
		err = r.rc.Flush()
	}
	if err != nil && r.err == nil {
		r.err = err
	}
	return n, err
}

// extendDeadline limits the time until what is written next, also by the server, is taken.
func (r *responseWriter) extendDeadline() {
	_ = r.rc.SetWriteDeadline(time.Now().Add(writeTimeout))
}

// slow reports whether the caller was given up because it reads slowly.
func (r *responseWriter) slow() bool { return errors.Is(r.err, os.ErrDeadlineExceeded) }

// failure returns the reason for which a response whose caller was given up ends.
func (r *responseWriter) failure() *responseError {
	if r.slow() {
		return errCallerSlow
	}
	return errTimeout
}

// boundSendBuffer limits what the kernel holds for a caller's connection. It is a ConnContext of an
// http.Server.
func boundSendBuffer(ctx context.Context, c net.Conn) context.Context {
	if b, ok := c.(interface{ SetWriteBuffer(int) error }); ok {
		_ = b.SetWriteBuffer(sendBuffer)
	}
	return ctx
}
