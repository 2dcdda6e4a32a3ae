package quota

import "time"

// A request begins when the first part of its response is about to be passed on to its caller.
// Until then it costs nothing, so a holder that dies is billed only for requests that have begun.
// Reservations keep the holder within its grant; the initial limit and what opens beyond it bound
// what begins.

// Begin makes a request count as used. It must return nil before a part of the response is passed
// on. A request without a reservation, as after the holder was ended, is reserved first. The error
// is a *RefusedError; the caller tries again once more may be spent, or calls GiveUp.
func (h *Holder) Begin(now time.Time, id, customer string, worst Tokens) error {
	r, ok := h.requests[id]
	if !ok {
		if err := h.Reserve(now, id, customer, worst); err != nil {
			return err
		}
		if r, ok = h.requests[id]; !ok {
			return nil // unbounded
		}
	}
	if r.loan || r.begun {
		return nil
	}
	alloc := h.allocations[customer]
	if alloc.spent+alloc.begun+r.worst > h.limit(now, alloc) {
		alloc.ready[id] = r.worst
		return h.refuse(now, customer, alloc, r.worst, alloc.begun)
	}
	delete(alloc.ready, id)
	alloc.begun += r.worst
	r.begun = true
	h.requests[id] = r
	h.urgent = h.urgent || h.startsLow(now, alloc)
	return nil
}

// admitLimit returns how much may be reserved in total. While the control group replies, that is
// the cutoff limit: what begins is confirmed while upstreams work.
func (h *Holder) admitLimit(now time.Time, alloc *localAllocation) Tokens {
	limit := h.limit(now, alloc)
	if now.Sub(h.repliedAt) < h.opts.OpenAfter {
		limit = max(limit, alloc.cutoffLimit)
	}
	return limit
}

// startAhead returns what is expected to begin until the reply to the next statement: at least
// the largest of the requests that have not begun.
func (h *Holder) startAhead(now time.Time, alloc *localAllocation) Tokens {
	return max(h.demandOver(now, alloc, h.opts.InitialHorizon), min(alloc.largest, alloc.unbegun()))
}

// startsLow reports whether requests may soon have to wait to begin.
func (h *Holder) startsLow(now time.Time, alloc *localAllocation) bool {
	left := alloc.initialLimit - alloc.spent - alloc.begun
	return left < h.demandOver(now, alloc, h.opts.InitialHorizon)/2 || left < min(alloc.largest, alloc.unbegun())
}
