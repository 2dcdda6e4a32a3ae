package raft

import (
	"net/netip"
	"slices"
)

// MemberID identifies one data folder. A host that has lost its folder is a new member.
type MemberID uint64

// Member is a control host in the group.
type Member struct {
	ID    MemberID       `cbor:"1,keyasint" json:"id"`
	Addr  netip.AddrPort `cbor:"2,keyasint" json:"addr"`
	Voter bool           `cbor:"3,keyasint" json:"voter"`
}

// Membership is the set of members from some log index on, called the configuration in
// the Raft paper.
type Membership struct {
	Members []Member `cbor:"1,keyasint" json:"members"`
}

// Find returns the member with an id, and false if there is none.
func (ms Membership) Find(id MemberID) (Member, bool) {
	for _, m := range ms.Members {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}

// IsVoter reports whether id counts towards the quorum.
func (ms Membership) IsVoter(id MemberID) bool {
	m, ok := ms.Find(id)
	return ok && m.Voter
}

// Voters returns the number of members that count towards the quorum.
func (ms Membership) Voters() int {
	n := 0
	for _, m := range ms.Members {
		if m.Voter {
			n++
		}
	}
	return n
}

// Quorum returns the number of voters in a majority.
func (ms Membership) Quorum() int {
	return ms.Voters()/2 + 1
}

// With returns a copy that contains m, in place of a member with the same id.
func (ms Membership) With(m Member) Membership {
	out := ms.Without(m.ID)
	out.Members = append(out.Members, m)
	slices.SortFunc(out.Members, func(a, b Member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}

// Without returns a copy without the member with this id.
func (ms Membership) Without(id MemberID) Membership {
	out := Membership{Members: make([]Member, 0, len(ms.Members)+1)}
	for _, m := range ms.Members {
		if m.ID != id {
			out.Members = append(out.Members, m)
		}
	}
	return out
}
