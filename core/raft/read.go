package raft

import "time"

// Read requests an index at which the state may be read. After this call a quorum must
// confirm that the member still leads; the result is a Read in a later Output. An error
// means that the member does not lead, or has not yet committed an entry of its term.
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

// confirmReads completes the reads that a quorum has confirmed and whose index has been
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
