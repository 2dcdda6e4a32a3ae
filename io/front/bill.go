package front

import "time"

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
// on, whoever ended the response.
func (c *call) settle(failure *responseError) {
	c.ended = c.ending(failure)
	c.f.deps.Budgets.Settle(c.reservation, c.billed)
}

// reserveWaitShare is the part of a route's objective for which a request may wait for tokens: the
// rest is for the response. Budgets end the wait earlier if no reply is to be expected.
const reserveWaitShare = 1.0 / 2

// reserveWait returns how long the request may wait for tokens.
func (c *call) reserveWait() time.Duration {
	if c.route.Objective <= 0 {
		return c.timeLeft()
	}
	return time.Duration(reserveWaitShare * float64(c.route.Objective))
}
