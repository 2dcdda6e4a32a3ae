package sched_test

import (
	"testing"
	"time"

	"dotterelgap/core/fleet"
	"dotterelgap/core/sched"

	"github.com/matryer/is"
)

// A survey names the upstream that Pick chooses and why each other one is left out, and changes no
// later decision.
func TestSurvey(t *testing.T) {
	is := is.New(t)
	b, other := newBalancer(5), newBalancer(5)
	list := upstreams("model", 5)
	list[1].Place = "there"
	list[2].State = fleet.UpstreamDraining
	for _, n := range []*sched.Balancer{b, other} {
		n.SetUpstreams(list, noKVTokens)
		n.SetEvacuated(start, fleet.Evacuations{Number: 1, Places: []fleet.Place{"there"}})
		n.Pause(start, sched.Choice{Upstream: list[3]}, time.Second)
	}
	q := prompt("plan", "session-1", "r")
	prospects, c, ok := b.Survey(start, q)
	is.True(ok)
	is.Equal(len(prospects), 5)
	is.Equal(prospects[1].Reason, sched.Evacuated)
	is.Equal(prospects[2].Reason, sched.Draining)
	is.Equal(prospects[3].Reason, sched.UpstreamPaused)
	is.Equal(prospects[3].OpensIn, time.Second)
	is.Equal(prospects[0].Reason, sched.Reason(""))
	is.Equal(prospects[0].Uncached, q.Input)
	is.True(prospects[0].FirstToken > 0)
	for range 3 {
		b.Survey(start, sched.Query{Service: "model"})
	}
	for _, q := range []sched.Query{q, {Service: "model"}} {
		mine, _ := b.Pick(start, q)
		want, _ := other.Pick(start, q)
		is.Equal(mine.Upstream.ID, want.Upstream.ID)
		if len(q.Parts) > 0 {
			is.Equal(mine.Upstream.ID, c.Upstream.ID)
		}
	}
}
