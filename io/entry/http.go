package entry

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"dotterelgap/core/config"
	"dotterelgap/io/intake"
	"dotterelgap/io/telem"

	"github.com/google/uuid"
)

// Constants of the request headers. maxKeyLength limits an idempotency key.
const (
	maxKeyLength = 128
	bearerPrefix = "Bearer "
)

// routes returns the handler of the callers' API.
func (e *Entry) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.withCaller(e.serveChat))
	mux.HandleFunc("/v1/services/{service}/{path...}", e.withCaller(e.servePlain))
	mux.Handle("GET /healthz", intake.WithoutBody(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })))
	mux.Handle("GET /readyz", intake.WithoutBody(http.HandlerFunc(e.serveReady)))
	if e.deps.Metrics != nil {
		mux.Handle("GET /metrics", intake.WithoutBody(e.deps.Metrics))
	}
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		intake.Refuse(w, r)
		notRun(http.StatusNotFound, "no_such_path", "see /v1/chat/completions and /v1/services/", 0).write(w)
	})
	return mux
}

func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !e.ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// caller is an authenticated request: its customer, idempotency key and body, and the
// configuration that it is served with.
type caller struct {
	customer string
	key      string
	// keyed is set if the caller sent the key; otherwise the entry generated it.
	keyed bool
	body  []byte
	// held holds the memory of the body; nil before it has been read.
	held *intake.Body
	view *view
}

type handler func(w http.ResponseWriter, r *http.Request, c caller) *Problem

// withCaller authenticates the caller and reads the body within the limits before it calls h.
func (e *Entry) withCaller(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e.inFlight.Add(1)
		defer e.inFlight.Add(-1)
		if e.leaving.Load() {
			// No request must be on its way when the connection is closed.
			w.Header().Set("Connection", "close")
		}
		ctx, span := telem.Span(telem.Extract(r.Context(), r.Header.Get("Traceparent")), "entry.request")
		defer span.End()
		c, p := e.admit(w, r)
		if p == nil {
			defer func() { <-e.slots }()
			defer c.held.Close()
			p = h(w, r.WithContext(ctx), c)
		}
		e.metrics.request(p)
		if p != nil {
			if c.held == nil {
				intake.Refuse(w, r)
			}
			p.RequestKey = c.key
			p.write(w)
		}
	}
}

// admit identifies the caller and reads the body. On success it holds one of e.slots,
// which withCaller releases.
func (e *Entry) admit(w http.ResponseWriter, r *http.Request) (caller, *Problem) {
	if intake.IsTooMany(r.Context()) {
		w.Header().Set("Connection", "close")
		return caller{}, notRun(http.StatusServiceUnavailable, "too_many_connections", "this entry has too many connections", time.Second)
	}
	c, p := e.identify(r)
	if p != nil {
		return c, p
	}
	select {
	case e.slots <- struct{}{}:
	default:
		return c, notRun(http.StatusServiceUnavailable, "overloaded", "this entry is at its limit of requests", time.Second)
	}
	c.held, p = e.readBody(w, r)
	if p != nil {
		<-e.slots
		return c, p
	}
	c.body = c.held.Data
	return c, nil
}

func (e *Entry) identify(r *http.Request) (caller, *Problem) {
	e.mu.RLock()
	c := caller{view: e.view}
	version := e.store.Version
	e.mu.RUnlock()
	if version == 0 {
		return c, notRun(http.StatusServiceUnavailable, "not_ready", "no configuration is in force here yet", time.Second)
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if !ok {
		return c, notRun(http.StatusUnauthorized, "unauthorized", "an Authorization header with a bearer key is needed", 0)
	}
	c.customer, ok = c.view.customers[config.DigestOf(key)]
	if !ok {
		return c, notRun(http.StatusUnauthorized, "unauthorized", "the bearer key is not known", 0)
	}
	c.key = r.Header.Get(headerIdempotent)
	c.keyed = c.key != ""
	if !c.keyed {
		c.key = uuid.NewString()
	}
	if len(c.key) > maxKeyLength || strings.ContainsFunc(c.key, func(r rune) bool { return r <= ' ' || r > '~' }) {
		return c, notRun(http.StatusBadRequest, "bad_key", "an idempotency key is 1 to 128 printable ASCII characters without spaces", 0)
	}
	return c, nil
}

func (e *Entry) readBody(w http.ResponseWriter, r *http.Request) (*intake.Body, *Problem) {
	body, err := e.intake.Read(w, r, e.deps.Limits.BodyBytes, time.Now().Add(e.deps.Limits.BodyTimeout))
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &tooLarge):
		return nil, notRun(http.StatusRequestEntityTooLarge, "body_too_large", "the body is over the limit", 0)
	case errors.Is(err, intake.ErrFull):
		return nil, notRun(http.StatusServiceUnavailable, "no_memory", "this entry has no memory for the body", time.Second)
	}
	return nil, notRun(http.StatusBadRequest, "bad_body", "the body did not arrive whole and in time", 0)
}
