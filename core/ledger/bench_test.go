package ledger_test

import (
	"fmt"
	"net/netip"
	"testing"

	"dotterelgap/core/escrow"
	"dotterelgap/core/fleet"
	"dotterelgap/core/ledger"
	"dotterelgap/core/state"
)

// filled returns a state in which each customer has an open grant in each of 6
// places.
func filled(b *testing.B, customers int) *state.Machine {
	b.Helper()
	m := state.New()
	for i := range 680 {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
		m.Ledger.Join(fleet.Node{ID: fleet.NodeID(fmt.Sprint("agent-", i)), Role: fleet.RoleAgent, Place: fleet.Place(fmt.Sprint("p", i%6)), Addr: addr})
	}
	for c := range customers {
		name := fmt.Sprint("customer-", c)
		m.Ledger.Create(name)
		if err := m.Ledger.TopUp(ledger.TopUp{ID: "t", Customer: name, Tokens: 1_000_000}); err != nil {
			b.Fatal(err)
		}
		for p := range 6 {
			m.Ledger.Open(refill(c, p, 1))
		}
	}
	return m
}

func refill(customer, place int, seq uint64) escrow.Refill {
	return escrow.Refill{
		Holder:   fleet.NodeID(fmt.Sprintf("entry-%d-%d", place, customer%60)),
		Place:    fleet.Place(fmt.Sprint("p", place)),
		Customer: fmt.Sprint("customer-", customer), Seq: seq, Latest: 1 << 60, Rate: 1, Horizon: 3600, Need: 10, Want: 10,
	}
}

// BenchmarkOpenAndClose measures one refill and the close of its grant.
func BenchmarkOpenAndClose(b *testing.B) {
	for _, customers := range []int{1000, 8000, 32000} {
		b.Run(fmt.Sprint(customers), func(b *testing.B) {
			m := filled(b, customers)
			b.ResetTimer()
			for i := range b.N {
				r := refill(i%customers, i%6, uint64(i+2))
				a := m.Ledger.Open(r)
				if a.Grant == nil {
					b.Fatal("denied")
				}
				m.Ledger.Close(escrow.Close{Grant: a.Grant.ID, Holder: r.Holder, Spent: 1, Final: true})
			}
		})
	}
}

// BenchmarkSnapshot measures the encoding of the whole state and reports the
// snapshot's size as snapshot_bytes.
func BenchmarkSnapshot(b *testing.B) {
	for _, customers := range []int{1000, 8000, 32000} {
		b.Run(fmt.Sprint(customers), func(b *testing.B) {
			m := filled(b, customers)
			b.ResetTimer()
			for range b.N {
				data, err := m.Snapshot()
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(len(data)), "snapshot_bytes")
			}
		})
	}
}
