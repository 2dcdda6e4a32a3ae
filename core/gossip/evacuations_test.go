package gossip_test

import (
	"testing"
	"time"

	"dotterelgap/core/fleet"

	"github.com/matryer/is"
)

// rounds runs the exchanges of all hosts for a time.
func (s *sim) rounds(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(200 * time.Millisecond)
		for _, h := range s.hosts {
			s.round(h, noLoss)
		}
	}
}

// Guards against nodes that keep an evacuation which was withdrawn on the other side of a
// partition, or that take it back from an old message or from a node that joins.
func TestEvacuationsAcrossAPartition(t *testing.T) {
	is := is.New(t)
	s := newSim(6)
	s.introduce()
	order := fleet.Evacuations{Number: 1, Places: []fleet.Place{"a"}}
	withdrawal := fleet.Evacuations{Number: 2}
	for i, h := range s.hosts {
		s.partition[h] = i % 2
	}
	s.hosts[0].machine.SetEvacuations(order)
	s.rounds(2 * time.Second)
	is.True(s.hosts[2].machine.Evacuations().Contains("a"))
	is.True(!s.hosts[1].machine.Evacuations().Contains("a")) // cut off
	old := s.hosts[2].machine.Request(s.now, s.hosts[1].addr)
	s.hosts[1].machine.SetEvacuations(withdrawal)
	s.rounds(2 * time.Second)
	is.Equal(s.hosts[4].machine.Evacuations().Number, uint64(1))
	s.partition = map[*host]int{}
	s.rounds(5 * time.Second)
	for _, h := range s.hosts {
		is.Equal(h.machine.Evacuations().Number, uint64(2))
	}
	before := s.hosts[1].machine.Version()
	s.hosts[1].machine.OnRequest(s.now, old)
	s.hosts[1].machine.SetEvacuations(order)
	is.True(!s.hosts[1].machine.Evacuations().Contains("a"))
	is.Equal(s.hosts[1].machine.Version(), before) // nothing changed
	s.start(s.hosts[3])
	s.rounds(time.Second)
	is.Equal(s.hosts[3].machine.Evacuations().Number, uint64(2))
}

// Guards against an order that waits for the random exchanges: it goes to all live nodes at once,
// and the nodes that get it have something to do.
func TestEvacuationIsUrgent(t *testing.T) {
	is := is.New(t)
	s := newSim(8)
	s.introduce()
	for _, h := range s.hosts {
		h.machine.Version()
	}
	s.hosts[0].machine.SetEvacuations(fleet.Evacuations{Number: 1, Places: []fleet.Place{"a"}})
	is.True(s.hosts[0].machine.Pending())
	s.round(s.hosts[0], noLoss)
	for _, h := range s.hosts[1:] {
		is.True(h.machine.Evacuations().Contains("a"))
		is.True(h.machine.Pending())
	}
	is.Equal(len(s.hosts[0].machine.Partners(s.now)), 1) // once
}
