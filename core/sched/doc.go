// Package sched decides where a request runs when entries call upstreams
// directly: which upstream, when another try is allowed, and which upstreams are
// left out for a while. Many entries decide on the same fleet without talking,
// so what they agree on comes from hashing alone.
//
// All types are pure: no I/O, no clock and no randomness of their own.
//
// # Usage
//
//	b := sched.New(sched.DefaultOptions(), "sialkot")
//	b.SetUpstreams(now, ups)
//	c, ok := b.Pick(now, sched.Query{Service: "desk", Parts: parts, Input: 900})
//	b.Started(c.Upstream.ID)
//	b.Ended(now, c.Upstream.ID, sched.Served)
package sched
