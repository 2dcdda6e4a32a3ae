package sched_test

import (
	"fmt"
	"testing"
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
