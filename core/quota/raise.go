package quota

import (
	"slices"
	"time"

	"dotterelgap/core/fleet"
)

// Raise is what the holder wants its witnesses to record while no answer comes,
// and who they are, the keepers among them.
func (h *Holder) Raise(now time.Time) (r Raise, witnesses, keepers []fleet.NodeID, wanted bool) {
	if h.heard == 0 || h.left || now.Sub(h.repliedAt) < h.opts.OpenAfter {
		return Raise{}, nil, nil, false
	}
	for _, set := range h.witnessSets() {
		witnesses = append(witnesses, set.witnesses...)
		keepers = append(keepers, set.keepers...)
	}
	r = Raise{Holder: h.id, Heard: h.heard, Marks: map[string]Tokens{}}
	for c, alloc := range h.allocations {
		used := alloc.spent + alloc.reserved
		mark := max(used, alloc.watermark, alloc.keeperWatermark)
		if target := h.target(now, alloc); target > h.limit(now, alloc) && h.low(now, alloc) {
			mark = max(mark, target)
			wanted = true
		}
		// What is used already is named too: a later raise replaces the earlier
		// ones at a witness.
		if mark > alloc.initialLimit {
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
func (h *Holder) target(now time.Time, alloc *localAllocation) Tokens {
	if !alloc.known || alloc.unbounded {
		return 0
	}
	ahead := h.demandOver(now, alloc, h.opts.InitialHorizon)
	return min(alloc.spent+alloc.reserved+alloc.need()+alloc.lending+ahead, h.openLimit(now, alloc))
}

// low tells whether a purse has little left to spend.
func (h *Holder) low(now time.Time, alloc *localAllocation) bool {
	if len(alloc.waiting) > 0 || alloc.lending > 0 {
		return true
	}
	return h.limit(now, alloc)-alloc.spent-alloc.reserved < h.demandOver(now, alloc, h.opts.InitialHorizon)/2
}

// HandleRecords says which witnesses have recorded a raise so far, and tells what of it
// is in force: recorded where enough witnesses have it, kept where enough keepers have.
func (h *Holder) HandleRecords(r Raise, acked map[fleet.NodeID]bool) (recorded, kept bool) {
	if r.Holder != h.id || r.Heard != h.heard {
		return false, false
	}
	recorded, kept = true, true
	for _, set := range h.witnessSets() {
		recorded = recorded && set.recorded(acked)
		kept = kept && set.kept(acked)
	}
	for c, mark := range r.Marks {
		alloc, ok := h.allocations[c]
		if !ok {
			continue
		}
		if recorded {
			alloc.watermark = max(alloc.watermark, mark)
			alloc.lending = 0
		}
		if kept {
			alloc.keeperWatermark = max(alloc.keeperWatermark, mark)
		}
	}
	return recorded, kept
}
