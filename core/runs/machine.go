package runs

import (
	"errors"
	"time"

	"dotterelgap/core/escrow"
)

type attemptID struct {
	ID
	attempt int
}

// Machine is the state machine of an agent's runs.
type Machine struct {
	limits Limits
	meter  *escrow.Meter
	runs   map[ID]*run
	// refused holds the attempts that must not start here. The value is true
	// if the attempt did run and its response is no longer kept.
	refused map[attemptID]bool
	// voided holds the requests that were voided in favour of another agent.
	// No attempt of them starts here.
	voided map[ID]struct{}
	// expired holds the requests whose runs were dropped and are or may be
	// billed.
	expired       map[ID]bool
	refusedOrder  []attemptID // keys of refused, oldest first
	finished      []*run      // oldest first
	finishedBytes int64
	running       int
	draining      bool
	ready         bool
}

// New returns a machine without runs that charges the meter. It starts nothing
// until Ready is called.
func New(meter *escrow.Meter, limits Limits) *Machine {
	return &Machine{
		limits: limits, meter: meter,
		runs: map[ID]*run{}, refused: map[attemptID]bool{}, voided: map[ID]struct{}{}, expired: map[ID]bool{},
	}
}

// Ready lets attempts start. The agent calls it once it has joined and knows
// which grants are fenced.
func (m *Machine) Ready() { m.ready = true }

// Drain stops new attempts from starting.
func (m *Machine) Drain() { m.draining = true }

// Running returns the number of attempts that have not ended.
func (m *Machine) Running() int { return m.running }

// Admit decides on an attempt. If the action is Start, the attempt's charge is
// open, and the caller must run the attempt and call Use and End.
func (m *Machine) Admit(now time.Time, s Spec) Decision {
	m.forget(now)
	if r, ok := m.runs[s.ID]; ok {
		if r.spec.Body != s.Body {
			return Decision{Reason: ReasonKeyReused}
		}
		return Decision{Action: Attach, Attempt: r.spec.Attempt}
	}
	ran, refused := m.refused[attemptID{s.ID, s.Attempt}]
	if ran {
		return Decision{Reason: ReasonExpired}
	}
	if _, voided := m.voided[s.ID]; refused || voided || s.AttachOnly {
		m.refuse(s.ID, s.Attempt, false)
		return Decision{Reason: ReasonNoRun}
	}
	if reason := m.unavailable(); reason != "" {
		return Decision{Reason: reason}
	}
	if d, ok := m.beginCharge(s); !ok {
		return d
	}
	m.runs[s.ID] = &run{spec: s}
	m.running++
	return Decision{Action: Start, Attempt: s.Attempt}
}

func (m *Machine) unavailable() Reason {
	switch {
	case m.draining:
		return ReasonDraining
	case !m.ready:
		return ReasonNotReady
	case m.running >= m.limits.Running:
		return ReasonOverloaded
	}
	return ""
}

func (m *Machine) beginCharge(s Spec) (Decision, bool) {
	err := m.meter.Begin(escrow.Charge{Key: chargeKey(s.ID), Attempt: s.Attempt, Parts: s.Parts, Retried: s.Retried})
	var fenced *escrow.FencedError
	var unknown *escrow.UnknownGrantError
	switch {
	case errors.As(err, &fenced):
		return Decision{Reason: ReasonFenced, Grant: fenced.Grant}, false
	case errors.As(err, &unknown):
		return Decision{Reason: ReasonUnknownGrant, Grant: unknown.Grant}, false
	}
	return Decision{}, err == nil
}

func chargeKey(id ID) string {
	return id.Customer + "/" + id.Key
}

// Use records the tokens that a run has used so far.
func (m *Machine) Use(id ID, used escrow.Tokens) {
	r, ok := m.runs[id]
	if !ok || r.done {
		return
	}
	r.used = min(max(r.used, used), escrow.Total(r.spec.Parts))
	m.meter.Use(chargeKey(id), r.spec.Attempt, used)
}

// End marks a run as finished. size is the length of its response in bytes. It
// returns the number of tokens that are charged.
func (m *Machine) End(now time.Time, id ID, size int64) escrow.Tokens {
	r, ok := m.runs[id]
	if !ok {
		return 0
	}
	if r.done {
		return r.used
	}
	r.done = true
	r.ended = now
	r.size = size
	m.running--
	m.finishedBytes += size
	m.finished = append(m.finished, r)
	m.meter.End(chargeKey(id), r.spec.Attempt)
	m.settleVoid(r)
	return r.used
}

// NotRun ends a run that did not reach the upstream. The attempt counts as
// refused, and its charge is voided.
func (m *Machine) NotRun(now time.Time, id ID) {
	r, ok := m.runs[id]
	if !ok || r.done {
		return
	}
	m.End(now, id, 0)
	m.Ack(id, r.spec.Attempt, 0)
	m.drop(r)
	m.refuse(id, r.spec.Attempt, false)
}

// Ack bills an ended run at no more than the given number of tokens and returns
// the number that is billed. The machine has the final decision on its runs: once
// a run is billed or voided, a further call only returns the recorded number.
func (m *Machine) Ack(id ID, attempt int, billed escrow.Tokens) escrow.Tokens {
	r, ok := m.runs[id]
	if !ok || r.spec.Attempt != attempt || !r.done {
		return 0
	}
	if !r.acked {
		r.acked = true
		r.billed = min(r.used, billed)
		m.meter.Ack(chargeKey(id), attempt, r.billed)
	}
	return r.billed
}

// Void keeps a request from being billed at this agent, now or later, in favour
// of an attempt at another agent. It reports whether it succeeded. If it returns
// false, the run at this agent is or may be billed, and the other attempt must
// not be billed.
func (m *Machine) Void(id ID) bool {
	m.voided[id] = struct{}{}
	r, ok := m.runs[id]
	if !ok {
		m.refuse(id, 0, false)
		return !m.expired[id]
	}
	if r.acked {
		return r.billed == 0
	}
	if m.meter.Fenced(chargeKey(id), r.spec.Attempt) {
		return false
	}
	r.voided = true
	m.settleVoid(r)
	return true
}

// settleVoid bills a voided run at zero once the run has ended.
func (m *Machine) settleVoid(r *run) {
	if r.voided && r.done && !r.acked {
		r.acked = true
		r.billed = 0
		m.meter.Ack(chargeKey(r.spec.ID), r.spec.Attempt, 0)
	}
}

// Resolution is the outcome of an attempt.
type Resolution struct {
	NotRun  bool
	Running bool
	// Expired is set if the attempt ran and its response is no longer kept.
	Expired bool
	Used    escrow.Tokens
	// Payment names the reservation that pays for the run.
	Payment string
}

// Resolve returns the outcome of an attempt. It makes the machine refuse an
// attempt that has not started, so that NotRun stays true.
func (m *Machine) Resolve(id ID, attempt int) Resolution {
	r, ok := m.runs[id]
	if !ok || r.spec.Attempt != attempt {
		m.refuse(id, attempt, false)
		ran := m.refused[attemptID{id, attempt}]
		return Resolution{NotRun: !ran, Expired: ran}
	}
	return Resolution{Running: !r.done, Used: r.used, Payment: r.spec.Payment}
}

func (m *Machine) refuse(id ID, attempt int, ran bool) {
	a := attemptID{id, attempt}
	if _, ok := m.refused[a]; ok {
		return
	}
	m.refused[a] = ran
	m.refusedOrder = append(m.refusedOrder, a)
	if len(m.refusedOrder) > m.limits.KeepRefusals {
		delete(m.refused, m.refusedOrder[0])
		delete(m.voided, m.refusedOrder[0].ID)
		delete(m.expired, m.refusedOrder[0].ID)
		m.refusedOrder = m.refusedOrder[1:]
	}
}

// forget drops finished runs that are older than KeepFor, and the oldest ones
// while their responses exceed KeepBytes. The attempts count as refused, so that
// none of them runs a second time.
func (m *Machine) forget(now time.Time) {
	for len(m.finished) > 0 {
		r := m.finished[0]
		if m.finishedBytes <= m.limits.KeepBytes && now.Sub(r.ended) < m.limits.KeepFor {
			return
		}
		m.drop(r)
		m.refuse(r.spec.ID, r.spec.Attempt, true)
		if !r.voided {
			m.expired[r.spec.ID] = true
		}
	}
}

func (m *Machine) drop(r *run) {
	for i, f := range m.finished {
		if f == r {
			m.finished = append(m.finished[:i], m.finished[i+1:]...)
			break
		}
	}
	m.finishedBytes -= r.size
	delete(m.runs, r.spec.ID)
}

// Len returns the number of runs that are kept, finished or not.
func (m *Machine) Len() int { return len(m.runs) }

// Kept reports whether the run of a request can still be replayed.
func (m *Machine) Kept(id ID) bool {
	_, ok := m.runs[id]
	return ok
}
