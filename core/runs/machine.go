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
	refused  map[attemptID]bool
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
		runs: map[ID]*run{}, refused: map[attemptID]bool{},
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
	if refused || s.AttachOnly {
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
	m.meter.Ack(chargeKey(id), r.spec.Attempt, 0)
	m.drop(r)
	m.refuse(id, r.spec.Attempt, false)
}

// Ack notes that the charge of an attempt was booked at billed tokens.
func (m *Machine) Ack(id ID, attempt int, billed escrow.Tokens) {
	m.meter.Ack(chargeKey(id), attempt, billed)
}

// Resolution says what became of an attempt.
type Resolution struct {
	NotRun  bool
	Running bool
	// Expired: it ran, and its answer is no longer kept.
	Expired bool
	Used    escrow.Tokens
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
	return Resolution{Running: !r.done, Used: r.used}
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
