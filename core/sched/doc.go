// Package sched decides where a request runs when entries call upstreams
// directly: which upstream it goes to, whether it may be retried, and which
// upstreams are ejected, paced or left out for a while. Many entries schedule onto the same fleet
// without coordination, so they agree on a request's preferred upstreams, its
// homes, by hashing alone.
//
// All types are pure: they do no I/O and have no clock or random source of their
// own.
//
// # Usage
//
//	b := sched.New(sched.DefaultOptions(), "sialkot")
//	b.SetUpstreams(ups, engineOf)
//	q := sched.Query{Service: "desk", Parts: parts, Input: 900}
//	c, ok := b.Pick(now, q)
//	c, u, send := b.Started(now, q, c)
//	b.FirstToken(c, took)
//	u, send = b.Ended(now, c, sched.Served)
package sched
