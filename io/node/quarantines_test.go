package node

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"dotterelgap/core/fleet"
	"dotterelgap/io/disk"
	"dotterelgap/io/mesh"
	"dotterelgap/io/wire"

	"github.com/matryer/is"
	"go.uber.org/zap"
)

// startMesh starts the mesh of a node without partners.
func startMesh(t *testing.T) *mesh.Mesh {
	is := is.New(t)
	srv, err := wire.Listen(wire.Params{Addr: netip.MustParseAddrPort("127.0.0.1:0"), Log: zap.NewNop()})
	is.NoErr(err)
	pool := wire.NewPool(nil)
	m, err := mesh.Start(mesh.Deps{
		Log: zap.NewNop(), Pool: pool, Server: srv, Self: fleet.Peer{ID: "entry-1", Addr: srv.Addr()},
		Rand: rand.New(rand.NewPCG(1, 2)), Changed: func() {},
	})
	is.NoErr(err)
	t.Cleanup(func() {
		_ = m.Close()
		_ = pool.Close()
	})
	return m
}

// Guards against a quarantine that reaches a node before it has opened its data folder not
// being written to it.
func TestQuarantineBeforeTheFolderIsOpenIsWritten(t *testing.T) {
	is := is.New(t)
	m := startMesh(t)
	q := fleet.Quarantine{Parts: []uint64{7}, Round: 1, Left: time.Minute}
	m.Quarantine(q)
	n := &Node{deps: Deps{FS: disk.OS(), DataDir: t.TempDir()}, log: zap.NewNop(), mesh: m, quarantined: make(chan struct{}, 1)}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.keepQuarantines(ctx)
	}()
	n.quarantined <- struct{}{}
	file := disk.NewValue[savedQuarantines](disk.OS(), n.deps.DataDir, quarantineFile)
	var saved savedQuarantines
	for limit := time.Now().Add(5 * time.Second); len(saved.Quarantines) == 0 && time.Now().Before(limit); {
		var err error
		saved, err = file.Load()
		is.NoErr(err)
		time.Sleep(5 * time.Millisecond)
	}
	cancel()
	<-done
	is.Equal(len(saved.Quarantines), 1)
	is.Equal(saved.Quarantines[0].Parts, q.Parts)
}
