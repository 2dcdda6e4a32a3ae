package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"dotterelgap/core/escrow"
	"dotterelgap/io/wire"
)

// Outcome is the outcome of a request.
type Outcome string

// The outcomes of a request. An outcome that is in doubt never becomes OutcomeNotRun.
const (
	// OutcomeDone: the complete response was forwarded.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun: the request did not run and never will.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeInDoubt: the request may have run, partly or completely.
	OutcomeInDoubt Outcome = "in_doubt"
)

// The headers of requests and responses.
const (
	headerOutcome    = "Dotterelgap-Outcome"
	headerRequestKey = "Dotterelgap-Request-Key"
	headerIdempotent = "Idempotency-Key"
)

// Problem is the error response to a request whose outcome is not OutcomeDone. All error
// responses of the callers' API have this format.
type Problem struct {
	Code       string        `json:"code"`
	Message    string        `json:"message"`
	Outcome    Outcome       `json:"outcome"`
	RequestKey string        `json:"request_key,omitempty"`
	RetryAfter time.Duration `json:"-"`
	// RetryAfterMS is RetryAfter in milliseconds, or 0 if a retry can't succeed.
	RetryAfterMS int64 `json:"retry_after_ms"`
	Status       int   `json:"-"`
}

// Error implements error.
func (p *Problem) Error() string {
	return p.Code + ": " + p.Message
}

func notRun(status int, code, message string, retry time.Duration) *Problem {
	return &Problem{Status: status, Code: code, Message: message, Outcome: OutcomeNotRun, RetryAfter: retry}
}

func inDoubt(code, message string) *Problem {
	return &Problem{Status: http.StatusBadGateway, Code: code, Message: message, Outcome: OutcomeInDoubt, RetryAfter: time.Second}
}

// budgetProblem returns the problem for a request whose tokens could not be reserved.
func budgetProblem(reason escrow.Reason) *Problem {
	if reason == escrow.ReasonExhausted {
		return notRun(http.StatusPaymentRequired, string(reason), "the prepaid budget does not cover the request's worst case", 0)
	}
	return notRun(http.StatusServiceUnavailable, string(reason), "the budget can't be reached at present", time.Second)
}

// refusalProblem returns the problem for a request that no agent accepted.
func refusalProblem(code string) *Problem {
	switch code {
	case wire.CodeKeyReused:
		return notRun(http.StatusConflict, code, "the idempotency key was used with another request", 0)
	case wire.CodeOverloaded:
		return notRun(http.StatusServiceUnavailable, code, "all upstreams are at their limit", time.Second)
	}
	return notRun(http.StatusServiceUnavailable, code, "no upstream could take the request", time.Second)
}

func (p *Problem) body() []byte {
	p.RetryAfterMS = p.RetryAfter.Milliseconds()
	data, err := json.Marshal(map[string]*Problem{"error": p})
	if err != nil {
		panic("entry: encode error response: " + err.Error())
	}
	return data
}

// write sends the problem as the response. No part of a response may have been sent before.
func (p *Problem) write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(headerOutcome, string(p.Outcome))
	if p.RequestKey != "" {
		h.Set(headerRequestKey, p.RequestKey)
	}
	if p.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(p.RetryAfter.Round(time.Second)/time.Second)))
	}
	w.WriteHeader(p.Status)
	_, _ = w.Write(append(p.body(), '\n'))
}
