package fleet

import (
	"net/netip"
	"time"
)

// UpstreamState says whether an upstream takes new work.
type UpstreamState uint8

// The states of an upstream, in the order of its life.
const (
	UpstreamReady UpstreamState = iota
	UpstreamDraining
	UpstreamGone
)

// Upstream is a model engine or business service that announces itself.
type Upstream struct {
	// ID is what the upstream calls itself; a restarted one may keep it.
	ID      string
	Service string
	Addr    netip.AddrPort
	Place   Place
	// Born tells the lives of an upstream apart. It is the start of its process.
	Born time.Time
	// Seq grows with each announcement of one life.
	Seq   uint64
	State UpstreamState
	Slots int
	// Version is the version of the upstream's software.
	Version string
	// Cold is how much longer the upstream stays slow after its start.
	Cold time.Duration
}

// Newer tells whether u is a later word than v on the same upstream. Within one
// life, gone is final and draining is not taken back by a delayed announcement.
func (u Upstream) Newer(v Upstream) bool {
	if !u.Born.Equal(v.Born) {
		return u.Born.After(v.Born)
	}
	if v.State == UpstreamGone {
		return false
	}
	if u.State == UpstreamGone {
		return true
	}
	return u.Seq > v.Seq
}
