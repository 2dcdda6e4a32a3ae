// Package raft replicates a log among the control hosts with the Raft algorithm:
// leader election with pre-vote, log replication, quorum-confirmed reads,
// snapshots, and one-at-a-time membership changes with learners.
//
// Machine does no I/O and reads no clock. The driver passes it messages and ticks, then
// takes an Output and must, in this order: write and sync State, Installed and Entries;
// call Stable; send Messages; apply Committed.
//
// # Usage
//
//	m := raft.New(raft.Params{Self: id, Saved: saved, Rand: rnd, Now: now})
//	m.Step(now, msg)
//	out := m.Take()
//	persist(out)
//	m.Stable(now, m.LastIndex())
//	send(out.Messages)
package raft
