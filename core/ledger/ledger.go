package ledger

import (
	"maps"
	"math"
	"slices"

	"dotterelgap/core/escrow"
	"dotterelgap/core/fleet"
)

// witnessesPerGrant is the number of agents that witness a grant.
const witnessesPerGrant = 3

// firstShareDivisor divides a customer's unspent tokens to get the first stock of
// a holder whose demand is unknown.
const firstShareDivisor = 16

// Account is one customer's budget.
type Account struct {
	Paid   escrow.Tokens            `cbor:"paid"`
	Billed escrow.Tokens            `cbor:"billed"`
	TopUps map[string]escrow.Tokens `cbor:"top_ups"`
	// Rates is each holder's demand in tokens per second.
	Rates map[fleet.NodeID]float64 `cbor:"rates"`
}

// OpenGrant is a grant that is neither closed nor settled yet.
type OpenGrant struct {
	Grant escrow.Grant `cbor:"grant"`
	// Outstanding is the maximum that may still be billed for the grant.
	Outstanding escrow.Tokens                  `cbor:"outstanding"`
	Spent       map[fleet.NodeID]escrow.Tokens `cbor:"spent"`
	// Settling is set once the agents must fence the grant.
	Settling bool `cbor:"settling"`
	// Doubt is set if an agent that may have run work on the grant is gone
	// without its final report.
	Doubt bool `cbor:"doubt"`
}

// Agent is the part of an agent's state that settling grants depends on.
type Agent struct {
	Node fleet.Node `cbor:"node"`
	// JoinedAt is the ledger's next grant id when the agent joined.
	JoinedAt escrow.GrantID `cbor:"joined_at"`
	// Gone is set once its process is known to have ended.
	Gone bool `cbor:"gone"`
	// GoneAt is the ledger's next grant id when Gone was set.
	GoneAt escrow.GrantID `cbor:"gone_at"`
	// Left is set if the agent sent a leave message. Reports are then its final
	// reports on all grants that it has run work for.
	Left    bool                             `cbor:"left"`
	Reports map[escrow.GrantID]escrow.Report `cbor:"reports"`
}

// Ledger is the replicated budget state. Its fields are exported for snapshots
// only; use the methods to change them.
type Ledger struct {
	Accounts  map[string]*Account           `cbor:"accounts"`
	Grants    map[escrow.GrantID]*OpenGrant `cbor:"grants"`
	NextGrant escrow.GrantID                `cbor:"next_grant"`
	Agents    map[fleet.NodeID]*Agent       `cbor:"agents"`
	WriteOffs map[string]escrow.GrantID     `cbor:"write_offs"`

	// The fields below are derived and not part of a snapshot.
	outstanding map[string]escrow.Tokens
	byCustomer  map[string][]escrow.GrantID
	byHolder    map[fleet.NodeID]map[escrow.GrantID]struct{}
	settling    map[escrow.GrantID]struct{}
	liveAgents  map[fleet.Place][]fleet.NodeID
	// lowestOpen is a lower bound of the ids of open grants. It never decreases.
	lowestOpen escrow.GrantID
}

// New returns an empty ledger.
func New() *Ledger {
	l := &Ledger{NextGrant: 1}
	l.Restore()
	return l
}

// Restore rebuilds the derived fields after a snapshot has been decoded.
func (l *Ledger) Restore() {
	l.Accounts = orEmpty(l.Accounts)
	l.Grants = orEmpty(l.Grants)
	l.Agents = orEmpty(l.Agents)
	l.WriteOffs = orEmpty(l.WriteOffs)
	l.outstanding = map[string]escrow.Tokens{}
	l.byCustomer = map[string][]escrow.GrantID{}
	l.byHolder = map[fleet.NodeID]map[escrow.GrantID]struct{}{}
	l.settling = map[escrow.GrantID]struct{}{}
	for _, a := range l.Accounts {
		a.TopUps = orEmpty(a.TopUps)
		a.Rates = orEmpty(a.Rates)
	}
	for _, id := range slices.Sorted(maps.Keys(l.Grants)) {
		l.Grants[id].Spent = orEmpty(l.Grants[id].Spent)
		l.index(l.Grants[id])
	}
	l.indexAgents()
}

func orEmpty[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return map[K]V{}
	}
	return m
}

func (l *Ledger) index(g *OpenGrant) {
	c := g.Grant.Customer
	l.outstanding[c] += g.Outstanding
	l.byCustomer[c] = append(l.byCustomer[c], g.Grant.ID)
	held, ok := l.byHolder[g.Grant.Holder]
	if !ok {
		held = map[escrow.GrantID]struct{}{}
		l.byHolder[g.Grant.Holder] = held
	}
	held[g.Grant.ID] = struct{}{}
	if g.Settling {
		l.settling[g.Grant.ID] = struct{}{}
	}
}

// settle marks a grant as settling, so that the agents fence it.
func (l *Ledger) settle(g *OpenGrant) {
	g.Settling = true
	l.settling[g.Grant.ID] = struct{}{}
}

func (l *Ledger) indexAgents() {
	l.liveAgents = map[fleet.Place][]fleet.NodeID{}
	for _, id := range slices.Sorted(maps.Keys(l.Agents)) {
		a := l.Agents[id]
		if !a.Gone {
			l.liveAgents[a.Node.Place] = append(l.liveAgents[a.Node.Place], id)
		}
	}
}

// Create adds a customer with an empty budget. It is idempotent.
func (l *Ledger) Create(customer string) {
	if _, ok := l.Accounts[customer]; ok {
		return
	}
	l.Accounts[customer] = &Account{TopUps: map[string]escrow.Tokens{}, Rates: map[fleet.NodeID]float64{}}
}

// Free returns the tokens of a customer that can still be granted to holders.
func (l *Ledger) Free(customer string) escrow.Tokens {
	a, ok := l.Accounts[customer]
	if !ok {
		return 0
	}
	return a.Paid - a.Billed - l.outstanding[customer]
}

// TopUp is a payment. Its ID makes it idempotent, so that a resent payment counts
// once.
type TopUp struct {
	ID       string        `cbor:"id" json:"id"`
	Customer string        `cbor:"customer" json:"customer"`
	Tokens   escrow.Tokens `cbor:"tokens" json:"tokens"`
}

// TopUp books a payment, or returns an *UnknownCustomerError, *AmountError or
// *TopUpConflictError.
func (l *Ledger) TopUp(t TopUp) error {
	a, ok := l.Accounts[t.Customer]
	if !ok {
		return &UnknownCustomerError{Customer: t.Customer}
	}
	if t.Tokens <= 0 || t.Tokens > math.MaxInt64/4-a.Paid {
		return &AmountError{Tokens: t.Tokens}
	}
	if old, ok := a.TopUps[t.ID]; ok {
		if old != t.Tokens {
			return &TopUpConflictError{ID: t.ID, Booked: old}
		}
		return nil
	}
	a.TopUps[t.ID] = t.Tokens
	a.Paid += t.Tokens
	return nil
}

// Join adds an agent. It retires an earlier agent at the same address, since two
// processes can't listen on one address.
func (l *Ledger) Join(n fleet.Node) {
	if _, ok := l.Agents[n.ID]; ok {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(l.Agents)) {
		if l.Agents[id].Node.Addr == n.Addr {
			l.Retire(id)
		}
	}
	l.Agents[n.ID] = &Agent{Node: n, JoinedAt: l.NextGrant}
	l.indexAgents()
}

// Retire records that an agent's process has ended for good.
func (l *Ledger) Retire(id fleet.NodeID) {
	a, ok := l.Agents[id]
	if !ok || a.Gone {
		return
	}
	a.Gone = true
	a.GoneAt = l.NextGrant
	l.indexAgents()
}

// Leave retires an agent that shuts down and records its final reports.
func (l *Ledger) Leave(id fleet.NodeID, reports []escrow.Report) {
	a, ok := l.Agents[id]
	if !ok || a.Gone {
		return
	}
	a.Left = true
	a.Reports = map[escrow.GrantID]escrow.Report{}
	for _, r := range reports {
		if _, open := l.Grants[r.Grant]; open {
			a.Reports[r.Grant] = r
		}
	}
	l.Retire(id)
}

// Floor returns the lowest id of an open grant, or the next grant id if no grant
// is open.
func (l *Ledger) Floor() escrow.GrantID {
	for l.lowestOpen < l.NextGrant {
		if _, ok := l.Grants[l.lowestOpen]; ok {
			break
		}
		l.lowestOpen++
	}
	return l.lowestOpen
}

// prune deletes gone agents that can't have run work on any open grant.
func (l *Ledger) prune() {
	before := l.lowestOpen
	floor := l.Floor()
	if floor == before {
		return
	}
	maps.DeleteFunc(l.Agents, func(_ fleet.NodeID, a *Agent) bool { return a.Gone && a.GoneAt <= floor })
}

// remove deletes a grant and bills at most its outstanding tokens.
func (l *Ledger) remove(g *OpenGrant, billed escrow.Tokens) {
	c := g.Grant.Customer
	delete(l.Grants, g.Grant.ID)
	delete(l.settling, g.Grant.ID)
	l.unindexHolder(g)
	l.outstanding[c] -= g.Outstanding
	l.byCustomer[c] = slices.DeleteFunc(l.byCustomer[c], func(id escrow.GrantID) bool { return id == g.Grant.ID })
	l.Accounts[c].Billed += min(billed, g.Outstanding)
}

// unindexHolder removes a grant from its holder's index. Once the holder has no
// grants left, its rate for the customer is deleted as well.
func (l *Ledger) unindexHolder(g *OpenGrant) {
	held := l.byHolder[g.Grant.Holder]
	delete(held, g.Grant.ID)
	if len(held) > 0 {
		return
	}
	delete(l.byHolder, g.Grant.Holder)
	if a, ok := l.Accounts[g.Grant.Customer]; ok {
		delete(a.Rates, g.Grant.Holder)
	}
}

// lowerCap lowers the maximum that may still be billed for a grant.
func (l *Ledger) lowerCap(g *OpenGrant, outstanding escrow.Tokens) {
	outstanding = max(outstanding, 0)
	if outstanding >= g.Outstanding {
		return
	}
	l.outstanding[g.Grant.Customer] -= g.Outstanding - outstanding
	g.Outstanding = outstanding
}
