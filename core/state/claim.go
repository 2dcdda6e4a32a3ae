package state

import (
	"time"

	"dotterelgap/core/fleet"
)

// ClaimState says how far work that must not repeat has come.
type ClaimState string

// The states of a claim.
const (
	// ClaimOpen: the work was or may be given to the claim's agent.
	ClaimOpen ClaimState = "open"
	// ClaimDone: the work ran and its answer is stored.
	ClaimDone ClaimState = "done"
	// ClaimNotRun: the agent proved that the work never started there.
	ClaimNotRun ClaimState = "not_run"
	// ClaimInDoubt: the work may have run and can't be found out.
	ClaimInDoubt ClaimState = "in_doubt"
)

// ClaimKey names work that must not repeat.
type ClaimKey struct {
	Customer string `cbor:"customer" json:"customer"`
	Key      string `cbor:"key" json:"key"`
}

// Claim binds a key to the one agent that may run its work.
type Claim struct {
	ClaimKey
	// Body is the digest of the request; the same key with another is refused.
	Body uint64 `cbor:"body"`
	// Agent is empty where none is at hand: then the record is only looked up.
	Agent fleet.NodeID `cbor:"agent"`
	// Owner names the dispatch that asks, so that its resent claim is known.
	Owner string `cbor:"owner"`
}

// FinishClaim records what the work came to.
type FinishClaim struct {
	ClaimKey
	Attempt int        `cbor:"attempt"`
	State   ClaimState `cbor:"state"`
	Answer  []byte     `cbor:"answer"`
	Status  int        `cbor:"status"`
	Type    string     `cbor:"type"`
}

// ClaimRecord is what the group knows of a key.
type ClaimRecord struct {
	Claim
	Attempt int        `cbor:"attempt"`
	State   ClaimState `cbor:"state"`
	Answer  []byte     `cbor:"answer"`
	Status  int        `cbor:"status"`
	Type    string     `cbor:"type"`
	At      time.Time  `cbor:"at"`
}

// ClaimAnswer answers a Claim. Mine means that the asker may dispatch.
type ClaimAnswer struct {
	Mine bool
	// Mismatch means that the key was used with another body.
	Mismatch bool
	Record   ClaimRecord
}

// claimLife is how long a finished claim is kept.
const claimLife = 24 * time.Hour

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

// finish records an outcome. Doubt may still be cleared up by the agent's word;
// done and not_run are final for their attempt.
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

// forgetClaims drops finished claims that are older than claimLife. Open ones
// stay: their work may still be running.
func (m *Machine) forgetClaims(at time.Time) {
	if at.Sub(m.SweptAt) < time.Minute {
		return
	}
	m.SweptAt = at
	for k, r := range m.Claims {
		if r.State != ClaimOpen && at.Sub(r.At) > claimLife {
			delete(m.Claims, k)
		}
	}
}
