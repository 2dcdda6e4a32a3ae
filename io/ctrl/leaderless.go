package ctrl

import (
	"context"
	"net/netip"
	"time"

	"dotterelgap/core/raft"
	"dotterelgap/io/telem"

	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"
)

// leaderlessInterval is the time without a leader after which a host logs it, and between two
// such lines.
const leaderlessInterval = 10 * time.Second

// leaderless watches for a group without a leader. It belongs to the loop.
type leaderless struct {
	// since is when the host last had a leader, and loggedAt when it last logged that it has none.
	since, loggedAt time.Time
	checkedAt       time.Time
	// lostDisks holds the voters at whose addresses hosts with an empty data folder ask to join.
	lostDisks map[raft.MemberID]bool
	seconds   metric.Float64Gauge
}

func newLeaderless(now time.Time) *leaderless {
	return &leaderless{
		since: now, lostDisks: map[raft.MemberID]bool{},
		seconds: telem.Level("control", "control_leaderless", "s", "Time for which this host has had no leader."),
	}
}

// noteJoin records the voters whose data folders a host that asks to join has replaced.
func (h *Host) noteJoin(m raft.Member) {
	for _, old := range h.machine.Status().Members.Members {
		if old.Voter && old.Addr == m.Addr && old.ID != m.ID {
			h.leaderless.lostDisks[old.ID] = true
		}
	}
}

// watchLeader logs from time to time that the group has no leader, and whether it can have one
// again.
func (h *Host) watchLeader(now time.Time) {
	l := h.leaderless
	if now.Sub(l.checkedAt) < leaderInterval {
		return
	}
	l.checkedAt = now
	s := h.machine.Status()
	if s.Role == raft.Leader || h.hasRecentLeader(s) {
		if !l.loggedAt.IsZero() {
			h.log.Info("control: there is a leader again", zap.Duration("after", now.Sub(l.since).Round(time.Millisecond)))
		}
		l.since, l.loggedAt = now, time.Time{}
		clear(l.lostDisks)
		l.seconds.Record(context.Background(), 0)
		return
	}
	l.seconds.Record(context.Background(), now.Sub(l.since).Seconds())
	if len(s.Members.Members) == 0 || now.Sub(l.since) < leaderlessInterval || now.Sub(l.loggedAt) < leaderlessInterval {
		return
	}
	l.loggedAt = now
	var voters, lost []netip.AddrPort
	for _, m := range s.Members.Members {
		switch {
		case !m.Voter:
		case l.lostDisks[m.ID]:
			lost = append(lost, m.Addr)
		default:
			voters = append(voters, m.Addr)
		}
	}
	text, log := "control: the group has no leader", h.log.Warn
	if len(voters) < s.Members.Quorum() {
		text, log = "control: the group has ended: a majority of its voters has lost their disks", h.log.Error
	}
	log(text, zap.Duration("since", now.Sub(l.since).Round(time.Second)), zap.Int("quorum", s.Members.Quorum()),
		zap.Stringers("voters", voters), zap.Stringers("lost_disks", lost))
}
