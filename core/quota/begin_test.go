package quota_test

import (
	"fmt"
	"testing"

	"dotterelgap/core/quota"

	"github.com/matryer/is"
)

// A holder that dies is not billed for the requests of which nothing was passed on: those that
// wait for tokens, and those that upstreams have not answered yet.
func TestDeadHolderIsNotBilledForWhatHasNotBegun(t *testing.T) {
	is := is.New(t)
	p := newPair(1_000_000)
	p.holder.SetWitnesses([]nodeID{"entry-2", "entry-3", "entry-4"}, nil)
	p.demand(is)
	for i := range 50 {
		_ = p.holder.Reserve(p.now, fmt.Sprint("w", i), "acme", 900)
	}
	p.exchange()
	for i := range 50 {
		is.NoErr(p.holder.Reserve(p.now, fmt.Sprint("w", i), "acme", 900))
	}
	p.exchange()
	spent := p.ledger.Accounts["acme"].Allocations["entry-1"].Spent
	p.ledger.End(quota.Ending{Holder: "entry-1", Seq: p.ledger.Holders["entry-1"].Seq, Evidence: quota.Evidence{Witnessed: true}})
	is.True(p.ledger.Accounts["acme"].Billed <= spent+900) // the next request to begin, or the demand until the next statement
}

// What a leaving holder still has in progress counts as begun, since it reports nothing later.
func TestLeavingHolderIsBilledForRequestsInProgress(t *testing.T) {
	is := is.New(t)
	p := newPair(10_000)
	p.exchange()
	ids := []string{"r1", "r2"}
	for _, id := range ids {
		_ = p.holder.Reserve(p.now, id, "acme", 900)
	}
	p.exchange()
	for _, id := range ids {
		is.NoErr(p.holder.Reserve(p.now, id, "acme", 900))
	}
	p.holder.Leave()
	p.exchange()
	for _, id := range ids {
		is.NoErr(p.holder.Begin(p.now, id, "acme", 900))
	}
	is.Equal(p.ledger.Accounts["acme"].Billed, quota.Tokens(1_800))
}

// The requests of a holder that was ended while it was alive need new tokens before they begin.
func TestRequestOfAnEndedHolderNeedsNewTokens(t *testing.T) {
	is := is.New(t)
	p := newPair(10_000)
	p.exchange()
	_ = p.holder.Reserve(p.now, "r1", "acme", 900)
	p.exchange()
	is.NoErr(p.holder.Reserve(p.now, "r1", "acme", 900))
	p.ledger.End(quota.Ending{Holder: "entry-1", Seq: p.ledger.Holders["entry-1"].Seq, Evidence: quota.Evidence{Witnessed: true}})
	p.holder.Renew("entry-9")
	is.True(p.holder.Begin(p.now, "r1", "acme", 900) != nil)
	for range 3 {
		p.exchange()
		_ = p.holder.Begin(p.now, "r1", "acme", 900)
	}
	is.NoErr(p.holder.Begin(p.now, "r1", "acme", 900))
	is.Equal(p.holder.Used("acme"), quota.Tokens(900))
}
