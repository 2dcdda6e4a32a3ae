package node

import (
	"fmt"
	"testing"
)

// BenchmarkPack measures packing and unpacking a policy.
func BenchmarkPack(b *testing.B) {
	for _, n := range []int{200, 2000, 8000} {
		data := routes(n)
		packed, err := pack(data)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprint("pack_", n, "_routes"), func(b *testing.B) {
			for b.Loop() {
				if _, err := pack(data); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "bytes")
			b.ReportMetric(float64(len(packed)), "packed_bytes")
		})
		b.Run(fmt.Sprint("unpack_", n, "_routes"), func(b *testing.B) {
			for b.Loop() {
				if _, err := unpack(packed); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
