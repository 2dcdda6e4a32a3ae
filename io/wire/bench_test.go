package wire_test

import (
	"bytes"
	"encoding/gob"
	"net/netip"
	"testing"

	"dotterelgap/core/fleet"
	"dotterelgap/io/wire"
)

// BenchmarkHeartbeatSize reports the size of a heartbeat and its reply, in bytes, on a
// connection that has already sent one.
func BenchmarkHeartbeatSize(b *testing.B) {
	args := wire.BeatArgs{Config: 3000, Node: fleet.Node{
		ID: "entry-0c2d5b1e9f00", Role: fleet.RoleEntry, Place: "gujranwala", Addr: netip.MustParseAddrPort("10.0.0.7:7100"),
	}}
	reply := wire.BeatReply{Floor: 1 << 30, Control: []netip.AddrPort{args.Node.Addr, args.Node.Addr, args.Node.Addr, args.Node.Addr, args.Node.Addr}}
	for range b.N {
		b.ReportMetric(float64(encodedSize(b, args)+encodedSize(b, reply)), "bytes/beat")
	}
}

// BenchmarkRosterSize reports the size per process of a membership view, in bytes, by the
// number of processes.
func BenchmarkRosterSize(b *testing.B) {
	for _, n := range []int{50, 200, 1040} {
		b.Run(string(rune('0'+n/100%10))+"00", func(b *testing.B) {
			r := wire.BeatReply{Roster: &wire.Roster{}}
			for i := range n {
				r.Roster.Nodes = append(r.Roster.Nodes, fleet.Node{
					ID: "agent-0c2d5b1e9f00", Role: fleet.RoleAgent, Place: "gujranwala", Service: "peg-assistant", Slots: 64,
					Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7100),
				})
			}
			for range b.N {
				b.ReportMetric(float64(encodedSize(b, r))/float64(n), "bytes/process")
			}
		})
	}
}

// encodedSize returns the size of a value in a stream that already contains its type.
func encodedSize(b *testing.B, v any) int {
	b.Helper()
	var buf bytes.Buffer
	enc := gob.NewEncoder(&buf)
	size := 0
	for range 2 {
		before := buf.Len()
		if err := enc.Encode(v); err != nil {
			b.Fatal(err)
		}
		size = buf.Len() - before
	}
	return size
}
