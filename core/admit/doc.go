// Package admit decides which requests for a service are sent now, wait, or are rejected while
// its upstreams have no free place.
//
// A Queue is a pure state machine: it is asked for each request and advanced when the room of
// the upstreams may have changed, and it answers with decisions. It holds a bounded number of
// requests and serves them in this order:
//
//  1. requests of a class (a rank, customer or size) that is served much less often than all;
//  2. the more urgent rank;
//  3. customers within their usual share, then those beyond it;
//  4. the request with the least time left.
//
// # Usage
//
//	d, ticket := q.Ask(now, request, room)
//	...                                   // if d.Action is sched.Wait
//	for _, told := range q.Advance(now, room) { ... }
//	q.Taken()                             // once a request that may be sent is in flight
package admit
