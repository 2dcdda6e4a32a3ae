package raft

import "fmt"

// NotLeaderError says that only the leader can do this. Leader is 0 if unknown.
type NotLeaderError struct {
	Leader MemberID
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("not the leader; the leader is %x", uint64(e.Leader))
}

// UnknownMemberError says that the group has no such member.
type UnknownMemberError struct {
	Member MemberID
}

// Error implements error.
func (e *UnknownMemberError) Error() string {
	return fmt.Sprintf("member %x is not in the group", uint64(e.Member))
}

// BehindError says that a learner has not caught up.
type BehindError struct {
	Member        MemberID
	Match, Commit uint64
}

// Error implements error.
func (e *BehindError) Error() string {
	return fmt.Sprintf("member %x has %d of %d entries", uint64(e.Member), e.Match, e.Commit)
}

// ChangePendingError says that an earlier change is not committed yet.
type ChangePendingError struct {
	Index uint64
}

// Error implements error.
func (e *ChangePendingError) Error() string {
	return fmt.Sprintf("the change at index %d is not committed yet", e.Index)
}

// LastVoterError says that the group's last voter can't be removed.
type LastVoterError struct{}

// Error implements error.
func (e *LastVoterError) Error() string {
	return "the last voter can't be removed"
}
