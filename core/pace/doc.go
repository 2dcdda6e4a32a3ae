// Package pace limits the requests to an upstream that has started or recovered. The rate starts
// low, doubles each second while responses arrive in time, and halves when one is late, fails or
// is rejected. The pace is done once the rate is high or no request has been held back for a while,
// and after a minute if no response was bad lately.
//
// Usage:
//
//	p := pace.New(now, nodes, rateBefore)
//	if p.OpensIn(now) > 0 {
//		p.Held(now)
//	} else {
//		p.Sent(now) // and then p.Good(now) or p.Bad(now)
//	}
//	if p.Done(now) {
//		// the upstream gets its usual share
//	}
package pace
