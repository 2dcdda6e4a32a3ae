package sched

import (
	"math/bits"
	"time"

	"dotterelgap/core/fleet"
)

// Outcome is the result of an attempt.
type Outcome uint8

// The outcomes of an attempt.
const (
	// Served means that the upstream sent a response of its own.
	Served Outcome = iota
	// Rejected means that the upstream certainly did not run the request.
	Rejected
	// Failed means that the upstream was unreachable, closed the connection early or
	// returned an error.
	Failed
	// Canceled means that the caller closed the connection.
	Canceled
	// TimedOut means that the request's deadline passed before the response began.
	TimedOut
	// Stalled means that the caller closed the connection after the upstream had been silent
	// for longer than expected.
	Stalled
)

// String returns the name of the outcome in logs and metrics.
func (o Outcome) String() string {
	return [...]string{"served", "rejected", "failed", "canceled", "timed_out", "stalled"}[o]
}

// Log adds the inputs of the decision as fields of a log entry.
func (c Choice) Log(addInt func(string, int), addDuration func(string, time.Duration), addFloat func(string, float64)) {
	addInt("in_flight", c.InFlight)
	addInt("usable", c.Usable)
	if c.Rank < 0 {
		return
	}
	addInt("rank", c.Rank)
	addInt("uncached", c.Uncached)
	if c.Fetched > 0 {
		addInt("fetched", c.Fetched)
	}
	if c.Holds > 0 {
		addInt("holds", c.Holds)
	}
	addDuration("wait", c.Wait.Round(time.Millisecond))
	addFloat("slow", float64(int(c.Slowdown*100))/100)
}

// Options tune a Balancer.
type Options struct {
	// HomeBonus is how much later the first token may be at a request's first home
	// than at the next one. Each further rank, up to HomeRanks, costs as much again.
	HomeBonus time.Duration
	HomeRanks int
	// RecomputeWeight is the weight of the time that an engine spends on prefilling
	// tokens that another engine has cached. That time is lost to other requests.
	RecomputeWeight float64
	// SafeShare is the share of a request's objective up to which the first token may be
	// expected without a risk that it is late. LateWeight is the weight of the time beyond it.
	SafeShare, LateWeight float64
	// LimitCost is how much later the first token may be at another engine than at one
	// that would get more than the limit that it names, less the time to prefill the whole
	// prompt: limits are on requests, so limited engines should get the longest ones.
	LimitCost time.Duration
	// EjectAfter is the failure score at which an upstream is ejected. A failure that
	// this node sees counts 1, one that another node reports counts half.
	EjectAfter int
	// EjectTime is the duration of the first ejection.
	EjectTime time.Duration
	// EjectShare is the maximum share of a service's upstreams that may be ejected at
	// the same time.
	EjectShare float64
	// ColdOverage is the factor by which the requests to a cold upstream in one second may exceed
	// its rate, and ColdBurst the number by which they may exceed it besides.
	ColdOverage, ColdBurst float64
	// Pace limits the requests to upstreams that have started or recovered.
	Pace bool
	// LearnSpeeds is set if the speed of a service's engines is estimated from their first tokens,
	// and the nodes tell each other of slow engines.
	LearnSpeeds bool
	// SharePlaces is set if the nodes tell each other of requests without prompts, so that each
	// knows which places of the upstreams are taken.
	SharePlaces bool
	// GuardMemory is set if engines get no request for which their KV memory has no room.
	GuardMemory bool
}

// DefaultOptions returns the options that nodes use.
func DefaultOptions() Options {
	return Options{
		HomeBonus: 20 * time.Millisecond, HomeRanks: 3, RecomputeWeight: 4, SafeShare: 0.4, LateWeight: 8, LimitCost: 400 * time.Millisecond,
		EjectAfter: 2, EjectTime: time.Second, EjectShare: 0.4,
		ColdOverage: 1, LearnSpeeds: true,
	}
}

// Balancer is one node's view of the upstreams.
type Balancer struct {
	opts     Options
	place    fleet.Place
	targets  map[string]*target
	byHash   map[uint64]*target
	services map[string][]*target
	// speeds holds the speed of the engines of each service.
	speeds map[string]*speed
	// loads holds the loads of services without prompts by name, and loadByHash by the hash of it.
	loads      map[string]*serviceLoad
	loadByHash map[uint64]*serviceLoad
	// tieBreak rotates the choice among equally loaded upstreams.
	tieBreak uint64
	// share is the share of an upstream's limit that the nodes in contact with this one may
	// use.
	share float64
	// sharers are the hashes of the sharers' addresses, self that of this node, and joined is set
	// if it uses its part. sharersVersion increases with each change.
	sharers        []uint64
	self           uint64
	joined         bool
	sharersVersion uint64
	// knownSince is since when the services have had upstreams.
	knownSince map[string]time.Time
	// paceChanges are the changes that SetPaces has not returned yet.
	paceChanges []PaceChange
	// idlePacedToo is set while paced upstreams without requests of this node may be chosen before
	// their time.
	idlePacedToo bool
	// surveying is set during a Survey, which must change neither paces nor slowdowns.
	surveying bool
	// nodes is the number of nodes in contact with this one.
	nodes int
	// recent holds this node's latest 16 outcomes, with a set bit for each failure.
	recent uint16
	// candidates, atHome and homes are buffers that each decision reuses.
	candidates, atHome []candidate
	homes              []home
	// evacuated are the evacuated places, and regions the regions of the places.
	evacuated fleet.Evacuations
	regions   fleet.Regions
}

// New returns a balancer without upstreams, for a node in the given place.
func New(opts Options, place fleet.Place) *Balancer {
	return &Balancer{
		opts: opts, place: place, share: 1, nodes: 1,
		loads: map[string]*serviceLoad{}, loadByHash: map[uint64]*serviceLoad{},
		targets: map[string]*target{}, byHash: map[uint64]*target{}, services: map[string][]*target{},
		speeds: map[string]*speed{},
	}
}

// SetUpstreams replaces the list of upstreams that may be alive. The state of
// upstreams that stay on the list is kept; a new incarnation starts without state.
// engine describes the engines of a service.
func (b *Balancer) SetUpstreams(ups []Upstream, engine func(service string) Engine) {
	next := make(map[string]*target, len(ups))
	b.byHash = make(map[uint64]*target, len(ups))
	b.services = map[string][]*target{}
	for _, u := range ups {
		t, ok := b.targets[u.ID]
		if !ok || !t.up.Born.Equal(u.Born) || t.up.Addr != u.Addr {
			t = newTarget(u, b.speed(u.Service))
		}
		t.setEngine(engine(u.Service))
		t.up = u
		next[u.ID] = t
		b.byHash[t.hash] = t
		if t.open(b.evacuated) {
			b.services[u.Service] = append(b.services[u.Service], t)
		}
	}
	b.targets = next
	b.keepLoads()
	b.keepSpeeds()
}

// speed returns the speed of the engines of a service.
func (b *Balancer) speed(service string) *speed {
	s, ok := b.speeds[service]
	if !ok {
		s = newSpeed()
		b.speeds[service] = s
	}
	return s
}

// keepSpeeds keeps the speeds of the services that have upstreams.
func (b *Balancer) keepSpeeds() {
	next := make(map[string]*speed, len(b.services))
	for _, t := range b.targets {
		next[t.up.Service] = t.speed
	}
	b.speeds = next
}

// Ready returns the number of upstreams of a service that accept requests.
func (b *Balancer) Ready(service string) int { return len(b.services[service]) }

// SetShare sets the share of an upstream's limit that the nodes in contact with this one
// may use. The others may be on the other side of a partition and use the rest.
func (b *Balancer) SetShare(share float64) { b.share = min(max(share, minShare), 1) }

// minShare is the smallest share of a limit.
const minShare = 0.001

// Started records that a request is sent to the chosen upstream. It returns the choice
// with its ticket, and the update for the other nodes; send is false if there is none.
func (b *Balancer) Started(now time.Time, q Query, c Choice) (started Choice, u Update, send bool) {
	t, ok := b.targets[c.Upstream.ID]
	if !ok {
		return c, Update{}, false
	}
	t.inFlight++
	t.limiter.sent(now, b.share)
	b.recordCold(now, t)
	t.pace.Sent(now)
	t.usual.sent(now)
	c.held = t.hold(now, q)
	u = Update{Kind: Placement, Upstream: t.hash}
	if len(q.Parts) == 0 {
		if !b.opts.SharePlaces {
			return c, u, t.limiter != nil
		}
		c.sent = sent{at: now, load: t.load(now)}
		b.loads[t.up.Service].began(now)
		return c, Update{Kind: Occupied, Upstream: t.hash, Occupies: time.Duration(t.places.occupied)}, b.crowded(now, t.up.Service) || t.limiter != nil
	}
	u.Holds, u.Lasts = q.need(), t.lasts(q, c)
	t.triedAt = now
	c.Ticket = t.expectFirstToken(now.Add(c.firstTokenIn()))
	t.recordPlacement(now, q.Parts, c.Uncached)
	if len(q.Parts) > maxUpdateParts {
		return c, u, t.limiter != nil
	}
	u.Uncached, u.Parts = c.Uncached, q.Parts
	if b.opts.LearnSpeeds {
		u.Slowdown = t.evidence * t.speed.nominal()
	}
	t.evidence = 0
	return c, u, true
}

// FirstToken updates the estimates from an observed time to first token.
func (b *Balancer) FirstToken(c Choice, took time.Duration) {
	t, ok := b.chosen(c)
	if !ok {
		return
	}
	t.clearPending(c.Ticket)
	if c.Rank < 0 {
		return
	}
	if b.opts.LearnSpeeds && c.Fetched == 0 {
		t.speed.observe(c.Uncached+c.waitTokens, took)
	}
	t.observe(t.overhead()+t.prefillTime(c.Uncached), c.Wait, took)
}

// Ended records the outcome of an attempt. It returns the update for the other nodes;
// send is false if there is none.
func (b *Balancer) Ended(now time.Time, c Choice, o Outcome) (u Update, send bool) {
	if !c.sent.at.IsZero() {
		b.recordLoad(now, c.Upstream.Service, o)
	}
	t, ok := b.chosen(c)
	if !ok {
		return Update{}, false
	}
	t.clearPending(c.Ticket)
	t.release(c.held)
	t.inFlight = max(t.inFlight-1, 0)
	slowed, tell := t.endedPace(now, c, o)
	if !c.sent.at.IsZero() {
		t.recordPlace(now, c.sent, o)
		if o == Served {
			b.loads[t.up.Service].own.observe(t.uncrowded(now, c.sent))
		}
	}
	switch o {
	case Served:
		if c.held.output > 0 {
			t.speed.observeOutput(c.held.output, now.Sub(c.held.at)-c.firstTokenIn())
		}
		b.recent <<= 1
		t.health.recordSuccess()
		t.ejectedUntil = time.Time{}
	case Failed, TimedOut, Stalled:
		b.recent = b.recent<<1 | 1
		b.recordFailure(now, t, ownFailure)
		// Don't report the failure if most of this node's requests fail: the fault is
		// then likely to be on this node.
		return Update{Kind: Failure, Upstream: t.hash}, bits.OnesCount16(b.recent) <= maxReportedFailures
	}
	return slowed, tell
}

// maxReportedFailures is the number of failures among a node's latest 16 outcomes up to
// which it reports them to other nodes.
const maxReportedFailures = 8

// recordFailure records a failure of an upstream. It ejects an upstream that fails
// repeatedly, unless too many are ejected already.
func (b *Balancer) recordFailure(now time.Time, t *target, weight float64) {
	if t.health.recordFailure(now, weight) >= float64(b.opts.EjectAfter) && !now.Before(t.ejectedUntil) && b.mayEject(now, t) {
		t.ejectedUntil = now.Add(b.opts.EjectTime << t.health.eject())
		b.beginPace(now, t, "ejected")
	}
}

func (b *Balancer) mayEject(now time.Time, t *target) bool {
	all := b.services[t.up.Service]
	out := 1
	for _, o := range all {
		if o != t && now.Before(o.ejectedUntil) {
			out++
		}
	}
	return float64(out) <= max(b.opts.EjectShare*float64(len(all)), 1)
}
