package ctrl

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"net/netip"
	"time"

	"dotterelgap/core/raft"
	"dotterelgap/io/disk"
	"dotterelgap/io/wire"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
)

// Timing of joining the group.
const (
	joinTimeout       = 2 * time.Second
	joinRetryInterval = 200 * time.Millisecond
	// rejoinInterval is the time between two checks for a leader.
	rejoinInterval = time.Second
)

// Folder is an open data folder.
type Folder struct {
	Store    *disk.Store
	Identity disk.Identity
	Saved    raft.Saved
	// New is set if the folder was empty.
	New bool
}

// Member reports whether the folder's host has been added to a group.
func (f Folder) Member() bool {
	return len(f.Saved.Snapshot.Members.Members) > 0 || len(f.Saved.Entries) > 0
}

// OpenFolder opens an existing data folder. For an empty folder the error matches
// fs.ErrNotExist.
func OpenFolder(fsys disk.FS, dir string) (Folder, error) {
	store, id, saved, err := disk.Open(fsys, dir)
	return Folder{Store: store, Identity: id, Saved: saved}, err
}

// MakeFolder initializes an empty folder for a new member. With bootstrap set, the
// host at self is the only member of a new group.
func MakeFolder(fsys disk.FS, dir string, rnd *rand.Rand, self netip.AddrPort, bootstrap bool) (Folder, error) {
	id := disk.Identity{Member: raft.MemberID(rnd.Uint64() | 1)}
	var first raft.Snapshot
	if bootstrap {
		first = raft.Bootstrap(raft.Member{ID: id.Member, Addr: self}).Snapshot
	}
	if err := disk.Create(fsys, dir, id, first); err != nil {
		return Folder{}, err
	}
	f, err := OpenFolder(fsys, dir)
	f.New = true
	return f, err
}

// IsEmpty reports whether an error of OpenFolder means that the folder is empty.
func IsEmpty(err error) bool { return errors.Is(err, fs.ErrNotExist) }

// GroupExistsError means that a host could not bootstrap a group because another host
// belongs to one.
type GroupExistsError struct {
	Addr netip.AddrPort
}

// Error implements error.
func (e *GroupExistsError) Error() string {
	return fmt.Sprintf("%s belongs to a group already", e.Addr)
}

// RefuseSecondGroup returns a *GroupExistsError if one of the hosts belongs to a
// group. A host that has lost its folder must not bootstrap a second group.
func RefuseSecondGroup(ctx context.Context, pool *wire.Pool, hosts []netip.AddrPort, self netip.AddrPort) error {
	for _, addr := range hosts {
		if addr == self {
			continue
		}
		try, cancel := context.WithTimeout(ctx, time.Second)
		var exists bool
		err := pool.Call(try, addr, "Control.Exists", &wire.Empty{}, &exists)
		cancel()
		if err == nil && exists {
			return &GroupExistsError{Addr: addr}
		}
	}
	return trace.Wrap(ctx.Err())
}

// Join asks the group to add this host until it is a member or ctx ends.
func Join(ctx context.Context, log *zap.Logger, client *Client, self raft.Member) {
	for ctx.Err() == nil && !tryJoin(ctx, log, client, self) {
		pause(ctx, joinRetryInterval)
	}
}

func tryJoin(ctx context.Context, log *zap.Logger, client *Client, self raft.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	reply, err := Call[wire.JoinReply](ctx, client, "Control.Join", &wire.JoinArgs{Member: self})
	if err != nil || !reply.Member {
		return false
	}
	log.Info("control: joined the group", zap.Bool("voter", reply.Voter))
	return true
}

// StayJoined asks the group to add this host again whenever it has no leader, until
// ctx ends. The group may have removed the host while it was partitioned.
func (h *Host) StayJoined(ctx context.Context, client *Client) {
	self := raft.Member{ID: h.deps.Identity.Member, Addr: h.deps.Addr}
	for ctx.Err() == nil {
		pause(ctx, rejoinInterval)
		if !h.HasLeader() {
			tryJoin(ctx, h.log, client, self)
		}
	}
}
