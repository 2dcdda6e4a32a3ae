package escrow

import (
	"cmp"
	"maps"
	"slices"

	"dotterelgap/core/fleet"
)

// Claim asks a witness to promise a ballot and to record that the holder may use
// the grant up to Watermark. A claim with a zero watermark asks for the promise
// only.
type Claim struct {
	Witness   fleet.NodeID `cbor:"witness"`
	Grant     Grant        `cbor:"grant"`
	Ballot    Ballot       `cbor:"ballot"`
	Watermark Tokens       `cbor:"watermark"`
}

// ClaimReply is a witness's reply to a claim. Asked is the claim's Watermark.
type ClaimReply struct {
	Witness   fleet.NodeID `cbor:"witness"`
	Grant     GrantID      `cbor:"grant"`
	Ballot    Ballot       `cbor:"ballot"`
	Asked     Tokens       `cbor:"asked"`
	OK        bool         `cbor:"ok"`
	Promised  Ballot       `cbor:"promised"`
	Watermark Tokens       `cbor:"watermark"`
	// Holder is the highest ballot of a holder. The closing ballot does not count.
	Holder Ballot `cbor:"holder"`
}

type register struct {
	grant     Grant
	promised  Ballot
	holder    Ballot
	watermark Tokens
}

// Witness records the highest ballot and watermark of each grant. It keeps them
// in memory only: a restarted agent has a new id and is a witness of no grant.
type Witness struct {
	self      fleet.NodeID
	registers map[GrantID]*register
	floor     GrantID
}

// NewWitness returns an empty witness for the agent with this id.
func NewWitness(self fleet.NodeID) *Witness {
	return &Witness{self: self, registers: map[GrantID]*register{}}
}

// Claim handles a claim and returns the reply. It is idempotent.
func (w *Witness) Claim(c Claim) ClaimReply {
	reply := ClaimReply{Witness: w.self, Grant: c.Grant.ID, Ballot: c.Ballot, Asked: c.Watermark}
	if c.Witness != w.self {
		return reply
	}
	if c.Grant.ID < w.floor {
		reply.Promised = ClosingBallot()
		return reply
	}
	r, ok := w.registers[c.Grant.ID]
	if !ok {
		r = &register{grant: c.Grant, promised: FirstBallot(c.Grant), holder: FirstBallot(c.Grant)}
		w.registers[c.Grant.ID] = r
	}
	if c.Ballot.Compare(r.promised) >= 0 {
		r.promise(c.Ballot)
		r.watermark = max(r.watermark, c.Watermark)
		reply.OK = true
	}
	reply.Promised = r.promised
	reply.Watermark = r.watermark
	reply.Holder = r.holder
	return reply
}

func (r *register) promise(b Ballot) {
	r.promised = b
	if b != ClosingBallot() {
		r.holder = b
	}
}

// Fence refuses further claims on a grant and returns its watermark.
func (w *Witness) Fence(g Grant) Tokens {
	reply := w.Claim(Claim{Witness: w.self, Grant: g, Ballot: ClosingBallot()})
	return reply.Watermark
}

// Grants lists the grants of a customer in a place that are still open here,
// lowest id first.
func (w *Witness) Grants(customer string, place fleet.Place) []Grant {
	var out []Grant
	for _, r := range w.registers {
		if r.grant.Customer != customer || r.grant.Place != place {
			continue
		}
		if r.promised == ClosingBallot() {
			continue
		}
		out = append(out, r.grant)
	}
	slices.SortFunc(out, func(a, b Grant) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// SetFloor deletes the grants below floor, the lowest open grant in the ledger,
// and refuses claims on them from now on.
func (w *Witness) SetFloor(floor GrantID) {
	w.floor = max(w.floor, floor)
	maps.DeleteFunc(w.registers, func(id GrantID, _ *register) bool { return id < w.floor })
}
