package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dotterelgap/core/fleet"
	"dotterelgap/core/route"
)

// BenchmarkPick measures one routing decision for a prompt of 900 tokens.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{23, 170, 680} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now := time.Unix(1_000_000, 0)
			r := route.New(route.DefaultOptions(), "entry-1", "p0", rand.New(rand.NewPCG(1, 2)))
			r.SetNodes(now, agents(n))
			blocks := route.Blocks(make([]byte, 3600), 64)
			q := route.Query{Service: "s", Tokens: 900, Blocks: blocks}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				id, ok := r.Pick(now, q)
				if !ok {
					b.Fatal("no upstream")
				}
				r.Started(id)
				r.Ended(now, id, route.Result{FirstToken: 50 * time.Millisecond, Tokens: 900, Blocks: blocks})
			}
		})
	}
}

func agents(n int) []fleet.Node {
	var out []fleet.Node
	for i := range n {
		out = append(out, fleet.Node{
			ID: fleet.NodeID(fmt.Sprint("agent-", i)), Role: fleet.RoleAgent, Service: "s",
			Place: fleet.Place(fmt.Sprint("p", i%6)), Slots: 64,
		})
	}
	return out
}
