package admit

import (
	"math"
	"time"
)

// count counts the requests of a class, with the latest ones weighing most.
type count struct {
	asked, served float64
	// at is when the counts last decayed.
	at time.Time
}

const (
	// halfLife is the time after which a request counts half.
	halfLife = 4 * time.Second
	// decayStep is the shortest time after which counts are reduced.
	decayStep = 20 * time.Millisecond
)

// decay reduces the counts by the time since the latest change.
func (c *count) decay(now time.Time) {
	if passed := now.Sub(c.at); passed > decayStep {
		f := math.Exp2(-passed.Seconds() / halfLife.Seconds())
		c.asked *= f
		c.served *= f
		c.at = now
	}
}

// perSecond returns the rate of requests.
func (c *count) perSecond(now time.Time) float64 {
	c.decay(now)
	return c.asked * math.Ln2 / halfLife.Seconds()
}

// counts counts the requests of all classes.
type counts struct {
	all      count
	rank     [ranks]count
	customer [customers]count
	size     [sizes]count
}

// Parameters that keep a class from being starved.
const (
	// floorShare is the least part of the share of all requests that are served, that is to be
	// served of each class.
	floorShare = 0.4
	// floorSample is the number of requests of a class from which on its share is known.
	floorSample = 6
)

// classes calls f with the counts that a request belongs to.
func (c *counts) classes(r Request, f func(*count)) {
	f(&c.rank[r.rank()])
	f(&c.customer[r.customer()])
	f(&c.size[r.size()])
}

// asked counts a request that arrived.
func (c *counts) asked(now time.Time, r Request) { c.add(now, r, func(n *count) { n.asked++ }) }

// served counts a request that may be sent.
func (c *counts) served(now time.Time, r Request) { c.add(now, r, func(n *count) { n.served++ }) }

// add changes the counts of all requests and of the classes of one, after their decay.
func (c *counts) add(now time.Time, r Request, change func(*count)) {
	update := func(n *count) {
		n.decay(now)
		change(n)
	}
	update(&c.all)
	c.classes(r, update)
}

// starved reports whether a class of the request is served much less often than all requests.
func (c *counts) starved(now time.Time, r Request) bool {
	c.all.decay(now)
	floor := floorShare * c.all.served / max(c.all.asked, 1)
	starved := false
	c.classes(r, func(n *count) {
		n.decay(now)
		if n.asked >= floorSample && n.served < floor*n.asked {
			starved = true
		}
	})
	return starved
}

// moreUrgent returns the rate of the requests of more urgent ranks.
func (c *counts) moreUrgent(now time.Time, rank int) float64 {
	rate := 0.0
	for i := range rank {
		rate += c.rank[i].perSecond(now)
	}
	return rate
}
