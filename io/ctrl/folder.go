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

// Pauses of a host that joins the group.
const (
	joinTimeout       = 2 * time.Second
	joinRetryInterval = 200 * time.Millisecond
	// rejoinPause is the time between two looks at whether a leader is heard.
	rejoinInterval = time.Second
)

// Folder is an open data folder.
type Folder struct {
	Store    *disk.Store
	Identity disk.Identity
	Saved    raft.Saved
	// New is set where the folder was empty.
	New bool
}

// Member tells whether the folder's host has been taken into a group.
func (f Folder) Member() bool {
	return len(f.Saved.Snapshot.Members.Members) > 0 || len(f.Saved.Entries) > 0
}

// OpenFolder opens a data folder that was written before. An empty one gives an
// error that is fs.ErrNotExist.
func OpenFolder(fsys disk.FS, dir string) (Folder, error) {
	store, id, saved, err := disk.Open(fsys, dir)
	return Folder{Store: store, Identity: id, Saved: saved}, err
}

// MakeFolder makes an empty folder that of a new member. With found set, the
// host at self forms a new group by it.
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

// IsEmpty tells whether an error of OpenFolder means that the folder is empty.
func IsEmpty(err error) bool { return errors.Is(err, fs.ErrNotExist) }

// GroupExistsError says that a host that was to form a group found one.
type GroupExistsError struct {
	Addr netip.AddrPort
}

// Error implements error.
func (e *GroupExistsError) Error() string {
	return fmt.Sprintf("%s belongs to a group already", e.Addr)
}

// RefuseSecondGroup returns a *GroupExistsError if one of the hosts belongs to a
// group: a host that lost its folder must not form another one beside it.
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

// Join asks the group to take this host in, until it is a member.
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
	log.Info("control: this host is a member", zap.Bool("voter", reply.Voter))
	return true
}

// StayJoined asks to be taken in again whenever this host hears no leader, until
// ctx ends: the group may have taken it out while it was parted from it.
func (h *Host) StayJoined(ctx context.Context, client *Client) {
	self := raft.Member{ID: h.deps.Identity.Member, Addr: h.deps.Addr}
	for ctx.Err() == nil {
		pause(ctx, rejoinInterval)
		if !h.HasLeader() {
			tryJoin(ctx, h.log, client, self)
		}
	}
}
