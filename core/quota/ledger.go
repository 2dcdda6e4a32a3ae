package quota

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"dotterelgap/core/fleet"
)

// Sharing of a customer's tokens between its holders.
const (
	// grantedShare is the part of the unspent tokens that is handed out; the rest
	// serves holders whose demand grows.
	grantedShare = 0.7
	// idleShare is the part of an even share that a holder without demand gets.
	idleShare = 0.25
	// recallAbove is how far above its fair part a holder is asked to give back.
	recallAbove = 1.3
	// quietAfter is the time without a statement after which a holder's demand
	// no longer counts.
	quietAfter = 3 * time.Second
)

// Account is one customer's budget.
type Account struct {
	Paid Tokens `cbor:"1,keyasint"`
	// Bounded is set while the customer has a prepaid amount.
	Bounded bool `cbor:"2,keyasint"`
	// Billed is what ended holders spent.
	Billed Tokens                `cbor:"3,keyasint"`
	Rows   map[fleet.NodeID]*Row `cbor:"4,keyasint"`
}

// Row is one holder's allowance.
type Row struct {
	Granted Tokens  `cbor:"1,keyasint"`
	Mark    Tokens  `cbor:"2,keyasint"`
	Spent   Tokens  `cbor:"3,keyasint"`
	Rate    float64 `cbor:"4,keyasint"`
}

// Life is what the ledger knows of one life of an entry.
type Life struct {
	Addr netip.AddrPort `cbor:"1,keyasint"`
	Seq  uint64         `cbor:"2,keyasint"`
	At   time.Time      `cbor:"3,keyasint"`
	// Ended is set once the holder's rows are billed.
	Ended bool `cbor:"4,keyasint"`
}

// Ledger is the replicated state of all budgets. Its fields are exported for
// snapshots only; change it by its methods.
type Ledger struct {
	Accounts map[string]*Account    `cbor:"1,keyasint"`
	Holders  map[fleet.NodeID]*Life `cbor:"2,keyasint"`
}

// NewLedger returns a ledger without customers.
func NewLedger() *Ledger {
	l := &Ledger{}
	l.Restore()
	return l
}

// Restore completes a ledger that was decoded.
func (l *Ledger) Restore() {
	if l.Accounts == nil {
		l.Accounts = map[string]*Account{}
	}
	if l.Holders == nil {
		l.Holders = map[fleet.NodeID]*Life{}
	}
	for _, a := range l.Accounts {
		if a.Rows == nil {
			a.Rows = map[fleet.NodeID]*Row{}
		}
	}
}

// SetPrepaid sets what each customer has paid. Customers that are not named
// have no bound; what they spent is kept for the case that they get one again.
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
		a = &Account{Rows: map[fleet.NodeID]*Row{}}
		l.Accounts[customer] = a
	}
	return a
}

// committed is what may be or has been spent.
func (a *Account) committed() Tokens {
	sum := a.Billed
	for _, r := range a.Rows {
		sum += r.Granted
	}
	return sum
}

// unspent is what is left, as far as the holders have said.
func (a *Account) unspent() Tokens {
	sum := a.Billed
	for _, r := range a.Rows {
		sum += r.Spent
	}
	return a.Paid - sum
}

// EarlierAt names the holder that a new one at this address replaces.
func (l *Ledger) EarlierAt(addr netip.AddrPort, newcomer fleet.NodeID) (fleet.NodeID, bool) {
	for _, id := range slices.Sorted(maps.Keys(l.Holders)) {
		h := l.Holders[id]
		if h.Addr == addr && !h.Ended && id != newcomer {
			return id, true
		}
	}
	return "", false
}

// Apply takes in a statement and answers it with an allowance for each customer
// that it names. now only weighs demand; no bound rests on it.
func (l *Ledger) Apply(now time.Time, s Statement) []Allowance {
	h, ok := l.Holders[s.Holder]
	if !ok {
		l.replace(s)
		h = &Life{Addr: s.Addr}
		l.Holders[s.Holder] = h
	}
	if h.Ended {
		return nil
	}
	fresh := s.Seq > h.Seq
	if fresh {
		h.Seq, h.At = s.Seq, now
	}
	out := make([]Allowance, 0, len(s.Uses))
	for _, u := range s.Uses {
		if fresh {
			l.take(s.Holder, u)
		}
		out = append(out, l.allow(now, s.Holder, u, fresh))
	}
	if s.Left && fresh {
		l.end(s.Holder, false)
	}
	return out
}

// replace ends the earlier holders at a newcomer's address.
func (l *Ledger) replace(s Statement) {
	for {
		id, ok := l.EarlierAt(s.Addr, s.Holder)
		if !ok {
			return
		}
		l.end(id, !s.Prompt)
	}
}

// end bills an ended holder: what it had in reserve too, if it may have used it.
func (l *Ledger) end(id fleet.NodeID, reserve bool) {
	l.Holders[id].Ended = true
	for _, a := range l.Accounts {
		r, ok := a.Rows[id]
		if !ok {
			continue
		}
		delete(a.Rows, id)
		if reserve {
			a.Billed += r.Granted
			continue
		}
		a.Billed += r.Mark
	}
}

// take books a usage: give-backs first, then the mark.
func (l *Ledger) take(id fleet.NodeID, u Usage) {
	a, ok := l.Accounts[u.Customer]
	if !ok {
		return
	}
	r, ok := a.Rows[id]
	if !ok {
		r = &Row{}
		a.Rows[id] = r
	}
	r.Rate = u.Rate
	r.Spent = max(r.Spent, u.Spent)
	used := u.Spent + u.Reserved
	if u.Limit > 0 {
		r.Granted = min(r.Granted, max(u.Limit, used))
	}
	r.Mark = min(max(u.Mark, used), r.Granted)
}

// allow answers for one customer, and raises the allowance towards its fair part.
func (l *Ledger) allow(now time.Time, id fleet.NodeID, u Usage, fresh bool) Allowance {
	a, ok := l.Accounts[u.Customer]
	if !ok || !a.Bounded {
		return Allowance{Customer: u.Customer, Unbounded: true}
	}
	r, ok := a.Rows[id]
	if !ok {
		return Allowance{Customer: u.Customer}
	}
	unspent := a.unspent()
	fair := max(Tokens(grantedShare*l.share(now, a, id)*float64(unspent)), 0)
	has := r.Granted - r.Spent
	free := a.Paid - a.committed()
	if fresh {
		more := min(max(fair-has, u.Need-(r.Granted-u.Spent-u.Reserved)), free)
		r.Granted += max(more, 0)
		r.Mark = min(max(u.Mark, r.Mark), r.Granted)
	}
	out := Allowance{Customer: u.Customer, Granted: r.Granted, Mark: r.Mark, Unspent: unspent}
	if float64(has) > recallAbove*float64(fair)+float64(u.Need) {
		out.Fair = r.Spent + fair
	}
	return out
}

// share is a holder's part of a customer's demand. Idle holders keep a little.
func (l *Ledger) share(now time.Time, a *Account, id fleet.NodeID) float64 {
	var total float64
	n := 0
	// In order, since the sum of floats depends on it and all replicas must agree.
	for _, other := range slices.Sorted(maps.Keys(a.Rows)) {
		if l.quiet(now, other) {
			continue
		}
		n++
		total += a.Rows[other].Rate
	}
	if n == 0 {
		return 0
	}
	even := 1 / float64(n)
	if total <= 0 {
		return even
	}
	return idleShare*even + (1-idleShare)*a.Rows[id].Rate/total
}

func (l *Ledger) quiet(now time.Time, id fleet.NodeID) bool {
	return now.Sub(l.Holders[id].At) > quietAfter
}

// Ended tells whether a holder was ended.
func (l *Ledger) Ended(id fleet.NodeID) bool {
	h, ok := l.Holders[id]
	return ok && h.Ended
}
