package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"dotterelgap/core/fleet"
)

// Load is an upstream's load as reported by its agent.
type Load struct {
	Running int
	Waiting int
}

// Query describes a request that needs an upstream.
type Query struct {
	Service string
	// Tokens is the prompt's length in tokens.
	Tokens int
	// Blocks are the chained hashes of the prompt's blocks, for cache affinity.
	Blocks []uint64
	// Exclude lists the upstreams that were already tried.
	Exclude []fleet.NodeID
}

// Result is the result of an attempt.
type Result struct {
	// FirstToken is the time to the first byte of the response, 0 if there was none.
	FirstToken time.Duration
	// Tokens and Blocks are those of the query.
	Tokens int
	Blocks []uint64
	Failed bool
	// Load is the load reported with the response; nil if the agent did not respond.
	Load *Load
}

// Router holds one entry's view of the upstreams and routes requests to them.
type Router struct {
	opts     Options
	place    fleet.Place
	self     fleet.NodeID
	rnd      *rand.Rand
	targets  map[fleet.NodeID]*target
	services map[string]*pool
}

// pool holds the upstreams of a service, and the subset that this entry uses.
type pool struct {
	all    []*target
	subset []*target
}

// New returns a router without upstreams, for the entry self in the given place.
func New(opts Options, self fleet.NodeID, place fleet.Place, rnd *rand.Rand) *Router {
	return &Router{
		opts: opts, self: self, place: place, rnd: rnd,
		targets: map[fleet.NodeID]*target{}, services: map[string]*pool{},
	}
}

// SetNodes applies a membership view. The state of nodes that stay in it is kept.
func (r *Router) SetNodes(now time.Time, nodes []fleet.Node) {
	next := make(map[fleet.NodeID]*target, len(nodes))
	r.services = map[string]*pool{}
	for _, n := range nodes {
		if n.Role != fleet.RoleAgent {
			continue
		}
		t, ok := r.targets[n.ID]
		if !ok {
			t = newTarget(n, now, len(r.targets) > 0, r.opts)
		}
		t.node = n
		next[n.ID] = t
		if n.Draining {
			continue
		}
		p, ok := r.services[n.Service]
		if !ok {
			p = &pool{}
			r.services[n.Service] = p
		}
		p.all = append(p.all, t)
	}
	r.targets = next
	for _, p := range r.services {
		p.subset = r.subset(p.all)
	}
}

// subset limits the upstreams that this entry uses, so that it has few connections and
// little state in a large fleet. Upstreams in the entry's own place come first.
func (r *Router) subset(all []*target) []*target {
	if len(all) <= r.opts.Subset {
		return all
	}
	byID := make(map[fleet.NodeID]*target, len(all))
	var local, remote []fleet.NodeID
	for _, t := range all {
		byID[t.node.ID] = t
		if t.node.Place == r.place {
			local = append(local, t.node.ID)
			continue
		}
		remote = append(remote, t.node.ID)
	}
	ranked := append(fleet.Rendezvous(string(r.self), local), fleet.Rendezvous(string(r.self), remote)...)
	out := make([]*target, 0, r.opts.Subset)
	for _, id := range ranked[:r.opts.Subset] {
		out = append(out, byID[id])
	}
	return out
}

// Node returns the node of an upstream's agent.
func (r *Router) Node(id fleet.NodeID) (fleet.Node, bool) {
	t, ok := r.targets[id]
	if !ok {
		return fleet.Node{}, false
	}
	return t.node, true
}

// Members returns the ids of the agents of a service, sorted.
func (r *Router) Members(service string) []fleet.NodeID {
	p, ok := r.services[service]
	if !ok {
		return nil
	}
	ids := make([]fleet.NodeID, 0, len(p.all))
	for _, t := range p.all {
		ids = append(ids, t.node.ID)
	}
	slices.Sort(ids)
	return ids
}

// Pick chooses the upstream with the lowest predicted time to first token among the
// sampled candidates and the one that has cached the longest prefix of the prompt.
func (r *Router) Pick(now time.Time, q Query) (fleet.NodeID, bool) {
	p, ok := r.services[q.Service]
	if !ok {
		return "", false
	}
	best := r.pickFrom(now, p.subset, q)
	if best == nil {
		best = r.pickFrom(now, p.all, q)
	}
	if best == nil {
		return "", false
	}
	return best.node.ID, true
}

func (r *Router) pickFrom(now time.Time, from []*target, q Query) *target {
	var best *target
	var bestScore time.Duration
	consider := func(t *target) {
		if !t.usable(now) || slices.Contains(q.Exclude, t.node.ID) {
			return
		}
		score := r.score(now, t, q)
		if best == nil || score < bestScore {
			best, bestScore = t, score
		}
	}
	if len(from) <= r.opts.Samples {
		for _, t := range from {
			consider(t)
		}
		return best
	}
	for range r.opts.Samples {
		consider(from[r.rnd.IntN(len(from))])
	}
	if t := longestPrefix(from, q.Blocks); t != nil {
		consider(t)
	}
	if best != nil {
		return best
	}
	for _, t := range from {
		consider(t)
	}
	return best
}

// longestPrefix returns the upstream that has cached the longest prefix of the prompt,
// or nil if none has cached any of it.
func longestPrefix(from []*target, blocks []uint64) *target {
	var best *target
	longest := 0
	for _, t := range from {
		if n := t.cache.prefix(blocks); n > longest {
			best, longest = t, n
		}
	}
	return best
}

// score returns the predicted time to first token, with penalties for remote and new
// upstreams.
func (r *Router) score(now time.Time, t *target, q Query) time.Duration {
	cached := t.cache.prefix(q.Blocks) * r.opts.BlockTokens
	uncached := max(q.Tokens-cached, 0)
	score := time.Duration(t.queue())*t.queueTime + time.Duration(uncached)*t.tokenTime
	if t.node.Place != r.place {
		score += r.opts.RemotePenalty
	}
	if rampLeft := t.rampStart.Add(r.opts.SlowStart).Sub(now); rampLeft > 0 {
		score += score * time.Duration(rampLeft) / time.Duration(r.opts.SlowStart)
	}
	return score
}

// Started records that a request is sent to an upstream.
func (r *Router) Started(id fleet.NodeID) {
	if t, ok := r.targets[id]; ok {
		t.inFlight++
		t.sinceReport++
	}
}

// Ended records the result of a request.
func (r *Router) Ended(now time.Time, id fleet.NodeID, res Result) {
	t, ok := r.targets[id]
	if !ok {
		return
	}
	t.inFlight--
	if res.Load != nil {
		t.report(*res.Load)
	}
	if res.Failed {
		r.failed(now, t)
		return
	}
	t.failures = 0
	if res.FirstToken > 0 {
		t.observe(res, r.opts)
		t.cache.add(res.Blocks)
		r.checkSlow(now, t)
	}
}
