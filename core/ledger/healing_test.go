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

// healAndFinish heals all faults, lets all work end and returns all grants.
func (s *simulation) healAndFinish(t *rapid.T) {
	s.partition = map[string]int{}
	for _, e := range s.entries {
		e.frozen, e.skew = false, 0
	}
	for _, run := range s.running() {
		s.end(run)
	}
	for round := range 60 {
		s.now = s.now.Add(time.Second)
		for _, e := range s.entries {
			if round == 5 {
				s.apply(e, func(now time.Time, fx *escrow.Effects) { e.holder.Drain(now, fx) })
			}
			s.apply(e, func(now time.Time, fx *escrow.Effects) { e.holder.Tick(now, fx) })
			for _, id := range sortedJobs(e) {
				if j := e.jobs[id]; j.sent && !j.done {
					s.resolve(e, j)
				}
			}
		}
		for _, a := range s.agents {
			s.heartbeat(a)
		}
		for len(s.packets) > 0 {
			s.deliver(0, false)
		}
		for _, run := range s.running() {
			s.end(run)
		}
		if round == 30 {
			s.settleRemaining()
		}
		s.settle()
		s.check(t)
	}
	s.checkBills(t)
}

// settleRemaining settles the grants that are left when all entries have ended or
// drained.
func (s *simulation) settleRemaining() {
	for _, h := range s.ledger.Holders() {
		s.ledger.Settle(s.ledger.HeldBy(h))
	}
}

// checkBills compares the bills with the engines' runs, key by key.
func (s *simulation) checkBills(t *rapid.T) {
	least, most := map[string]escrow.Tokens{}, map[string]escrow.Tokens{}
	byKey := map[string][]*engineRun{}
	for _, run := range s.engineRuns {
		byKey[run.customer+"/"+run.key] = append(byKey[run.customer+"/"+run.key], run)
	}
	for _, runsOfKey := range byKey {
		high, sum := runsOfKey[0].generated, escrow.Tokens(0)
		for _, run := range runsOfKey {
			high = max(high, run.generated)
			sum += run.generated
		}
		// A key that is retried after its agent has lost its memory may run and
		// be billed again: see TestBilledOnceAfterAgentLoss.
		if s.lostAgent {
			high = sum
		}
		most[runsOfKey[0].customer] += high
		// If a key ran at several agents and an entry ended before it could
		// acknowledge a charge, the key may not be billed at all.
		if len(runsOfKey) == 1 {
			least[runsOfKey[0].customer] += high
		}
	}
	for _, c := range customers {
		billed := s.ledger.Accounts[c].Billed
		if billed > most[c] {
			t.Fatalf("%s: billed %d, the requests used %d", c, billed, most[c])
		}
		if s.lostAgent {
			continue
		}
		if billed < least[c] {
			t.Fatalf("%s: billed %d, the requests used at least %d", c, billed, least[c])
		}
		if free := s.ledger.Free(c); free != s.paid[c]-billed {
			t.Fatalf("%s: %d of %d tokens are still locked:%s", c, s.paid[c]-billed-free, s.paid[c], s.describe())
		}
	}
}

func (s *simulation) describe() string {
	out := ""
	for id, g := range s.ledger.Grants {
		out += fmt.Sprintf("\ngrant %+v", *g)
		for agent, r := range s.reports[id] {
			out += fmt.Sprintf("\n  report of %s: %+v", agent, r)
		}
	}
	for _, e := range s.entries {
		for _, c := range customers {
			out += fmt.Sprintf("\n%s, %s: %+v", e.id, c, e.holder.Balance(c))
		}
	}
	return out
}

// TestBilledOnceAfterAgentLoss guards against billing a key twice when the agent
// that ran it has lost its memory and the caller retries the key.
func TestBilledOnceAfterAgentLoss(t *testing.T) {
	is := is.New(t)
	s := newSimulation(1, 1)
	s.paid["large"] = 10
	is.NoErr(s.ledger.TopUp(ledger.TopUp{ID: "t", Customer: "large", Tokens: 10}))
	for range 2 {
		s.request(s.entries[0], &job{customer: "large", key: "k", attempt: 1, agent: s.agents[0], worst: 1, want: 1})
		s.finishWork()
		s.startAgent(s.agents[0])
	}
	is.Equal(len(s.engineRuns), 2) // the key ran again in the agent's second incarnation
	s.apply(s.entries[0], func(now time.Time, fx *escrow.Effects) { s.entries[0].holder.Drain(now, fx) })
	s.finishWork()
	s.settleRemaining()
	is.Equal(s.ledger.Accounts["large"].Billed, escrow.Tokens(1)) // the key is billed once
}

// finishWork delivers all packets and lets all runs end and be billed.
func (s *simulation) finishWork() {
	for range 20 {
		s.now = s.now.Add(time.Second)
		for _, a := range s.agents {
			s.heartbeat(a)
		}
		s.settle()
		for len(s.packets) > 0 {
			s.deliver(0, false)
		}
		for _, run := range s.running() {
			s.end(run)
		}
		for _, e := range s.entries {
			for _, id := range sortedJobs(e) {
				if j := e.jobs[id]; j.sent && !j.done {
					s.resolve(e, j)
				}
			}
			s.apply(e, func(now time.Time, fx *escrow.Effects) { e.holder.Tick(now, fx) })
		}
	}
}
