package quota_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"dotterelgap/core/fleet"
	"dotterelgap/core/quota"

	"pgregory.net/rapid"
)

// book applies a statement as a leader does, and sends the answer back.
func (w *world) book(h *host, holder *quota.Holder, s quota.Statement) {
	decided := false
	if s.Replaces, decided = w.replaces(s); !decided {
		return
	}
	answers, booked := w.ledger.Apply(w.stamp(), s)
	if !booked {
		return
	}
	ended := w.ledger.Ended(s.Holder)
	w.send(func() {
		if h.cutOff || h.holder != holder || !h.alive {
			return
		}
		if ended {
			w.lives++
			w.bury(holder)
			holder.Renew(fleet.NodeID(fmt.Sprint("entry-", w.lives)))
			return
		}
		holder.HandleReply(w.now, s.Seq, answers)
	})
}

// replaces judges the holder that a statement's holder replaces, as a leader does.
func (w *world) replaces(s quota.Statement) (quota.Ending, bool) {
	id, e, decided := w.evidence(s)
	if l, ok := w.ledger.Holders[id]; ok {
		return quota.Ending{Holder: id, Seq: l.Seq, Evidence: e}, decided
	}
	return quota.Ending{}, decided
}

// evidence bounds what a replaced holder can have spent, as a leader does.
func (w *world) evidence(s quota.Statement) (id fleet.NodeID, e quota.Evidence, decided bool) {
	if _, known := w.ledger.Holders[s.Holder]; known {
		return id, e, true
	}
	id, ok := w.ledger.EarlierAt(s.Addr, s.Holder)
	if !ok {
		return id, e, true
	}
	life := *w.ledger.Holders[id]
	gap := w.now.Sub(life.Acknowledged.At) - s.Age
	if !life.Acknowledged.At.IsZero() {
		kept, verdict := life.AssessKeepers(w.keepersWords(life, id))
		if verdict == quota.Pending && s.Age <= time.Second {
			return id, e, false
		}
		e = w.opts.ByTime(gap, kept, verdict)
	}
	if e.Timed && gap <= w.opts.OpenAfter {
		return id, e, true
	}
	var verdict quota.Assessment
	e.Raised, verdict = life.Assess(w.testimonies(life, id, false))
	e.Witnessed = verdict == quota.Settled
	if !e.Timed && verdict == quota.Pending && s.Age <= 3*time.Second {
		return id, e, false
	}
	return id, e, true
}

// keepersWords asks the keepers that control can reach. A disk that was replaced
// answers for none of them.
func (w *world) keepersWords(life quota.HolderState, id fleet.NodeID) []quota.WitnessReport {
	var words []quota.WitnessReport
	for _, k := range life.Keepers {
		i := slices.IndexFunc(w.hosts, func(h *host) bool { return h.keeperID == k })
		switch {
		case i < 0:
			words = append(words, quota.WitnessReport{})
		case w.hosts[i].alive && !w.hosts[i].cutOff:
			words = append(words, w.hosts[i].keeper.Peek(k, id))
		}
	}
	return words
}

// stepEndSilent ends a holder that has been silent, as a leader does: its
// witnesses are asked first, and the ending arrives later.
func (w *world) stepEndSilent(t *rapid.T) {
	for _, id := range slices.Sorted(maps.Keys(w.ledger.Holders)) {
		life := *w.ledger.Holders[id]
		if life.Ended || w.now.Sub(life.Last.At) < w.opts.CutOff {
			continue
		}
		peeked, verdict := life.Assess(w.testimonies(life, id, true))
		if verdict != quota.Settled || (len(peeked) > 0 && rapid.Bool().Draw(t, "at work")) {
			continue
		}
		raised, verdict := life.Assess(w.testimonies(life, id, false))
		if verdict == quota.Settled {
			e := quota.Evidence{Witnessed: true, Raised: raised}
			w.send(func() { w.ledger.End(quota.Ending{Holder: id, Seq: life.Seq, Evidence: e}) })
		}
	}
}

// testimonies asks the witnesses that control can reach.
func (w *world) testimonies(life quota.HolderState, id fleet.NodeID, peek bool) []quota.WitnessReport {
	var words []quota.WitnessReport
	for _, o := range w.hosts {
		if o.alive && !o.cutOff && w.witnessAt(life, o) {
			ask := o.witness.Fence
			if peek {
				ask = o.witness.Peek
			}
			words = append(words, ask(witnessOf(life, o, w), id))
		}
	}
	return words
}

// witnessAt tells whether one of the life's witnesses was at a host's address.
func (w *world) witnessAt(life quota.HolderState, o *host) bool {
	return witnessOf(life, o, w) != ""
}

func witnessOf(life quota.HolderState, o *host, w *world) fleet.NodeID {
	for _, id := range life.Witnesses {
		if l, ok := w.ledger.Holders[id]; ok && l.Addr == o.addr {
			return id
		}
	}
	return ""
}
