package ledger_test

import (
	"time"

	"dotterelgap/core/escrow"

	"pgregory.net/rapid"
)

func (s *simulation) stepPartition(t *rapid.T) {
	for _, e := range s.entries {
		s.partition[e.name()] = rapid.IntRange(0, 1).Draw(t, "side")
	}
	for _, a := range s.agents {
		s.partition[a.name()] = rapid.IntRange(0, 1).Draw(t, "side")
	}
}

func (s *simulation) stepKillEntry(t *rapid.T) {
	e := pick(t, "entry", s.entries)
	dead := e.id
	s.startEntry(e)
	s.send(control, control, func() { s.ledger.Settle(s.ledger.HeldBy(dead)) })
}

func (s *simulation) stepFreeze(t *rapid.T) {
	e := pick(t, "entry", s.entries)
	e.frozen = !e.frozen
}

// stepRestartAgent restarts an agent without its memory and stops its engine's
// runs.
func (s *simulation) stepRestartAgent(t *rapid.T) {
	if rapid.IntRange(0, 3).Draw(t, "rare") != 0 {
		return
	}
	a := pick(t, "agent", s.agents)
	for _, run := range s.running() {
		if run.agent == a.id {
			run.done = true
		}
	}
	s.lostAgent = true
	s.startAgent(a)
}

// stepTakeOver lets an entry try to take over grants of other holders, which may
// be alive.
func (s *simulation) stepTakeOver(t *rapid.T) {
	e := pick(t, "entry", s.entries)
	for _, a := range s.agents {
		for _, c := range customers {
			for _, g := range a.witness.Grants(c, e.place) {
				if g.Holder != e.id && rapid.Bool().Draw(t, "take") {
					s.apply(e, func(now time.Time, fx *escrow.Effects) { e.holder.TakeOver(now, g, fx) })
				}
			}
		}
	}
}

// stepSuspect lets the leader presume that a live holder is dead.
func (s *simulation) stepSuspect(t *rapid.T) {
	s.ledger.Settle(s.ledger.HeldBy(pick(t, "entry", s.entries).id))
}

func (s *simulation) stepRecall(t *rapid.T) {
	e := pick(t, "entry", s.entries)
	for _, id := range s.ledger.HeldBy(e.id) {
		s.apply(e, func(now time.Time, fx *escrow.Effects) { e.holder.Recall(now, id, fx) })
	}
}
