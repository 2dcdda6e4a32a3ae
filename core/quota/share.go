package quota

import (
	"cmp"
	"slices"
	"time"

	"dotterelgap/core/fleet"
)

// Sharing of a customer's tokens between its holders.
const (
	// grantedShare is the part of the unspent tokens that is handed out; the rest
	// serves holders whose demand grows.
	grantedShare = 0.9
	// idleShare is the part of an even share that a holder without demand gets.
	idleShare = 0.15
	// demandHorizon is the demand that a holder is stocked for, in seconds: what it may
	// burn when it dies against how long it can serve without control.
	demandHorizon = 40
	// recallRatio is how far above its fair part a holder is asked to give back.
	recallRatio = 1.3
	// minRequests is the number of the largest requests that a part must cover, or
	// it would be too small to be of use.
	minRequests = 2
	// shortageTTL is how long an unmet need makes the others give back.
	shortageTTL = 500 * time.Millisecond
	// inactiveAfter is the time without a statement after which a holder's demand
	// no longer counts.
	inactiveAfter = 3 * time.Second
)

// fairShare is what a holder should have ahead of what is in use: its part of the
// demand, at most for the horizon. Where not all parts would be large enough to be
// of use, only the holders with the most demand have one.
func (l *Ledger) fairShare(now time.Time, a *Account, id fleet.NodeID, unused Tokens) Tokens {
	shares, largest := l.shares(now, a)
	n := len(shares)
	if largest > 0 {
		n = min(n, int(unused/(minRequests*largest)))
	}
	if n < len(shares) {
		slices.SortFunc(shares, func(a, b share) int { return cmp.Or(cmp.Compare(b.rate, a.rate), cmp.Compare(a.id, b.id)) })
	}
	at := slices.IndexFunc(shares, func(s share) bool { return s.id == id })
	if at < 0 || at >= n {
		return 0
	}
	var total int64
	for _, s := range shares[:n] {
		total += s.rate
	}
	part := 1 / float64(n)
	if total > 0 {
		part = idleShare*part + (1-idleShare)*float64(shares[at].rate)/float64(total)
	}
	tokens := grantedShare * part * float64(unused)
	if total > 0 {
		tokens = min(tokens, max(demandHorizon*float64(shares[at].rate), idleShare*tokens))
	}
	return max(Tokens(tokens), 0)
}

// share is one holder's demand of a customer, in whole tokens a second: sums of
// whole numbers are the same in any order, so all replicas agree on them.
type share struct {
	id   fleet.NodeID
	rate int64
}

// shares lists the demand of the holders that speak, in no order, and the largest
// request of theirs.
func (l *Ledger) shares(now time.Time, a *Account) (out []share, largest Tokens) {
	out = make([]share, 0, len(a.Allocations))
	for id, r := range a.Allocations {
		if l.inactive(now, id) {
			continue
		}
		out = append(out, share{id, int64(r.Rate)})
		largest = max(largest, r.Largest)
	}
	return out, largest
}

func (l *Ledger) inactive(now time.Time, id fleet.NodeID) bool {
	return now.Sub(l.Holders[id].Last.At) > inactiveAfter
}

// noteShortage keeps who needs more than is free, so that others give back.
func (a *Account) noteShortage(now time.Time, id fleet.NodeID, short bool) {
	switch {
	case short:
		a.ShortBy, a.ShortAt = id, now
	case a.ShortBy == id:
		a.ShortBy = ""
	}
}

// wanted tells whether another holder needs what this one does not use.
func (a *Account) wanted(now time.Time, id fleet.NodeID) bool {
	return a.ShortBy != "" && a.ShortBy != id && now.Sub(a.ShortAt) < shortageTTL
}
