package raft

import "fmt"

// NotLeaderError is returned for an operation that only the leader can do. Leader is the
// known leader, or 0.
type NotLeaderError struct {
	Leader MemberID
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("not the leader; the known leader is %x", uint64(e.Leader))
}

// UnknownMemberError is returned for a member that the group does not have.
type UnknownMemberError struct {
	Member MemberID
}

// Error implements error.
func (e *UnknownMemberError) Error() string {
	return fmt.Sprintf("member %x is not in the group", uint64(e.Member))
}

// BehindError is returned when a learner can't be promoted: it does not keep up with the
// log, or it has not replied within the election timeout.
type BehindError struct {
	Member        MemberID
	Match, Commit uint64
}

// Error implements error.
func (e *BehindError) Error() string {
	return fmt.Sprintf("member %x has not caught up: it has %d of %d entries, or has not replied recently", uint64(e.Member), e.Match, e.Commit)
}

// ChangePendingError is returned while the previous membership, or the first entry of
// the leader's term, is not committed yet.
type ChangePendingError struct {
	Index uint64
}

// Error implements error.
func (e *ChangePendingError) Error() string {
	return fmt.Sprintf("the entry at index %d must be committed before a membership change", e.Index)
}

// LastVoterError is returned for a change that would leave the group without a voter.
type LastVoterError struct{}

// Error implements error.
func (e *LastVoterError) Error() string {
	return "the last voter can't be removed"
}
