package sched_test

import (
	"fmt"
	"testing"
	"time"

	"dotterelgap/core/fleet"
	"dotterelgap/core/sched"
)

// BenchmarkPick measures one placement decision for services of different sizes.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{18, 53, 680} {
		b.Run(fmt.Sprint(n, "_upstreams"), func(b *testing.B) {
			s := newBalancer(n)
			for i := range n * 4 {
				q := prompt("plan", fmt.Sprint("s", i), "r")
				c, _ := s.Pick(start, q)
				s.Started(start, q, c)
			}
			q := prompt("plan", "s3", "r")
			b.ReportAllocs()
			for b.Loop() {
				s.Pick(start, q)
			}
		})
	}
}

// BenchmarkPickCold measures one decision for 680 upstreams that are all cold and paced, with the
// parts of 360 nodes.
func BenchmarkPickCold(b *testing.B) {
	opts := sched.DefaultOptions()
	opts.Pace, opts.ColdBurst = true, 400
	s := sched.New(opts, "here")
	all := fleet.Sharers{Joined: true}
	for i := range 360 {
		all.All = append(all.All, simAddr(i))
	}
	all.Self = all.All[7]
	s.SetSharers(all)
	engine := func(string) sched.Engine { return sched.Engine{ColdPerSecond: 9.4} }
	s.SetUpstreams(upstreams("model", 1), engine)
	s.SetPaces(start)
	ups := upstreams("model", 680)
	for i := range ups {
		ups[i].Cold, ups[i].Born = time.Hour, start.Add(time.Second)
	}
	s.SetUpstreams(ups, engine)
	now := start.Add(time.Minute)
	s.SetCold(now)
	s.SetPaces(now)
	q := prompt("plan", "s3", "r")
	s.Pick(now, q)
	b.ReportAllocs()
	for b.Loop() {
		s.Pick(now, q)
	}
}
