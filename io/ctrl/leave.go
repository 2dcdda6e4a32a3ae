package ctrl

import (
	"context"
	"time"

	"dotterelgap/core/raft"
	"dotterelgap/io/wire"

	"go.uber.org/zap"
)

// Timing of leaving the group.
const (
	// leaveTimeout bounds the time for which a host that stops waits for a successor.
	leaveTimeout  = 3 * time.Second
	leaveInterval = 50 * time.Millisecond
)

// Leave hands this host's vote and its leadership over before it stops, if another member can
// take them. It returns once that is done, at the latest after a few seconds or when ctx ends. The
// host stays a member, so that it only has to catch up if it starts again.
func (h *Host) Leave(ctx context.Context, client *Client) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	started := time.Now()
	var reply wire.LeaveReply
	var err error
	for ctx.Err() == nil {
		reply, err = Call[wire.LeaveReply](ctx, client, "Control.Leave", &wire.LeaveArgs{Member: h.deps.Identity.Member})
		if err == nil && (reply.Handed || reply.NoSuccessor) {
			break
		}
		pause(ctx, leaveInterval)
	}
	h.log.Info("control: leaving", zap.Bool("vote_handed_over", reply.Handed), zap.Bool("no_successor", reply.NoSuccessor),
		zap.Duration("after", time.Since(started).Round(time.Millisecond)), zap.Error(err))
}

// Leave records that a member is about to stop. The leader hands over its vote if it can.
func (s *Service) Leave(args *wire.LeaveArgs, reply *wire.LeaveReply) error {
	h, err := s.running()
	if err != nil {
		return err
	}
	ok := h.onLoop(func(now time.Time) {
		if reply.Hint = h.hint(); !reply.NotLeader {
			h.recordLeaving(now, args, reply)
		}
	})
	if !ok {
		reply.NotLeader = true
	}
	return nil
}

func (h *Host) recordLeaving(now time.Time, args *wire.LeaveArgs, reply *wire.LeaveReply) {
	ms := h.machine.Status().Members
	if _, ok := ms.Find(args.Member); ok {
		h.leader.leaving[args.Member] = now
	}
	if reply.Handed = h.machine.VoteHandedOver(args.Member); reply.Handed {
		return
	}
	// A leader without learners still hands its leadership over to another voter. With more voters
	// than intended, the successor votes already.
	leads := args.Member == h.deps.Identity.Member
	reply.NoSuccessor = ms.Voters() <= h.deps.Size && !h.hasSuccessor(now, func(m raft.Member) bool { return !m.Voter || leads })
}

// hasSuccessor reports whether a member that responds and does not leave is suitable.
func (h *Host) hasSuccessor(now time.Time, suitable func(raft.Member) bool) bool {
	leaving := h.leader.leavingMembers(now)
	for _, m := range h.machine.Status().Members.Members {
		if m.ID != h.deps.Identity.Member && suitable(m) && !leaving[m.ID] && h.machine.SinceLastReply(now, m.ID) < replaceAfter {
			return true
		}
	}
	return false
}
