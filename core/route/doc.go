// Package route chooses the upstream for a request by the predicted time to its
// first token: the wait in the queue plus the prefill of what is not cached.
//
// A Router is one entry's view. It learns from its own requests in flight, from
// the load that rides on every answer, and from the times that it sees. It
// looks at a few sampled candidates out of a bounded subset.
//
// # Usage
//
//	r := route.New(route.DefaultOptions(), "sialkot", rnd)
//	r.SetNodes(now, nodes)
//	id, ok := r.Pick(now, route.Query{Service: "peg-assistant", Tokens: 900})
//	r.Started(now, id, 900)
//	r.Ended(now, id, route.Result{...})
package route
