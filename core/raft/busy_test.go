package raft_test

import (
	"testing"

	"dotterelgap/core/raft"

	"github.com/matryer/is"
)

// Guards against a learner that never becomes a voter while entries come faster than a slow disk writes
// them (review, case 8): there is always one that the learner lacks.
func TestLearnerIsPromotedWhileTheLogGrows(t *testing.T) {
	is := is.New(t)
	g := newGroup(1, t.Fatalf)
	g.settle(20)
	l := g.leader()
	fresh := &host{id: 2}
	g.hosts = append(g.hosts, fresh)
	g.start(fresh)
	g.step(l, func(m *raft.Machine) { _, _ = m.AddLearner(g.now, raft.Member{ID: fresh.id}) })
	g.settle(5)
	for range 40 {
		g.propose(l)
		g.tick(tick) // the message with the entry is on its way
		g.step(l, func(m *raft.Machine) { m.AdjustVoters(g.now, raft.VoterRules{Size: 3}) })
		for n := len(g.net); n > 0; n-- {
			g.deliver(0, false)
		}
	}
	is.True(l.machine.Status().Members.IsVoter(fresh.id))
}
