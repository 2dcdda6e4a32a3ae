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

// firstShare divides the free budget for a holder whose demand is unknown.
const firstShare = 16

// Account is one customer's budget.
type Account struct {
	Paid   escrow.Tokens            `cbor:"paid"`
	Billed escrow.Tokens            `cbor:"billed"`
	TopUps map[string]escrow.Tokens `cbor:"top_ups"`
	// Rates is each holder's demand in tokens per second.
	Rates map[fleet.NodeID]float64 `cbor:"rates"`
}

// OpenGrant is a grant that the ledger has not settled yet.
type OpenGrant struct {
	Grant escrow.Grant `cbor:"grant"`
	// Outstanding is the most that may still be billed for the grant.
	Outstanding escrow.Tokens                  `cbor:"outstanding"`
	Spent       map[fleet.NodeID]escrow.Tokens `cbor:"spent"`
	// Settling is set once the grant is being fenced at the agents.
	Settling bool `cbor:"settling"`
	// Doubt is set where an agent that may have spent is gone for good.
	Doubt bool `cbor:"doubt"`
}

// Agent is a joined agent, as far as settlement depends on it.
type Agent struct {
	Node fleet.Node `cbor:"node"`
	// JoinedAt is the next grant id when the agent joined.
	JoinedAt escrow.GrantID `cbor:"joined_at"`
	// Gone is set once its process is known to have ended.
	Gone bool `cbor:"gone"`
	// GoneAt is the next grant id at that time.
	GoneAt escrow.GrantID `cbor:"gone_at"`
	// Left is set if the agent ended in an orderly way; Reports are then its
	// last word on every grant that it worked for.
	Left    bool                             `cbor:"left"`
	Reports map[escrow.GrantID]escrow.Report `cbor:"reports"`
}

// Ledger is the replicated budget state. Its fields are exported for snapshots
// only; change it by its methods.
type Ledger struct {
	Accounts  map[string]*Account           `cbor:"accounts"`
	Grants    map[escrow.GrantID]*OpenGrant `cbor:"grants"`
	NextGrant escrow.GrantID                `cbor:"next_grant"`
	Agents    map[fleet.NodeID]*Agent       `cbor:"agents"`
	WriteOffs map[string]escrow.GrantID     `cbor:"write_offs"`
	held      map[string]escrow.Tokens      // derived
	perOwner  map[string][]escrow.GrantID   // derived
	perHolder map[fleet.NodeID]map[escrow.GrantID]struct{}
	settling  map[escrow.GrantID]struct{}
	live      map[fleet.Place][]fleet.NodeID // derived
	// low is at most the lowest id of an open grant; it only grows.
	low escrow.GrantID
}

// New returns an empty ledger.
func New() *Ledger {
	l := &Ledger{NextGrant: 1}
	l.Restore()
	return l
}

// Restore rebuilds what is derived, after a snapshot was decoded.
func (l *Ledger) Restore() {
	l.Accounts = orEmpty(l.Accounts)
	l.Grants = orEmpty(l.Grants)
	l.Agents = orEmpty(l.Agents)
	l.WriteOffs = orEmpty(l.WriteOffs)
	l.held = map[string]escrow.Tokens{}
	l.perOwner = map[string][]escrow.GrantID{}
	l.perHolder = map[fleet.NodeID]map[escrow.GrantID]struct{}{}
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
	l.held[c] += g.Outstanding
	l.perOwner[c] = append(l.perOwner[c], g.Grant.ID)
	held, ok := l.perHolder[g.Grant.Holder]
	if !ok {
		held = map[escrow.GrantID]struct{}{}
		l.perHolder[g.Grant.Holder] = held
	}
	held[g.Grant.ID] = struct{}{}
	if g.Settling {
		l.settling[g.Grant.ID] = struct{}{}
	}
}

// settle marks a grant for fencing at the agents.
func (l *Ledger) settle(g *OpenGrant) {
	g.Settling = true
	l.settling[g.Grant.ID] = struct{}{}
}

func (l *Ledger) indexAgents() {
	l.live = map[fleet.Place][]fleet.NodeID{}
	for _, id := range slices.Sorted(maps.Keys(l.Agents)) {
		a := l.Agents[id]
		if !a.Gone {
			l.live[a.Node.Place] = append(l.live[a.Node.Place], id)
		}
	}
}

// Create adds a customer with an empty budget. Repeating it changes nothing.
func (l *Ledger) Create(customer string) {
	if _, ok := l.Accounts[customer]; ok {
		return
	}
	l.Accounts[customer] = &Account{TopUps: map[string]escrow.Tokens{}, Rates: map[fleet.NodeID]float64{}}
}

// Free is what can still be granted to holders.
func (l *Ledger) Free(customer string) escrow.Tokens {
	a, ok := l.Accounts[customer]
	if !ok {
		return 0
	}
	return a.Paid - a.Billed - l.held[customer]
}

// TopUp is a payment. Its ID makes it count once, however often it is sent.
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

// Join adds an agent. An earlier agent at the same address has ended, since two
// processes can't listen there.
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

// Retire notes that an agent's process has ended for good.
func (l *Ledger) Retire(id fleet.NodeID) {
	a, ok := l.Agents[id]
	if !ok || a.Gone {
		return
	}
	a.Gone = true
	a.GoneAt = l.NextGrant
	l.indexAgents()
}

// Leave takes in the last reports of an agent that ends in an orderly way.
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

// Floor is the lowest id of an open grant.
func (l *Ledger) Floor() escrow.GrantID {
	for l.low < l.NextGrant {
		if _, ok := l.Grants[l.low]; ok {
			break
		}
		l.low++
	}
	return l.low
}

// prune forgets gone agents that no open grant can have used.
func (l *Ledger) prune() {
	before := l.low
	floor := l.Floor()
	if floor == before {
		return
	}
	maps.DeleteFunc(l.Agents, func(_ fleet.NodeID, a *Agent) bool { return a.Gone && a.GoneAt <= floor })
}

// remove takes a grant out of the ledger and bills what was spent of it.
func (l *Ledger) remove(g *OpenGrant, billed escrow.Tokens) {
	c := g.Grant.Customer
	delete(l.Grants, g.Grant.ID)
	delete(l.settling, g.Grant.ID)
	l.forgetHeld(g)
	l.held[c] -= g.Outstanding
	l.perOwner[c] = slices.DeleteFunc(l.perOwner[c], func(id escrow.GrantID) bool { return id == g.Grant.ID })
	l.Accounts[c].Billed += min(billed, g.Outstanding)
}

func (l *Ledger) forgetHeld(g *OpenGrant) {
	held := l.perHolder[g.Grant.Holder]
	delete(held, g.Grant.ID)
	if len(held) > 0 {
		return
	}
	delete(l.perHolder, g.Grant.Holder)
	if a, ok := l.Accounts[g.Grant.Customer]; ok {
		delete(a.Rates, g.Grant.Holder)
	}
}

// confine lowers what a grant may still be billed.
func (l *Ledger) confine(g *OpenGrant, outstanding escrow.Tokens) {
	outstanding = max(outstanding, 0)
	if outstanding >= g.Outstanding {
		return
	}
	l.held[g.Grant.Customer] -= g.Outstanding - outstanding
	g.Outstanding = outstanding
}
