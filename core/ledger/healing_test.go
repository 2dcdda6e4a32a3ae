package ledger_test

import (
	"fmt"
	"testing"
	"time"

	"dotterelgap/core/escrow"
	"dotterelgap/core/ledger"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// finishAll heals everything, lets all work end and gives all grants back.
func (w *world) finishAll(t *rapid.T) {
	w.side = map[string]int{}
	for _, e := range w.entries {
		e.frozen, e.skew = false, 0
	}
	for _, tr := range w.running() {
		w.end(tr)
	}
	for round := range 60 {
		w.now = w.now.Add(time.Second)
		for _, e := range w.entries {
			if round == 5 {
				w.act(e, func(now time.Time, fx *escrow.Effects) { e.holder.Drain(now, fx) })
			}
			w.act(e, func(now time.Time, fx *escrow.Effects) { e.holder.Tick(now, fx) })
			for _, id := range sortedJobs(e) {
				if j := e.jobs[id]; j.sent && !j.over {
					w.resolve(e, j)
				}
			}
		}
		for _, a := range w.agents {
			w.beat(a)
		}
		for len(w.packets) > 0 {
			w.deliver(0, false)
		}
		for _, tr := range w.running() {
			w.end(tr)
		}
		if round == 30 {
			w.settleLeft()
		}
		w.settle()
		w.check(t)
	}
	w.checkBills(t)
}

// settleLeft settles what is left when all entries have ended or said good-bye.
func (w *world) settleLeft() {
	for _, h := range w.ledger.Holders() {
		w.ledger.Settle(w.ledger.HeldBy(h))
	}
}

// checkBills compares the bills with the truth, key by key.
func (w *world) checkBills(t *rapid.T) {
	least, most := map[string]escrow.Tokens{}, map[string]escrow.Tokens{}
	byKey := map[string][]*truth{}
	for _, tr := range w.truth {
		byKey[tr.customer+"/"+tr.key] = append(byKey[tr.customer+"/"+tr.key], tr)
	}
	for _, trs := range byKey {
		high, sum := trs[0].made, escrow.Tokens(0)
		for _, tr := range trs {
			high = max(high, tr.made)
			sum += tr.made
		}
		// A key that comes again after its agent lost its memory may run and
		// be billed again: see TestBilledOnceAfterAgentLoss.
		if w.lostAgent {
			high = sum
		}
		most[trs[0].customer] += high
		// Of a key that ran at several agents, the bill may be dropped where
		// an entry ended before it could book.
		if len(trs) == 1 {
			least[trs[0].customer] += high
		}
	}
	for _, c := range customers {
		billed := w.ledger.Accounts[c].Billed
		if billed > most[c] {
			t.Fatalf("%s: billed %d, the requests used %d", c, billed, most[c])
		}
		if w.lostAgent {
			continue
		}
		if billed < least[c] {
			t.Fatalf("%s: billed %d, the requests used at least %d", c, billed, least[c])
		}
		if free := w.ledger.Free(c); free != w.paid[c]-billed {
			t.Fatalf("%s: %d of %d tokens stay locked:%s", c, w.paid[c]-billed-free, w.paid[c], w.describe())
		}
	}
}

func (w *world) describe() string {
	out := ""
	for id, g := range w.ledger.Grants {
		out += fmt.Sprintf("\ngrant %+v", *g)
		for agent, r := range w.reports[id] {
			out += fmt.Sprintf("\n  report of %s: %+v", agent, r)
		}
	}
	for _, e := range w.entries {
		for _, c := range customers {
			out += fmt.Sprintf("\n%s, %s: %+v", e.id, c, e.holder.Balance(c))
		}
	}
	return out
}

// TestBilledOnceAfterAgentLoss: a key was billed, its agent lost its memory, and
// the caller sends the key again.
func TestBilledOnceAfterAgentLoss(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 1)
	w.paid["large"] = 10
	is.NoErr(w.ledger.TopUp(ledger.TopUp{ID: "t", Customer: "large", Tokens: 10}))
	for range 2 {
		w.request(w.entries[0], &job{customer: "large", key: "k", attempt: 1, agent: w.agents[0], worst: 1, want: 1})
		w.finishWork()
		w.startAgent(w.agents[0])
	}
	is.Equal(len(w.truth), 2) // it ran again in the second life
	w.act(w.entries[0], func(now time.Time, fx *escrow.Effects) { w.entries[0].holder.Drain(now, fx) })
	w.finishWork()
	w.settleLeft()
	is.Equal(w.ledger.Accounts["large"].Billed, escrow.Tokens(1)) // the key is billed once
}

// finishWork delivers everything and lets all runs end and be booked.
func (w *world) finishWork() {
	for range 20 {
		w.now = w.now.Add(time.Second)
		for _, a := range w.agents {
			w.beat(a)
		}
		w.settle()
		for len(w.packets) > 0 {
			w.deliver(0, false)
		}
		for _, tr := range w.running() {
			w.end(tr)
		}
		for _, e := range w.entries {
			for _, id := range sortedJobs(e) {
				if j := e.jobs[id]; j.sent && !j.over {
					w.resolve(e, j)
				}
			}
			w.act(e, func(now time.Time, fx *escrow.Effects) { e.holder.Tick(now, fx) })
		}
	}
}
