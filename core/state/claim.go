package state

import (
	"time"

	"dotterelgap/core/fleet"
)

// ClaimState is the state of a request that must not run twice.
type ClaimState string

// The states of a claim.
const (
	// ClaimOpen means that the request was or may have been sent to the claim's agent.
	ClaimOpen ClaimState = "open"
	// ClaimDone means that the request ran and its response is stored.
	ClaimDone ClaimState = "done"
	// ClaimNotRun means that the agent proved that the request never started there.
	ClaimNotRun ClaimState = "not_run"
	// ClaimInDoubt means that the request may have run, and that it can't be determined
	// whether it did.
	ClaimInDoubt ClaimState = "in_doubt"
)

// ClaimKey identifies a request that must not run twice.
type ClaimKey struct {
	Customer string `cbor:"customer" json:"customer"`
	Key      string `cbor:"key" json:"key"`
}

// Claim binds a key to the one agent that may run its request.
type Claim struct {
	ClaimKey
	// Body is the digest of the request. The same key with another digest is refused.
	Body uint64 `cbor:"body"`
	// Agent is empty if none is available; the record is then only looked up.
	Agent fleet.NodeID `cbor:"agent"`
	// Owner identifies the dispatch that claims, so that a retry gets the claim again.
	Owner string `cbor:"owner"`
}

// FinishClaim records the outcome of an attempt.
type FinishClaim struct {
	ClaimKey
	Attempt int        `cbor:"attempt"`
	State   ClaimState `cbor:"state"`
	Answer  []byte     `cbor:"answer"`
	Status  int        `cbor:"status"`
	Type    string     `cbor:"type"`
}

// ClaimRecord is the stored state of a key: its claim, and the outcome once it has one.
type ClaimRecord struct {
	Claim
	Attempt int        `cbor:"attempt"`
	State   ClaimState `cbor:"state"`
	Answer  []byte     `cbor:"answer"`
	Status  int        `cbor:"status"`
	Type    string     `cbor:"type"`
	At      time.Time  `cbor:"at"`
}

// ClaimAnswer is the reply to a Claim. Mine means that the claimant may dispatch the
// request.
type ClaimAnswer struct {
	Mine bool
	// Mismatch means that the key was used for a request with another body.
	Mismatch bool
	Record   ClaimRecord
}

// claimRetention is how long a finished claim is kept.
const claimRetention = 24 * time.Hour

func (m *Machine) claim(at time.Time, c Claim) *ClaimAnswer {
	r, ok := m.Claims[c.ClaimKey]
	if !ok && c.Agent == "" {
		return &ClaimAnswer{Record: ClaimRecord{State: ClaimNotRun}}
	}
	if !ok {
		r = &ClaimRecord{Claim: c, Attempt: 1, State: ClaimOpen, At: at}
		m.Claims[c.ClaimKey] = r
		return &ClaimAnswer{Mine: true, Record: *r}
	}
	if r.Body != c.Body {
		return &ClaimAnswer{Mismatch: true, Record: *r}
	}
	if r.State == ClaimNotRun && c.Agent != "" {
		*r = ClaimRecord{Claim: c, Attempt: r.Attempt + 1, State: ClaimOpen, At: at}
		return &ClaimAnswer{Mine: true, Record: *r}
	}
	mine := r.State == ClaimOpen && r.Owner == c.Owner
	return &ClaimAnswer{Mine: mine, Record: *r}
}

// finish records the outcome of an attempt. An attempt in doubt may still be settled by a
// later report of the agent; done and not_run are final for their attempt.
func (m *Machine) finish(at time.Time, f FinishClaim) {
	r, ok := m.Claims[f.ClaimKey]
	if !ok || r.Attempt != f.Attempt {
		return
	}
	if r.State != ClaimOpen && r.State != ClaimInDoubt {
		return
	}
	r.State, r.Answer, r.Status, r.Type, r.At = f.State, f.Answer, f.Status, f.Type, at
}

// deleteOldClaims deletes claims that finished more than claimRetention ago. Open claims
// stay, since their requests may still be running.
func (m *Machine) deleteOldClaims(at time.Time) {
	if at.Sub(m.SweptAt) < time.Minute {
		return
	}
	m.SweptAt = at
	for k, r := range m.Claims {
		if r.State != ClaimOpen && at.Sub(r.At) > claimRetention {
			delete(m.Claims, k)
		}
	}
}
