package sched_test

import (
	"testing"

	"dotterelgap/core/sched"
)

// BenchmarkNotice measures what a node does for each request of another one: reading a
// notice of three parts and taking it in, over 680 upstreams.
func BenchmarkNotice(b *testing.B) {
	s := newBalancer(680)
	from := newBalancer(680)
	q := prompt("plan", "s1", "r1")
	c, _ := from.Pick(start, q)
	_, n, _ := from.Started(start, q, c)
	data := n.Append(nil)
	b.ReportAllocs()
	for b.Loop() {
		got, ok := sched.ParseNotice(data)
		if !ok {
			b.Fatal("damaged")
		}
		s.OnNotice(start, got)
	}
	b.ReportMetric(float64(len(data)), "bytes")
}
