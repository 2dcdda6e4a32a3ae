package raft_test

import (
	"testing"
	"time"

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

// Guards against members that stay without a leader beside disks that are slower than an election
// timeout: a candidate gave up before its own vote and another one were written.
func TestSlowDisksElectALeader(t *testing.T) {
	for _, delay := range []time.Duration{100, 300, 600, 1000} {
		delay *= time.Millisecond
		t.Run(delay.String(), func(t *testing.T) {
			is := is.New(t)
			g := newGroup(3, t.Fatalf)
			for _, h := range g.hosts {
				h.disk.delay = delay
				h.machine.SetWriteTime(delay)
			}
			begin := g.now
			for g.leader() == nil && g.now.Sub(begin) < time.Minute {
				g.settle(1)
			}
			took := g.now.Sub(begin)
			t.Logf("a leader after %s", took)
			is.True(took <= time.Second+4*delay)
		})
	}
}

// Guards against a leader that can't hand its leadership over beside slow disks: it went on before the
// votes for the next one were written, and tried again and again.
func TestTransferBesideSlowDisks(t *testing.T) {
	is := is.New(t)
	g := newGroup(3, t.Fatalf)
	g.settle(40)
	const delay = 600 * time.Millisecond
	for _, h := range g.hosts {
		h.disk.delay = delay
		h.machine.SetWriteTime(delay)
	}
	l, to := g.leader(), g.follower()
	g.propose(l)
	g.settle(1)
	g.step(l, func(m *raft.Machine) { is.NoErr(m.Transfer(g.now, to.id)) })
	begin := g.now
	for g.leader() != to && g.now.Sub(begin) < time.Minute {
		g.settle(1)
	}
	is.True(g.now.Sub(begin) < time.Second+4*delay)
}

// Guards against a replacement that is never complete beside a busy log: there is always an entry that
// one of the voters lacks.
func TestReplacementIsCompleteWhileTheLogGrows(t *testing.T) {
	is := is.New(t)
	g := newGroup(3, t.Fatalf)
	g.settle(40)
	l, other := g.leader(), g.follower()
	other.disk.delay = 200 * time.Millisecond
	complete := 0
	for range 100 {
		g.propose(l)
		g.settle(1)
		if l.machine.VoterCaughtUp(g.now, other.id) {
			complete++
		}
	}
	is.Equal(complete, 100)
}
