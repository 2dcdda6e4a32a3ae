package raft_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"dotterelgap/core/raft"

	"github.com/matryer/is"
)

// Guards against the end of a write that counts for entries which have replaced the written ones since.
func TestReplacedEntriesAreNotStable(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	members := raft.Membership{}
	for id := range raft.MemberID(3) {
		members = members.With(raft.Member{ID: id + 1, Voter: true})
	}
	m := raft.New(raft.Params{
		Self: 2, Saved: raft.Saved{Snapshot: raft.Snapshot{Index: 1, Term: 1, Members: members}}, Rand: rand.New(rand.NewPCG(1, 1)), Now: now,
	})
	// receive returns the mark of a leader's entry at index 2.
	receive := func(leader raft.MemberID, term uint64) raft.Mark {
		m.Step(now, raft.Message{
			Kind: raft.KindAppend, From: leader, To: 2, Term: term, Index: 1, LogTerm: 1,
			Entries: []raft.Entry{{Index: 2, Term: term, Kind: raft.EntryCommand, Data: []byte("x")}},
		})
		is.Equal(len(m.Take().Entries), 1)
		return m.Mark()
	}
	first := receive(1, 2)
	second := receive(3, 3)
	m.Stable(now, first)
	is.Equal(len(m.Take().Messages), 0)
	m.Stable(now, second)
	msgs := m.Take().Messages
	is.Equal(len(msgs), 1)
	is.Equal(msgs[0].Match, uint64(2))
	is.Equal(msgs[0].To, raft.MemberID(3))
}
