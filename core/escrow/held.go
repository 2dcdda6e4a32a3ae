package escrow

import (
	"time"

	"dotterelgap/core/fleet"
)

// heldGrant is a holder's view of one grant. The holder may use the range from
// base to claimed; spent and reserved count from base.
type heldGrant struct {
	grant    Grant
	ballot   Ballot
	base     Tokens
	claimed  Tokens
	spent    Tokens
	reserved Tokens
	// abandoned is the part of reserved for which only the agents know the use.
	abandoned Tokens
	since     time.Time
	// preparing is set until a majority has promised a successor's ballot.
	preparing bool
	// lost is set once the holder can claim nothing more, for example because a
	// witness has promised a higher ballot.
	lost    bool
	closing bool
	// restReturned is set once the rest of a closing grant has been returned.
	restReturned bool
	// shared is set if another holder may use, or may have used, a part of the
	// grant.
	shared bool
	target Tokens
	acks   map[fleet.NodeID]Tokens
	sentAt time.Time
	// claimStartedAt is when the current claim was first sent.
	claimStartedAt time.Time
	reported       Tokens
}

func newHeldGrant(g Grant) *heldGrant {
	h := &heldGrant{grant: g, ballot: FirstBallot(g), acks: map[fleet.NodeID]Tokens{}}
	if len(g.Witnesses) == 0 {
		h.claimed = g.Amount
	}
	return h
}

// free returns the amount that can be reserved immediately.
func (h *heldGrant) free() Tokens {
	if h.closing || h.preparing {
		return 0
	}
	return h.claimed - h.base - h.spent - h.reserved
}

// available returns the amount that can be reserved immediately or after further
// claims.
func (h *heldGrant) available() Tokens {
	if h.closing || h.preparing {
		return 0
	}
	if h.lost {
		return h.free()
	}
	return h.grant.Amount - h.base - h.spent - h.reserved
}

// slice returns the amount to claim at a time. It covers only a short time of
// demand, since the claimed amount stays locked if the holder dies.
func (h *heldGrant) slice(perSecond float64, opts Options) Tokens {
	demand := Tokens(perSecond * opts.SliceTime.Seconds())
	return max(min(demand, h.grant.Amount/opts.SliceDivisor), 1)
}

// done reports whether the grant has nothing left to use or to wait for.
func (h *heldGrant) done() bool {
	if h.reserved > h.abandoned || h.preparing {
		return false
	}
	if h.closing {
		return h.shared || len(h.acks) >= h.grant.Majority() || len(h.grant.Witnesses) == 0
	}
	return h.available() == 0 && (h.lost || h.claimed == h.grant.Amount)
}

// claim starts claiming the grant up to target at all witnesses.
func (h *heldGrant) claim(now time.Time, target Tokens, fx *Effects) {
	h.target = target
	h.claimStartedAt = now
	h.acks = map[fleet.NodeID]Tokens{}
	h.send(now, fx)
}

// send sends the claim to the witnesses that have not replied yet.
func (h *heldGrant) send(now time.Time, fx *Effects) {
	h.sentAt = now
	for _, w := range h.grant.Witnesses {
		if _, ok := h.acks[w]; ok {
			continue
		}
		fx.Claims = append(fx.Claims, Claim{Witness: w, Grant: h.grant, Ballot: h.claimBallot(), Watermark: h.target})
	}
}

func (h *heldGrant) claimBallot() Ballot {
	if h.closing {
		return ClosingBallot()
	}
	return h.ballot
}

// claiming reports whether a claim still waits for replies.
func (h *heldGrant) claiming() bool {
	if len(h.grant.Witnesses) == 0 {
		return false
	}
	if h.closing {
		return !h.shared && len(h.acks) < h.grant.Majority()
	}
	return !h.lost && (h.preparing || h.target > h.claimed)
}

// prepare starts a successor's attempt to take over the grant.
func (h *heldGrant) prepare(now time.Time, round uint64, self fleet.NodeID, fx *Effects) {
	h.ballot = Ballot{Round: round, Node: self}
	h.preparing = true
	h.shared = true
	h.claim(now, 0, fx)
}

// close stops new reservations from the grant.
func (h *heldGrant) close(now time.Time, fx *Effects) {
	if h.closing {
		return
	}
	h.closing = true
	h.preparing = false
	h.claim(now, 0, fx)
}

// giveUp stops claiming at witnesses that do not respond. It closes the grant,
// so that the ledger settles it with the agents and the rest does not stay
// locked. While the ledger is unreachable, the claimed amount stays in use.
func (h *heldGrant) giveUp(ledgerUnreachable bool) {
	h.lost = true
	h.shared = true
	h.preparing = false
	h.closing = h.closing || !ledgerUnreachable
}

// handleReply applies a witness's reply. It returns true if free may have grown.
func (h *heldGrant) handleReply(now time.Time, r ClaimReply, fx *Effects) bool {
	if !r.OK {
		h.handleRejection(now, r, fx)
		return false
	}
	if r.Ballot != h.claimBallot() || r.Asked != h.target {
		return false
	}
	if r.Holder.Compare(h.ballot) > 0 {
		h.shared = true
	}
	h.acks[r.Witness] = r.Watermark
	if len(h.acks) < h.grant.Majority() || h.closing {
		return false
	}
	if h.preparing {
		h.takeOver()
		return true
	}
	if h.target <= h.claimed {
		return false
	}
	h.claimed = h.target
	return true
}

// takeOver starts using the grant at the highest watermark of the witnesses that
// have promised the ballot.
func (h *heldGrant) takeOver() {
	h.preparing = false
	for _, watermark := range h.acks {
		h.base = max(h.base, watermark)
	}
	h.claimed = h.base
}

// handleRejection retries a takeover with a higher ballot, or stops claiming.
func (h *heldGrant) handleRejection(now time.Time, r ClaimReply, fx *Effects) {
	if r.Promised.Compare(h.claimBallot()) <= 0 {
		return
	}
	if h.preparing && r.Promised != ClosingBallot() {
		h.prepare(now, r.Promised.Round+1, h.ballot.Node, fx)
		return
	}
	h.preparing = false
	h.lost = true
	h.shared = true
}
