package intake

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// Limits on the heads of requests to a Server and on its idle connections.
const (
	serverHeadBytes   = 64 << 10
	serverHeadTimeout = 5 * time.Second
	serverIdleTimeout = time.Minute
)

// ServerOptions configure a Server.
type ServerOptions struct {
	// Most is the largest number of connections; 0 means no limit.
	Most int
	// MaxBody is the largest body of a request, in bytes.
	MaxBody int64
	// Gate bounds the memory of heads and bodies.
	Gate *Gate
}

// Server is an http.Server that takes requests in within the bounds of its options. Its handler gets
// bodies that have arrived in full; Bytes returns them.
type Server struct {
	http.Server
	conns *Conns
}

// NewServer returns a Server that does not listen yet.
func NewServer(h http.Handler, opts ServerOptions) *Server {
	head := func() (int, time.Duration, time.Duration) {
		return serverHeadBytes, serverHeadTimeout, serverIdleTimeout
	}
	conns := NewConns(Limits{Most: opts.Most, Head: head}, opts.Gate)
	s := &Server{conns: conns}
	s.Handler = opts.handler(h)
	s.ConnContext, s.ConnState = conns.OnConnect, conns.OnState
	s.ReadHeaderTimeout, s.IdleTimeout = serverHeadTimeout, serverIdleTimeout
	return s
}

// Serve serves the connections of a listener until the server is closed.
func (s *Server) Serve(ln net.Listener) error { return s.Server.Serve(s.conns.Listen(ln)) }

// handler returns a handler that reads bodies in full before it calls h.
func (o ServerOptions) handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if IsTooMany(r.Context()) {
			w.Header().Set("Connection", "close")
			respondError(w, r, http.StatusServiceUnavailable, "too many connections")
			return
		}
		if r.ContentLength == 0 {
			h.ServeHTTP(w, r)
			return
		}
		body, err := o.Gate.Read(w, r, o.MaxBody, time.Time{})
		if err != nil {
			respondError(w, r, statusOf(err), err.Error())
			return
		}
		defer body.Close()
		r.Body = &wholeBody{Reader: bytes.NewReader(body.Data), data: body.Data}
		h.ServeHTTP(w, r)
	})
}

// statusOf returns the status of the response to a body that was not read in full.
func statusOf(err error) int {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, ErrFull):
		return http.StatusServiceUnavailable
	case errors.Is(err, ErrSlow):
		return http.StatusRequestTimeout
	}
	return http.StatusBadRequest
}

// respondError responds with an error to a request whose body was not read in full.
func respondError(w http.ResponseWriter, r *http.Request, status int, message string) {
	data, err := json.Marshal(map[string]string{"error": message})
	if err != nil {
		panic("intake: encode response: " + err.Error())
	}
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", strconv.FormatFloat(RetryAfter.Seconds(), 'f', 2, 64))
	}
	w.Header().Set("Content-Type", "application/json")
	Refuse(w, r)
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// wholeBody is a body that has arrived in full.
type wholeBody struct {
	*bytes.Reader
	data []byte
}

// Close implements io.Closer.
func (b *wholeBody) Close() error { return nil }

// Bytes returns the body of a request to a handler, within a limit in bytes. It is not copied if a
// Server has read it.
func Bytes(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if b, ok := r.Body.(*wholeBody); ok {
		if int64(len(b.data)) > limit {
			return nil, &http.MaxBytesError{Limit: limit}
		}
		return b.data, nil
	}
	return io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
}
