package quota

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"dotterelgap/core/fleet"
)

// Account is one customer's budget.
type Account struct {
	Paid Tokens `cbor:"1,keyasint"`
	// Bounded is set while the customer has a prepaid amount.
	Bounded bool `cbor:"2,keyasint"`
	// Billed is what ended holders were billed.
	Billed Tokens `cbor:"3,keyasint"`
	// Forfeited is the part of Billed that the holders had not reported as used.
	Forfeited   Tokens                       `cbor:"7,keyasint,omitempty"`
	Allocations map[fleet.NodeID]*Allocation `cbor:"4,keyasint"`
	// ShortBy is the holder that last needed more than was free, at ShortAt.
	ShortBy fleet.NodeID `cbor:"5,keyasint,omitempty"`
	ShortAt time.Time    `cbor:"6,keyasint"`
}

// Allocation is the ledger's record of one holder's tokens of a customer.
type Allocation struct {
	Granted     Tokens  `cbor:"1,keyasint"`
	CutoffLimit Tokens  `cbor:"2,keyasint"`
	Spent       Tokens  `cbor:"3,keyasint"`
	Rate        float64 `cbor:"4,keyasint"`
	// Used is what was spent, plus what requests in progress may still spend.
	Used    Tokens `cbor:"5,keyasint"`
	Largest Tokens `cbor:"6,keyasint"`
	// InitialLimit is the part of CutoffLimit that may begin immediately. While a
	// holder has no reply to its latest statement, it may apply lower limits: it lowers
	// its own to what the statement asks for.
	InitialLimit Tokens `cbor:"7,keyasint"`
	// Unbegun is the part of Used of requests of which nothing was passed on to a caller. They
	// cost nothing if the holder ends.
	Unbegun Tokens `cbor:"8,keyasint,omitempty"`
	// holder is looked up at its first use.
	holder *HolderState
}

// begun returns the most that the holder had used at its latest statement.
func (r *Allocation) begun() Tokens { return r.Used - r.Unbegun }

// HolderState is what the ledger knows of one incarnation of an entry.
type HolderState struct {
	Addr netip.AddrPort `cbor:"1,keyasint"`
	Seq  uint64         `cbor:"2,keyasint"`
	// Last is when the latest statement was proposed. Acknowledged is when the latest
	// statement whose reply the holder has confirmed was proposed.
	Last         Timestamp `cbor:"3,keyasint"`
	Acknowledged Timestamp `cbor:"4,keyasint"`
	// Ended is set once the holder's allocations are billed.
	Ended bool `cbor:"5,keyasint"`
	// Heard, Witnesses and Keepers come from the latest statement.
	Heard     uint64         `cbor:"6,keyasint"`
	Witnesses []fleet.NodeID `cbor:"7,keyasint,omitempty"`
	Keepers   []fleet.NodeID `cbor:"8,keyasint,omitempty"`
	// Demand is an ended holder's demand of each customer, in tokens per second. The next
	// holder at its address takes it over until it has a reply.
	Demand map[string]float64 `cbor:"9,keyasint,omitempty"`
	// Testified holds the reports of those of Witnesses that have shut down.
	Testified map[fleet.NodeID]WitnessReport `cbor:"10,keyasint,omitempty"`
}

// Ledger is the replicated state of all budgets. Its fields are exported for
// snapshots only; use the methods to change it.
type Ledger struct {
	Accounts map[string]*Account           `cbor:"1,keyasint"`
	Holders  map[fleet.NodeID]*HolderState `cbor:"2,keyasint"`
	Clocks   []Timestamp                   `cbor:"3,keyasint"`
	// shares is a buffer that each call of totals reuses.
	shares []share
}

// NewLedger returns a ledger without customers.
func NewLedger() *Ledger {
	l := &Ledger{}
	l.Restore()
	return l
}

// Restore allocates the maps that decoding a ledger leaves nil.
func (l *Ledger) Restore() {
	if l.Accounts == nil {
		l.Accounts = map[string]*Account{}
	}
	if l.Holders == nil {
		l.Holders = map[fleet.NodeID]*HolderState{}
	}
	for _, a := range l.Accounts {
		if a.Allocations == nil {
			a.Allocations = map[fleet.NodeID]*Allocation{}
		}
	}
}

// SetPrepaid sets what each customer has paid. The spending of customers that are not
// named is not limited. Their records are kept in case they prepay again.
func (l *Ledger) SetPrepaid(prepaid map[string]Tokens) {
	for _, a := range l.Accounts {
		a.Bounded = false
	}
	for c, paid := range prepaid {
		a := l.account(c)
		a.Paid, a.Bounded = paid, true
	}
}

func (l *Ledger) account(customer string) *Account {
	a, ok := l.Accounts[customer]
	if !ok {
		a = &Account{Allocations: map[fleet.NodeID]*Allocation{}}
		l.Accounts[customer] = a
	}
	return a
}

// unused returns what is left if all requests in progress use their worst case, as far
// as the holders have reported.
func (a *Account) unused() Tokens {
	sum := a.Billed
	for _, r := range a.Allocations {
		sum += r.Used
	}
	return a.Paid - sum
}

// EarlierAt returns the holder that a new one at this address replaces.
func (l *Ledger) EarlierAt(addr netip.AddrPort, successor fleet.NodeID) (fleet.NodeID, bool) {
	for _, id := range slices.Sorted(maps.Keys(l.Holders)) {
		h := l.Holders[id]
		if h.Addr == addr && !h.Ended && id != successor {
			return id, true
		}
	}
	return "", false
}

// Apply applies a statement and returns an allowance for each customer that it names.
// now affects only the weighting of demand; no limit depends on it. A statement whose
// holder replaces a holder other than the one that the leader has assessed is not
// applied: then applied is false, and the leader must assess again.
func (l *Ledger) Apply(now Timestamp, s Statement) (allowances []Allowance, applied bool) {
	h, ok := l.Holders[s.Holder]
	if !ok {
		if !l.endReplaced(s) {
			return nil, false
		}
		h = &HolderState{Addr: s.Addr, Demand: l.inheritDemand(s.Addr)}
		l.Holders[s.Holder] = h
	}
	if h.Ended {
		return nil, true
	}
	noReplyYet := s.Heard == 0
	if !noReplyYet {
		h.Demand = nil
	}
	fresh := s.Seq > h.Seq
	if fresh {
		if s.Heard == h.Seq {
			h.Acknowledged = h.Last
		}
		h.Seq, h.Last, h.Heard, h.Witnesses, h.Keepers = s.Seq, now, s.Heard, s.Witnesses, s.Keepers
		maps.DeleteFunc(h.Testified, func(id fleet.NodeID, _ WitnessReport) bool { return !slices.Contains(s.Witnesses, id) })
	}
	out := make([]Allowance, 0, len(s.Uses))
	for _, u := range s.Uses {
		// A restarted holder gets as many tokens as before, so that it can serve through
		// a partition that comes soon after the restart.
		u.Rate = max(u.Rate, h.Demand[u.Customer])
		if fresh {
			l.applyUsage(s.Holder, u)
		}
		a := l.allocate(now.At, s.Holder, u, fresh)
		if noReplyYet {
			a.Rate = u.Rate
		}
		out = append(out, a)
	}
	if s.Left && fresh {
		l.recordTestimony(s.Testimony)
		l.end(s.Holder, Evidence{Witnessed: true})
		return out, true
	}
	return append(out, l.recalls(now.At, s)...), true
}

// recalls asks the holder of a statement to give back tokens of customers that the
// statement does not name, if another holder is short of them.
func (l *Ledger) recalls(now time.Time, s Statement) []Allowance {
	var wanted []string
	for c, a := range l.Accounts {
		if a.Bounded && a.wanted(now, s.Holder) {
			wanted = append(wanted, c)
		}
	}
	slices.Sort(wanted)
	var out []Allowance
	for _, c := range wanted {
		a := l.Accounts[c]
		r, ok := a.Allocations[s.Holder]
		if !ok || slices.ContainsFunc(s.Uses, func(u Usage) bool { return u.Customer == c }) {
			continue
		}
		out = append(out, Allowance{
			Customer: c, Granted: r.Granted, Mark: r.CutoffLimit, Start: r.InitialLimit, Recall: true, Keep: r.Used, Wanted: true, Unspent: a.unused(),
		})
	}
	return out
}

// endReplaced ends the holder that the leader has assessed as replaced by the sender of
// a statement, and reports whether no other holder is left at the sender's address. A
// leader that has not applied its whole log yet may not know of such a holder, or of
// its last statements.
func (l *Ledger) endReplaced(s Statement) bool {
	if id, ok := l.EarlierAt(s.Addr, s.Holder); ok && id == s.Replaces.Holder {
		l.End(s.Replaces)
	}
	_, ok := l.EarlierAt(s.Addr, s.Holder)
	return !ok
}

// inheritDemand removes and returns the demand of the holder that was ended last at an
// address.
func (l *Ledger) inheritDemand(addr netip.AddrPort) map[string]float64 {
	for _, h := range l.Holders {
		if h.Addr == addr && h.Demand != nil {
			d := h.Demand
			h.Demand = nil
			return d
		}
	}
	return nil
}

// end ends a holder and bills it the most that it can have spent. The rest returns to
// the customers.
func (l *Ledger) end(id fleet.NodeID, e Evidence) {
	h := l.Holders[id]
	h.Ended = true
	// Only the holder that was ended last at an address passes on its demand.
	l.inheritDemand(h.Addr)
	h.Demand = map[string]float64{}
	for c, a := range l.Accounts {
		r, ok := a.Allocations[id]
		if !ok {
			continue
		}
		h.Demand[c] = r.Rate
		delete(a.Allocations, id)
		bill := e.bill(r, c)
		a.Billed += bill
		a.Forfeited += bill - min(r.begun(), bill)
	}
}

// recordTestimony records the report of a witness that shuts down for the holders that name it.
func (l *Ledger) recordTestimony(t Testimony) {
	for id, h := range l.Holders {
		if h.Ended || !slices.Contains(h.Witnesses, t.Witness) {
			continue
		}
		if h.Testified == nil {
			h.Testified = map[fleet.NodeID]WitnessReport{}
		}
		h.Testified[t.Witness] = t.report(id)
	}
}

// applyUsage applies a usage: first what is given back, then the limits.
func (l *Ledger) applyUsage(id fleet.NodeID, u Usage) {
	a, ok := l.Accounts[u.Customer]
	if !ok {
		return
	}
	r, ok := a.Allocations[id]
	if !ok {
		r = &Allocation{}
		a.Allocations[id] = r
	}
	r.Rate, r.Largest = u.Rate, u.Largest
	r.Spent = max(r.Spent, u.Spent)
	used := u.Spent + u.Reserved
	r.Used = used
	r.Unbegun = min(max(u.Unbegun, 0), u.Reserved)
	if u.GiveBack {
		r.Granted = min(r.Granted, max(u.Limit, used))
	}
	r.CutoffLimit = min(max(u.Mark, used), r.Granted)
	r.InitialLimit = min(max(u.Start, r.begun()), r.CutoffLimit)
}

// allocate returns the allowance for one customer, raised towards its fair share.
func (l *Ledger) allocate(now time.Time, id fleet.NodeID, u Usage, fresh bool) Allowance {
	a, ok := l.Accounts[u.Customer]
	if !ok || !a.Bounded {
		return Allowance{Customer: u.Customer, Unbounded: true}
	}
	r, ok := a.Allocations[id]
	if !ok {
		return Allowance{Customer: u.Customer}
	}
	t := l.totals(now, a)
	unused := a.Paid - t.used
	fair := t.fairShare(id, unused)
	wanted := a.wanted(now, id)
	if wanted {
		// What the holder gives back must not be granted to it again.
		fair = 0
	}
	if fresh {
		more := min(max(fair, u.Need)-(r.Granted-r.Used), a.Paid-t.granted)
		r.Granted += max(more, 0)
		r.CutoffLimit = min(max(u.Mark, r.CutoffLimit, r.Used+u.Need), r.Granted)
		r.InitialLimit = min(max(u.Start, r.InitialLimit), r.CutoffLimit)
		a.noteShortage(now, id, u.Need > r.Granted-r.Used)
	}
	out := Allowance{Customer: u.Customer, Granted: r.Granted, Mark: r.CutoffLimit, Start: r.InitialLimit, Unspent: unused}
	if keep := max(fair, u.Need); wanted || float64(r.Granted-r.Used) > recallRatio*float64(keep) {
		out.Recall, out.Keep, out.Wanted = true, r.Used+keep, wanted
	}
	return out
}

// Ending ends a holder that has sent nothing since its statement Seq: its witnesses
// refuse to record its raises from now on, or another holder replaces it.
type Ending struct {
	Holder   fleet.NodeID `cbor:"1,keyasint"`
	Seq      uint64       `cbor:"2,keyasint"`
	Evidence Evidence     `cbor:"3,keyasint"`
}

// End ends and bills a holder, unless it has sent a statement since the assessment. A
// holder that does not respond may still be alive; it then learns from its next reply
// that it was ended.
func (l *Ledger) End(e Ending) {
	if h, ok := l.Holders[e.Holder]; ok && !h.Ended && h.Seq == e.Seq {
		l.end(e.Holder, e.Evidence)
	}
}

// Forfeited returns what ended holders were billed beyond the use that they had reported.
func (l *Ledger) Forfeited() Tokens {
	var sum Tokens
	for _, a := range l.Accounts {
		sum += a.Forfeited
	}
	return sum
}

// Ended reports whether a holder was ended.
func (l *Ledger) Ended(id fleet.NodeID) bool {
	h, ok := l.Holders[id]
	return ok && h.Ended
}
