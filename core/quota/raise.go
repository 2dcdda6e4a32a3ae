package quota

import (
	"time"

	"dotterelgap/core/fleet"
)

// Raise is what the holder wants its witnesses to record while no answer comes,
// and their lists; of each list enough must record it.
func (h *Holder) Raise(now time.Time) (r Raise, lists [][]fleet.NodeID, wanted bool) {
	silent := now.Sub(h.answeredAt)
	if h.heard == 0 || h.left || silent < h.opts.OpenAfter || !h.witnessed() {
		return Raise{}, nil, false
	}
	r = Raise{Holder: h.id, Heard: h.heard, Marks: map[string]Tokens{}}
	for c, p := range h.purses {
		used := p.spent + p.reserved
		mark := max(used, p.raised)
		if target := h.target(now, p); target > max(p.start, p.raised) && h.low(now, p) {
			mark = max(mark, target)
			wanted = true
		}
		// What is used already is named too: a later raise replaces the earlier
		// ones at a witness.
		if mark > p.start {
			r.Marks[c] = mark
		}
	}
	return r, h.lists(), wanted
}

// target is the mark that a purse wants to have recorded.
func (h *Holder) target(now time.Time, p *purse) Tokens {
	if !p.known || p.unbounded {
		return 0
	}
	ahead := h.ahead(now, p, h.opts.Start)
	return min(p.spent+p.reserved+p.need()+p.lending+ahead, h.bound(now, p))
}

// low tells whether a purse has little left to spend.
func (h *Holder) low(now time.Time, p *purse) bool {
	if len(p.waiting) > 0 || p.lending > 0 {
		return true
	}
	return h.limit(now, p)-p.spent-p.reserved < h.ahead(now, p, h.opts.Start)/2
}

// Recorded says which witnesses have recorded a raise, and tells whether it is in
// force now.
func (h *Holder) Recorded(r Raise, acked map[fleet.NodeID]bool) bool {
	if r.Holder != h.id || r.Heard != h.heard {
		return false
	}
	for _, list := range h.lists() {
		if !recorded(list, acked) {
			return false
		}
	}
	for c, mark := range r.Marks {
		if p, ok := h.purses[c]; ok {
			p.raised = max(p.raised, mark)
			p.lending = 0
		}
	}
	return true
}
