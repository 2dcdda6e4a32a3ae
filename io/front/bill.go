package front

import (
	"sync"
	"time"

	"dotterelgap/core/quota"
)

// ending says who ended a request that is billed.
type ending string

// The endings. All but endWhole are of streams that ended midway.
const (
	endWhole    ending = "whole"
	endUpstream ending = "upstream"
	endSystem   ending = "system"
	// endCaller means that the caller left of its own choice, endDeadline that the request's time
	// had ended, or was about to.
	endCaller   ending = "caller"
	endDeadline ending = "deadline"
)

// lateShare is the last part of a request's time in which a caller that leaves counts as one whose
// time has ended, since callers measure from an earlier moment.
const lateShare = 0.25

// waivers guards quota.Waivers.
type waivers struct {
	mu sync.Mutex
	w  *quota.Waivers
}

// ending returns who ended the request.
func (c *call) ending(failure *responseError) ending {
	limit := c.deadline.Sub(c.start)
	switch {
	case failure == nil:
		return endWhole
	case c.timeLeft() < time.Duration(lateShare*float64(limit)):
		return endDeadline
	case c.r.Context().Err() != nil && c.f.aborting.Load():
		return endSystem
	case c.r.Context().Err() != nil, c.response.err != nil:
		return endCaller
	}
	return endUpstream
}

// settle settles the reservation. A customer is billed the prompt and the output that was passed
// on. The prompt of a stream that its upstream or this system broke off is waived as far as the
// customer's waivers reach: the caller may send the request again, and would pay it twice. Who
// leaves a stream of its own choice pays for it.
func (c *call) settle(failure *responseError) {
	c.ended = c.ending(failure)
	if c.customer != "" && c.billed > 0 {
		c.waived = c.waive()
		c.billed -= c.waived
	}
	c.f.deps.Budgets.Settle(c.reservation, c.billed)
}

// waive returns the part of the prompt that is waived.
func (c *call) waive() quota.Tokens {
	ws := &c.f.waivers
	ws.mu.Lock()
	defer ws.mu.Unlock()
	if c.ended == endWhole {
		ws.w.Whole(c.customer, c.billed)
		return 0
	}
	if c.ended != endUpstream && c.ended != endSystem || c.stream == nil {
		return 0
	}
	return ws.w.Waive(c.customer, min(c.billed, quota.Tokens(c.info.Input)))
}

// forget deletes the waivers of customers that the policy does not name.
func (ws *waivers) forget(known func(customer string) bool) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	ws.w.Forget(known)
}

// reserveWaitShare is the part of a route's objective for which a request may wait for tokens: a
// caller that is refused needs the rest for another attempt.
const reserveWaitShare = 1.0 / 8

// reserveWait returns how long the request may wait for tokens.
func (c *call) reserveWait() time.Duration {
	if c.route.Objective <= 0 {
		return c.timeLeft()
	}
	return time.Duration(reserveWaitShare * float64(c.route.Objective))
}
