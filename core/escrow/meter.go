package escrow

import (
	"maps"
	"slices"

	"dotterelgap/core/fleet"
)

// Charge is the metered use of one attempt to run a request.
type Charge struct {
	Key     string `cbor:"key" json:"key"`
	Attempt int    `cbor:"attempt" json:"attempt"`
	Parts   []Part `cbor:"parts" json:"parts"`
	// Used is the number of tokens generated so far. It is final once Done is
	// set.
	Used Tokens `cbor:"used" json:"used"`
	Done bool   `cbor:"done" json:"done"`
	// Retried is set if an earlier attempt for the key may exist at another
	// agent. The earlier attempt is billed unless this charge is acknowledged.
	Retried bool `cbor:"retried" json:"retried"`
	Acked   bool `cbor:"acked" json:"acked"`
}

// Report is an agent's record of one grant. Once Fenced is set, the agent starts
// no new work on the grant, so only unfinished charges can still grow.
type Report struct {
	Grant   GrantID      `cbor:"grant"`
	Agent   fleet.NodeID `cbor:"agent"`
	Fenced  bool         `cbor:"fenced"`
	Settled Tokens       `cbor:"settled"`
	// Charges are the charges that are unfinished or not acknowledged.
	Charges []Charge `cbor:"charges"`
	// Watermark is the highest claim that the agent has recorded as a witness.
	// It is valid if Witness is set.
	Watermark Tokens `cbor:"watermark"`
	Witness   bool   `cbor:"witness"`
}

// Done reports whether the report is final: the grant is fenced and no charge is
// running.
func (r Report) Done() bool {
	if !r.Fenced {
		return false
	}
	for _, c := range r.Charges {
		if !c.Done {
			return false
		}
	}
	return true
}

type chargeID struct {
	key     string
	attempt int
}

// Meter records an agent's token use per grant and refuses fenced grants.
type Meter struct {
	self    fleet.NodeID
	settled map[GrantID]Tokens
	charges map[chargeID]*Charge
	fenced  map[GrantID]struct{}
	// floor is the lowest grant id that is still open in the ledger.
	floor GrantID
	// joined is the ledger's next grant id when the agent joined. For older
	// grants, the agent must ask the ledger whether they are still open.
	joined  GrantID
	known   map[GrantID]struct{}
	unknown map[GrantID]struct{}
}

// NewMeter returns an empty meter for the agent self. joined is the ledger's next
// grant id when the agent joined, or 0 if it is not known yet.
func NewMeter(self fleet.NodeID, joined GrantID) *Meter {
	return &Meter{
		joined:  joined,
		known:   map[GrantID]struct{}{},
		unknown: map[GrantID]struct{}{},
		self:    self,
		settled: map[GrantID]Tokens{},
		charges: map[chargeID]*Charge{},
		fenced:  map[GrantID]struct{}{},
	}
}

// FencedError is returned for work on a grant that is fenced.
type FencedError struct {
	Grant GrantID
}

// Error implements error.
func (e *FencedError) Error() string {
	return "grant is fenced"
}

// UnknownGrantError is returned for work on a grant that was opened before the
// agent joined, until the ledger has confirmed that the grant is open.
type UnknownGrantError struct {
	Grant GrantID
}

// Error implements error.
func (e *UnknownGrantError) Error() string {
	return "grant is not known to be open"
}

// Begin opens the charge of an attempt. If it returns a *FencedError or an
// *UnknownGrantError, the charge is not opened.
func (m *Meter) Begin(c Charge) error {
	for _, p := range c.Parts {
		if err := m.check(p.Grant); err != nil {
			return err
		}
	}
	id := chargeID{key: c.Key, attempt: c.Attempt}
	if _, ok := m.charges[id]; ok {
		return nil
	}
	c.Parts = slices.Clone(c.Parts)
	m.charges[id] = &c
	return nil
}

func (m *Meter) check(id GrantID) error {
	if _, ok := m.fenced[id]; ok || id < m.floor {
		return &FencedError{Grant: id}
	}
	if _, ok := m.known[id]; ok || id >= m.joined {
		return nil
	}
	m.unknown[id] = struct{}{}
	return &UnknownGrantError{Grant: id}
}

// Join records the ledger's next grant id when the agent joined.
func (m *Meter) Join(next GrantID) {
	if m.joined == 0 {
		m.joined = next
	}
}

// Unknown returns the grants that the agent must ask the ledger about.
func (m *Meter) Unknown() []GrantID {
	return slices.Sorted(maps.Keys(m.unknown))
}

// Confirm records the ledger's reply on whether an older grant is open.
func (m *Meter) Confirm(id GrantID, open bool) {
	delete(m.unknown, id)
	if open {
		m.known[id] = struct{}{}
		return
	}
	m.fenced[id] = struct{}{}
}

// Use records the tokens generated so far. The recorded use never decreases and
// never exceeds the reservation.
func (m *Meter) Use(key string, attempt int, used Tokens) {
	c, ok := m.charges[chargeID{key, attempt}]
	if !ok || c.Done {
		return
	}
	c.Used = min(max(c.Used, used), Total(c.Parts))
}

// End makes the charge final.
func (m *Meter) End(key string, attempt int) {
	c, ok := m.charges[chargeID{key, attempt}]
	if !ok {
		return
	}
	c.Done = true
	m.settle(c)
}

// Ack records that an ended charge is billed at the given number of tokens, and
// returns the number that is billed, which is never more than the use. The first
// call counts. Zero voids the charge.
func (m *Meter) Ack(key string, attempt int, billed Tokens) Tokens {
	c, ok := m.charges[chargeID{key, attempt}]
	if !ok || !c.Done {
		return 0
	}
	c.Used = min(c.Used, billed)
	c.Acked = true
	m.settle(c)
	return c.Used
}

// Fenced reports whether a grant of a charge is fenced, in which case the ledger
// bills the charge's use. It returns true for an unknown charge, which has
// already been settled.
func (m *Meter) Fenced(key string, attempt int) bool {
	c, ok := m.charges[chargeID{key, attempt}]
	if !ok {
		return true
	}
	return slices.ContainsFunc(c.Parts, func(p Part) bool {
		_, fenced := m.fenced[p.Grant]
		return fenced || p.Grant < m.floor
	})
}

// settle adds a charge that is done and acknowledged to the settled sums and
// deletes it.
func (m *Meter) settle(c *Charge) {
	if !c.Done || !c.Acked {
		return
	}
	for _, p := range Split(c.Parts, c.Used) {
		m.settled[p.Grant] += p.Amount
	}
	delete(m.charges, chargeID{c.Key, c.Attempt})
}

// Fence refuses new work on a grant from now on and returns the grant's report.
func (m *Meter) Fence(id GrantID) Report {
	m.fenced[id] = struct{}{}
	return m.Report(id)
}

// Report returns the agent's report on a grant.
func (m *Meter) Report(id GrantID) Report {
	_, fenced := m.fenced[id]
	r := Report{Grant: id, Agent: m.self, Fenced: fenced || id < m.floor, Settled: m.settled[id]}
	for _, c := range m.charges {
		if hasGrant(c.Parts, id) {
			r.Charges = append(r.Charges, *c)
		}
	}
	slices.SortFunc(r.Charges, compareCharges)
	return r
}

// FenceAll fences every grant that the meter has charges or settled use of, and
// returns the reports for the leave message of an agent that shuts down.
func (m *Meter) FenceAll() []Report {
	ids := map[GrantID]struct{}{}
	for id := range m.settled {
		ids[id] = struct{}{}
	}
	for _, c := range m.charges {
		for _, p := range c.Parts {
			ids[p.Grant] = struct{}{}
		}
	}
	var out []Report
	for _, id := range slices.Sorted(maps.Keys(ids)) {
		out = append(out, m.Fence(id))
	}
	return out
}

// SetFloor deletes the records of grants below floor, the lowest open grant in
// the ledger, and refuses work on them from now on. The floor never decreases.
func (m *Meter) SetFloor(floor GrantID) {
	if floor <= m.floor {
		return
	}
	m.floor = floor
	below := func(id GrantID, _ Tokens) bool { return id < floor }
	maps.DeleteFunc(m.settled, below)
	belowID := func(id GrantID, _ struct{}) bool { return id < floor }
	maps.DeleteFunc(m.fenced, belowID)
	maps.DeleteFunc(m.known, belowID)
	maps.DeleteFunc(m.unknown, belowID)
	maps.DeleteFunc(m.charges, func(_ chargeID, c *Charge) bool {
		return c.Done && !slices.ContainsFunc(c.Parts, func(p Part) bool { return p.Grant >= floor })
	})
}
