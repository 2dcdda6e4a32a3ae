package front

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"dotterelgap/io/intake"
)

// responseError is an error response that the front itself generates.
type responseError struct {
	status int
	// code identifies the cause in logs and in the response body.
	code string
	// retryAfter is the delay after which a retry may succeed; 0 if unknown.
	retryAfter time.Duration
}

// The error responses that are the same for every request. All except the last three
// state that the request did not run and never will.
var (
	errNoPolicy        = &responseError{status: http.StatusServiceUnavailable, code: "not_ready", retryAfter: 500 * time.Millisecond}
	errNoRoute         = &responseError{status: http.StatusNotFound, code: "no_such_route"}
	errUnknownKey      = &responseError{status: http.StatusUnauthorized, code: "unknown_key"}
	errTooLarge        = &responseError{status: http.StatusRequestEntityTooLarge, code: "body_too_large"}
	errPromptTooLarge  = &responseError{status: http.StatusServiceUnavailable, code: "prompt_too_large"}
	errBadBody         = &responseError{status: http.StatusBadRequest, code: "bad_body"}
	errBadTokens       = &responseError{status: http.StatusBadRequest, code: "bad_tokens"}
	errSlowBody        = &responseError{status: http.StatusRequestTimeout, code: "slow_body"}
	errBudgetExhausted = &responseError{status: http.StatusPaymentRequired, code: "budget_exhausted"}
	errBudgetElsewhere = &responseError{status: http.StatusServiceUnavailable, code: "budget_elsewhere", retryAfter: 300 * time.Millisecond}
	errNoUpstream      = &responseError{status: http.StatusServiceUnavailable, code: "no_upstream", retryAfter: 500 * time.Millisecond}
	errNoMemory        = &responseError{status: http.StatusServiceUnavailable, code: "no_memory", retryAfter: intake.RetryAfter}
	errTooManyCallers  = &responseError{status: http.StatusServiceUnavailable, code: "too_many_connections", retryAfter: 300 * time.Millisecond}
	errQuarantined     = &responseError{status: http.StatusServiceUnavailable, code: "quarantined"}
	errUpstreamLimited = &responseError{status: http.StatusServiceUnavailable, code: "upstream_limited", retryAfter: 300 * time.Millisecond}
	errUpstreamPaused  = &responseError{status: http.StatusServiceUnavailable, code: "upstream_paused", retryAfter: 300 * time.Millisecond}
	errUpstreamPaced   = &responseError{status: http.StatusServiceUnavailable, code: "upstream_paced", retryAfter: 300 * time.Millisecond}
	errUpstreamFull    = &responseError{status: http.StatusServiceUnavailable, code: "upstream_full", retryAfter: 300 * time.Millisecond}
	errCallerLeft      = &responseError{status: http.StatusServiceUnavailable, code: "caller_left"}
	errOverloaded      = &responseError{status: http.StatusServiceUnavailable, code: "overloaded", retryAfter: 500 * time.Millisecond}
	errNotAdmitted     = &responseError{status: http.StatusServiceUnavailable, code: "not_admitted"}
	errInDoubt         = &responseError{status: http.StatusBadGateway, code: "in_doubt"}
	errCallerSlow      = &responseError{status: http.StatusGatewayTimeout, code: "caller_slow"}
	errTimeout         = &responseError{status: http.StatusGatewayTimeout, code: "timeout"}
)

// Error implements error.
func (e *responseError) Error() string { return e.code }

func (e *responseError) write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if e.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(e.retryAfter.Seconds(), 'f', 2, 64))
	}
	body, err := json.Marshal(map[string]string{"error": e.code})
	if err != nil {
		panic("front: encode error response: " + err.Error())
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(e.status)
	_, _ = w.Write(body)
}
