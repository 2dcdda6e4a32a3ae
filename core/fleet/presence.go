package fleet

import (
	"maps"
	"slices"
	"time"
)

// LiveNode is a live process with what the leader knows from its last heartbeat.
type LiveNode struct {
	Node        Node
	HeartbeatAt time.Time
	// Config is the version of the configuration in force at the process.
	Config uint64
}

// Presence tracks which processes send heartbeats. It is an unreliable failure detector
// and is kept in the leader's memory only, so no safety property may depend on it.
type Presence struct {
	suspectAfter time.Duration
	since        time.Time
	nodes        map[NodeID]*LiveNode
	version      uint64
}

// NewPresence returns an empty presence. A process is suspected once there has been no
// heartbeat from it for suspectAfter.
func NewPresence(suspectAfter time.Duration) *Presence {
	return &Presence{suspectAfter: suspectAfter, nodes: map[NodeID]*LiveNode{}}
}

// Reset forgets all processes. A new leader calls it first.
func (p *Presence) Reset(now time.Time) {
	p.since = now
	p.nodes = map[NodeID]*LiveNode{}
	p.version++
}

// Heartbeat records a heartbeat of n. config is the version of the configuration in force
// there.
func (p *Presence) Heartbeat(now time.Time, n Node, config uint64) {
	s, ok := p.nodes[n.ID]
	if !ok || s.Node != n {
		p.version++
	}
	p.nodes[n.ID] = &LiveNode{Node: n, HeartbeatAt: now, Config: config}
}

// Leave removes a process that has shut down.
func (p *Presence) Leave(id NodeID) {
	if _, ok := p.nodes[id]; ok {
		delete(p.nodes, id)
		p.version++
	}
}

// Expire removes the processes without a recent heartbeat and returns their ids.
func (p *Presence) Expire(now time.Time) []NodeID {
	var expired []NodeID
	for _, id := range slices.Sorted(maps.Keys(p.nodes)) {
		if now.Sub(p.nodes[id].HeartbeatAt) >= p.suspectAfter {
			expired = append(expired, id)
			p.Leave(id)
		}
	}
	return expired
}

// Suspects reports whether a process is assumed to have failed. A new leader suspects
// none until all of them have had time to send a heartbeat.
func (p *Presence) Suspects(now time.Time, id NodeID) bool {
	if _, ok := p.nodes[id]; ok {
		return false
	}
	return now.Sub(p.since) >= p.suspectAfter
}

// Version returns a number that increases with every change of the set of nodes.
func (p *Presence) Version() uint64 {
	return p.version
}

// Nodes returns the live processes, sorted by id.
func (p *Presence) Nodes() []LiveNode {
	out := make([]LiveNode, 0, len(p.nodes))
	for _, id := range slices.Sorted(maps.Keys(p.nodes)) {
		out = append(out, *p.nodes[id])
	}
	return out
}
