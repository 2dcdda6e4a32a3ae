package ctrl

import (
	"time"

	"dotterelgap/core/raft"

	"go.uber.org/zap"
)

// Times of changes of the members.
const (
	// replaceAfter is the time without a reply after which the leader replaces a voter on its
	// own: longer than it takes to notice a dead leader and to elect another one.
	replaceAfter = 2 * raft.DefaultElectionTimeout
	// learnerTimeout is the time without a reply after which the leader removes a learner.
	learnerTimeout = 30 * time.Second
	// leavingTimeout is the time without a further request after which a member counts as staying.
	leavingTimeout = time.Second
)

// adjustVoters takes the next step towards the intended voters.
func (h *Host) adjustVoters(now time.Time) {
	rules := raft.VoterRules{Size: h.deps.Size, Leaving: h.leader.leavingMembers(now)}
	if h.deps.Replace {
		rules.ReplaceAfter = replaceAfter
	}
	step := h.machine.AdjustVoters(now, rules)
	if step.Kind == raft.NoStep {
		return
	}
	m, _ := h.machine.Status().Members.Find(step.Member)
	h.log.Info("control: changing the voters", zap.Stringer("step", step.Kind), zap.Stringer("addr", m.Addr),
		zap.Duration("silence", h.machine.SinceLastReply(now, step.Member)), zap.Bool("leaving", rules.Leaving[step.Member]))
}

// removeSilentLearners removes learners that do not respond.
func (h *Host) removeSilentLearners(now time.Time) {
	for _, m := range h.machine.Status().Members.Members {
		if silence := h.machine.SinceLastReply(now, m.ID); !m.Voter && silence > learnerTimeout {
			_, err := h.machine.Remove(now, m.ID)
			h.log.Info("control: removing an unresponsive member", zap.Stringer("addr", m.Addr), zap.Duration("silence", silence), zap.Error(err))
			return
		}
	}
}

// leavingMembers returns the members whose votes are to be handed over.
func (ls *leaderState) leavingMembers(now time.Time) map[raft.MemberID]bool {
	out := map[raft.MemberID]bool{}
	for id, at := range ls.leaving {
		if now.Sub(at) >= leavingTimeout {
			delete(ls.leaving, id)
			continue
		}
		out[id] = true
	}
	return out
}
