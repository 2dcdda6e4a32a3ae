package quota

import (
	"cmp"
	"slices"
	"time"

	"dotterelgap/core/fleet"
)

// Parameters for sharing a customer's tokens between its holders.
const (
	// grantedShare is the share of the unspent tokens that is granted. The rest serves
	// holders whose demand grows.
	grantedShare = 0.9
	// idleShare is the fraction of an even share that a holder without demand gets.
	idleShare = 0.15
	// demandHorizon is the demand, in seconds, that a holder is granted tokens for. It
	// trades what is forfeited when the holder dies against how long the holder can
	// serve without the control group.
	demandHorizon = 40
	// recallRatio is the ratio to its fair share above which a holder is asked to give
	// back tokens.
	recallRatio = 1.3
	// minRequests is the number of requests of the largest size that a share must cover.
	// A smaller one would be useless.
	minRequests = 2
	// shortageTTL is how long an unmet need makes other holders give back tokens.
	shortageTTL = 500 * time.Millisecond
	// inactiveAfter is the time without a statement after which a holder's demand no
	// longer counts.
	inactiveAfter = 3 * time.Second
)

// fairShare returns what a holder should have beyond what is in use: its share by demand,
// at most the demand over the horizon. If some shares would be too small to be useful,
// only the holders with the most demand get one.
func (t totals) fairShare(id fleet.NodeID, unused Tokens) Tokens {
	shares := t.shares
	n := len(shares)
	if t.largest > 0 {
		n = min(n, int(unused/(minRequests*t.largest)))
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

// share is one holder's demand of a customer, in whole tokens per second. Sums of
// integers don't depend on the order, so all replicas agree on them.
type share struct {
	id   fleet.NodeID
	rate int64
}

// totals sums up a customer's allocations.
type totals struct {
	// granted and used include what ended holders were billed.
	granted, used Tokens
	// shares holds the demand of the active holders, in no particular order, and largest
	// their largest request.
	shares  []share
	largest Tokens
}

// totals returns the sums of an account. They are valid until the next call.
func (l *Ledger) totals(now time.Time, a *Account) totals {
	t := totals{granted: a.Billed, used: a.Billed, shares: l.shares[:0]}
	for id, r := range a.Allocations {
		t.granted += r.Granted
		t.used += r.Used
		if l.inactive(now, id, r) {
			continue
		}
		t.shares = append(t.shares, share{id, int64(r.Rate)})
		t.largest = max(t.largest, r.Largest)
	}
	l.shares = t.shares
	return t
}

func (l *Ledger) inactive(now time.Time, id fleet.NodeID, r *Allocation) bool {
	if r.holder == nil {
		r.holder = l.Holders[id]
	}
	return now.Sub(r.holder.Last.At) > inactiveAfter
}

// noteShortage records which holder needs more than is free, so that others give back.
func (a *Account) noteShortage(now time.Time, id fleet.NodeID, short bool) {
	switch {
	case short:
		a.ShortBy, a.ShortAt = id, now
	case a.ShortBy == id:
		a.ShortBy = ""
	}
}

// wanted reports whether another holder needs what this one does not use.
func (a *Account) wanted(now time.Time, id fleet.NodeID) bool {
	return a.ShortBy != "" && a.ShortBy != id && now.Sub(a.ShortAt) < shortageTTL
}
