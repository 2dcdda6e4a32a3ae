package sched_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dotterelgap/core/sched"

	"github.com/matryer/is"
)

// memorySim runs nodes before engines that crash if running requests exceed their memory.
type memorySim struct {
	rnd     *rand.Rand
	now     time.Time
	nodes   []*sched.Balancer
	lost    float64
	updates []delayedUpdate
	running []runningRequest
	held    map[string]int
	// most is the most tokens that an engine held, and offered and served count requests by size.
	most            int
	offered, served map[int]int
}

type runningRequest struct {
	at     int
	end    time.Time
	first  time.Time // zero once the first token has arrived
	tokens int
	c      sched.Choice
}

const (
	simMemory  = 600_000
	simEngines = 3
)

func newMemorySim(nodes int, lost float64, seed uint64) *memorySim {
	s := &memorySim{rnd: rand.New(rand.NewPCG(seed, 0)), now: start, lost: lost, held: map[string]int{}}
	for range nodes {
		s.nodes = append(s.nodes, newMemoryNode(simEngines, nodes))
	}
	return s
}

func newMemoryNode(engines, nodes int) *sched.Balancer {
	opts := sched.DefaultOptions()
	opts.GuardMemory = true
	b := sched.New(opts, "here")
	b.SetUpstreams(upstreams("model", engines), func(string) sched.Engine { return sched.Engine{KVTokens: simMemory} })
	b.SetNodes(nodes)
	return b
}

// request sends a request of a size to a node. It reports whether an engine had room.
func (s *memorySim) request(n, input int) bool {
	s.offered[input]++
	b := s.nodes[n]
	id := fmt.Sprint(s.rnd.Uint64())
	parts := sched.Keys([]sched.Part{{ID: "plan", Tokens: input / 4}, {ID: fmt.Sprint(s.rnd.IntN(40)), Tokens: input / 4}, {ID: id, Tokens: input / 2}})
	q := sched.Query{Service: "model", Parts: parts, Input: input, Output: 100}
	c, ok := b.Pick(s.now, q)
	if !ok {
		return false
	}
	s.served[input]++
	c, u, _ := b.Started(s.now, q, c)
	for to := range s.nodes {
		if to != n && s.rnd.Float64() >= s.lost {
			late := 50*time.Millisecond + time.Duration(s.rnd.IntN(950))*time.Millisecond
			s.updates = append(s.updates, delayedUpdate{to, s.now.Add(late), u})
		}
	}
	s.held[c.Upstream.ID] += q.Input + q.Output
	s.most = max(s.most, s.held[c.Upstream.ID])
	lasts := 500*time.Millisecond + time.Duration(s.rnd.IntN(2000))*time.Millisecond
	s.running = append(s.running, runningRequest{n, s.now.Add(lasts), s.now.Add(60 * time.Millisecond), q.Input + q.Output, c})
	return true
}

// step advances the time by 2 ms.
func (s *memorySim) step() {
	s.now = s.now.Add(2 * time.Millisecond)
	s.updates = slices.DeleteFunc(s.updates, func(d delayedUpdate) bool {
		if d.at.After(s.now) {
			return false
		}
		s.nodes[d.to].OnUpdate(s.now, d.u)
		return true
	})
	for i, r := range s.running {
		if !r.first.IsZero() && s.now.After(r.first) {
			s.nodes[r.at].FirstToken(r.c, 60*time.Millisecond)
			s.running[i].first = time.Time{}
		}
	}
	s.running = slices.DeleteFunc(s.running, func(r runningRequest) bool {
		if r.end.After(s.now) {
			return false
		}
		s.held[r.c.Upstream.ID] -= r.tokens
		s.nodes[r.at].Ended(s.now, r.c, sched.Served)
		return true
	})
}

// overload offers several times what the engines' memory has room for.
func (s *memorySim) overload(d time.Duration) {
	s.offered, s.served = map[int]int{}, map[int]int{}
	sizes := []int{700, 2400, 9200, 9200, 25_000}
	for end := s.now.Add(d); s.now.Before(end); {
		s.step()
		for range 3 {
			s.request(s.rnd.IntN(len(s.nodes)), sizes[s.rnd.IntN(len(sizes))])
		}
	}
}

// Guards against engines that crash because all nodes together send them more than their memory
// holds, with updates that are late or lost, and against large prompts that never find room.
func TestMemoryIsNotExceeded(t *testing.T) {
	for n := range uint64(6) {
		lost := 0.1 * float64(n%2)
		t.Run(fmt.Sprintf("seed %d, %v lost", n, lost), func(t *testing.T) {
			is := is.New(t)
			s := newMemorySim(14, lost, n)
			for range 3 {
				s.overload(6 * time.Second)
				t.Logf("most %d; served %v of %v", s.most, s.served, s.offered)
				is.True(s.most <= simMemory)
				is.True(s.most > simMemory/3) // their memory is used
				small := float64(s.served[700]) / float64(s.offered[700])
				is.True(float64(s.served[25_000])/float64(s.offered[25_000]) > small/3)
				for range 2000 {
					s.step()
				}
			}
		})
	}
}

// Guards against engines that are left out for good because of requests that have ended long ago.
func TestMemoryIsFreeAgain(t *testing.T) {
	is := is.New(t)
	s := newMemorySim(14, 0.5, 7)
	s.overload(6 * time.Second)
	for range 16_000 / 2 {
		s.step()
	}
	s.offered, s.served = map[int]int{}, map[int]int{}
	for n := range s.nodes {
		is.True(s.request(n, 20_000))
	}
}

// Guards against a prompt that no engine's memory can hold being sent, and against reasons that
// aren't true.
func TestMemoryReasons(t *testing.T) {
	is := is.New(t)
	b := newMemoryNode(1, 1)
	large := sched.Query{Service: "model", Input: simMemory, Output: 1}
	_, ok := b.Pick(start, large)
	is.True(!ok)
	r, _ := b.MemoryReason(start, large)
	is.Equal(r, sched.TooLarge)
	q := prompt("plan", "s", "r")
	_, full := b.MemoryReason(start, q)
	is.True(!full)
	var sent []sched.Choice
	for {
		c, ok := b.Pick(start, q)
		if !ok {
			break
		}
		c, _, _ = b.Started(start, q, c)
		sent = append(sent, c)
	}
	r, _ = b.MemoryReason(start, q)
	is.Equal(r, sched.Full)
	for _, c := range sent {
		b.Ended(start, c, sched.Served)
	}
	_, ok = b.Pick(start, q)
	is.True(ok)
}

// Guards against absurd updates that leave an engine out for good.
func TestMemoryOfAbsurdUpdates(t *testing.T) {
	is := is.New(t)
	b, from := newMemoryNode(1, 2), newMemoryNode(1, 2)
	q := prompt("plan", "s", "r")
	c, _ := from.Pick(start, q)
	_, u, _ := from.Started(start, q, c)
	u.Holds, u.Lasts, u.Uncached = 1<<30, 1000*time.Hour, 1<<30
	got, ok := sched.ParseUpdate(u.Append(nil))
	is.True(ok)
	for range 100 {
		b.OnUpdate(start, got)
	}
	_, ok = b.Pick(start, q)
	is.True(!ok)
	_, ok = b.Pick(start.Add(16*time.Second), q)
	is.True(ok)
}
