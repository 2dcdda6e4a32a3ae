package fleet

import (
	"maps"
	"slices"
	"time"
)

// LiveNode is what the leader knows of a live process.
type LiveNode struct {
	Node        Node
	HeartbeatAt time.Time
	Config      uint64
}

// Presence tracks which processes announce themselves. It is a leader's memory
// and a suspicion only: nothing that must hold rests on it.
type Presence struct {
	suspectAfter time.Duration
	since        time.Time
	nodes        map[NodeID]*LiveNode
	version      uint64
}

// NewPresence returns an empty presence. A process is suspected once it was
// silent for suspectAfter.
func NewPresence(suspectAfter time.Duration) *Presence {
	return &Presence{suspectAfter: suspectAfter, nodes: map[NodeID]*LiveNode{}}
}

// Reset forgets everything; a new leader starts with it.
func (p *Presence) Reset(now time.Time) {
	p.since = now
	p.nodes = map[NodeID]*LiveNode{}
	p.version++
}

// Heartbeat takes in an announcement.
func (p *Presence) Heartbeat(now time.Time, n Node, config uint64) {
	s, ok := p.nodes[n.ID]
	if !ok || s.Node != n {
		p.version++
	}
	p.nodes[n.ID] = &LiveNode{Node: n, HeartbeatAt: now, Config: config}
}

// Leave drops a process that has ended.
func (p *Presence) Leave(id NodeID) {
	if _, ok := p.nodes[id]; ok {
		delete(p.nodes, id)
		p.version++
	}
}

// Expire drops the processes that were silent for too long and returns them.
func (p *Presence) Expire(now time.Time) []NodeID {
	var gone []NodeID
	for _, id := range slices.Sorted(maps.Keys(p.nodes)) {
		if now.Sub(p.nodes[id].HeartbeatAt) >= p.suspectAfter {
			gone = append(gone, id)
			p.Leave(id)
		}
	}
	return gone
}

// Suspects tells whether a process is taken for dead. A new leader first gives
// all processes time to announce themselves.
func (p *Presence) Suspects(now time.Time, id NodeID) bool {
	if _, ok := p.nodes[id]; ok {
		return false
	}
	return now.Sub(p.since) >= p.suspectAfter
}

// Version grows with every change of the nodes.
func (p *Presence) Version() uint64 {
	return p.version
}

// Nodes lists the live processes in the order of their ids.
func (p *Presence) Nodes() []LiveNode {
	out := make([]LiveNode, 0, len(p.nodes))
	for _, id := range slices.Sorted(maps.Keys(p.nodes)) {
		out = append(out, *p.nodes[id])
	}
	return out
}
