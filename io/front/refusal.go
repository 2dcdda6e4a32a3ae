package front

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// refusal is an answer of the front's own.
type refusal struct {
	status int
	// code names the cause in logs and in the body.
	code string
	// retryAfter is when a repeat has a chance; 0 says nothing.
	retryAfter time.Duration
}

// The refusals that say nothing about the moment. All but the last two promise
// that the request did not run and never will.
var (
	errNoPolicy   = &refusal{status: http.StatusServiceUnavailable, code: "not_ready", retryAfter: 500 * time.Millisecond}
	errNoRoute    = &refusal{status: http.StatusNotFound, code: "no_such_route"}
	errNoKey      = &refusal{status: http.StatusUnauthorized, code: "unknown_key"}
	errTooLarge   = &refusal{status: http.StatusRequestEntityTooLarge, code: "body_too_large"}
	errBadBody    = &refusal{status: http.StatusBadRequest, code: "bad_body"}
	errExhausted  = &refusal{status: http.StatusPaymentRequired, code: "budget_exhausted"}
	errUnfunded   = &refusal{status: http.StatusServiceUnavailable, code: "budget_elsewhere", retryAfter: 300 * time.Millisecond}
	errNoUpstream = &refusal{status: http.StatusServiceUnavailable, code: "no_upstream", retryAfter: 500 * time.Millisecond}
	errRejected   = &refusal{status: http.StatusServiceUnavailable, code: "upstream_full", retryAfter: 300 * time.Millisecond}
	errLost       = &refusal{status: http.StatusBadGateway, code: "in_doubt"}
	errTimeout    = &refusal{status: http.StatusGatewayTimeout, code: "timeout"}
)

// Error implements error.
func (r *refusal) Error() string { return r.code }

func (r *refusal) write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if r.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(r.retryAfter.Seconds(), 'f', 2, 64))
	}
	body, err := json.Marshal(map[string]string{"error": r.code})
	if err != nil {
		panic("front: an error can't be encoded: " + err.Error())
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(r.status)
	_, _ = w.Write(body)
}
