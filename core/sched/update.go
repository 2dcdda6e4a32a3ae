package sched

import (
	"encoding/binary"
	"math"
	"time"

	"dotterelgap/core/codec"
)

// UpdateKind is what an Update tells about an upstream.
type UpdateKind uint8

// The kinds of updates. Their values are part of the encoding.
const (
	// Placement means that a request was sent to the upstream.
	Placement UpdateKind = iota + 1
	// Failure means that a request failed at the upstream.
	Failure
	// NamedLimit means that the upstream named a limit, or names none any more.
	NamedLimit
	// Paused means that the upstream wants no requests from the sender for a time.
	Paused
	// Occupied means that a request without a prompt was sent to the upstream.
	Occupied
	// ServiceLoad tells the sender's load of a service without prompts.
	ServiceLoad
	// Slowed means that the upstream was late or rejected a request after it had started or
	// recovered.
	Slowed
)

// Update tells other nodes that a request was placed on an upstream, that an upstream
// failed, was slow, named a limit or asked for a pause, or what load the sender has of a
// service, so that all nodes have a similar view of the upstreams' load, caches, memory,
// speed, health and limits. It is sent as a datagram and may be lost.
type Update struct {
	Kind UpdateKind
	// Upstream is the hash of the upstream's id, or of the service's name for ServiceLoad.
	Upstream uint64
	// Uncached is the estimated number of tokens that the upstream has to prefill for a
	// placement of a prompt with these parts.
	Uncached int
	Parts    []PartKey
	// Slowdown is the slowdown of the upstream that the sender's latest first token showed, relative
	// to the initial estimates; 0 if there was none since its latest update.
	Slowdown float64
	// Holds is the most tokens that the request of a placement holds of the upstream's memory, and
	// Lasts how long it is expected to.
	Holds int
	Lasts time.Duration
	// Occupies is the estimated time for which a request without a prompt takes a place of the
	// upstream; 0 if the sender does not know it.
	Occupies time.Duration
	// Load is the sender's rate in requests per second.
	Load float64
	// Limit is the limit that the upstream names.
	Limit RateLimit
	// Pause is how long the upstream wants no requests.
	Pause time.Duration
}

// maxUpdateParts is the maximum number of parts in one update.
const maxUpdateParts = 64

// occupiesUnit is the unit in which Occupies is encoded.
const occupiesUnit = 100 * time.Microsecond

// lastsUnit is the unit in which Lasts is encoded.
const lastsUnit = 50 * time.Millisecond

// loadUnit is the unit in which a load is encoded.
const loadUnit = 0.01

// limitUnit is the unit in which limits are encoded, in requests per second.
const limitUnit = 0.001

// Append appends the encoding of the update to b.
func (u Update) Append(b []byte) []byte {
	b = append(b, byte(u.Kind))
	b = binary.LittleEndian.AppendUint64(b, u.Upstream)
	switch u.Kind {
	case Placement:
		return u.appendPlacement(b)
	case NamedLimit:
		return binary.AppendUvarint(b, u.Limit.encode())
	case Paused:
		return binary.AppendUvarint(b, uint64(u.Pause.Milliseconds()))
	case ServiceLoad:
		b = binary.AppendUvarint(b, uint64(min(u.Load/loadUnit+0.5, codec.MaxCount)))
		return binary.AppendUvarint(b, uint64(min(u.Occupies/occupiesUnit, codec.MaxCount)))
	case Occupied:
		return binary.AppendUvarint(b, uint64(min(u.Occupies/occupiesUnit, codec.MaxCount)))
	}
	return b
}

func (u Update) appendPlacement(b []byte) []byte {
	b = binary.AppendUvarint(b, encodeSlowdown(u.Slowdown))
	b = binary.AppendUvarint(b, uint64(u.Uncached))
	b = binary.AppendUvarint(b, uint64(u.Holds))
	b = binary.AppendUvarint(b, uint64(min(max((u.Lasts+lastsUnit-1)/lastsUnit, 0), codec.MaxCount)))
	b = binary.AppendUvarint(b, uint64(len(u.Parts)))
	for _, p := range u.Parts {
		b = binary.LittleEndian.AppendUint64(b, p.Key)
		b = binary.AppendUvarint(b, uint64(p.Tokens))
	}
	return b
}

// ParseUpdate decodes an update; ok is false if b is not an update or malformed.
func ParseUpdate(b []byte) (u Update, ok bool) {
	if len(b) == 0 || UpdateKind(b[0]) < Placement || UpdateKind(b[0]) > Slowed {
		return Update{}, false
	}
	r := codec.NewReader(b[1:])
	u = Update{Kind: UpdateKind(b[0]), Upstream: r.Fixed()}
	switch u.Kind {
	case Placement:
		return u.parsePlacement(r)
	case NamedLimit:
		u.Limit = decodeLimit(r.Count())
	case Paused:
		u.Pause = min(time.Duration(r.Count())*time.Millisecond, MaxPause)
	case ServiceLoad:
		u.Load = float64(r.Count()) * loadUnit
		u.Occupies = time.Duration(r.Count()) * occupiesUnit
	case Occupied:
		u.Occupies = time.Duration(r.Count()) * occupiesUnit
	}
	return u, r.OK()
}

func (u Update) parsePlacement(r *codec.Reader) (Update, bool) {
	u.Slowdown = decodeSlowdown(r.Count())
	u.Uncached = r.Count()
	u.Holds = r.Count()
	u.Lasts = time.Duration(r.Count()) * lastsUnit
	parts := r.Count()
	if !r.OK() || parts > maxUpdateParts {
		return Update{}, false
	}
	for range parts {
		u.Parts = append(u.Parts, PartKey{Key: r.Fixed(), Tokens: r.Count()})
	}
	return u, r.OK()
}

// encode returns 0 for no limit, else 1 more than the limit in limitUnit.
func (l RateLimit) encode() uint64 {
	if !l.Named {
		return 0
	}
	return 1 + uint64(min(l.PerSecond/limitUnit, codec.MaxCount-1))
}

func decodeLimit(n int) RateLimit {
	if n == 0 {
		return RateLimit{}
	}
	return RateLimit{Named: true, PerSecond: float64(n-1) * limitUnit}
}

// Slowdowns are encoded on a logarithmic scale, with slowdownSteps steps for a factor of 2 and 1
// as slowdownOne. 0 stands for none.
const (
	slowdownSteps = 16
	slowdownOne   = 128
)

func encodeSlowdown(s float64) uint64 {
	if !(s > 0) {
		return 0
	}
	return uint64(min(max(math.Round(slowdownOne+slowdownSteps*math.Log2(s)), 1), 2*slowdownOne))
}

func decodeSlowdown(n int) float64 {
	if n == 0 {
		return 0
	}
	return math.Exp2(float64(min(n, 2*slowdownOne)-slowdownOne) / slowdownSteps)
}

// OnUpdate applies an update from another node.
func (b *Balancer) OnUpdate(now time.Time, u Update) {
	if u.Kind == ServiceLoad {
		if l, ok := b.loadByHash[u.Upstream]; ok {
			l.hear(now, u.Load, u.Occupies)
		}
		return
	}
	t, ok := b.byHash[u.Upstream]
	if !ok {
		return
	}
	switch u.Kind {
	case Failure:
		t.pace.Bad(now)
		b.recordFailure(now, t, reportedFailure)
	case Slowed:
		t.pace.Bad(now)
	case NamedLimit:
		t.setLimit(now, u.Limit)
	case Paused:
		t.avoidUntil = now.Add(u.Pause)
	case Placement:
		if u.Slowdown > 0 {
			t.slowdown.observe(boundSlowdown(u.Slowdown / t.speed.nominal()))
		}
		t.triedAt = now
		t.recordPlacement(now, u.Parts, t.bounded(u.Uncached))
		t.heldByOther(now, u.Holds, u.Lasts)
		t.limiter.sent(now, b.share)
	case Occupied:
		t.placedByOther(now, u.Occupies)
		t.limiter.sent(now, b.share)
	}
}
