package gossip

import (
	"encoding/binary"
	"errors"
	"slices"
	"time"

	"dotterelgap/core/codec"
	"dotterelgap/core/fleet"

	"github.com/cespare/xxhash/v2"
)

// Beat is the heartbeat counter of a peer or an upstream whose record has not changed
// otherwise.
type Beat struct {
	// Key identifies the peer or the incarnation of the upstream.
	Key   uint32
	Count uint64
}

// Beats are heartbeat counters with a compact encoding, since they are most of what nodes
// send each other while nothing changes.
type Beats []Beat

// beatKey returns the key of a peer's id. Two peers with the same key would keep each other
// alive, which soft state may do.
func beatKey(id fleet.NodeID) uint32 { return uint32(xxhash.Sum64String(string(id))) }

// errMalformedBeats reports an encoding that MarshalBinary does not return.
var errMalformedBeats = errors.New("gossip: malformed heartbeat counters")

// MarshalBinary implements encoding.BinaryMarshaler.
func (b Beats) MarshalBinary() ([]byte, error) {
	var out []byte
	out = binary.AppendUvarint(out, uint64(len(b)))
	for _, p := range b {
		out = binary.LittleEndian.AppendUint32(out, p.Key)
		out = binary.AppendUvarint(out, p.Count)
	}
	return out, nil
}

// UnmarshalBinary implements encoding.BinaryUnmarshaler.
func (b *Beats) UnmarshalBinary(data []byte) error {
	*b = nil
	n, size := binary.Uvarint(data)
	if size <= 0 || n > codec.MaxCount {
		return errMalformedBeats
	}
	data = data[size:]
	for range n {
		if len(data) < beatKeySize {
			return errMalformedBeats
		}
		key := binary.LittleEndian.Uint32(data)
		count, size := binary.Uvarint(data[beatKeySize:])
		if size <= 0 {
			return errMalformedBeats
		}
		*b = append(*b, Beat{Key: key, Count: count})
		data = data[beatKeySize+size:]
	}
	if len(data) > 0 {
		return errMalformedBeats
	}
	return nil
}

// upstreamBeatKey returns the key of the record of an incarnation of an upstream.
func upstreamBeatKey(u fleet.Upstream) uint32 {
	return uint32(xxhash.Sum64String(string(u.Key())) ^ uint64(u.Born.UnixMilli()))
}

// beatKeySize is the size of a key in bytes.
const beatKeySize = 4

// beatsSince returns the counters of the peers of which nothing else changed after a stamp.
func (m *Machine) beatsSince(stamp uint64, to fleet.NodeID) Beats {
	var out Beats
	for _, p := range m.peers.TouchedSince(stamp, to) {
		out = append(out, Beat{Key: beatKey(p.ID), Count: p.Beat})
	}
	return out
}

// upstreamBeatsSince returns the counters of the upstreams of which nothing else changed
// after a stamp.
func (m *Machine) upstreamBeatsSince(stamp uint64, to fleet.NodeID) Beats {
	var out Beats
	for _, u := range m.upstreams.TouchedSince(stamp, to) {
		out = append(out, Beat{Key: upstreamBeatKey(u), Count: u.Seq})
	}
	return out
}

// without returns the counters that are higher than those that the partner has sent.
func (b Beats) without(sent Beats) Beats {
	count := make(map[uint32]uint64, len(sent))
	for _, p := range sent {
		count[p.Key] = p.Count
	}
	return slices.DeleteFunc(b, func(p Beat) bool { return p.Count <= count[p.Key] })
}

// mergeBeats applies the counters of peers that a partner sent. If it names a peer that this
// node does not know, the next request asks the partner for all of its records.
func (m *Machine) mergeBeats(now time.Time, from fleet.NodeID, beats Beats) {
	if len(beats) == 0 {
		return
	}
	known := map[uint32]fleet.Peer{}
	for _, p := range m.peers.All() {
		known[beatKey(p.ID)] = p
	}
	for _, b := range beats {
		p, ok := known[b.Key]
		if !ok {
			m.partner(from).merged = 0
			continue
		}
		p.Beat = b.Count
		m.putPeer(now, p, from)
	}
}

// mergeUpstreamBeats applies the counters of upstreams that a partner sent.
func (m *Machine) mergeUpstreamBeats(now time.Time, from fleet.NodeID, beats Beats) {
	if len(beats) == 0 {
		return
	}
	known := map[uint32]fleet.Upstream{}
	for _, u := range m.upstreams.All() {
		known[upstreamBeatKey(u)] = u
	}
	for _, b := range beats {
		u, ok := known[b.Key]
		if !ok {
			m.partner(from).merged = 0
			continue
		}
		u.Seq, u.Cold = b.Count, m.coldLeft(now, u.Key())
		m.putUpstream(now, u, from)
	}
}
