package ctrl_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"time"

	"dotterelgap/core/escrow"
	"dotterelgap/core/fleet"
	"dotterelgap/core/raft"
	"dotterelgap/io/ctrl"
	"dotterelgap/io/disk"
	"dotterelgap/io/wire"

	"go.uber.org/zap"
)

// startHost starts a control group of one host over real TCP and a real disk.
func startHost(b testing.TB) (*ctrl.Client, *wire.Pool) {
	b.Helper()
	_, client, pool := startClosable(b)
	return client, pool
}

func listen(b testing.TB) *wire.Server {
	b.Helper()
	srv, err := wire.Listen(wire.Params{Addr: netip.MustParseAddrPort("127.0.0.1:0"), Log: zap.NewNop()})
	if err != nil {
		b.Fatal(err)
	}
	return srv
}

// startClosable also returns the host, which may be closed early.
func startClosable(b testing.TB) (*ctrl.Host, *ctrl.Client, *wire.Pool) {
	b.Helper()
	return startIn(b, b.TempDir())
}

// startIn starts a control group of one host with a new data folder at dir.
func startIn(b testing.TB, dir string) (*ctrl.Host, *ctrl.Client, *wire.Pool) {
	b.Helper()
	srv := listen(b)
	createFolder(b, dir, srv.Addr())
	return serveFolder(b, dir, srv, func(*ctrl.Deps) {})
}

// createFolder creates the data folder of the only host of a group.
func createFolder(b testing.TB, dir string, addr netip.AddrPort) {
	b.Helper()
	first := raft.Bootstrap(raft.Member{ID: 1, Addr: addr}).Snapshot
	if err := disk.Create(disk.OS(), dir, disk.Identity{Member: 1}, first); err != nil {
		b.Fatal(err)
	}
}

// serveFolder starts the host of an existing data folder. modify may change its dependencies.
func serveFolder(b testing.TB, dir string, srv *wire.Server, modify func(*ctrl.Deps)) (*ctrl.Host, *ctrl.Client, *wire.Pool) {
	b.Helper()
	store, id, saved, err := disk.Open(disk.OS(), dir)
	if err != nil {
		b.Fatal(err)
	}
	pool := wire.NewPool(nil)
	deps := ctrl.Deps{
		Log: zap.NewNop(), Store: store, Identity: id, Saved: saved, Pool: pool, Addr: srv.Addr(),
		Size: 1, Rand: rand.New(rand.NewPCG(1, 2)), Fatal: func(error) {},
	}
	modify(&deps)
	h, err := ctrl.Start(deps)
	if err != nil {
		b.Fatal(err)
	}
	if err := srv.Register("Control", ctrl.NewService(h)); err != nil {
		b.Fatal(err)
	}
	srv.Serve()
	b.Cleanup(func() {
		_ = pool.Close()
		_ = h.Close()
		_ = srv.Close(context.Background())
	})
	return h, ctrl.NewClient(pool, []netip.AddrPort{srv.Addr()}), pool
}

// BenchmarkHeartbeat measures a heartbeat of an entry, by the number of processes.
func BenchmarkHeartbeat(b *testing.B) {
	for _, nodes := range []int{50, 200, 1040} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			c, _ := startHost(b)
			args := make([]wire.BeatArgs, nodes)
			for i := range args {
				addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
				args[i] = wire.BeatArgs{Config: 1, Node: fleet.Node{ID: fleet.NodeID(fmt.Sprint("entry-", i)), Role: fleet.RoleEntry, Place: "p", Addr: addr}}
				sendHeartbeat(b, c, &args[i])
			}
			for i := range args {
				sendHeartbeat(b, c, &args[i])
			}
			b.ResetTimer()
			for i := range b.N {
				sendHeartbeat(b, c, &args[i%nodes])
			}
		})
	}
}

func sendHeartbeat(b *testing.B, c *ctrl.Client, args *wire.BeatArgs) {
	r, err := ctrl.Call[wire.BeatReply](context.Background(), c, "Control.Beat", args)
	if err != nil {
		b.Fatal(err)
	}
	if r.Roster != nil {
		args.Roster = r.Roster.Version
	}
}

// BenchmarkCommit measures a budget call, by the number of concurrent callers.
func BenchmarkCommit(b *testing.B) {
	for _, callers := range []int{1, 32, 256} {
		b.Run(fmt.Sprint(callers), func(b *testing.B) {
			c, _ := startHost(b)
			args := wire.BudgetArgs{Spends: []escrow.Spend{{Grant: 1, Holder: "e", Spent: 1}}}
			var wg sync.WaitGroup
			next := make(chan struct{}, callers)
			b.ResetTimer()
			for range callers {
				wg.Go(func() {
					for range next {
						ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
						if _, err := ctrl.Call[wire.BudgetReply](ctx, c, "Control.Budget", &args); err != nil {
							b.Error(err)
						}
						cancel()
					}
				})
			}
			for range b.N {
				next <- struct{}{}
			}
			close(next)
			wg.Wait()
		})
	}
}
