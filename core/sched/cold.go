package sched

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"dotterelgap/core/fleet"

	"github.com/cespare/xxhash/v2"
)

// Parameters of the bound on requests to cold upstreams.
const (
	// coldWindow is the time in which a node sends at most its part: the second of the bound,
	// and a margin for the time between a decision and the send.
	coldWindow = time.Second + 50*time.Millisecond
	// maxColdBound limits the bound, in requests per second.
	maxColdBound = 10_000
	// maxColdFor limits how long an upstream counts as cold if the policy states no limit.
	maxColdFor = 10 * time.Minute
	// coldRecheck is the time after which a node that may use no part looks again.
	coldRecheck = time.Second
	// returnHeartbeats is the number of heartbeats after its return that tell whether an upstream
	// is cold. The first may have been sent before.
	returnHeartbeats = 2
)

// ColdChange tells that an upstream has become cold or is cold no longer.
type ColdChange struct {
	Upstream Upstream
	// Left is how long it stays cold, and 0 if it does not.
	Left time.Duration
	// Part is the number of requests that this node may send to it in a second.
	Part int
	// Bounded is set if the upstream said that it stays cold for longer than is possible.
	Bounded bool
}

// cold is what a node knows of the warm-up of one upstream, and its own latest requests to it.
type cold struct {
	until time.Time
	// returnedAt is when its place returned from an evacuation, as far as it was noticed, and
	// returnedSeq the counter of the latest heartbeat then.
	returnedAt  time.Time
	returnedSeq uint64
	// free are the times from which on each request of the part may be sent again, as a ring.
	free []time.Time
	next int
	// version is that of the sharers and rate for which the ring was made.
	version   uint64
	perSecond float64
}

// SetSharers sets the nodes that share the bounds on requests to cold upstreams. Each node
// uses the part that it has among the sharers that it knows. Since all know at least those that
// have joined, the parts never exceed the bound in sum, whatever each of them hears.
func (b *Balancer) SetSharers(s fleet.Sharers) {
	hashes := make([]uint64, 0, len(s.All))
	for _, a := range s.All {
		hashes = append(hashes, addrHash(a))
	}
	if b.joined == s.Joined && b.self == addrHash(s.Self) && slices.Equal(b.sharers, hashes) {
		return
	}
	b.joined, b.self, b.sharers = s.Joined, addrHash(s.Self), hashes
	b.sharersVersion++
}

func addrHash(a netip.AddrPort) uint64 { return xxhash.Sum64String(a.String()) }

// SetCold applies what the upstreams' heartbeats say on how long they stay cold. It returns
// those that have become cold, and those that are cold no longer.
func (b *Balancer) SetCold(now time.Time) []ColdChange {
	var changes []ColdChange
	for _, t := range b.targets {
		if !t.boundedWhileCold() {
			continue
		}
		t.noteReturn()
		before := t.cold.until.IsZero()
		left, bounded := t.coldLeft()
		t.cold.until = time.Time{}
		if left > 0 {
			t.cold.until = now.Add(left)
		}
		if before != t.cold.until.IsZero() {
			changes = append(changes, ColdChange{Upstream: t.up, Left: left, Part: b.coldPart(t), Bounded: bounded})
		}
	}
	return changes
}

// PacedUpstreams returns the number of upstreams that get a limited rate of requests because they
// are cold, have started or have recovered.
func (b *Balancer) PacedUpstreams() int {
	n := 0
	for _, t := range b.targets {
		if !t.cold.until.IsZero() || t.pace != nil {
			n++
		}
	}
	return n
}

// coldLeft returns how long the upstream said that it stays cold, within the possible.
func (t *target) coldLeft() (left time.Duration, bounded bool) {
	most := maxColdFor
	if t.engine.ColdFor > 0 {
		most = min(t.engine.ColdFor, maxColdFor)
	}
	return min(max(t.up.Cold, 0), most), t.up.Cold > most
}

// boundedWhileCold reports whether the upstream tolerates a limited rate while it is cold.
func (t *target) boundedWhileCold() bool { return t.engine.ColdPerSecond > 0 }

// returned reports whether the place of the upstream has just returned from an evacuation. The
// upstream may have become cold meanwhile, until newer heartbeats say otherwise.
func (t *target) returned(now time.Time) bool {
	if t.returnedAt.IsZero() || now.Sub(t.returnedAt) >= min(t.engine.ColdFor, maxColdFor) {
		return false
	}
	return !t.cold.returnedAt.Equal(t.returnedAt) || t.up.Seq < t.cold.returnedSeq+returnHeartbeats
}

// noteReturn records which heartbeat is the latest when the place of the upstream returns.
func (t *target) noteReturn() {
	if !t.cold.returnedAt.Equal(t.returnedAt) {
		t.cold.returnedAt, t.cold.returnedSeq = t.returnedAt, t.up.Seq
	}
}

// isCold reports whether an upstream is cold, or may be.
func (b *Balancer) isCold(now time.Time, t *target) bool {
	if !t.boundedWhileCold() {
		return false
	}
	return now.Before(t.cold.until) || t.returned(now) || b.isolated()
}

// isolated reports whether this node is cut off from half of the others or more. The upstreams'
// heartbeats may then reach the others only, so any upstream may be cold.
func (b *Balancer) isolated() bool { return b.share <= isolatedShare }

// isolatedShare is the share of the known nodes that an isolated node hears at most.
const isolatedShare = 0.5

// coldOpensIn returns the time until a request may be sent to a cold upstream, 0 if one may be
// sent now or the upstream is not cold.
func (b *Balancer) coldOpensIn(now time.Time, t *target) time.Duration {
	if !b.isCold(now, t) {
		return 0
	}
	b.resize(t)
	if len(t.cold.free) == 0 {
		if left := t.cold.until.Sub(now); left > 0 {
			return left
		}
		return coldRecheck
	}
	if at := t.cold.free[t.cold.next]; now.Before(at) {
		return at.Sub(now)
	}
	return 0
}

// recordCold counts a request to an upstream that may become cold within the same second.
func (b *Balancer) recordCold(now time.Time, t *target) {
	if !t.boundedWhileCold() {
		return
	}
	b.resize(t)
	c := &t.cold
	if len(c.free) == 0 {
		return
	}
	c.free[c.next] = now.Add(coldWindow)
	c.next = (c.next + 1) % len(c.free)
}

// resize gives the ring of latest requests the size of this node's part. It keeps the latest.
func (b *Balancer) resize(t *target) {
	c := &t.cold
	if c.version == b.sharersVersion && c.perSecond == t.engine.ColdPerSecond {
		return
	}
	c.version, c.perSecond = b.sharersVersion, t.engine.ColdPerSecond
	part := b.coldPart(t)
	if part == len(c.free) {
		return
	}
	free := make([]time.Time, part)
	for i := range min(part, len(c.free)) {
		free[part-1-i] = c.free[(c.next-1-i+2*len(c.free))%len(c.free)]
	}
	c.free, c.next = free, 0
}

// coldPart returns the number of requests that this node may send to a cold upstream in a
// second. The requests of the bound are dealt to the sharers in turn, in the order of a rendezvous
// hash: with more sharers than requests, the first ones get one each.
func (b *Balancer) coldPart(t *target) int {
	if !b.joined || len(b.sharers) == 0 {
		return 0
	}
	bound := t.engine.ColdPerSecond*b.opts.ColdOverage + b.opts.ColdBurst
	requests := int(math.Floor(min(max(bound, 0), maxColdBound)))
	before := 0
	own := mix(t.hash ^ b.self)
	for _, s := range b.sharers {
		if mix(t.hash^s) > own {
			before++
		}
	}
	return (requests - before + len(b.sharers) - 1) / len(b.sharers)
}
