package state

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"dotterelgap/core/codec"
	"dotterelgap/core/config"
	"dotterelgap/core/fleet"
	"dotterelgap/core/ledger"
	"dotterelgap/core/quota"
)

// Machine is the replicated state. Its fields are exported only for encoding snapshots.
type Machine struct {
	Config *config.Store `cbor:"config"`
	// Changes holds the result of every change. None is deleted, since a retried change
	// must get its first result however long ago that was.
	Changes map[string]ChangeResult `cbor:"changes"`
	// Winners holds the id of the change that became each version.
	Winners   map[uint64]string         `cbor:"winners"`
	Ledger    *ledger.Ledger            `cbor:"ledger"`
	Claims    map[ClaimKey]*ClaimRecord `cbor:"-"`
	ClaimList []*ClaimRecord            `cbor:"claims"`
	Orders    map[string]OrderRecord    `cbor:"orders"`
	NextOrder uint64                    `cbor:"next_order"`
	SweptAt   time.Time                 `cbor:"swept_at"`
	// Policy is the routing policy in force. Its number is 0 before the first one.
	Policy Published     `cbor:"policy"`
	Quota  *quota.Ledger `cbor:"quota"`
	// Evacuations are the places that the operators have evacuated.
	Evacuations EvacuationState `cbor:"evacuations"`
	// Departures holds the latest departure of each upstream that was promised lately.
	Departures map[fleet.UpstreamKey]Departed `cbor:"departures"`

	// doc is the document joined from Config. It is not part of a snapshot.
	doc config.Document
}

// New returns an empty state.
func New() *Machine {
	return &Machine{
		Config:  config.NewStore(),
		Changes: map[string]ChangeResult{},
		Winners: map[uint64]string{},
		Ledger:  ledger.New(),
		Claims:  map[ClaimKey]*ClaimRecord{},
		Orders:  map[string]OrderRecord{},
		Quota:   quota.NewLedger(),
	}
}

// Document returns the configuration in force.
func (m *Machine) Document() config.Document {
	return m.doc
}

// Apply applies a command to the state.
func (m *Machine) Apply(c Command) Result {
	m.deleteOldClaims(c.At)
	m.Quota.Tick(c.timestamp())
	switch {
	case c.Apply != nil:
		v, err := m.apply(*c.Apply)
		return Result{Change: v, Err: err}
	case c.TopUp != nil:
		return Result{Err: m.Ledger.TopUp(*c.TopUp)}
	case c.Claim != nil:
		return Result{Claim: m.claim(c.At, *c.Claim)}
	case c.Finish != nil:
		m.finish(c.At, *c.Finish)
	case c.Order != nil:
		n, err := m.order(*c.Order)
		return Result{Order: n, Err: err}
	case c.WriteOff != nil:
		return Result{Err: m.Ledger.WriteOff(*c.WriteOff)}
	case c.Join != nil:
		m.Ledger.Join(*c.Join)
		return Result{Joined: m.Ledger.NextGrant}
	case c.Leave != nil:
		m.Ledger.Leave(c.Leave.Agent, c.Leave.Reports)
	case c.Publish != nil:
		number, accepted := m.publish(*c.Publish)
		return Result{Published: number, Accepted: accepted}
	case c.Quota != nil:
		return m.recordStatement(c.timestamp(), *c.Quota)
	case c.EndHolder != nil:
		m.Quota.End(*c.EndHolder)
	case c.Evacuate != nil:
		inForce := m.evacuate(*c.Evacuate)
		return Result{Evacuations: m.Evacuations.Evacuations, InForce: inForce}
	case c.Depart != nil:
		m.depart(c.At, *c.Depart)
	case c.Retire != "":
		m.Ledger.Retire(c.Retire)
	default:
		return m.applyBudget(c)
	}
	return Result{}
}

func (m *Machine) applyBudget(c Command) Result {
	var res Result
	for _, s := range c.Spends {
		m.Ledger.Spend(s)
	}
	for _, cl := range c.Closes {
		m.Ledger.Close(cl)
	}
	for _, r := range c.Refills {
		res.Answers = append(res.Answers, m.Ledger.Open(r))
	}
	m.Ledger.Settle(c.Settle)
	for _, p := range c.Progress {
		m.Ledger.Advance(p)
	}
	return res
}

// apply accepts or rejects a change. At most one change is accepted for each base.
func (m *Machine) apply(c ApplyConfig) (*ChangeResult, error) {
	if v, ok := m.Changes[c.ChangeID]; ok {
		if v.Digest != c.Digest {
			return nil, &ChangeReusedError{ChangeID: c.ChangeID}
		}
		return &v, nil
	}
	v := ChangeResult{ChangeID: c.ChangeID, Base: c.Base, Digest: c.Digest, Version: m.Config.Version}
	switch {
	case c.Base > m.Config.Version:
		v.Reason = fmt.Sprintf("there is no version %d yet", c.Base)
	case c.Base < m.Config.Version:
		v.Winner = m.Winners[c.Base+1]
	default:
		m.accept(c, &v)
	}
	m.Changes[c.ChangeID] = v
	return &v, nil
}

// accept makes the change the next version, unless the resulting configuration does not
// match the change's digest or can't be decoded.
func (m *Machine) accept(c ApplyConfig, v *ChangeResult) {
	next, err := m.configAfter(c)
	if err != nil {
		v.Reason = err.Error()
		return
	}
	m.Config.Apply(c.Change)
	m.doc = next
	m.Winners[m.Config.Version] = c.ChangeID
	v.Accepted = true
	v.Version = m.Config.Version
	for _, cu := range next.Intent.Customers {
		m.Ledger.Create(cu.Name)
	}
	for _, t := range next.Environment.TopUps {
		if err := m.Ledger.TopUp(ledger.TopUp{ID: t.ID, Customer: t.Customer, Tokens: t.Tokens}); err != nil {
			v.Reason = strings.TrimPrefix(v.Reason+"; "+err.Error(), "; ")
		}
	}
}

// configAfter returns the configuration that results from a change.
func (m *Machine) configAfter(c ApplyConfig) (config.Document, error) {
	values := m.Config.Values()
	for k, v := range c.Change.Put {
		values[k] = v
	}
	for _, k := range c.Change.Delete {
		delete(values, k)
	}
	if config.Fingerprint(values) != c.Digest {
		return config.Document{}, errors.New("the change does not lead to the configuration with its digest")
	}
	return config.Join(values)
}

// Snapshot returns the encoded state.
func (m *Machine) Snapshot() ([]byte, error) {
	m.ClaimList = m.ClaimList[:0]
	for _, r := range m.Claims {
		m.ClaimList = append(m.ClaimList, r)
	}
	return codec.Marshal(m)
}

// Restore replaces the state with that of a snapshot.
func (m *Machine) Restore(data []byte) error {
	next := New()
	if err := codec.Unmarshal(data, next); err != nil {
		return fmt.Errorf("decode snapshot: %w", err)
	}
	next.Ledger.Restore()
	next.Quota.Restore()
	for _, r := range next.ClaimList {
		next.Claims[r.ClaimKey] = r
	}
	doc, err := config.Join(next.Config.Values())
	if err != nil {
		return err
	}
	next.doc = doc
	*m = *next
	return nil
}

// Encode encodes a command for the log.
func Encode(c Command) ([]byte, error) {
	return codec.Marshal(c)
}

// Decode decodes a command from the log.
func Decode(data []byte) (Command, error) {
	var c Command
	err := codec.Unmarshal(data, &c)
	return c, err
}

// ChangeReusedError is returned for a change whose id was used for another change.
type ChangeReusedError struct {
	ChangeID string
}

// Error implements error.
func (e *ChangeReusedError) Error() string {
	return fmt.Sprintf("change id %q was used for another change", e.ChangeID)
}
