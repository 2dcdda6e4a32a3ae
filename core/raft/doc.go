// Package raft replicates a log over the control hosts by the Raft algorithm:
// leader election with pre-vote, log replication, quorum-confirmed reads,
// snapshots, and one-at-a-time membership changes with learners.
//
// Machine is pure. The driver feeds it messages and ticks, then takes an Output
// and must, in this order: write and sync State, Snapshot and Entries; call
// Stable; send Messages; apply Committed.
//
// # Usage
//
//	m := raft.New(raft.Params{Self: id, Saved: saved, Rand: rnd, Now: now})
//	m.Step(now, msg)
//	out := m.Take()
//	persist(out)
//	m.Stable(out.LastIndex())
//	send(out.Messages)
package raft
