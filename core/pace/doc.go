// Package pace limits the requests to an upstream that has started or recovered. The rate starts
// low, doubles each second while responses arrive in time, and halves when one is late, fails or
// is rejected. The pace is done once it has not held back requests for a while.
//
// Usage:
//
//	p := pace.New(now, nodes)
//	if p.OpensIn(now) == 0 {
//		p.Sent(now) // and then p.Good(now) or p.Bad(now)
//	}
//	if p.Done(now) {
//		// the upstream gets its usual share
//	}
package pace
