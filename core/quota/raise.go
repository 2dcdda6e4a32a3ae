package quota

import (
	"slices"
	"time"

	"dotterelgap/core/fleet"
)

// Raise is what the holder wants its witnesses to record while no answer comes,
// and who they are, the keepers among them.
func (h *Holder) Raise(now time.Time) (r Raise, witnesses, keepers []fleet.NodeID, wanted bool) {
	if h.heard == 0 || h.left || now.Sub(h.answeredAt) < h.opts.OpenAfter {
		return Raise{}, nil, nil, false
	}
	for _, p := range h.panels() {
		witnesses = append(witnesses, p.witnesses...)
		keepers = append(keepers, p.keepers...)
	}
	r = Raise{Holder: h.id, Heard: h.heard, Marks: map[string]Tokens{}}
	for c, p := range h.purses {
		used := p.spent + p.reserved
		mark := max(used, p.raised, p.kept)
		if target := h.target(now, p); target > h.limit(now, p) && h.low(now, p) {
			mark = max(mark, target)
			wanted = true
		}
		// What is used already is named too: a later raise replaces the earlier
		// ones at a witness.
		if mark > p.start {
			r.Marks[c] = mark
		}
	}
	return r, unique(witnesses), unique(keepers), wanted && len(witnesses)+len(keepers) > 0
}

func unique(ids []fleet.NodeID) []fleet.NodeID {
	slices.Sort(ids)
	return slices.Compact(ids)
}

// target is the mark that a purse wants to have recorded.
func (h *Holder) target(now time.Time, p *purse) Tokens {
	if !p.known || p.unbounded {
		return 0
	}
	ahead := h.ahead(now, p, h.opts.InitialHorizon)
	return min(p.spent+p.reserved+p.need()+p.lending+ahead, h.bound(now, p))
}

// low tells whether a purse has little left to spend.
func (h *Holder) low(now time.Time, p *purse) bool {
	if len(p.waiting) > 0 || p.lending > 0 {
		return true
	}
	return h.limit(now, p)-p.spent-p.reserved < h.ahead(now, p, h.opts.InitialHorizon)/2
}

// Recorded says which witnesses have recorded a raise so far, and tells what of it
// is in force: recorded where enough witnesses have it, kept where enough keepers have.
func (h *Holder) Recorded(r Raise, acked map[fleet.NodeID]bool) (recorded, kept bool) {
	if r.Holder != h.id || r.Heard != h.heard {
		return false, false
	}
	recorded, kept = true, true
	for _, p := range h.panels() {
		recorded = recorded && p.recorded(acked)
		kept = kept && p.kept(acked)
	}
	for c, mark := range r.Marks {
		p, ok := h.purses[c]
		if !ok {
			continue
		}
		if recorded {
			p.raised = max(p.raised, mark)
			p.lending = 0
		}
		if kept {
			p.kept = max(p.kept, mark)
		}
	}
	return recorded, kept
}
