package admit

import (
	"math"
	"time"
)

// shares orders the requests of customers of one rank by start-time fair queueing: a request's
// tag advances by less for a customer that usually sends more, so that one that sends many times
// its usual comes after the others.
type shares struct {
	// now is the tag that service has reached.
	now float64
	// next holds the tag of each customer's next request.
	next [customers]float64
}

// usual counts what each customer usually sends.
type usual struct {
	// of holds the count of each customer, sum that of all, and at is when they last decayed.
	of  [customers]float64
	at  time.Time
	sum float64
}

// Parameters of fair shares.
const (
	// usualHalfLife is the time over which a customer's usual rate is taken.
	usualHalfLife = 60 * time.Second
	// minWeight and maxWeight bound the weight of a customer against the mean.
	minWeight, maxWeight = 0.2, 8
	// shareSlack is by how many requests of a mean customer one may be ahead of its share.
	shareSlack = 6
	// usualSample is the number of requests from which on the usual rates are known.
	usualSample = 200
)

// count counts a request.
func (u *usual) count(now time.Time, customer int) {
	if passed := now.Sub(u.at); passed > time.Second {
		f := math.Exp2(-passed.Seconds() / usualHalfLife.Seconds())
		for i := range u.of {
			u.of[i] *= f
		}
		u.sum *= f
		u.at = now
	}
	u.of[customer]++
	u.sum++
}

// weight returns the weight of a customer, 1 for one that sends as much as the mean one.
func (u *usual) weight(customer int) float64 {
	if u.sum < usualSample {
		return 1
	}
	active := 0
	for _, n := range u.of {
		if n >= 1 {
			active++
		}
	}
	mean := u.sum / float64(max(active, 1))
	return min(max(u.of[customer]/mean, minWeight), maxWeight)
}

// tag returns the tag of the customer's next request and advances it.
func (s *shares) tag(customer int, weight float64) float64 {
	t := max(s.now, s.next[customer])
	s.next[customer] = t + 1/weight
	return t
}

// reached records that a request with this tag is served; least is the least tag that waits.
func (s *shares) reached(tag, least float64) { s.now = max(s.now, min(tag, least)) }
