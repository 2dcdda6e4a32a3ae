// Package route chooses the upstream for a request by the predicted time to first
// token: the time in the queue plus the prefill time of the tokens that are not
// cached.
//
// A Router holds one entry's view of the upstreams. It derives its estimates from
// its own requests in flight, from the load that is reported with every response,
// and from the times to first token that it observes. It considers a few sampled
// candidates from a subset of limited size.
//
// # Usage
//
//	r := route.New(route.DefaultOptions(), self, "sialkot", rnd)
//	r.SetNodes(now, nodes)
//	id, ok := r.Pick(now, route.Query{Service: "peg-assistant", Tokens: 900})
//	r.Started(id)
//	r.Ended(now, id, route.Result{...})
package route
