package intake

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"dotterelgap/core/upload"
)

const (
	// firstStep is what is reserved for a body without a length before it arrives, in bytes.
	firstStep = 4 << 10
	// progressStep is the time between two records of an upload's progress.
	progressStep = 250 * time.Millisecond
)

// Body is the body of a request. It holds its memory until Close.
type Body struct {
	// Data is the body in full.
	Data []byte

	gate *Gate
	id   upload.ID
	rc   *http.ResponseController

	mu sync.Mutex
	// ended is set once the upload has to yield.
	ended bool
}

// Close releases the memory of the body, which must not be used any more.
func (b *Body) Close() {
	b.Data = nil
	b.gate.release(b.id)
}

// Read reads the body of a request until the deadline; the zero time means none. Errors are
// *http.MaxBytesError, ErrFull, ErrSlow, and those of the connection or of malformed chunks. The
// response to a body that was not read in full must close the connection.
func (g *Gate) Read(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) (*Body, error) {
	if r.ContentLength > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	if deadline.IsZero() {
		deadline = time.Now().Add(time.Hour)
	}
	b := &Body{gate: g, rc: http.NewResponseController(w)}
	b.id = g.open(b.end)
	if err := b.read(r, limit, deadline); err != nil {
		b.Close()
		return nil, err
	}
	_ = b.rc.SetReadDeadline(time.Time{})
	return b, nil
}

func (b *Body) read(r *http.Request, limit int64, deadline time.Time) error {
	size := r.ContentLength
	if size < 0 {
		size = firstStep
	}
	if !b.grow(min(size, limit+1), deadline) {
		return ErrFull
	}
	var progressAt time.Time
	for {
		if len(b.Data) == cap(b.Data) {
			if r.ContentLength >= 0 {
				return b.finish()
			}
			if !b.grow(min(2*int64(cap(b.Data)), limit+1), deadline) {
				return ErrFull
			}
		}
		if now := time.Now(); now.Sub(progressAt) > progressStep {
			progressAt = now
			b.gate.progress(b.id)
			b.extend(now, deadline)
		}
		n, err := r.Body.Read(b.Data[len(b.Data):cap(b.Data)])
		b.Data = b.Data[:len(b.Data)+n]
		switch {
		case int64(len(b.Data)) > limit:
			return &http.MaxBytesError{Limit: limit}
		case err == io.EOF:
			return b.finish()
		case errors.Is(err, os.ErrDeadlineExceeded) && b.hasEnded():
			return ErrFull
		case errors.Is(err, os.ErrDeadlineExceeded):
			return ErrSlow
		case err != nil:
			return err
		}
	}
}

// grow makes room for a body of this size.
func (b *Body) grow(size int64, deadline time.Time) bool {
	if !b.gate.reserve(b.id, size, deadline) {
		return false
	}
	data := make([]byte, len(b.Data), size)
	copy(data, b.Data)
	b.Data = data
	return true
}

func (b *Body) finish() error {
	if !b.gate.complete(b.id) {
		return ErrFull
	}
	return nil
}

// extend allows another period without progress.
func (b *Body) extend(now, deadline time.Time) {
	if idle := now.Add(b.gate.idle); idle.Before(deadline) {
		deadline = idle
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.ended {
		_ = b.rc.SetReadDeadline(deadline)
	}
}

// end makes the upload yield: its reader stops.
func (b *Body) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
	_ = b.rc.SetReadDeadline(time.Unix(1, 0))
}

func (b *Body) hasEnded() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ended
}

// unreadWait limits the time in which the rest of a body that nobody reads may arrive, so that its
// connection can be used again.
const unreadWait = time.Second

// unreadMost is the longest rest of a body that is worth waiting for, in bytes.
const unreadMost = 64 << 10

// Refuse prepares the response to a request whose body has not been read in full: the server waits
// only briefly for the rest of a short body, and closes the connection with a longer one.
func Refuse(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 {
		return
	}
	if r.ContentLength < 0 || r.ContentLength > unreadMost {
		w.Header().Set("Connection", "close")
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadWait))
}

// WithoutBody returns a handler of requests whose bodies nobody reads.
func WithoutBody(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		Refuse(w, r)
		h.ServeHTTP(w, r)
	})
}
