package ctrl_test

import (
	"net/netip"
	"testing"
	"time"

	"dotterelgap/core/fleet"
	"dotterelgap/core/raft"
	"dotterelgap/core/state"
	"dotterelgap/io/ctrl"
	"dotterelgap/io/disk"

	"github.com/matryer/is"
)

// Guards against a node that uses an upstream which has left, since its group has no leader yet after
// the end of all nodes (review, case 8): what its own log holds is in force at once.
func TestSavedDeparturesNeedNoLeader(t *testing.T) {
	is := is.New(t)
	srv := listen(t)
	dir := t.TempDir()
	members := raft.Membership{}.With(raft.Member{ID: 1, Addr: srv.Addr(), Voter: true}).
		With(raft.Member{ID: 2, Addr: netip.MustParseAddrPort("127.0.0.1:1"), Voter: true})
	is.NoErr(disk.Create(disk.OS(), dir, disk.Identity{Member: 1}, raft.Snapshot{Index: 1, Term: 1, Members: members}))
	store, _, _, err := disk.Open(disk.OS(), dir)
	is.NoErr(err)
	left := fleet.Departure{ID: "i-1", Born: time.Unix(1_700_000_000, 0).UTC(), State: fleet.UpstreamGone}
	data, err := state.Encode(state.Command{Depart: &left})
	is.NoErr(err)
	entries := []raft.Entry{{Index: 2, Term: 1, Kind: raft.EntryNoop}, {Index: 3, Term: 1, Data: data}}
	is.NoErr(store.Append(time.Now(), &raft.State{Term: 1}, entries))
	is.NoErr(store.Close())
	var saved []fleet.Departure
	h, _, _ := serveFolder(t, dir, srv, func(d *ctrl.Deps) {
		d.OnSavedDepartures = func(list []fleet.Departure) { saved = append(saved, list...) }
	})
	is.Equal(saved, []fleet.Departure{left})
	is.True(!h.HasLeader())
}
