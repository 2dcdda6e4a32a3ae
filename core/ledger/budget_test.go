package ledger_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"dotterelgap/core/escrow"
	"dotterelgap/core/ledger"
	"dotterelgap/core/runs"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestBudgetNeverOverspent drives the budget machines through kills, restarts
// without memory, freezes, cuts, wrong clocks, lost and repeated messages, and
// retries over other entries. The oracle: what the engines truly made is never
// above what was paid; after all is healed, each key is billed once, exactly,
// and nothing stays locked.
func TestBudgetNeverOverspent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.IntRange(1, 4).Draw(t, "entries"), rapid.IntRange(1, 5).Draw(t, "agents"))
		t.Repeat(map[string]func(*rapid.T){
			"":         w.check,
			"top up":   w.stepTopUp,
			"request":  w.stepRequest,
			"retry":    w.stepRetry,
			"deliver":  w.stepDeliver,
			"deliver2": w.stepDeliver,
			"many":     w.stepDeliverMany,
			"drop":     w.stepDrop,
			"repeat":   w.stepRepeat,
			"progress": w.stepProgress,
			"end":      w.stepEnd,
			"resolve":  w.stepResolve,
			"last":     w.stepResolveLast,
			"resend":   w.stepResend,
			"tick":     w.stepTick,
			"clock":    w.stepClock,
			"cut":      w.stepCut,
			"heal":     func(*rapid.T) { w.side = map[string]int{} },
			"kill":     w.stepKillEntry,
			"freeze":   w.stepFreeze,
			"amnesia":  w.stepKillAgent,
			"takeover": w.stepTakeOver,
			"suspect":  w.stepSuspect,
			"recall":   w.stepRecall,
			"beat":     w.stepBeat,
			"settle":   func(*rapid.T) { w.settle() },
			"work":     w.stepWork,
			"cycle":    w.stepCycle,
			"succeed":  w.stepSucceed,
			"fund":     w.stepFund,
		})
		w.finishAll(t)
	})
}

// check is the oracle at every step: no customer's tokens are exceeded, no
// grant's are, and nothing is made on a grant after it left the ledger.
func (w *world) check(t *rapid.T) {
	made := w.madeOn()
	for id := range w.open {
		if _, ok := w.ledger.Grants[id]; !ok {
			delete(w.open, id)
			w.closed[id] = made[id]
		}
	}
	for id, g := range w.ledger.Grants {
		w.open[id] = true
		if made[id] > g.Outstanding {
			t.Fatalf("grant %d: the engines made %d tokens, %d are outstanding", id, made[id], g.Outstanding)
		}
	}
	for id, then := range w.closed {
		if made[id] > then {
			t.Fatalf("grant %d: %d tokens were made after it left the ledger", id, made[id]-then)
		}
	}
	for _, c := range customers {
		if made := w.made(c); made > w.paid[c] {
			t.Fatalf("%s: the engines made %d tokens, paid were %d", c, made, w.paid[c])
		}
		if free := w.ledger.Free(c); free < 0 {
			t.Fatalf("%s: free is %d", c, free)
		}
	}
}

func pick[T any](t *rapid.T, what string, from []T) T {
	return from[rapid.IntRange(0, len(from)-1).Draw(t, what)]
}

func (w *world) stepTopUp(t *rapid.T) {
	up := ledger.TopUp{ID: w.next("top-up"), Customer: pick(t, "customer", customers), Tokens: escrow.Tokens(rapid.IntRange(1, 400).Draw(t, "tokens"))}
	if len(w.topUps) > 0 && rapid.Bool().Draw(t, "resent") {
		up = pick(t, "top-up", w.topUps)
	} else {
		w.topUps = append(w.topUps, up)
		w.paid[up.Customer] += up.Tokens
	}
	if err := w.ledger.TopUp(up); err != nil {
		t.Fatal(err)
	}
}

func (w *world) stepRequest(t *rapid.T) {
	worst := escrow.Tokens(rapid.IntRange(1, 120).Draw(t, "worst"))
	key := w.next("key")
	w.request(pick(t, "entry", w.entries), &job{
		customer: pick(t, "customer", customers), key: key, attempt: 1, agent: w.order(key)[0],
		worst: worst, want: escrow.Tokens(rapid.IntRange(0, int(worst)).Draw(t, "want")),
	})
}

// stepRetry sends a known key again over some entry: to the agent that comes
// first for the key, or to a later one as if the earlier ones were out of reach.
func (w *world) stepRetry(t *rapid.T) {
	if len(w.truth) == 0 {
		return
	}
	old := pick(t, "run", w.truth)
	order := w.order(old.key)
	choice := rapid.IntRange(0, len(order)-1).Draw(t, "choice")
	w.request(pick(t, "entry", w.entries), &job{
		customer: old.customer, key: old.key, attempt: choice + 1, agent: order[choice],
		earlier: order[:choice], worst: old.want + 1, want: old.want,
	})
}

// order is the agents' order for a key.
func (w *world) order(key string) []*agentNode {
	n := len(key) + int(key[len(key)-1])
	out := make([]*agentNode, 0, len(w.agents))
	for i := range w.agents {
		out = append(out, w.agents[(i+n)%len(w.agents)])
	}
	return out
}

func (w *world) request(e *entryNode, j *job) {
	if e.dead || e.frozen {
		return
	}
	j.id, j.life = w.next("job"), j.agent.id
	e.jobs[j.id] = j
	w.act(e, func(now time.Time, fx *escrow.Effects) {
		e.holder.Reserve(now, escrow.Request{ID: j.id, Customer: j.customer, Worst: j.worst, Borrower: e.id}, fx)
	})
}

// stepWork serves a request up to its dispatch, which stays on its way.
func (w *world) stepWork(t *rapid.T) {
	w.stepRequest(t)
	w.deliverExcept("agent/")
}

// deliverExcept delivers what is on its way, but for dispatches and the like
// that some agents wait for.
func (w *world) deliverExcept(prefix string) {
	for range 40 {
		i := slices.IndexFunc(w.packets, func(p packet) bool {
			return !strings.HasPrefix(p.to, prefix) || p.claim
		})
		if i < 0 {
			return
		}
		w.deliver(i, false)
	}
}

// stepCycle settles what a holder has, from suspicion to bill, while older
// messages stay on their way.
func (w *world) stepCycle(t *rapid.T) {
	stuck := w.packets
	w.packets = nil
	w.stepSuspect(t)
	for range 4 {
		for _, a := range w.agents {
			w.beat(a)
		}
		w.stepDeliverMany(t)
		w.settle()
		w.check(t)
	}
	w.packets = append(w.packets, stuck...)
}

// stepSucceed lets an entry take over and use what it got, while the earlier
// holder's messages stay on their way.
func (w *world) stepSucceed(t *rapid.T) {
	stuck := w.packets
	w.packets = nil
	w.stepTakeOver(t)
	w.stepDeliverMany(t)
	w.stepRequest(t)
	w.stepTick(t)
	w.stepDeliverMany(t)
	w.packets = append(w.packets, stuck...)
}

// stepFund gives a customer enough for several requests at once.
func (w *world) stepFund(t *rapid.T) {
	up := ledger.TopUp{ID: w.next("top-up"), Customer: pick(t, "customer", customers), Tokens: 400}
	w.topUps = append(w.topUps, up)
	w.paid[up.Customer] += up.Tokens
	if err := w.ledger.TopUp(up); err != nil {
		t.Fatal(err)
	}
}

func (w *world) stepDeliver(t *rapid.T) {
	if len(w.packets) > 0 {
		w.deliver(rapid.IntRange(0, len(w.packets)-1).Draw(t, "packet"), false)
	}
}

func (w *world) stepDeliverMany(*rapid.T) {
	for range 30 {
		if len(w.packets) > 0 {
			w.deliver(0, false)
		}
	}
}

func (w *world) stepRepeat(t *rapid.T) {
	if len(w.packets) > 0 {
		w.deliver(rapid.IntRange(0, len(w.packets)-1).Draw(t, "packet"), true)
	}
}

func (w *world) stepDrop(t *rapid.T) {
	if len(w.packets) > 0 {
		i := rapid.IntRange(0, len(w.packets)-1).Draw(t, "packet")
		w.packets = append(w.packets[:i], w.packets[i+1:]...)
	}
}

func (w *world) running() []*truth {
	var out []*truth
	for _, tr := range w.truth {
		if !tr.over {
			out = append(out, tr)
		}
	}
	return out
}

func (w *world) stepProgress(t *rapid.T) {
	if open := w.running(); len(open) > 0 {
		tr := pick(t, "run", open)
		tr.made += escrow.Tokens(rapid.IntRange(0, int(tr.want-tr.made)).Draw(t, "tokens"))
		if a := w.agentByID(tr.agent); a != nil {
			a.book.Use(runs.ID{Customer: tr.customer, Key: tr.key}, tr.made)
		}
	}
}

func (w *world) stepEnd(t *rapid.T) {
	if open := w.running(); len(open) > 0 {
		w.end(pick(t, "run", open))
	}
}

func (w *world) end(tr *truth) {
	tr.made, tr.over = tr.want, true
	a := w.agentByID(tr.agent)
	id := runs.ID{Customer: tr.customer, Key: tr.key}
	a.book.Use(id, tr.made)
	a.book.End(w.now, id, 1)
}

// stepResolve also stands for a whole answer that arrives: the entry learns the
// use and books it.
func (w *world) stepResolve(t *rapid.T) {
	e := pick(t, "entry", w.entries)
	for _, id := range sortedJobs(e) {
		if j := e.jobs[id]; j.sent && !j.over && !e.frozen && !e.dead {
			w.resolve(e, j)
		}
	}
}

// stepResolveLast retries a key at a later agent, lets all runs end, and books
// the newest attempt before the earlier ones.
func (w *world) stepResolveLast(t *rapid.T) {
	w.stepRetry(t)
	w.stepDeliverMany(t)
	for _, tr := range w.running() {
		w.end(tr)
	}
	for _, e := range w.entries {
		ids := sortedJobs(e)
		if len(ids) == 0 || e.frozen {
			continue
		}
		if j := e.jobs[ids[len(ids)-1]]; j.sent && !j.over {
			w.resolve(e, j)
		}
	}
	w.stepDeliverMany(t)
}

func (w *world) stepResend(t *rapid.T) {
	e := pick(t, "entry", w.entries)
	for _, id := range sortedJobs(e) {
		if j := e.jobs[id]; j.sent && !j.over && !e.frozen && !e.dead {
			w.dispatch(e, j)
		}
	}
}

func (w *world) stepTick(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
	for _, e := range w.entries {
		w.act(e, func(now time.Time, fx *escrow.Effects) { e.holder.Tick(now, fx) })
	}
}

func (w *world) stepClock(t *rapid.T) {
	pick(t, "entry", w.entries).skew = time.Duration(rapid.IntRange(-3600, 3600).Draw(t, "s")) * time.Second
}

func (w *world) stepCut(t *rapid.T) {
	for _, e := range w.entries {
		w.side[e.name()] = rapid.IntRange(0, 1).Draw(t, "side")
	}
	for _, a := range w.agents {
		w.side[a.name()] = rapid.IntRange(0, 1).Draw(t, "side")
	}
}

func (w *world) stepKillEntry(t *rapid.T) {
	e := pick(t, "entry", w.entries)
	dead := e.id
	w.startEntry(e)
	w.send(control, control, func() { w.ledger.Settle(w.ledger.HeldBy(dead)) })
}

func (w *world) stepFreeze(t *rapid.T) {
	e := pick(t, "entry", w.entries)
	e.frozen = !e.frozen
}

// stepKillAgent restarts an agent without its memory; its engine stops.
func (w *world) stepKillAgent(t *rapid.T) {
	if rapid.IntRange(0, 3).Draw(t, "rare") != 0 {
		return
	}
	a := pick(t, "agent", w.agents)
	for _, tr := range w.running() {
		if tr.agent == a.id {
			tr.over = true
		}
	}
	w.lostAgent = true
	w.startAgent(a)
}

// stepTakeOver lets an entry try for another holder's grants, alive or not.
func (w *world) stepTakeOver(t *rapid.T) {
	e := pick(t, "entry", w.entries)
	for _, a := range w.agents {
		for _, c := range customers {
			for _, g := range a.witness.Grants(c, e.place) {
				if g.Holder != e.id && rapid.Bool().Draw(t, "take") {
					w.act(e, func(now time.Time, fx *escrow.Effects) { e.holder.TakeOver(now, g, fx) })
				}
			}
		}
	}
}

// stepSuspect lets the leader take a living holder for dead.
func (w *world) stepSuspect(t *rapid.T) {
	w.ledger.Settle(w.ledger.HeldBy(pick(t, "entry", w.entries).id))
}

func (w *world) stepRecall(t *rapid.T) {
	e := pick(t, "entry", w.entries)
	for _, id := range w.ledger.HeldBy(e.id) {
		w.act(e, func(now time.Time, fx *escrow.Effects) { e.holder.Recall(now, id, fx) })
	}
}

func (w *world) stepBeat(t *rapid.T) {
	w.beat(pick(t, "agent", w.agents))
}

func sortedJobs(e *entryNode) []string {
	ids := make([]string, 0, len(e.jobs))
	for i := range 100_000 {
		id := fmt.Sprintf("job-%d", i)
		if _, ok := e.jobs[id]; ok {
			ids = append(ids, id)
		}
		if len(ids) == len(e.jobs) {
			break
		}
	}
	return ids
}

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
