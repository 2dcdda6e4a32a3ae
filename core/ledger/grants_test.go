package ledger_test

import (
	"testing"

	"dotterelgap/core/escrow"
	"dotterelgap/core/ledger"

	"github.com/matryer/is"
)

func TestResentRefillGetsTheSameGrant(t *testing.T) {
	is := is.New(t)
	l := ledger.New()
	l.Create("c")
	r := escrow.Refill{Holder: "e", Place: "p", Customer: "c", Seq: 1, Need: 10, Want: 10}
	is.True(l.Open(r).Denial != nil)
	is.NoErr(l.TopUp(ledger.TopUp{ID: "t", Customer: "c", Tokens: 100}))
	late := l.Open(r) // the refill is delivered twice, and the second reply is lost
	is.True(late.Grant != nil)
	r.Seq = 2
	again := l.Open(r)
	is.Equal(again.Grant.ID, late.Grant.ID) // the holder gets the grant that was opened for it
	r.Seq, r.Latest = 3, again.Grant.ID
	is.True(l.Open(r).Grant.ID != late.Grant.ID)
}
