package quota_test

import (
	"testing"

	"dotterelgap/core/quota"

	"github.com/matryer/is"
)

// Whatever a customer's callers do, at most a share of what it paid for whole responses is waived,
// and no other customer's.
func TestWaivers(t *testing.T) {
	is := is.New(t)
	w := quota.NewWaivers()
	is.Equal(w.Waive("acme", 900), quota.Tokens(0)) // nothing paid yet
	w.Whole("acme", 20_000)
	is.Equal(w.Waive("acme", 900), quota.Tokens(900))
	is.Equal(w.Waive("acme", 900), quota.Tokens(100))
	is.Equal(w.Waive("acme", 900), quota.Tokens(0))
	w.Whole("acme", 10_000)
	is.Equal(w.Waive("multan", 900), quota.Tokens(0))
	is.Equal(w.Waive("acme", -900), quota.Tokens(0))
	w.Forget(func(c string) bool { return c != "acme" })
	is.Equal(w.Waive("acme", 900), quota.Tokens(0))
}
