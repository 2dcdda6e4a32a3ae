package config_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"dotterelgap/core/config"

	"github.com/fxamacker/cbor/v2"
)

func document(customers int) config.Document {
	doc := config.Document{Environment: config.Environment{Name: "e", CustomerKeys: map[string][]config.Digest{}}}
	for s := range 12 {
		doc.Intent.Services = append(doc.Intent.Services, config.Service{Name: fmt.Sprint("model-", s), Kind: config.KindModel, MaxOutputTokens: 4096})
	}
	for c := range customers {
		name := fmt.Sprint("customer-", c)
		doc.Intent.Customers = append(doc.Intent.Customers, config.Customer{
			Name: name, Weight: 1, Services: []config.Access{{Service: "model-0"}, {Service: "model-1"}},
		})
		doc.Environment.Operators = []config.Operator{{Name: "o", Keys: []config.Digest{config.DigestOf("o")}}}
		doc.Environment.CustomerKeys[name] = []config.Digest{config.DigestOf(name)}
	}
	return doc
}

// BenchmarkFollow measures one change at a follower: it applies the delta, which is verified
// by its fingerprint, and joins the document.
func BenchmarkFollow(b *testing.B) {
	for _, customers := range []int{100, 1000, 7900} {
		b.Run(fmt.Sprint(customers), func(b *testing.B) {
			leader, follower := config.NewStore(), config.NewStore()
			leader.Apply(config.Change{Put: config.Split(document(customers))})
			if _, err := follower.Follow(leader.Since(0)); err != nil {
				b.Fatal(err)
			}
			b.ResetTimer()
			for i := range b.N {
				leader.Apply(config.Change{Put: map[string][]byte{"customer/customer-1": fmt.Appendf(nil, `{"name":"customer-1","weight":%d}`, i+1)}})
				d := leader.Since(follower.Version)
				data, err := cbor.Marshal(d)
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(len(data)), "delta_bytes")
				if _, err := follower.Follow(d); err != nil {
					b.Fatal(err)
				}
				if _, err := config.Join(follower.Values()); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkFullDelta measures the delta that a restarted follower receives.
func BenchmarkFullDelta(b *testing.B) {
	for _, customers := range []int{100, 1000, 7900} {
		b.Run(fmt.Sprint(customers), func(b *testing.B) {
			leader := config.NewStore()
			leader.Apply(config.Change{Put: config.Split(document(customers))})
			for range b.N {
				data, err := cbor.Marshal(leader.Since(0))
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(len(data)), "delta_bytes")
			}
		})
	}
}

// BenchmarkParse parses and validates a whole document, as the admin API does.
func BenchmarkParse(b *testing.B) {
	for _, customers := range []int{100, 1000, 7900} {
		b.Run(fmt.Sprint(customers), func(b *testing.B) {
			text, err := json.Marshal(document(customers))
			if err != nil {
				b.Fatal(err)
			}
			b.ResetTimer()
			for range b.N {
				if _, err := config.Parse("bench.json", text); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkStoreMemory reports the memory that the configuration uses at a follower.
func BenchmarkStoreMemory(b *testing.B) {
	for _, customers := range []int{100, 1000, 7900} {
		b.Run(fmt.Sprint(customers), func(b *testing.B) {
			leader := config.NewStore()
			leader.Apply(config.Change{Put: config.Split(document(customers))})
			d := leader.Since(0)
			for range b.N {
				before := heap()
				f := config.NewStore()
				if _, err := f.Follow(d); err != nil {
					b.Fatal(err)
				}
				doc, err := config.Join(f.Values())
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(heap()-before), "bytes")
				runtime.KeepAlive(f)
				runtime.KeepAlive(doc)
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
