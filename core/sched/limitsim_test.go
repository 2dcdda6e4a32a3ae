package sched_test

import (
	"fmt"
	"slices"
	"time"

	"dotterelgap/core/sched"
)

// limitSim runs the balancers of several nodes on a service whose upstreams may name
// limits. Updates between nodes take linkDelay and may be lost.
type limitSim struct {
	now       time.Time
	nodes     []*sched.Balancer
	partition []int
	limits    map[string]sched.RateLimit
	// arrivals are the times of the requests at each upstream from nodes that it had told
	// its limit at least half a second before; the users' bound is on these.
	arrivals map[string][]time.Time
	// all are the times of all requests at each upstream.
	all map[string][]time.Time
	// told is when each upstream first told each node its limit.
	told     []map[string]time.Time
	inFlight []delayedUpdate
	lost     func() bool
	requests int
	// prompt is the next request, if its service is set.
	prompt sched.Query
}

type delayedUpdate struct {
	to int
	at time.Time
	u  sched.Update
}

// limitSimUpstreams is the number of upstreams in a limitSim.
const limitSimUpstreams = 6

const linkDelay = 2 * time.Millisecond

func newLimitSim(nodes int, lost func() bool) *limitSim {
	s := &limitSim{
		now: start, partition: make([]int, nodes), lost: lost,
		limits: map[string]sched.RateLimit{}, arrivals: map[string][]time.Time{}, all: map[string][]time.Time{},
	}
	s.nodes = make([]*sched.Balancer, nodes)
	s.told = make([]map[string]time.Time, nodes)
	for i := range nodes {
		s.restart(i)
	}
	return s
}

func (s *limitSim) restart(i int) {
	s.nodes[i] = newBalancer(limitSimUpstreams)
	s.told[i] = map[string]time.Time{}
}

// join adds a node that has missed all updates so far.
func (s *limitSim) join() {
	s.nodes, s.told, s.partition = append(s.nodes, nil), append(s.told, nil), append(s.partition, 0)
	s.restart(len(s.nodes) - 1)
}

func (s *limitSim) broadcast(from int, u sched.Update) {
	for to := range s.nodes {
		if to != from && s.partition[to] == s.partition[from] && !s.lost() {
			s.inFlight = append(s.inFlight, delayedUpdate{to, s.now.Add(linkDelay), u})
		}
	}
}

// request sends a request through a node. It returns the chosen upstream; ok is false if
// there was none.
func (s *limitSim) request(at int) (id string, ok bool) {
	s.deliver()
	s.requests++
	b := s.nodes[at]
	q := prompt("plan", fmt.Sprint("session-", s.requests%40), fmt.Sprint("r-", s.requests))
	if s.prompt.Service != "" {
		q = s.prompt
	}
	c, ok := b.Pick(s.now, q)
	if !ok {
		return "", false
	}
	id = c.Upstream.ID
	c, u, send := b.Started(s.now, q, c)
	if send {
		s.broadcast(at, u)
	}
	s.all[id] = append(s.all[id], s.now)
	if told, ok := s.told[at][id]; ok && s.now.Sub(told) >= 500*time.Millisecond {
		s.arrivals[id] = append(s.arrivals[id], s.now)
	}
	if _, ok := s.told[at][id]; !ok && s.limits[id].Named {
		s.told[at][id] = s.now
	}
	if u, send := b.Limit(s.now, c, s.limits[id]); send {
		s.broadcast(at, u)
	}
	b.FirstToken(c, 50*time.Millisecond+c.Wait+c.Prefill)
	b.Ended(s.now, c, sched.Served)
	return id, true
}

func (s *limitSim) deliver() {
	s.inFlight = slices.DeleteFunc(s.inFlight, func(d delayedUpdate) bool {
		if d.at.After(s.now) {
			return false
		}
		if d.to < len(s.nodes) {
			s.nodes[d.to].OnUpdate(s.now, d.u)
		}
		return true
	})
}

// most returns the most arrivals in any span of 4 s after from.
func most(list []time.Time, from time.Time) int {
	most, first := 0, 0
	for i, at := range list {
		for list[first].Before(from) || at.Sub(list[first]) > 4*time.Second {
			if first == i {
				break
			}
			first++
		}
		if !at.Before(from) {
			most = max(most, i-first+1)
		}
	}
	return most
}

// name makes upstreams name a limit.
func (s *limitSim) name(perSecond float64, upstreams int) {
	for i := range upstreams {
		s.limits[fmt.Sprint("model-", i)] = sched.RateLimit{Named: true, PerSecond: perSecond}
	}
}

// run sends a request every interval, through the nodes in turn.
func (s *limitSim) run(d, interval time.Duration) (rejected int) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(interval)
		if _, ok := s.request(s.requests % len(s.nodes)); !ok {
			rejected++
		}
	}
	return rejected
}
