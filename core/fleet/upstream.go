package fleet

import (
	"net/netip"
	"time"
)

// UpstreamState is the state of an upstream, which decides whether it accepts requests.
type UpstreamState uint8

// The states of an upstream, in the order of its lifecycle.
const (
	UpstreamReady UpstreamState = iota
	UpstreamDraining
	UpstreamGone
)

// Upstream is a model engine or business service that sends heartbeats.
type Upstream struct {
	// Departure is set if this is no record of a heartbeat but the promise of a Departure.
	Departure bool
	// ID is the name that the upstream gives itself. It may be the same after a restart.
	ID      string
	Service string
	Addr    netip.AddrPort
	Place   Place
	// Born is the start time of the process. It identifies the incarnation.
	Born time.Time
	// Seq increases with each heartbeat of an incarnation.
	Seq   uint64
	State UpstreamState
	Slots int
	// Version is the version of the upstream's software.
	Version string
	// Cold is the remaining time for which the upstream is slow after its start.
	Cold time.Duration
}

// UpstreamKey identifies the records of an upstream of one service. Records of another service under
// the same ID are kept beside them, since they may come from another writer.
type UpstreamKey string

// Key returns the key of the record.
func (u Upstream) Key() UpstreamKey {
	key := UpstreamKey(u.ID + "\x00" + u.Service)
	if u.Departure {
		key += "\x00"
	}
	return key
}

// Newer reports whether u is a newer record with the same key than v. Within one
// incarnation the state only advances: a heartbeat does not revert UpstreamDraining, also one
// that was sent before the upstream began to drain and counted after it.
func (u Upstream) Newer(v Upstream) bool {
	if !u.Born.Equal(v.Born) {
		return u.Born.After(v.Born)
	}
	if u.State != v.State {
		return u.State > v.State
	}
	return u.State != UpstreamGone && u.Seq > v.Seq
}
