package poison_test

import (
	"fmt"
	"testing"
	"time"

	"dotterelgap/core/fleet"
	"dotterelgap/core/poison"

	"pgregory.net/rapid"
)

// sim runs the detectors of several nodes. Reports between nodes may be lost, and nodes
// restart, join late or are partitioned.
type sim struct {
	t         *rapid.T
	now       time.Time
	nodes     []*poison.Detector
	partition []int
	// published are the quarantines that the nodes of each partition have replicated.
	published [2]map[uint64]fleet.Quarantine
	crashes   int
	requests  int
	// disruptions counts the restarts and partitions, each of which may lose all reports.
	disruptions int
}

func newSim(t *rapid.T, n int) *sim {
	s := &sim{t: t, now: start, partition: make([]int, n)}
	for i := range s.published {
		s.published[i] = map[uint64]fleet.Quarantine{}
	}
	for range n {
		s.nodes = append(s.nodes, poison.NewDetector())
	}
	return s
}

// report applies a report at its node and at those others that it reaches.
func (s *sim) report(at int, r poison.Report, lost func() bool) {
	for i, d := range s.nodes {
		if i != at && (s.partition[i] != s.partition[at] || lost()) {
			continue
		}
		for _, q := range d.Report(s.now, r) {
			side := s.published[s.partition[i]]
			if old, ok := side[q.Key()]; !ok || q.Newer(old) {
				side[q.Key()] = q
			}
		}
	}
	s.replicate()
}

func (s *sim) replicate() {
	for i, d := range s.nodes {
		for _, q := range s.published[s.partition[i]] {
			d.Merge(s.now, q)
		}
	}
}

// deadly sends a request that crashes an engine, unless its node rejects it.
func (s *sim) deadly(lost func() bool) {
	s.requests++
	at := s.requests % len(s.nodes)
	parts := keys([]string{"a", fmt.Sprint("s-", s.requests%5), "d"})
	if _, ok := s.nodes[at].Quarantined(s.now, parts); ok {
		return
	}
	for _, q := range s.published[s.partition[at]] {
		if !q.Lifted && len(q.Parts) == 1 && q.Parts[0] == parts[2] {
			s.t.Fatalf("node %d does not know a quarantine of its partition", at)
		}
	}
	s.crashes++
	s.report(at, poison.Report{Kind: poison.Broken, Upstream: uint64(s.crashes), Parts: parts}, lost)
	// Two sound requests waited at the same engine, at other nodes.
	for k := range 2 {
		by := keys([]string{"a", fmt.Sprint("s-", (s.requests+k)%7)})
		s.report((at+1+k)%len(s.nodes), poison.Report{Kind: poison.Unanswered, Upstream: uint64(s.crashes), Parts: by}, lost)
	}
}

// sound sends a sound request, which must never be rejected.
func (s *sim) sound(lost func() bool) {
	s.requests++
	at := s.requests % len(s.nodes)
	parts := keys([]string{"a", fmt.Sprint("s-", s.requests%7)})
	if _, ok := s.nodes[at].Quarantined(s.now, parts); ok {
		s.t.Fatalf("a sound request was rejected after %d crashes", s.crashes)
	}
	if s.nodes[at].Tracks(s.now, parts) {
		s.report(at, poison.Report{Kind: poison.Answered, Parts: parts}, lost)
	}
}

// Guards against nodes that learn of a crash separately letting more engines crash, and
// against a restart, a late node or a partition reviving the requests. Sound requests are
// never rejected.
func TestFleetStopsCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t, rapid.IntRange(1, 8).Draw(t, "nodes"))
		isLossy := rapid.Bool().Draw(t, "lossy")
		reliable := func() bool { return false }
		lost := func() bool { return isLossy && rapid.IntRange(0, 9).Draw(t, "lost") == 0 }
		t.Repeat(map[string]func(*rapid.T){
			"deadly": func(t *rapid.T) {
				s.wait(rapid.IntRange(110, 900).Draw(t, "ms"))
				s.deadly(lost)
				for range 4 {
					s.wait(10)
					s.sound(reliable)
				}
			},
			"sound":     func(*rapid.T) { s.wait(20); s.sound(reliable) },
			"restart":   func(t *rapid.T) { s.restart(rapid.IntRange(0, len(s.nodes)-1).Draw(t, "node")) },
			"join":      func(*rapid.T) { s.join() },
			"partition": func(t *rapid.T) { s.move(rapid.IntRange(0, len(s.nodes)-1).Draw(t, "node")) },
			"heal":      func(*rapid.T) { s.heal() },
			"":          func(t *rapid.T) { s.checkCrashes(isLossy) },
		})
	})
}

func (s *sim) wait(ms int) { s.now = s.now.Add(time.Duration(ms) * time.Millisecond) }

func (s *sim) restart(i int) {
	s.disruptions++
	s.nodes[i] = poison.NewDetector()
	s.replicate()
}

// join adds a node that has missed all reports so far.
func (s *sim) join() {
	if len(s.nodes) < 12 {
		s.nodes, s.partition = append(s.nodes, poison.NewDetector()), append(s.partition, 0)
		s.replicate()
	}
}

// move moves a node to the other partition.
func (s *sim) move(i int) {
	s.disruptions++
	s.partition[i] = 1 - s.partition[i]
	s.replicate()
}

func (s *sim) heal() {
	clear(s.partition)
	for key, q := range s.published[1] {
		if old, ok := s.published[0][key]; !ok || q.Newer(old) {
			s.published[0][key] = q
		}
	}
	s.replicate()
}

// checkCrashes checks that in each partition, engines crash until one node has counted
// three crashes since the latest disruption.
func (s *sim) checkCrashes(isLossy bool) {
	atMost := 3
	if isLossy {
		atMost = 2*len(s.nodes) + 1 // each node may have missed all reports of the others
	}
	if s.crashes > 2*atMost*(1+s.disruptions) {
		s.t.Fatalf("%d crashes after %d disruptions", s.crashes, s.disruptions)
	}
}
