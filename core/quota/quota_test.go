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

// TestNeverOverspent drives budgets through kills and restarts at the same
// address, cuts from control and from all, lost, repeated and late messages,
// payments and new leaders. The oracle: what engines used, with the worst case of
// all that may still run, is never above what was paid. After all is healed,
// whatever is left can be reserved at any node.
func TestNeverOverspent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.IntRange(1, 5).Draw(t, "hosts"))
		t.Repeat(map[string]func(*rapid.T){
			"":        w.check,
			"time":    w.stepTime,
			"time2":   w.stepTime,
			"request": w.stepRequest,
			"serve":   w.stepServe,
			"serve2":  w.stepServe,
			"serve3":  w.stepServe,
			"serve4":  w.stepServe,
			"end":     w.stepEnd,
			"state":   w.stepState,
			"state2":  w.stepState,
			"greedy":  w.stepGreedy,
			"raise":   w.stepRaise,
			"raise2":  w.stepRaise,
			"deliver": w.stepDeliver,
			"flow":    w.stepFlow,
			"lose":    w.stepLose,
			"borrow":  w.stepBorrow,
			"borrow2": w.stepBorrow,
			"kill":    w.stepKill,
			"killall": w.stepKillAll,
			"wipe":    w.stepWipe,
			"start":   w.stepStart,
			"cut":     w.stepCut,
			"pay":     w.stepPay,
			"lead":    w.stepLead,
			"silent":  w.stepEndSilent,
		})
		w.heal(t)
	})
}

// heal ends all faults and requests, and checks that what the ledger has left can
// be reserved at each node.
func (w *world) heal(t *rapid.T) {
	w.net = nil
	for _, h := range w.hosts {
		h.cutOff, h.lonely = false, false
		if !h.alive {
			w.start(h)
		}
		for _, r := range h.running {
			h.holder.Settle(w.now, r.id, 0)
		}
		for _, r := range h.waiting {
			h.holder.GiveUp(r.id, r.customer)
		}
		h.running, h.waiting = nil, nil
		h.holder.ReplyLost(h.holder.PendingSeq())
	}
	w.rounds(40)
	for _, h := range w.hosts {
		for _, c := range customers {
			if left := w.left(c); left > 0 {
				w.reserveSoon(t, h, c, left)
			}
		}
	}
}

// rounds lets all nodes state and hear.
func (w *world) rounds(n int) {
	for range n {
		w.now = w.now.Add(120 * time.Millisecond)
		w.ledger.Tick(w.stamp())
		for _, h := range w.hosts {
			h.holder.ReplyLost(h.holder.PendingSeq())
			if h.holder.Due(w.now) {
				w.state(h)
			}
		}
		w.stepFlow(nil)
	}
}

// left is what the ledger has not billed.
func (w *world) left(customer string) quota.Tokens {
	a := w.ledger.Accounts[customer]
	sum := a.Paid - a.Billed
	for _, r := range a.Allocations {
		sum -= r.Spent
	}
	return sum
}

func (w *world) reserveSoon(t *rapid.T, h *host, customer string, worst quota.Tokens) {
	var err error
	for range 60 {
		err = h.holder.Reserve(w.now, "last", customer, worst)
		if err == nil {
			h.holder.Settle(w.now, "last", 0)
			w.rounds(2)
			return
		}
		w.rounds(1)
	}
	t.Fatalf("%d tokens of %s are left and can't be reserved: %v", worst, customer, err)
}

type fleetID = fleet.NodeID

// cutOff is a time without an answer after which all that was granted is open.
var cutOff = quota.DefaultOptions().CutOff + quota.DefaultOptions().GrantOpens

var (
	addrA = netip.MustParseAddrPort("10.0.0.1:7000")
	addrB = netip.MustParseAddrPort("10.0.0.2:7000")
)

// pair is a holder and its ledger, with a clock.
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

// demand uses 1,000 tokens a second for a while.
func (p *pair) demand(is *is.I) {
	for i := range 200 {
		p.now = p.now.Add(100 * time.Millisecond)
		id := fmt.Sprint("d", i)
		if p.holder.Reserve(p.now, id, "acme", 100) != nil {
			p.exchange()
			is.NoErr(p.holder.Reserve(p.now, id, "acme", 100))
		}
		p.holder.Settle(p.now, id, 100)
		p.exchange()
	}
}

// book takes a statement in, and hands the answer to its holder.
func (p *pair) book(h *quota.Holder, s quota.Statement) {
	answers, _ := p.ledger.Apply(quota.Timestamp{At: p.now, Term: 1, By: 1}, s)
	h.HandleReply(p.now, s.Seq, answers)
}

func (p *pair) exchange() {
	s := p.holder.Statement(p.now)
	p.book(p.holder, s)
}

// A request that waits keeps the mark that it was given, though a statement goes
// out before it is tried again.
func TestWaitingKeepsItsMark(t *testing.T) {
	is := is.New(t)
	p := newPair(10_000)
	p.exchange()
	var refused *quota.RefusedError
	is.True(errors.As(p.holder.Reserve(p.now, "r1", "acme", 900), &refused))
	is.Equal(refused.Reason, quota.Elsewhere)
	p.exchange()
	p.holder.Statement(p.now) // on its way
	is.NoErr(p.holder.Reserve(p.now, "r1", "acme", 900))
}

// A holder that has used nothing gives back what another one needs.
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
		p.book(other, s)
		p.exchange()
	}
	is.NoErr(err)
}

// An allowance that was lowered is not spent beyond, though the mark was higher.
func TestMarkFollowsLoweredAllowance(t *testing.T) {
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
		p.book(other, s)
		p.exchange()
	}
	is.True(granted)
	is.True(p.holder.Reserve(p.now, "r3", "acme", 200) != nil)
}

// A loan is spent at the lender at once, and used by the borrower without control.
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
	p.book(other, s)
	is.True(other.Reserve(p.now, "r1", "acme", 900) != nil)
	r, wanted := other.LoanWanted("acme", 900)
	is.True(wanted)
	n, _ := p.holder.Lend(p.now, r)
	is.Equal(n, quota.Tokens(1_800)) // two of the largest request
	other.AddLoan("acme", n)
	is.NoErr(other.Reserve(p.now, "r1", "acme", 900))
	other.Settle(p.now, "r1", 100)
	is.NoErr(other.Reserve(p.now, "r2", "acme", 1_700))
	n, _ = p.holder.Lend(p.now, quota.LoanRequest{Customer: "acme", Want: 5_000})
	is.Equal(n, quota.Tokens(1_100)) // half of what is left
}

// A newcomer is booked only with the evidence on the holder that it replaces: a
// leader that does not know of that one yet must judge again.
func TestReplacedHolderMustBeJudged(t *testing.T) {
	is := is.New(t)
	p := newPair(10_000)
	p.exchange()
	at := quota.Timestamp{At: p.now, Term: 2, By: 2}
	s := quota.Statement{Holder: "entry-2", Addr: addrA, Seq: 1, Uses: []quota.Usage{{Customer: "acme"}}}
	_, booked := p.ledger.Apply(at, s)
	is.True(!booked)
	last := p.ledger.Holders["entry-1"].Seq
	for _, e := range []quota.Ending{
		{Holder: "entry-0", Seq: last},     // another one than is there
		{Holder: "entry-1", Seq: last - 1}, // its last statement was not known
	} {
		s.Replaces = e
		_, booked = p.ledger.Apply(at, s)
		is.True(!booked)
		is.True(!p.ledger.Ended("entry-1"))
	}
	s.Replaces = quota.Ending{Holder: "entry-1", Seq: last, Evidence: quota.Evidence{Witnessed: true}}
	_, booked = p.ledger.Apply(at, s)
	is.True(booked)
	is.True(p.ledger.Ended("entry-1"))
	is.Equal(p.ledger.Accounts["acme"].Billed, quota.Tokens(0))
}

// A holder that was restarted is stocked like the one before it, also if its first
// answer is lost: a cut that came soon after a restart found it with a tenth.
func TestRestartedHolderIsStocked(t *testing.T) {
	is := is.New(t)
	p := newPair(1_000_000)
	other := quota.NewHolder("entry-2", addrB, quota.DefaultOptions(), p.now)
	other.SetCustomers(p.now, []string{"acme"})
	p.book(other, other.Statement(p.now))
	p.demand(is)
	stocked := p.ledger.Accounts["acme"].Allocations["entry-1"].Granted - p.ledger.Accounts["acme"].Allocations["entry-1"].Used
	is.True(stocked > 50_000)
	p.holder.Leave()
	p.exchange()
	is.True(p.ledger.Ended("entry-1"))
	p.now = p.now.Add(time.Second)
	next := quota.NewHolder("entry-3", addrA, quota.DefaultOptions(), p.now)
	next.SetCustomers(p.now, []string{"acme"})
	lost := next.Statement(p.now)
	_, booked := p.ledger.Apply(quota.Timestamp{At: p.now, Term: 1, By: 1}, lost)
	is.True(booked)
	next.ReplyLost(lost.Seq)
	p.book(next, next.Statement(p.now))
	is.True(p.ledger.Accounts["acme"].Allocations["entry-3"].Granted > stocked*8/10)
	p.book(next, next.Statement(p.now)) // now by its own estimate
	is.True(p.ledger.Accounts["acme"].Allocations["entry-3"].Granted > stocked*8/10)
	is.True(p.ledger.Accounts["acme"].Allocations["entry-3"].InitialLimit > 0)
}

// What another holder waits for is given back at once, not with the next statement.
func TestWantedIsGivenBackAtOnce(t *testing.T) {
	is := is.New(t)
	p := newPair(100_000)
	p.demand(is)
	other := quota.NewHolder("entry-2", addrB, quota.DefaultOptions(), p.now)
	other.SetCustomers(p.now, []string{"acme"})
	p.book(other, other.Statement(p.now))
	is.True(other.Reserve(p.now, "big", "acme", 60_000) != nil)
	p.book(other, other.Statement(p.now))
	p.exchange()
	is.True(p.holder.Urgent())
	p.exchange()
	p.book(other, other.Statement(p.now))
	is.NoErr(other.Reserve(p.now, "big", "acme", 60_000))
}

// What a holder gives back for one that waits goes to that one, also where the former
// has the higher demand: near the end of a budget a request was refused for 20 s though
// twice what it needed was left.
func TestGivenBackGoesToWhoWaits(t *testing.T) {
	is := is.New(t)
	p := newPair(22_000)
	p.demand(is) // 20,000 are spent by the holder with all of the demand
	other := quota.NewHolder("entry-2", addrB, quota.DefaultOptions(), p.now)
	other.SetCustomers(p.now, []string{"acme"})
	p.book(other, other.Statement(p.now))
	const worst = 900
	for range 10 {
		if other.Reserve(p.now, "r1", "acme", worst) == nil {
			return
		}
		p.now = p.now.Add(20 * time.Millisecond)
		p.book(other, other.Statement(p.now))
		p.exchange()
		p.book(other, other.Statement(p.now))
	}
	t.Fatalf("%+v", p.ledger.Accounts["acme"].Allocations["entry-1"])
}
