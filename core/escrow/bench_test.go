package escrow_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"dotterelgap/core/escrow"
)

// BenchmarkReserve measures one reservation and its release at a holder.
func BenchmarkReserve(b *testing.B) {
	for _, customers := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(customers), func(b *testing.B) {
			now := time.Unix(1_000_000, 0)
			h := stocked(now, customers)
			var fx escrow.Effects
			b.ResetTimer()
			for i := range b.N {
				fx.Reset()
				id := fmt.Sprint(i)
				h.Reserve(now, escrow.Request{ID: id, Customer: fmt.Sprint("c", i%customers), Worst: 100}, &fx)
				h.Release(now, id, 0, &fx)
			}
		})
	}
}

// BenchmarkTick measures a tick of a holder with grants for all customers.
func BenchmarkTick(b *testing.B) {
	for _, customers := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(customers), func(b *testing.B) {
			now := time.Unix(1_000_000, 0)
			h := stocked(now, customers)
			var fx escrow.Effects
			b.ResetTimer()
			for range b.N {
				fx.Reset()
				now = now.Add(50 * time.Millisecond)
				h.Tick(now, &fx)
			}
		})
	}
}

// BenchmarkHolderMemory measures a holder's memory per customer.
func BenchmarkHolderMemory(b *testing.B) {
	for _, customers := range []int{1000, 4000, 16000} {
		b.Run(fmt.Sprint(customers), func(b *testing.B) {
			for range b.N {
				before := heap()
				h := stocked(time.Unix(1_000_000, 0), customers)
				b.ReportMetric(float64(heap()-before)/float64(customers), "bytes/customer")
				runtime.KeepAlive(h)
			}
		})
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func stocked(now time.Time, customers int) *escrow.Holder {
	h := escrow.NewHolder("entry-1", "p0", escrow.DefaultOptions())
	var fx escrow.Effects
	for c := range customers {
		name := fmt.Sprint("c", c)
		h.Reserve(now, escrow.Request{ID: name, Customer: name, Worst: 1}, &fx)
		h.AddGrant(now, 1, escrow.Grant{ID: escrow.GrantID(c + 1), Customer: name, Place: "p0", Holder: "entry-1", Amount: 1 << 40}, &fx)
		fx.Reset()
	}
	return h
}
