package sched

import (
	"testing"
	"time"

	"dotterelgap/core/fleet"

	"github.com/matryer/is"
)

// Guards against upstreams that were started anew while their place was evacuated and get the
// usual requests before their heartbeats tell that they are cold.
func TestReturnedUpstreamIsTakenForCold(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	engine := func(string) Engine { return Engine{ColdPerSecond: 2, ColdFor: 3 * time.Second} }
	u := fleet.Upstream{ID: "i-1", Service: "model", Born: now, Seq: 5}
	b := New(DefaultOptions(), "here")
	set := func(seq uint64) *target {
		u.Seq = seq
		b.SetUpstreams([]Upstream{u}, engine)
		b.SetCold(now)
		return b.targets["i-1"]
	}
	target := set(5)
	is.True(!b.isCold(now, target))
	target.returnedAt = now
	is.True(b.isCold(now, target))
	is.True(b.isCold(now, set(6))) // may have been sent before
	is.True(!b.isCold(now, set(8)))
	target.returnedAt = now.Add(time.Minute)
	now = now.Add(time.Minute)
	is.True(b.isCold(now, set(9)))
	is.True(!b.isCold(now.Add(3*time.Second), target)) // if no heartbeat is heard
}
