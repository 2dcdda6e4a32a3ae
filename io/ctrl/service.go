package ctrl

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"dotterelgap/core/escrow"
	"dotterelgap/core/fleet"
	"dotterelgap/core/raft"
	"dotterelgap/core/state"
	"dotterelgap/io/wire"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
)

// Service is the net/rpc service "Control" of a control host.
type Service struct {
	host atomic.Pointer[Host]
}

// NewService returns the service of a host. h may be nil while there is none.
func NewService(h *Host) *Service {
	s := &Service{}
	s.Set(h)
	return s
}

// Set replaces the host that serves the calls.
func (s *Service) Set(h *Host) { s.host.Store(h) }

func (s *Service) running() (*Host, error) {
	if h := s.host.Load(); h != nil {
		return h, nil
	}
	return nil, trace.Wrap(&StoppedError{})
}

// Ping replies at once, also while the control host is busy or not running.
func (s *Service) Ping(_, _ *wire.Empty) error { return nil }

// StoppedError means that no control host is running in the process.
type StoppedError struct{}

// Error implements error.
func (*StoppedError) Error() string { return "the control host is not running" }

// Raft queues a message of the replicated log. It drops the message if the queue is
// full, as a network may do.
func (s *Service) Raft(args *RaftArgs, _ *wire.Empty) error {
	h, err := s.running()
	if err != nil {
		return err
	}
	select {
	case h.queue <- func(now time.Time) { h.step(now, *args) }:
	default:
	}
	return nil
}

// RaftArgs is a message with its sender's address. A host that has just joined doesn't
// know the addresses of the group yet.
type RaftArgs struct {
	Addr    netip.AddrPort
	Message raft.Message
}

func (h *Host) step(now time.Time, args RaftArgs) {
	h.peerAddrs[args.Message.From] = args.Addr
	h.machine.Step(now, args.Message)
}

// Beat records a process's heartbeat and replies with what has changed for the process.
func (s *Service) Beat(args *wire.BeatArgs, reply *wire.BeatReply) error {
	h, err := s.running()
	if err != nil {
		return err
	}
	if args.Node.Role == fleet.RoleAgent && !args.Left {
		if reply.Hint = h.ensureJoined(args.Node); reply.NotLeader {
			return nil
		}
	}
	if args.Config == 0 || len(args.Unknown) > 0 {
		if reply.Hint = h.confirmLeadership(); reply.NotLeader {
			return nil
		}
	}
	ok := h.onLoop(func(now time.Time) {
		if reply.Hint = h.hint(); !reply.NotLeader {
			h.heartbeat(now, args, reply)
		}
	})
	if !ok {
		reply.NotLeader = true
	}
	return nil
}

// ensureJoined commits an agent's join unless the ledger has it already.
func (h *Host) ensureJoined(n fleet.Node) wire.Hint {
	known := false
	ok := h.onLoop(func(time.Time) { _, known = h.state.Ledger.Agents[n.ID] })
	if !ok {
		return wire.Hint{NotLeader: true}
	}
	if known {
		return wire.Hint{}
	}
	_, hint := h.commit(state.Command{Join: &n})
	return hint
}

// heartbeat records a heartbeat and fills in the reply. It must run on the loop.
func (h *Host) heartbeat(now time.Time, args *wire.BeatArgs, reply *wire.BeatReply) {
	h.metrics.heartbeats.Add(context.Background(), 1)
	l := h.state.Ledger
	id := args.Node.ID
	if args.Left {
		h.leave(now, args)
		return
	}
	h.leader.presence.Heartbeat(now, args.Node, args.Config)
	h.leader.loads[id] = args.Load
	for _, r := range args.Reports {
		h.leader.report(r)
	}
	if a, ok := l.Agents[id]; ok && !a.Gone {
		reply.Joined = a.JoinedAt
		reply.Order = h.state.Orders[a.Node.Addr.String()].Number
		reply.Fence = h.leader.pendingFences(id, l.Settling())
	}
	for _, g := range args.Unknown {
		if og, ok := l.Grants[g]; ok && !og.Settling {
			reply.Open = append(reply.Open, g)
			continue
		}
		reply.Shut = append(reply.Shut, g)
	}
	reply.Floor = l.Floor()
	reply.Recalls = h.leader.takeRecalls(id)
	reply.Funded = h.leader.takeFunded(id, l)
	reply.Control = h.memberAddrs()
	if args.Node.Role == fleet.RoleEntry && args.Config < h.state.Config.Version {
		reply.Config = h.state.Config.Since(args.Config)
	}
	roster := h.leader.rosterFor(h.machine.HardState().Term, l)
	if roster.Version != args.Roster {
		reply.Roster = roster
	}
}

// leave handles the leave message of a process, with the final reports if it is an
// agent. Grants that an entry still holds are settled.
func (h *Host) leave(now time.Time, args *wire.BeatArgs) {
	id := args.Node.ID
	h.leader.presence.Leave(id)
	if ids := h.state.Ledger.HeldBy(id); len(ids) > 0 {
		h.propose(now, state.Command{Settle: ids}, nil)
	}
	if _, ok := h.state.Ledger.Agents[id]; ok {
		h.propose(now, state.Command{Leave: &state.Leave{Agent: id, Reports: args.Reports}}, nil)
	}
}

// Budget applies a holder's refills, spends and closes.
func (s *Service) Budget(args *wire.BudgetArgs, reply *wire.BudgetReply) error {
	h, err := s.running()
	if err != nil {
		return err
	}
	h.setAway(args.Refills)
	res, hint := h.commit(state.Command{Refills: args.Refills, Spends: args.Spends, Closes: args.Closes})
	reply.Hint = hint
	reply.Answers = res.Answers
	if hint.NotLeader {
		return nil
	}
	var recalls []escrow.GrantID
	for _, a := range res.Answers {
		recalls = append(recalls, a.Recalls...)
	}
	h.onLoop(func(time.Time) {
		h.leader.recall(h.state.Ledger, recalls)
		h.leader.recordDenials(args.Refills, res.Answers)
	})
	return nil
}

// setAway lists in each refill the holders that are suspected to have failed, since the
// ledger can't recall their grants.
func (h *Host) setAway(refills []escrow.Refill) {
	h.onLoop(func(now time.Time) {
		var away []fleet.NodeID
		for _, holder := range h.state.Ledger.Holders() {
			if h.leader.presence.Suspects(now, holder) {
				away = append(away, holder)
			}
		}
		for i := range refills {
			refills[i].Away = away
		}
	})
}

// Claim binds work that must not be repeated to an agent.
func (s *Service) Claim(args *state.Claim, reply *wire.ClaimReply) error {
	h, err := s.running()
	if err != nil {
		return err
	}
	res, hint := h.commit(state.Command{Claim: args})
	reply.Hint = hint
	if res.Claim != nil {
		reply.Answer = *res.Claim
	}
	return nil
}

// Finish records the outcome of claimed work.
func (s *Service) Finish(args *state.FinishClaim, reply *wire.ClaimReply) error {
	h, err := s.running()
	if err != nil {
		return err
	}
	_, reply.Hint = h.commit(state.Command{Finish: args})
	return nil
}

// Join adds a control host as a learner. An earlier member at the same address has lost
// its folder and is removed first. If it has a vote and a learner can take it, that is done
// before.
func (s *Service) Join(args *wire.JoinArgs, reply *wire.JoinReply) error {
	h, err := s.running()
	if err != nil {
		return err
	}
	ok := h.onLoop(func(now time.Time) {
		h.noteJoin(args.Member)
		if reply.Hint = h.hint(); !reply.NotLeader {
			h.join(now, args.Member, reply)
		}
	})
	if !ok {
		reply.NotLeader = true
	}
	return nil
}

func (h *Host) join(now time.Time, m raft.Member, reply *wire.JoinReply) {
	members := h.machine.Status().Members
	if known, ok := members.Find(m.ID); ok && known.Addr == m.Addr {
		reply.Member, reply.Voter = true, known.Voter
		return
	}
	for _, old := range members.Members {
		if old.Addr == m.Addr && old.ID != m.ID {
			h.leader.leaving[old.ID] = now
			if old.Voter && h.machine.LearnerReady(now, h.leader.leavingMembers(now)) {
				return // the host asks again
			}
			_, err := h.machine.Remove(now, old.ID)
			h.log.Info("control: removing the earlier member of a host that lost its data folder", zap.Stringer("addr", m.Addr), zap.Error(err))
			return
		}
	}
	if _, err := h.machine.AddLearner(now, m); err != nil {
		h.log.Info("control: host can't join yet", zap.Stringer("addr", m.Addr), zap.Error(err))
	}
}

// Exists reports whether this host belongs to a group, so that no other host bootstraps
// a second one.
func (s *Service) Exists(_ *wire.Empty, reply *bool) error {
	h, err := s.running()
	if err != nil {
		return err
	}
	h.onLoop(func(time.Time) { *reply = len(h.machine.Status().Members.Members) > 0 })
	return nil
}
