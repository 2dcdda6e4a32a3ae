package quota_test

import (
	"testing"
	"time"

	"dotterelgap/core/quota"

	"github.com/matryer/is"
)

// Guards against the need of a request being forgotten when its caller is told to come back,
// if replies take longer than requests wait: callers then never found tokens.
func TestNeedOfARefusedRequestIsKept(t *testing.T) {
	is := is.New(t)
	p := newPair(10_000)
	p.exchange()
	is.True(p.holder.Reserve(p.now, "r1", "acme", 900) != nil)
	p.holder.Miss(p.now, "r1", "acme")
	p.now = p.now.Add(200 * time.Millisecond)
	p.exchange()
	is.NoErr(p.holder.Reserve(p.now, "r2", "acme", 900)) // the caller is back
	p.holder.Settle(p.now, "r2", 0)

	is.True(p.holder.Reserve(p.now, "r3", "acme", 3000) != nil)
	p.holder.Miss(p.now, "r3", "acme")
	p.now = p.now.Add(2 * time.Second) // the caller does not come back
	p.exchange()
	is.True(p.holder.Begin(p.now, "r4", "acme", 3000) != nil)
}

// A holder that leaves gives back what a refused request needed.
func TestLeavingHolderGivesBackWhatWasNeeded(t *testing.T) {
	is := is.New(t)
	p := newPair(10_000)
	p.exchange()
	is.True(p.holder.Reserve(p.now, "r1", "acme", 900) != nil)
	p.holder.Miss(p.now, "r1", "acme")
	p.holder.Leave()
	p.exchange()
	other := quota.NewHolder("entry-2", addrB, quota.DefaultOptions(), p.now)
	other.SetCustomers(p.now, []string{"acme"})
	_ = other.Reserve(p.now, "r1", "acme", 10_000)
	p.apply(other, other.Statement(p.now))
	is.NoErr(other.Reserve(p.now, "r1", "acme", 10_000))
}
