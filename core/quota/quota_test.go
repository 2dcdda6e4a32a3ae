package quota_test

import (
	"errors"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"dotterelgap/core/fleet"
	"dotterelgap/core/quota"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestNeverOverspent drives budgets through kills and restarts at the same address,
// partitions from the control group and from all nodes, lost, repeated and late messages,
// payments and new leaders. The oracle: what engines used, plus the worst case of all
// requests that have begun and may still run, is never above what was paid. After all faults are healed,
// all that is left can be reserved at any node.
func TestNeverOverspent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.IntRange(1, 5).Draw(t, "hosts"))
		t.Repeat(map[string]func(*rapid.T){
			"":        sim.check,
			"time":    sim.stepTime,
			"time2":   sim.stepTime,
			"request": sim.stepRequest,
			"serve":   sim.stepServe,
			"serve2":  sim.stepServe,
			"serve3":  sim.stepServe,
			"serve4":  sim.stepServe,
			"end":     sim.stepEnd,
			"begin":   sim.stepBegin,
			"begin2":  sim.stepBegin,
			"begin3":  sim.stepBegin,
			"begin4":  sim.stepBegin,
			"state":   sim.stepStatement,
			"state2":  sim.stepStatement,
			"greedy":  sim.stepReserveAll,
			"raise":   sim.stepRaise,
			"raise2":  sim.stepRaise,
			"deliver": sim.stepDeliver,
			"flow":    sim.stepDeliverAll,
			"lose":    sim.stepLoseReply,
			"borrow":  sim.stepBorrow,
			"borrow2": sim.stepBorrow,
			"kill":    sim.stepKill,
			"killall": sim.stepKillAll,
			"leave":   sim.stepLeave,
			"wipe":    sim.stepReplaceDisk,
			"start":   sim.stepStart,
			"cut":     sim.stepPartition,
			"pay":     sim.stepPay,
			"lead":    sim.stepChangeLeader,
			"silent":  sim.stepEndUnresponsive,
		})
		sim.heal(t)
	})
}

// heal ends all faults and requests, and checks that what the ledger has left can be
// reserved at each node.
func (sim *simulation) heal(t *rapid.T) {
	sim.net = nil
	for _, h := range sim.hosts {
		h.partitioned, h.isolated = false, false
		if !h.alive {
			sim.start(h)
		}
		for _, r := range h.running {
			h.holder.Settle(sim.now, r.id, 0)
			h.holder.GiveUp(r.id, r.customer)
		}
		for _, r := range h.waiting {
			h.holder.GiveUp(r.id, r.customer)
		}
		h.running, h.waiting = nil, nil
		h.holder.ReplyLost(h.holder.PendingSeq())
	}
	sim.rounds(40)
	for _, h := range sim.hosts {
		for _, c := range customers {
			if left := sim.left(c); left > 0 {
				sim.eventuallyReserve(t, h, c, left)
			}
		}
	}
}

// rounds has all nodes send statements and get replies, n times.
func (sim *simulation) rounds(n int) {
	for range n {
		sim.now = sim.now.Add(120 * time.Millisecond)
		sim.ledger.Tick(sim.currentTimestamp())
		for _, h := range sim.hosts {
			h.holder.ReplyLost(h.holder.PendingSeq())
			if h.holder.Due(sim.now) {
				sim.sendStatement(h)
			}
		}
		sim.stepDeliverAll(nil)
	}
}

// left returns what the ledger has not billed or recorded as spent.
func (sim *simulation) left(customer string) quota.Tokens {
	a := sim.ledger.Accounts[customer]
	sum := a.Paid - a.Billed
	for _, r := range a.Allocations {
		sum -= r.Spent
	}
	return sum
}

func (sim *simulation) eventuallyReserve(t *rapid.T, h *host, customer string, worst quota.Tokens) {
	var err error
	for range 60 {
		err = h.holder.Reserve(sim.now, "last", customer, worst)
		if err == nil {
			h.holder.Settle(sim.now, "last", 0)
			sim.rounds(2)
			return
		}
		sim.rounds(1)
	}
	t.Fatalf("%d tokens of %s are left and can't be reserved: %v", worst, customer, err)
}

type nodeID = fleet.NodeID

// fullyOpenAfter is the time without a reply after which all that was granted is open.
var fullyOpenAfter = quota.DefaultOptions().CutOff + quota.DefaultOptions().GrantOpens

var (
	addrA = netip.MustParseAddrPort("10.0.0.1:7000")
	addrB = netip.MustParseAddrPort("10.0.0.2:7000")
)

// pair is a holder and a ledger with a clock.
type pair struct {
	now    time.Time
	ledger *quota.Ledger
	holder *quota.Holder
}

func newPair(paid quota.Tokens) *pair {
	p := &pair{now: time.Unix(1_700_000_000, 0), ledger: quota.NewLedger()}
	p.ledger.SetPrepaid(map[string]quota.Tokens{"acme": paid})
	p.holder = quota.NewHolder("entry-1", addrA, quota.DefaultOptions(), p.now)
	p.holder.SetCustomers(p.now, []string{"acme"})
	return p
}

// demand uses 1,000 tokens per second for 20 s.
func (p *pair) demand(is *is.I) {
	for i := range 200 {
		p.now = p.now.Add(100 * time.Millisecond)
		id := fmt.Sprint("d", i)
		if p.holder.Begin(p.now, id, "acme", 100) != nil {
			p.exchange()
			if p.holder.Begin(p.now, id, "acme", 100) != nil { // reserved only now
				p.exchange()
			}
			is.NoErr(p.holder.Begin(p.now, id, "acme", 100))
		}
		p.holder.Settle(p.now, id, 100)
		p.exchange()
	}
}

// apply applies a statement, and hands the reply to its holder.
func (p *pair) apply(h *quota.Holder, s quota.Statement) {
	allowances, _ := p.ledger.Apply(quota.Timestamp{At: p.now, Term: 1, By: 1}, s)
	h.HandleReply(p.now, s.Seq, allowances)
}

func (p *pair) exchange() {
	s := p.holder.Statement(p.now)
	p.apply(p.holder, s)
}

// A waiting request keeps the limits that it was granted, although the holder sends
// another statement before the request is retried.
func TestWaitingRequestKeepsItsLimits(t *testing.T) {
	is := is.New(t)
	p := newPair(10_000)
	p.exchange()
	var refused *quota.RefusedError
	is.True(errors.As(p.holder.Reserve(p.now, "r1", "acme", 900), &refused))
	is.Equal(refused.Reason, quota.Elsewhere)
	p.exchange()
	p.holder.Statement(p.now) // in transit
	is.NoErr(p.holder.Reserve(p.now, "r1", "acme", 900))
}

// A holder that spends nothing gives back what another one needs.
func TestIdleHolderGivesBack(t *testing.T) {
	is := is.New(t)
	p := newPair(1_000)
	p.exchange()
	other := quota.NewHolder("entry-2", addrB, quota.DefaultOptions(), p.now)
	other.SetCustomers(p.now, []string{"acme"})
	var err error
	for range 4 {
		err = other.Reserve(p.now, "r1", "acme", 1_000)
		s := other.Statement(p.now)
		p.apply(other, s)
		p.exchange()
	}
	is.NoErr(err)
}

// A holder does not spend beyond a lowered allocation, although its cutoff limit was
// higher.
func TestCutoffLimitFollowsLoweredAllocation(t *testing.T) {
	is := is.New(t)
	p := newPair(1_000)
	p.exchange()
	_ = p.holder.Reserve(p.now, "r1", "acme", 800)
	p.exchange()
	is.NoErr(p.holder.Reserve(p.now, "r1", "acme", 800))
	p.holder.Settle(p.now, "r1", 0)
	other := quota.NewHolder("entry-2", addrB, quota.DefaultOptions(), p.now)
	other.SetCustomers(p.now, []string{"acme"})
	granted := false
	for range 4 {
		granted = granted || other.Reserve(p.now, "r2", "acme", 900) == nil
		s := other.Statement(p.now)
		p.apply(other, s)
		p.exchange()
	}
	is.True(granted)
	is.True(p.holder.Reserve(p.now, "r3", "acme", 200) != nil)
}

// A loan is spent at the lender immediately, and used by the borrower without the control
// group.
func TestLoan(t *testing.T) {
	is := is.New(t)
	p := newPair(10_000)
	p.exchange()
	_ = p.holder.Reserve(p.now, "r0", "acme", 4_000)
	p.exchange()
	p.holder.GiveUp("r0", "acme")
	other := quota.NewHolder("entry-2", addrB, quota.DefaultOptions(), p.now)
	other.SetCustomers(p.now, []string{"acme"})
	s := other.Statement(p.now)
	p.apply(other, s)
	is.True(other.Reserve(p.now, "r1", "acme", 900) != nil)
	r, wanted := other.LoanWanted(p.now, "acme", 900)
	is.True(wanted)
	p.now = p.now.Add(quota.DefaultOptions().CutOff)
	n, _ := p.holder.Lend(p.now, r)
	is.Equal(n, quota.Tokens(1_800)) // two of the largest request
	other.AddLoan("acme", n)
	is.NoErr(other.Reserve(p.now, "r1", "acme", 900))
	other.Settle(p.now, "r1", 100)
	is.NoErr(other.Reserve(p.now, "r2", "acme", 1_700))
	n, _ = p.holder.Lend(p.now, quota.LoanRequest{Customer: "acme", Want: 5_000})
	is.Equal(n, quota.Tokens(3_600)) // half of what is left
}

// A new holder's statement is applied only with the evidence on the holder that it
// replaces. A leader that does not know of that one yet must assess again.
func TestReplacedHolderMustBeAssessed(t *testing.T) {
	is := is.New(t)
	p := newPair(10_000)
	p.exchange()
	at := quota.Timestamp{At: p.now, Term: 2, By: 2}
	s := quota.Statement{Holder: "entry-2", Addr: addrA, Seq: 1, Uses: []quota.Usage{{Customer: "acme"}}}
	_, applied := p.ledger.Apply(at, s)
	is.True(!applied)
	last := p.ledger.Holders["entry-1"].Seq
	for _, e := range []quota.Ending{
		{Holder: "entry-0", Seq: last},     // not the holder that is replaced
		{Holder: "entry-1", Seq: last - 1}, // misses its last statement
	} {
		s.Replaces = e
		_, applied = p.ledger.Apply(at, s)
		is.True(!applied)
		is.True(!p.ledger.Ended("entry-1"))
	}
	s.Replaces = quota.Ending{Holder: "entry-1", Seq: last, Evidence: quota.Evidence{Witnessed: true}}
	_, applied = p.ledger.Apply(at, s)
	is.True(applied)
	is.True(p.ledger.Ended("entry-1"))
	is.Equal(p.ledger.Accounts["acme"].Billed, quota.Tokens(0))
}

// A restarted holder is granted as much as the one before it, even if its first reply is
// lost. Without this, a holder had only a tenth of that if a partition came soon after its
// restart.
func TestRestartedHolderIsGrantedAsBefore(t *testing.T) {
	is := is.New(t)
	p := newPair(1_000_000)
	other := quota.NewHolder("entry-2", addrB, quota.DefaultOptions(), p.now)
	other.SetCustomers(p.now, []string{"acme"})
	p.apply(other, other.Statement(p.now))
	p.demand(is)
	available := p.ledger.Accounts["acme"].Allocations["entry-1"].Granted - p.ledger.Accounts["acme"].Allocations["entry-1"].Used
	is.True(available > 50_000)
	p.holder.Leave()
	p.exchange()
	is.True(p.ledger.Ended("entry-1"))
	p.now = p.now.Add(time.Second)
	next := quota.NewHolder("entry-3", addrA, quota.DefaultOptions(), p.now)
	next.SetCustomers(p.now, []string{"acme"})
	lost := next.Statement(p.now)
	_, applied := p.ledger.Apply(quota.Timestamp{At: p.now, Term: 1, By: 1}, lost)
	is.True(applied)
	next.ReplyLost(lost.Seq)
	p.apply(next, next.Statement(p.now))
	is.True(p.ledger.Accounts["acme"].Allocations["entry-3"].Granted > available*8/10)
	p.apply(next, next.Statement(p.now)) // now with its own estimate
	is.True(p.ledger.Accounts["acme"].Allocations["entry-3"].Granted > available*8/10)
	is.True(p.ledger.Accounts["acme"].Allocations["entry-3"].InitialLimit > 0)
}

// What another holder waits for is given back immediately, not with the next periodic
// statement.
func TestWantedIsGivenBackImmediately(t *testing.T) {
	is := is.New(t)
	p := newPair(100_000)
	p.demand(is)
	other := quota.NewHolder("entry-2", addrB, quota.DefaultOptions(), p.now)
	other.SetCustomers(p.now, []string{"acme"})
	p.apply(other, other.Statement(p.now))
	is.True(other.Reserve(p.now, "big", "acme", 60_000) != nil)
	p.apply(other, other.Statement(p.now))
	p.exchange()
	is.True(p.holder.Urgent())
	p.exchange()
	p.apply(other, other.Statement(p.now))
	is.NoErr(other.Reserve(p.now, "big", "acme", 60_000))
}

// What a holder gives back for a waiting one is granted to that one, even if the former
// has the higher demand. Otherwise, near the end of a budget, a request was refused for
// 20 s although twice what it needed was left.
func TestGivenBackGoesToWaitingHolder(t *testing.T) {
	is := is.New(t)
	p := newPair(22_000)
	p.demand(is) // the holder with all of the demand spends 20,000
	other := quota.NewHolder("entry-2", addrB, quota.DefaultOptions(), p.now)
	other.SetCustomers(p.now, []string{"acme"})
	p.apply(other, other.Statement(p.now))
	const worst = 900
	for range 10 {
		if other.Reserve(p.now, "r1", "acme", worst) == nil {
			return
		}
		p.now = p.now.Add(20 * time.Millisecond)
		p.apply(other, other.Statement(p.now))
		p.exchange()
		p.apply(other, other.Statement(p.now))
	}
	t.Fatalf("%+v", p.ledger.Accounts["acme"].Allocations["entry-1"])
}

// Guards against holders with little demand whose cutoff limit is less than one request: in a
// partition they refused requests though much more was granted to them.
func TestLowDemandServesInAPartition(t *testing.T) {
	is := is.New(t)
	const worst = 10_000
	p := newPair(100 * worst)
	p.exchange()
	for i := range 6 {
		id := fmt.Sprint("d", i)
		for p.holder.Reserve(p.now, id, "acme", worst) != nil {
			p.exchange()
		}
		p.holder.Settle(p.now, id, worst)
		for range 40 {
			p.now = p.now.Add(100 * time.Millisecond)
			p.exchange()
		}
	}
	p.now = p.now.Add(quota.DefaultOptions().CutOff)
	for i := range 2 {
		is.NoErr(p.holder.Reserve(p.now, fmt.Sprint("r", i), "acme", worst))
	}
	is.True(p.holder.Reserve(p.now, "r2", "acme", worst) != nil) // what it can spend stays bounded
}
