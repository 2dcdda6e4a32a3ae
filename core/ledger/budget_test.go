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
	if e.frozen {
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
		if j := e.jobs[id]; j.sent && !j.over && !e.frozen {
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
		if j := e.jobs[id]; j.sent && !j.over && !e.frozen {
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
