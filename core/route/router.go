package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"dotterelgap/core/fleet"
)

// Load is an upstream's work as its agent reports it.
type Load struct {
	Running int
	Waiting int
}

// Query describes a request that looks for an upstream.
type Query struct {
	Service string
	// Tokens is the prompt's length.
	Tokens int
	// Blocks are the rolling hashes of the prompt's blocks, for cache affinity.
	Blocks []uint64
	// Exclude lists upstreams that were tried already.
	Exclude []fleet.NodeID
}

// Result is how an attempt went.
type Result struct {
	// FirstToken is the time to the first byte of the answer, 0 if none came.
	FirstToken time.Duration
	// Tokens and Blocks repeat the query's.
	Tokens int
	Blocks []uint64
	Failed bool
	// Load rides on the answer; nil where the agent did not answer.
	Load *Load
}

// Router is one entry's view of the upstreams.
type Router struct {
	opts     Options
	place    fleet.Place
	self     fleet.NodeID
	rnd      *rand.Rand
	targets  map[fleet.NodeID]*target
	services map[string]*pool
}

// pool is a service's upstreams, as one entry uses them.
type pool struct {
	all    []*target
	subset []*target
}

// New returns a router without upstreams for an entry in a place.
func New(opts Options, self fleet.NodeID, place fleet.Place, rnd *rand.Rand) *Router {
	return &Router{
		opts: opts, self: self, place: place, rnd: rnd,
		targets: map[fleet.NodeID]*target{}, services: map[string]*pool{},
	}
}

// SetNodes takes in the roster. What is known of nodes that stay is kept.
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

// subset bounds the upstreams that this entry uses, so that connections and
// knowledge stay small in a large fleet. The own place goes first.
func (r *Router) subset(all []*target) []*target {
	if len(all) <= r.opts.Subset {
		return all
	}
	byID := make(map[fleet.NodeID]*target, len(all))
	var near, far []fleet.NodeID
	for _, t := range all {
		byID[t.node.ID] = t
		if t.node.Place == r.place {
			near = append(near, t.node.ID)
			continue
		}
		far = append(far, t.node.ID)
	}
	ranked := append(fleet.Rendezvous(string(r.self), near), fleet.Rendezvous(string(r.self), far)...)
	out := make([]*target, 0, r.opts.Subset)
	for _, id := range ranked[:r.opts.Subset] {
		out = append(out, byID[id])
	}
	return out
}

// Node returns what is known of an upstream's agent.
func (r *Router) Node(id fleet.NodeID) (fleet.Node, bool) {
	t, ok := r.targets[id]
	if !ok {
		return fleet.Node{}, false
	}
	return t.node, true
}

// Members lists the agents of a service in the order of their ids.
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

// Pick chooses the upstream with the lowest predicted time to the first token
// among sampled candidates and those that hold the prompt's prefix.
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
	if t := holderOf(from, q.Blocks); t != nil {
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

// holderOf finds the upstream that holds the longest prefix of the prompt.
func holderOf(from []*target, blocks []uint64) *target {
	var best *target
	longest := 0
	for _, t := range from {
		if n := t.cache.prefix(blocks); n > longest {
			best, longest = t, n
		}
	}
	return best
}

// score is the predicted time to the first token.
func (r *Router) score(now time.Time, t *target, q Query) time.Duration {
	cached := t.cache.prefix(q.Blocks) * r.opts.BlockTokens
	uncached := max(q.Tokens-cached, 0)
	score := time.Duration(t.queue())*t.turnTime + time.Duration(uncached)*t.tokenTime
	if t.node.Place != r.place {
		score += r.opts.RemotePenalty
	}
	if young := t.since.Add(r.opts.SlowStart).Sub(now); young > 0 {
		score += score * time.Duration(young) / time.Duration(r.opts.SlowStart)
	}
	return score
}

// Started notes that a request went to an upstream.
func (r *Router) Started(id fleet.NodeID) {
	if t, ok := r.targets[id]; ok {
		t.inFlight++
		t.sinceReport++
	}
}

// Ended notes how a request went.
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
