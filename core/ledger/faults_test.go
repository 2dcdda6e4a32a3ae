package ledger_test

import (
	"time"

	"dotterelgap/core/escrow"

	"pgregory.net/rapid"
)

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
