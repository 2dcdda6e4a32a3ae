// Package raft replicates a log among the control hosts with the Raft algorithm:
// leader election with pre-vote, log replication, quorum-confirmed reads,
// snapshots, and one-at-a-time membership changes with learners.
//
// Machine does no I/O and reads no clock. The driver passes it messages and ticks, then
// takes an Output and must write and sync State, Installed and Entries, then call Stable. It may
// send and apply meanwhile: Messages wait for each State and Installed up to their Output, but not for
// Entries, since a member tells others only of what is Stable. Committed and Reads wait for nothing.
//
// # Usage
//
//	m := raft.New(raft.Params{Self: id, Saved: saved, Rand: rnd, Now: now})
//	m.Step(now, msg)
//	out := m.Take()
//	mark := m.Mark()
//	persist(out)
//	m.Stable(now, mark)
//	send(out.Messages)
package raft
