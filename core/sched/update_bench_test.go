package sched_test

import (
	"testing"

	"dotterelgap/core/sched"
)

// BenchmarkUpdate measures what a node does for each request that another node places:
// it decodes an update of three parts and applies it, with 680 upstreams.
func BenchmarkUpdate(b *testing.B) {
	s := newBalancer(680)
	from := newBalancer(680)
	q := prompt("plan", "s1", "r1")
	c, _ := from.Pick(start, q)
	_, u, _ := from.Started(start, q, c)
	data := u.Append(nil)
	b.ReportAllocs()
	for b.Loop() {
		got, ok := sched.ParseUpdate(data)
		if !ok {
			b.Fatal("damaged")
		}
		s.OnUpdate(start, got)
	}
	b.ReportMetric(float64(len(data)), "bytes")
}
