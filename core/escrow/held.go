package escrow

import (
	"time"

	"dotterelgap/core/fleet"
)

// held is one grant as its holder sees it. It may use what lies between base
// and claimed; spent and reserved count from base.
type held struct {
	grant    Grant
	ballot   Ballot
	base     Tokens
	claimed  Tokens
	spent    Tokens
	reserved Tokens
	// stuck is the part of reserved whose use only the agents know.
	stuck Tokens
	since time.Time
	// preparing is set until a majority promised a successor's ballot.
	preparing bool
	// lost is set once a higher ballot was seen: nothing more can be claimed.
	lost    bool
	closing bool
	// confined is set once the rest of a closing grant was given back.
	confined bool
	// shared is set where another holder had or has a part of the grant.
	shared bool
	target Tokens
	acks   map[fleet.NodeID]Tokens
	sentAt time.Time
	// askedAt is when the present claim was first sent.
	askedAt  time.Time
	reported Tokens
}

func newHeld(g Grant) *held {
	h := &held{grant: g, ballot: FirstBallot(g), acks: map[fleet.NodeID]Tokens{}}
	if len(g.Witnesses) == 0 {
		h.claimed = g.Amount
	}
	return h
}

// free is what can be reserved at once.
func (h *held) free() Tokens {
	if h.closing || h.preparing {
		return 0
	}
	return h.claimed - h.base - h.spent - h.reserved
}

// ahead is what can be reserved at once or after further claims.
func (h *held) ahead() Tokens {
	if h.closing || h.preparing {
		return 0
	}
	if h.lost {
		return h.free()
	}
	return h.grant.Amount - h.base - h.spent - h.reserved
}

// slice is the amount that is claimed at a time: enough for a while of the
// demand, since a holder's death locks what it had claimed.
func (h *held) slice(perSecond float64, opts Options) Tokens {
	demand := Tokens(perSecond * opts.SliceTime.Seconds())
	return max(min(demand, h.grant.Amount/opts.SliceDivisor), 1)
}

// done tells whether nothing of the grant is left to use or to wait for.
func (h *held) done() bool {
	if h.reserved > h.stuck || h.preparing {
		return false
	}
	if h.closing {
		return h.shared || len(h.acks) >= h.grant.Majority() || len(h.grant.Witnesses) == 0
	}
	return h.ahead() == 0 && (h.lost || h.claimed == h.grant.Amount)
}

// claim starts a claim up to target at all witnesses.
func (h *held) claim(now time.Time, target Tokens, fx *Effects) {
	h.target = target
	h.askedAt = now
	h.acks = map[fleet.NodeID]Tokens{}
	h.send(now, fx)
}

// send asks the witnesses that have not answered yet.
func (h *held) send(now time.Time, fx *Effects) {
	h.sentAt = now
	for _, w := range h.grant.Witnesses {
		if _, ok := h.acks[w]; ok {
			continue
		}
		fx.Claims = append(fx.Claims, Claim{Witness: w, Grant: h.grant, Ballot: h.claimBallot(), Watermark: h.target})
	}
}

func (h *held) claimBallot() Ballot {
	if h.closing {
		return ClosingBallot()
	}
	return h.ballot
}

// claiming tells whether answers to a claim are still awaited.
func (h *held) claiming() bool {
	if len(h.grant.Witnesses) == 0 {
		return false
	}
	if h.closing {
		return !h.shared && len(h.acks) < h.grant.Majority()
	}
	return !h.lost && (h.preparing || h.target > h.claimed)
}

// prepare starts a successor's attempt to take the grant over.
func (h *held) prepare(now time.Time, round uint64, self fleet.NodeID, fx *Effects) {
	h.ballot = Ballot{Round: round, Node: self}
	h.preparing = true
	h.shared = true
	h.claim(now, 0, fx)
}

// close stops all use of the grant beyond what is reserved.
func (h *held) close(now time.Time, fx *Effects) {
	if h.closing {
		return
	}
	h.closing = true
	h.preparing = false
	h.claim(now, 0, fx)
}

// giveUp stops claiming at witnesses that don't answer. The ledger settles the
// grant with the agents, so that its rest is not locked. While the ledger is
// out of reach, what was claimed stays in use.
func (h *held) giveUp(cutOff bool) {
	h.lost = true
	h.shared = true
	h.preparing = false
	h.closing = h.closing || !cutOff
}

// onReply takes in a witness's answer; true means that free may have grown.
func (h *held) onReply(now time.Time, r ClaimReply, fx *Effects) bool {
	if !r.OK {
		h.onRejected(now, r, fx)
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
		h.adopt()
		return true
	}
	if h.target <= h.claimed {
		return false
	}
	h.claimed = h.target
	return true
}

func (h *held) adopt() {
	h.preparing = false
	for _, mark := range h.acks {
		h.base = max(h.base, mark)
	}
	h.claimed = h.base
}

func (h *held) onRejected(now time.Time, r ClaimReply, fx *Effects) {
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
