package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"dotterelgap/core/escrow"
	"dotterelgap/io/wire"
)

// Outcome says what a request came to.
type Outcome string

// The outcomes. Nothing turns doubt into not-run.
const (
	// OutcomeDone: the whole answer was passed on.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun: nobody ran the request and nobody will.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeInDoubt: the request may have run, in part or in full.
	OutcomeInDoubt Outcome = "in_doubt"
)

// The headers of answers.
const (
	headerOutcome    = "Dotterelgap-Outcome"
	headerRequestKey = "Dotterelgap-Request-Key"
	headerIdempotent = "Idempotency-Key"
)

// Problem is a request's end other than done. It is the one error format.
type Problem struct {
	Code       string        `json:"code"`
	Message    string        `json:"message"`
	Outcome    Outcome       `json:"outcome"`
	RequestKey string        `json:"request_key,omitempty"`
	RetryAfter time.Duration `json:"-"`
	// RetryAfterMS is RetryAfter in milliseconds; 0 says that a retry is no use.
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

// budgetProblem tells a caller why no tokens could be reserved.
func budgetProblem(reason escrow.Reason) *Problem {
	if reason == escrow.ReasonExhausted {
		return notRun(http.StatusPaymentRequired, string(reason), "the prepaid budget does not cover the request's worst case", 0)
	}
	return notRun(http.StatusServiceUnavailable, string(reason), "the budget can't be reached at present", time.Second)
}

// refusalProblem tells a caller why no agent took the request.
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
		panic("entry: an error can't be encoded: " + err.Error())
	}
	return data
}

// write answers a request whose answer has not begun.
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
