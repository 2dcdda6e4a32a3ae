package raft

import "time"

// Read asks for an index at which the state may be read: a quorum confirms
// after this call that the machine still leads. The answer comes as a Read in
// an Output; an error means that the machine doesn't lead.
func (m *Machine) Read(now time.Time, id uint64) error {
	if m.role != Leader || m.commitIndex < m.termStart {
		return &NotLeaderError{Leader: m.leader}
	}
	m.readSeq++
	m.reads = append(m.reads, pendingRead{id: id, seq: m.readSeq, index: m.commitIndex})
	m.broadcast(now, true)
	m.confirmReads()
	return nil
}

// confirmReads answers the reads that a quorum has confirmed and whose entries were
// handed out.
func (m *Machine) confirmReads() {
	if m.role != Leader || len(m.reads) == 0 {
		return
	}
	var seqs []uint64
	for _, mem := range m.members.Members {
		switch {
		case !mem.Voter:
		case mem.ID == m.self:
			seqs = append(seqs, m.readSeq)
		case m.peers[mem.ID] != nil:
			seqs = append(seqs, m.peers[mem.ID].readSeq)
		default:
			seqs = append(seqs, 0)
		}
	}
	confirmed := sortedDescending(seqs)[m.members.Quorum()-1]
	n := 0
	for n < len(m.reads) && m.reads[n].seq <= confirmed && m.reads[n].index <= m.lastApplied {
		m.out.Reads = append(m.out.Reads, Read{ID: m.reads[n].id, Index: m.reads[n].index, OK: true})
		n++
	}
	m.reads = m.reads[n:]
}
