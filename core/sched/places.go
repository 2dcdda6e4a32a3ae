package sched

import (
	"math"
	"slices"
	"time"
)

// Parameters of the estimate of the places taken at an upstream without prompts.
const (
	// nominalService is the assumed time of a request until the first response.
	nominalService = 20 * time.Millisecond
	// serviceGain is the weight of a new response in the estimate of the service time, staleGain
	// that of the first one after serviceTTL, and maxServiceRise bounds what one slow response adds.
	serviceGain    = 0.1
	staleGain      = 0.5
	maxServiceRise = 3
	// serviceTTL is the time without a response after which an upstream counts as no slower than
	// the others, so that it is tried again.
	serviceTTL = 2 * time.Second
	// maxCrowding bounds how much longer requests take at an upstream whose places are taken,
	// since it lets few of them wait.
	maxCrowding = 2
	// fadeFrom and fadeTo are the parts of the expected time of a request between which it fades
	// from the count, since some end sooner and some later.
	fadeFrom, fadeTo = 0.5, 1.5
	// tieShare is the share of the estimated time up to which two upstreams count as equal.
	tieShare = 0.1
	// maxOthers bounds the requests of other nodes that are remembered for one upstream.
	maxOthers = 128
	// queueDivisor is the number of places for each request that may wait in an upstream's own
	// queue, so that a place that becomes free is taken without a round trip.
	queueDivisor = 3
)

// places is what a node knows of the requests in flight at an upstream without prompts.
type places struct {
	others []otherRequest
	// service is the estimated time of a request that does not wait there, as of seenAt; 0 before
	// the first response.
	service time.Duration
	seenAt  time.Time
	// occupied is the estimated time for which a request takes a place, from this node's responses
	// and the estimates of the others; 0 before the first. Unlike service, it does not include
	// what is slow at this node or its link.
	occupied occupancy
}

// otherRequest is a request that another node sent.
type otherRequest struct {
	at time.Time
	// expected is how long the request is expected to take.
	expected time.Duration
}

// weight returns the probability that the request has not ended.
func (o otherRequest) weight(now time.Time) float64 {
	passed := float64(now.Sub(o.at)) / float64(max(o.expected, 1))
	return min((fadeTo-passed)/(fadeTo-fadeFrom), 1)
}

// sent is the state of the chosen upstream when a request was sent to it.
type sent struct {
	at   time.Time
	load float64
}

// expire forgets the requests of other nodes that should have ended.
func (p *places) expire(now time.Time) {
	p.others = slices.DeleteFunc(p.others, func(o otherRequest) bool { return o.weight(now) <= 0 })
}

// add records a request of another node.
func (p *places) add(now time.Time, expected time.Duration) {
	if len(p.others) >= maxOthers {
		p.others = slices.Delete(p.others, 0, 1)
	}
	p.others = append(p.others, otherRequest{at: now, expected: expected})
}

// load returns the number of requests that all nodes are estimated to have in flight.
func (t *target) load(now time.Time) float64 {
	t.places.expire(now)
	load := float64(t.inFlight)
	for _, o := range t.places.others {
		load += o.weight(now)
	}
	return load
}

// slots returns the number of requests that the upstream runs concurrently, at least 1.
func (t *target) slots() int { return max(t.up.Slots, 1) }

// crowding returns by which factor a request takes longer if it is one of load.
func (t *target) crowding(load float64) float64 { return max(load/float64(t.slots()), 1) }

// serviceTime returns the estimated time of a request that does not wait. fastest bounds it if
// nothing was heard of the upstream lately.
func (t *target) serviceTime(now time.Time, fastest time.Duration) time.Duration {
	switch {
	case t.places.service == 0 && fastest == 0:
		return nominalService
	case t.places.service == 0:
		return fastest
	case now.Sub(t.places.seenAt) > serviceTTL:
		return min(t.places.service, fastest)
	}
	return t.places.service
}

// placedByOther records a request that another node sent, with that node's estimate of the time
// for which a request takes a place, or 0.
func (t *target) placedByOther(now time.Time, occupies time.Duration) {
	t.places.occupied.observe(occupies)
	crowding := min(t.crowding(t.load(now)+1), maxCrowding)
	t.places.add(now, scale(t.places.occupied.time(), crowding))
}

// uncrowded returns how long a request that ends now would have taken without others.
func (t *target) uncrowded(now time.Time, s sent) time.Duration {
	return scale(now.Sub(s.at), 1/t.crowding(s.load))
}

// observeService updates the service time from a response.
func (t *target) observeService(now time.Time, s sent) {
	took := t.uncrowded(now, s)
	p := &t.places
	p.occupied.observe(took)
	gain := serviceGain
	if now.Sub(p.seenAt) > serviceTTL {
		gain = staleGain
	}
	p.seenAt = now
	if p.service == 0 {
		p.service = max(took, 1)
		return
	}
	took = min(took, maxServiceRise*p.service)
	p.service = max(p.service+scale(took-p.service, gain), 1)
}

// recordFull corrects the estimate after the upstream rejected a request because its places
// are taken: others have taken the places that this node did not know of.
func (t *target) recordFull(now time.Time) {
	for n := t.load(now); n < float64(t.slots()); n++ {
		t.places.add(now, t.places.occupied.time())
	}
}

// recordPlace updates the estimates from the end of an attempt.
func (t *target) recordPlace(now time.Time, s sent, o Outcome) {
	switch o {
	case Served:
		t.observeService(now, s)
	case Rejected:
		t.recordFull(now)
	}
}

// soonest returns the candidate where a request is expected to end first, among those below
// their limits if there are any. It breaks ties in round-robin order.
func (b *Balancer) soonest(now time.Time) *target {
	b.tieBreak++
	begin := int(b.tieBreak % uint64(len(b.candidates)))
	fastest := b.fastest(now)
	var best *target
	var bestExceeds bool
	var bestCost time.Duration
	for i := range b.candidates {
		t := b.candidates[(begin+i)%len(b.candidates)].t
		exceeds := t.limiter.exceeds(now, b.share)
		cost := scale(t.serviceTime(now, fastest), (t.load(now)+1)/float64(t.slots()))
		if best == nil || bestExceeds && !exceeds || bestExceeds == exceeds && cost < scale(bestCost, 1-tieShare) {
			best, bestExceeds, bestCost = t, exceeds, cost
		}
	}
	return best
}

// fastest returns the shortest service time of the candidates that have responded lately.
func (b *Balancer) fastest(now time.Time) time.Duration {
	least := time.Duration(0)
	for _, c := range b.candidates {
		p := c.t.places
		if p.service > 0 && now.Sub(p.seenAt) <= serviceTTL && (least == 0 || p.service < least) {
			least = p.service
		}
	}
	if least == 0 {
		return nominalService
	}
	return least
}

// Room is what the upstreams of a service without prompts can take, as estimated.
type Room struct {
	// Places is the number of requests that they run concurrently; 0 if nothing bounds them.
	Places int
	// Free is the number of requests that may be sent now.
	Free int
	// Service is the time of a request that does not wait.
	Service time.Duration
	// Next is the time until a request may be sent, 0 if one may be sent now.
	Next time.Duration
	// Interval is the mean time between two requests that end, if all places are taken.
	Interval time.Duration
}

// Room returns what the upstreams of the service that get requests now can take. Nothing bounds it
// while the service is not crowded.
func (b *Balancer) Room(now time.Time, service string) Room {
	if !b.crowded(now, service) {
		return Room{}
	}
	var r Room
	var perSecond float64
	excess := 0.0
	for _, t := range b.services[service] {
		if t.avoided(now) || now.Before(t.pausedUntil) {
			continue
		}
		if t.up.Slots <= 0 {
			return Room{}
		}
		r.Places += t.up.Slots
		perSecond += float64(t.up.Slots) / t.places.occupied.time().Seconds()
		room := float64(t.up.Slots+max(t.up.Slots/queueDivisor, 1)) - t.load(now)
		r.Free += int(max(math.Round(room), 0))
		excess += max(-room, 0)
	}
	if perSecond == 0 {
		return Room{}
	}
	r.Interval = time.Duration(float64(time.Second) / perSecond)
	r.Service = r.Interval * time.Duration(r.Places)
	if r.Free == 0 {
		r.Next = scale(r.Interval, excess+1)
	}
	return r
}

// scale multiplies a duration.
func scale(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }
