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

// Machine is an agent's book of runs.
type Machine struct {
	limits Limits
	meter  *escrow.Meter
	runs   map[ID]*run
	// refused holds the attempts that may not start here; true where the
	// attempt did run and its answer is no longer kept.
	refused map[attemptID]bool
	// voided holds requests that another agent took over; none starts here.
	voided map[ID]struct{}
	// expired holds requests that ran here and were billed or may be.
	expired  map[ID]bool
	order    []attemptID // of refused, oldest first
	finished []*run      // oldest first
	bytes    int64
	running  int
	draining bool
	ready    bool
}

// New returns an empty book that charges the meter. It refuses everything
// until Ready is called.
func New(meter *escrow.Meter, limits Limits) *Machine {
	return &Machine{
		limits: limits, meter: meter,
		runs: map[ID]*run{}, refused: map[attemptID]bool{}, voided: map[ID]struct{}{}, expired: map[ID]bool{},
	}
}

// Ready lets work start: the agent has joined and knows what is fenced.
func (m *Machine) Ready() { m.ready = true }

// Drain refuses new work from now on.
func (m *Machine) Drain() { m.draining = true }

// Running is the number of attempts that have not ended.
func (m *Machine) Running() int { return m.running }

// Admit decides on an attempt. Start means that the caller must run it and
// call Use and End; the charge is open by then.
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
	if reason := m.closed(); reason != "" {
		return Decision{Reason: reason}
	}
	if d, ok := m.charge(s); !ok {
		return d
	}
	m.runs[s.ID] = &run{spec: s}
	m.running++
	return Decision{Action: Start, Attempt: s.Attempt}
}

func (m *Machine) closed() Reason {
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

func (m *Machine) charge(s Spec) (Decision, bool) {
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

// Use records the tokens that a run has made so far.
func (m *Machine) Use(id ID, used escrow.Tokens) {
	r, ok := m.runs[id]
	if !ok || r.done {
		return
	}
	r.used = min(max(r.used, used), escrow.Total(r.spec.Parts))
	m.meter.Use(chargeKey(id), r.spec.Attempt, used)
}

// End makes a run final; size is its answer's length in bytes. It returns the
// tokens that are charged.
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
	m.bytes += size
	m.finished = append(m.finished, r)
	m.meter.End(chargeKey(id), r.spec.Attempt)
	m.settleVoid(r)
	return r.used
}

// NotRun ends a run that never reached the upstream. The attempt counts as
// refused, and its charge is void.
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

// Ack books an ended run at no more than billed tokens and returns what it is
// booked at. The first word counts: this machine decides for its runs.
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

// Void keeps a request from being billed here, now or later, in favour of an
// attempt at another agent. It is false where this agent's run is billed or may
// be: then the other attempt must not be.
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

// settleVoid books a voided run at nothing once it has ended.
func (m *Machine) settleVoid(r *run) {
	if r.voided && r.done && !r.acked {
		r.acked = true
		r.billed = 0
		m.meter.Ack(chargeKey(r.spec.ID), r.spec.Attempt, 0)
	}
}

// Resolution says what became of an attempt.
type Resolution struct {
	NotRun  bool
	Running bool
	// Expired: it ran, and its answer is no longer kept.
	Expired bool
	Used    escrow.Tokens
	// Payment names the reservation that pays for the run.
	Payment string
}

// Resolve finds out about an attempt. One that has not started is refused from
// now on, so the answer not-run stays true.
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
	m.order = append(m.order, a)
	if len(m.order) > m.limits.KeepRefusals {
		delete(m.refused, m.order[0])
		delete(m.voided, m.order[0].ID)
		delete(m.expired, m.order[0].ID)
		m.order = m.order[1:]
	}
}

// forget drops finished runs that are too old or too many to keep. Their
// attempts count as refused, so that none of them can run a second time.
func (m *Machine) forget(now time.Time) {
	for len(m.finished) > 0 {
		r := m.finished[0]
		if m.bytes <= m.limits.KeepBytes && now.Sub(r.ended) < m.limits.KeepFor {
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
	m.bytes -= r.size
	delete(m.runs, r.spec.ID)
}

// Len is the number of runs that are kept, finished or not.
func (m *Machine) Len() int { return len(m.runs) }

// Kept tells whether the run of a request can still be replayed.
func (m *Machine) Kept(id ID) bool {
	_, ok := m.runs[id]
	return ok
}
