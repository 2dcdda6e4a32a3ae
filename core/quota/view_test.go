package quota_test

import (
	"testing"

	"dotterelgap/core/quota"

	"github.com/matryer/is"
)

// All tokens that were paid are in one part of the view.
func TestView(t *testing.T) {
	is := is.New(t)
	p := newPair(100_000)
	p.demand(is)
	is.NoErr(p.holder.Reserve(p.now, "r1", "acme", 900))
	is.NoErr(p.holder.Reserve(p.now, "r2", "acme", 900))
	p.exchange()
	is.NoErr(p.holder.Begin(p.now, "r1", "acme", 900))
	p.exchange()
	v, ok := p.ledger.View("acme")
	is.True(ok)
	h := v.Holders[0]
	is.Equal([]quota.Tokens{h.Spent, h.Begun, h.Reserved}, []quota.Tokens{20_000, 900, 900})
	is.Equal(v.Free+h.Spent+h.Begun+h.Reserved+h.Unspent, v.Paid)
	p.ledger.End(quota.Ending{Holder: "entry-1", Seq: p.ledger.Holders["entry-1"].Seq})
	v, _ = p.ledger.View("acme")
	is.Equal(len(v.Holders), 0)
	is.Equal(v.Ended+v.Free, v.Paid)
	_, ok = p.ledger.View("multan")
	is.True(!ok)
}
