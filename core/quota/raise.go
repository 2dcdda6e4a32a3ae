package quota

import (
	"slices"
	"time"

	"dotterelgap/core/fleet"
)

// Raise returns the watermarks that the holder wants recorded while no reply comes, and
// the witnesses and keepers to ask.
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
		used := alloc.spent + alloc.begun
		watermark := max(used, alloc.watermark, alloc.keeperWatermark)
		if target := h.target(now, alloc); target > h.limit(now, alloc) && h.low(now, alloc) {
			watermark = max(watermark, target)
			wanted = true
		}
		// What is used already must be named too, since a witness replaces the raises
		// from before the latest reply.
		if watermark > alloc.initialLimit {
			r.Marks[c] = watermark
		}
	}
	return r, unique(witnesses), unique(keepers), wanted && len(witnesses)+len(keepers) > 0
}

func unique(ids []fleet.NodeID) []fleet.NodeID {
	slices.Sort(ids)
	return slices.Compact(ids)
}

// target returns the watermark that the holder wants recorded.
func (h *Holder) target(now time.Time, alloc *localAllocation) Tokens {
	if !alloc.known || alloc.unbounded {
		return 0
	}
	ahead := h.demandOver(now, alloc, h.opts.InitialHorizon)
	return min(alloc.spent+alloc.reserved+alloc.need(now)+alloc.lending+ahead, h.openLimit(now, alloc))
}

// low reports whether little is left to spend.
func (h *Holder) low(now time.Time, alloc *localAllocation) bool {
	if len(alloc.waiting) > 0 || len(alloc.ready) > 0 || alloc.lending > 0 {
		return true
	}
	return h.limit(now, alloc)-alloc.spent-alloc.reserved < h.demandOver(now, alloc, h.opts.InitialHorizon)/2
}

// HandleRecords applies the records that witnesses have made of a raise so far. It
// reports whether enough witnesses have recorded it, and whether enough keepers have.
func (h *Holder) HandleRecords(r Raise, acked map[fleet.NodeID]bool) (recorded, kept bool) {
	if r.Holder != h.id || r.Heard != h.heard {
		return false, false
	}
	recorded, kept = true, true
	for _, set := range h.witnessSets() {
		recorded = recorded && set.recorded(acked)
		kept = kept && set.kept(acked)
	}
	for c, watermark := range r.Marks {
		alloc, ok := h.allocations[c]
		if !ok {
			continue
		}
		if recorded {
			alloc.watermark = max(alloc.watermark, watermark)
			alloc.lending = 0
		}
		if kept {
			alloc.keeperWatermark = max(alloc.keeperWatermark, watermark)
		}
	}
	return recorded, kept
}
