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

// TestBudgetNeverOverspent drives the budget state machines through crashes,
// restarts without memory, freezes, partitions, wrong clocks, lost and repeated
// messages, and retries through other entries. It checks that the engines never
// generate more tokens than were paid for. After all faults are healed, each key
// must be billed exactly once and no tokens may stay locked.
func TestBudgetNeverOverspent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.IntRange(1, 4).Draw(t, "entries"), rapid.IntRange(1, 5).Draw(t, "agents"))
		t.Repeat(map[string]func(*rapid.T){
			"":         s.check,
			"top up":   s.stepTopUp,
			"request":  s.stepRequest,
			"retry":    s.stepRetry,
			"deliver":  s.stepDeliver,
			"deliver2": s.stepDeliver,
			"many":     s.stepDeliverMany,
			"drop":     s.stepDrop,
			"repeat":   s.stepRepeat,
			"progress": s.stepProgress,
			"end":      s.stepEnd,
			"resolve":  s.stepResolve,
			"last":     s.stepResolveNewestFirst,
			"resend":   s.stepResend,
			"tick":     s.stepTick,
			"clock":    s.stepClock,
			"cut":      s.stepPartition,
			"heal":     func(*rapid.T) { s.partition = map[string]int{} },
			"kill":     s.stepKillEntry,
			"freeze":   s.stepFreeze,
			"amnesia":  s.stepRestartAgent,
			"takeover": s.stepTakeOver,
			"suspect":  s.stepSuspect,
			"recall":   s.stepRecall,
			"beat":     s.stepHeartbeat,
			"settle":   func(*rapid.T) { s.settle() },
			"work":     s.stepServe,
			"cycle":    s.stepSettlement,
			"succeed":  s.stepSuccession,
			"fund":     s.stepFund,
		})
		s.healAndFinish(t)
	})
}

// check runs after every step. The engines must not generate more tokens than a
// customer has paid for or a grant has outstanding, and none on a grant that the
// ledger has removed.
func (s *simulation) check(t *rapid.T) {
	generated := s.generatedByGrant()
	for id := range s.openGrants {
		if _, ok := s.ledger.Grants[id]; !ok {
			delete(s.openGrants, id)
			s.generatedAtRemoval[id] = generated[id]
		}
	}
	for id, g := range s.ledger.Grants {
		s.openGrants[id] = true
		if generated[id] > g.Outstanding {
			t.Fatalf("grant %d: the engines generated %d tokens, %d are outstanding", id, generated[id], g.Outstanding)
		}
	}
	for id, then := range s.generatedAtRemoval {
		if generated[id] > then {
			t.Fatalf("grant %d: %d tokens were generated after the ledger removed it", id, generated[id]-then)
		}
	}
	for _, c := range customers {
		if generated := s.generatedFor(c); generated > s.paid[c] {
			t.Fatalf("%s: the engines generated %d tokens, %d were paid for", c, generated, s.paid[c])
		}
		if free := s.ledger.Free(c); free < 0 {
			t.Fatalf("%s: free is %d", c, free)
		}
	}
}

func pick[T any](t *rapid.T, what string, from []T) T {
	return from[rapid.IntRange(0, len(from)-1).Draw(t, what)]
}

func (s *simulation) stepTopUp(t *rapid.T) {
	up := ledger.TopUp{ID: s.next("top-up"), Customer: pick(t, "customer", customers), Tokens: escrow.Tokens(rapid.IntRange(1, 400).Draw(t, "tokens"))}
	if len(s.topUps) > 0 && rapid.Bool().Draw(t, "resent") {
		up = pick(t, "top-up", s.topUps)
	} else {
		s.topUps = append(s.topUps, up)
		s.paid[up.Customer] += up.Tokens
	}
	if err := s.ledger.TopUp(up); err != nil {
		t.Fatal(err)
	}
}

func (s *simulation) stepRequest(t *rapid.T) {
	worst := escrow.Tokens(rapid.IntRange(1, 120).Draw(t, "worst"))
	key := s.next("key")
	s.request(pick(t, "entry", s.entries), &job{
		customer: pick(t, "customer", customers), key: key, attempt: 1, agent: s.agentOrder(key)[0],
		worst: worst, want: escrow.Tokens(rapid.IntRange(0, int(worst)).Draw(t, "want")),
	})
}

// stepRetry retries a known key through some entry: at the first agent in the
// key's order, or at a later one as if the earlier ones were unreachable.
func (s *simulation) stepRetry(t *rapid.T) {
	if len(s.engineRuns) == 0 {
		return
	}
	old := pick(t, "run", s.engineRuns)
	order := s.agentOrder(old.key)
	choice := rapid.IntRange(0, len(order)-1).Draw(t, "choice")
	s.request(pick(t, "entry", s.entries), &job{
		customer: old.customer, key: old.key, attempt: choice + 1, agent: order[choice],
		earlier: order[:choice], worst: old.want + 1, want: old.want,
	})
}

// agentOrder returns the order in which the agents are tried for a key.
func (s *simulation) agentOrder(key string) []*agentNode {
	n := len(key) + int(key[len(key)-1])
	out := make([]*agentNode, 0, len(s.agents))
	for i := range s.agents {
		out = append(out, s.agents[(i+n)%len(s.agents)])
	}
	return out
}

func (s *simulation) request(e *entryNode, j *job) {
	if e.frozen {
		return
	}
	j.id, j.incarnation = s.next("job"), j.agent.id
	e.jobs[j.id] = j
	s.apply(e, func(now time.Time, fx *escrow.Effects) {
		e.holder.Reserve(now, escrow.Request{ID: j.id, Customer: j.customer, Worst: j.worst, Borrower: e.id}, fx)
	})
}

// stepServe processes a request up to its dispatch, which stays in flight.
func (s *simulation) stepServe(t *rapid.T) {
	s.stepRequest(t)
	s.deliverExcept("agent/")
}

// deliverExcept delivers the packets in flight, except those to a node whose name
// has the prefix. Claims are always delivered.
func (s *simulation) deliverExcept(prefix string) {
	for range 40 {
		i := slices.IndexFunc(s.packets, func(p packet) bool {
			return !strings.HasPrefix(p.to, prefix) || p.claim
		})
		if i < 0 {
			return
		}
		s.deliver(i, false)
	}
}

// stepSettlement settles a holder's grants, from the suspicion to the bill, while
// older messages stay in flight.
func (s *simulation) stepSettlement(t *rapid.T) {
	delayed := s.packets
	s.packets = nil
	s.stepSuspect(t)
	for range 4 {
		for _, a := range s.agents {
			s.heartbeat(a)
		}
		s.stepDeliverMany(t)
		s.settle()
		s.check(t)
	}
	s.packets = append(s.packets, delayed...)
}

// stepSuccession lets an entry take over grants and use them, while the earlier
// holder's messages stay in flight.
func (s *simulation) stepSuccession(t *rapid.T) {
	delayed := s.packets
	s.packets = nil
	s.stepTakeOver(t)
	s.stepDeliverMany(t)
	s.stepRequest(t)
	s.stepTick(t)
	s.stepDeliverMany(t)
	s.packets = append(s.packets, delayed...)
}

// stepFund tops up a customer with enough tokens for several requests.
func (s *simulation) stepFund(t *rapid.T) {
	up := ledger.TopUp{ID: s.next("top-up"), Customer: pick(t, "customer", customers), Tokens: 400}
	s.topUps = append(s.topUps, up)
	s.paid[up.Customer] += up.Tokens
	if err := s.ledger.TopUp(up); err != nil {
		t.Fatal(err)
	}
}

func (s *simulation) stepDeliver(t *rapid.T) {
	if len(s.packets) > 0 {
		s.deliver(rapid.IntRange(0, len(s.packets)-1).Draw(t, "packet"), false)
	}
}

func (s *simulation) stepDeliverMany(*rapid.T) {
	for range 30 {
		if len(s.packets) > 0 {
			s.deliver(0, false)
		}
	}
}

func (s *simulation) stepRepeat(t *rapid.T) {
	if len(s.packets) > 0 {
		s.deliver(rapid.IntRange(0, len(s.packets)-1).Draw(t, "packet"), true)
	}
}

func (s *simulation) stepDrop(t *rapid.T) {
	if len(s.packets) > 0 {
		i := rapid.IntRange(0, len(s.packets)-1).Draw(t, "packet")
		s.packets = append(s.packets[:i], s.packets[i+1:]...)
	}
}

func (s *simulation) running() []*engineRun {
	var out []*engineRun
	for _, run := range s.engineRuns {
		if !run.done {
			out = append(out, run)
		}
	}
	return out
}

func (s *simulation) stepProgress(t *rapid.T) {
	if open := s.running(); len(open) > 0 {
		run := pick(t, "run", open)
		run.generated += escrow.Tokens(rapid.IntRange(0, int(run.want-run.generated)).Draw(t, "tokens"))
		if a := s.agentByID(run.agent); a != nil {
			a.machine.Use(runs.ID{Customer: run.customer, Key: run.key}, run.generated)
		}
	}
}

func (s *simulation) stepEnd(t *rapid.T) {
	if open := s.running(); len(open) > 0 {
		s.end(pick(t, "run", open))
	}
}

func (s *simulation) end(run *engineRun) {
	run.generated, run.done = run.want, true
	a := s.agentByID(run.agent)
	id := runs.ID{Customer: run.customer, Key: run.key}
	a.machine.Use(id, run.generated)
	a.machine.End(s.now, id, 1)
}

// stepResolve lets an entry learn the use of its jobs and bill it. This also
// simulates the arrival of a complete response.
func (s *simulation) stepResolve(t *rapid.T) {
	e := pick(t, "entry", s.entries)
	for _, id := range sortedJobs(e) {
		if j := e.jobs[id]; j.sent && !j.done && !e.frozen {
			s.resolve(e, j)
		}
	}
}

// stepResolveNewestFirst retries a key, lets all runs end, and bills the newest
// attempt before the earlier ones.
func (s *simulation) stepResolveNewestFirst(t *rapid.T) {
	s.stepRetry(t)
	s.stepDeliverMany(t)
	for _, run := range s.running() {
		s.end(run)
	}
	for _, e := range s.entries {
		ids := sortedJobs(e)
		if len(ids) == 0 || e.frozen {
			continue
		}
		if j := e.jobs[ids[len(ids)-1]]; j.sent && !j.done {
			s.resolve(e, j)
		}
	}
	s.stepDeliverMany(t)
}

func (s *simulation) stepResend(t *rapid.T) {
	e := pick(t, "entry", s.entries)
	for _, id := range sortedJobs(e) {
		if j := e.jobs[id]; j.sent && !j.done && !e.frozen {
			s.dispatch(e, j)
		}
	}
}

func (s *simulation) stepTick(t *rapid.T) {
	s.now = s.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
	for _, e := range s.entries {
		s.apply(e, func(now time.Time, fx *escrow.Effects) { e.holder.Tick(now, fx) })
	}
}

func (s *simulation) stepClock(t *rapid.T) {
	pick(t, "entry", s.entries).skew = time.Duration(rapid.IntRange(-3600, 3600).Draw(t, "s")) * time.Second
}

func (s *simulation) stepHeartbeat(t *rapid.T) {
	s.heartbeat(pick(t, "agent", s.agents))
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
