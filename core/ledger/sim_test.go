package ledger_test

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"dotterelgap/core/escrow"
	"dotterelgap/core/fleet"
	"dotterelgap/core/ledger"
	"dotterelgap/core/runs"
)

// simulation runs the budget state machines of a small fleet over a network that
// loses, repeats, reorders and partitions. engineRuns records what the engines
// actually generated.
type simulation struct {
	now     time.Time
	ledger  *ledger.Ledger
	entries []*entryNode
	agents  []*agentNode
	packets []packet
	// partition is each node's network partition. Only nodes in the same one can
	// communicate. The control group is in partition 0.
	partition map[string]int
	// reports are the reports on settling grants that the leader has received.
	reports    map[escrow.GrantID]map[fleet.NodeID]escrow.Report
	paid       map[string]escrow.Tokens
	topUps     []ledger.TopUp
	engineRuns []*engineRun
	serial     int
	// generatedAtRemoval holds the tokens that had been generated on each grant
	// when the ledger removed it.
	generatedAtRemoval map[escrow.GrantID]escrow.Tokens
	// openGrants holds the ids of the open grants at the latest check.
	openGrants map[escrow.GrantID]bool
	// lostAgent is set once an agent has lost its memory. Some use may then stay
	// in doubt permanently.
	lostAgent bool
}

// engineRun is one run at an engine.
type engineRun struct {
	customer, key   string
	attempt         int
	generated, want escrow.Tokens
	done            bool
	agent           fleet.NodeID
	// voided is set once the run's agent has promised that the run is not billed
	// because another attempt for the key is. The customer does not pay for the
	// run's tokens.
	voided bool
	parts  []escrow.Part
}

type packet struct {
	from, to string
	run      func()
	// claim marks a claim from a holder to a witness.
	claim bool
}

const control = "control"

type entryNode struct {
	id     fleet.NodeID
	place  fleet.Place
	slot   int
	holder *escrow.Holder
	jobs   map[string]*job
	skew   time.Duration
	frozen bool
}

type job struct {
	id, customer, key string
	attempt           int
	agent             *agentNode
	incarnation       fleet.NodeID
	parts             []escrow.Part
	want, worst       escrow.Tokens
	// earlier are the agents that come before agent in the key's order.
	earlier    []*agentNode
	unbilled   bool
	sent, done bool
}

type agentNode struct {
	slot    int
	id      fleet.NodeID
	place   fleet.Place
	meter   *escrow.Meter
	witness *escrow.Witness
	machine *runs.Machine
	fences  []escrow.Grant
}

var customers = []string{"large", "small"}

func newSimulation(entries, agents int) *simulation {
	s := &simulation{
		now: time.Unix(1_000_000, 0), ledger: ledger.New(), partition: map[string]int{},
		reports: map[escrow.GrantID]map[fleet.NodeID]escrow.Report{}, paid: map[string]escrow.Tokens{},
		generatedAtRemoval: map[escrow.GrantID]escrow.Tokens{}, openGrants: map[escrow.GrantID]bool{},
	}
	for _, c := range customers {
		s.ledger.Create(c)
	}
	for i := range agents {
		s.agents = append(s.agents, &agentNode{slot: i, place: fleet.Place(fmt.Sprint("p", i%2))})
		s.startAgent(s.agents[i])
	}
	for i := range entries {
		s.entries = append(s.entries, &entryNode{slot: i, place: fleet.Place(fmt.Sprint("p", i%2))})
		s.startEntry(s.entries[i])
	}
	return s
}

func (s *simulation) next(prefix string) string {
	s.serial++
	return fmt.Sprintf("%s-%d", prefix, s.serial)
}

func (s *simulation) startEntry(e *entryNode) {
	e.id = fleet.NodeID(s.next("entry"))
	opts := escrow.DefaultOptions()
	opts.SliceDivisor = 4
	e.holder = escrow.NewHolder(e.id, e.place, opts)
	e.jobs = map[string]*job{}
	e.frozen = false
}

func (s *simulation) startAgent(a *agentNode) {
	a.id = fleet.NodeID(s.next("agent"))
	addr := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(a.slot+1))
	s.ledger.Join(fleet.Node{ID: a.id, Role: fleet.RoleAgent, Place: a.place, Addr: addr})
	a.meter = escrow.NewMeter(a.id, s.ledger.Agents[a.id].JoinedAt)
	a.witness = escrow.NewWitness(a.id)
	a.machine = runs.New(a.meter, runs.DefaultLimits())
	a.machine.Ready()
	a.fences = nil
}

func (e *entryNode) name() string { return fmt.Sprint("entry/", e.slot) }

func (a *agentNode) name() string { return fmt.Sprint("agent/", a.slot) }

func (s *simulation) send(from, to string, run func()) {
	s.packets = append(s.packets, packet{from: from, to: to, run: run})
}

func (s *simulation) deliver(i int, keep bool) {
	p := s.packets[i]
	if !keep {
		s.packets = slices.Delete(s.packets, i, i+1)
	}
	if s.partition[p.from] == s.partition[p.to] {
		p.run()
	}
}

// clock returns the time of an entry's own clock, which may be wrong.
func (s *simulation) clock(e *entryNode) time.Time { return s.now.Add(e.skew) }

// apply applies an input to an entry's holder and performs its effects.
func (s *simulation) apply(e *entryNode, f func(now time.Time, fx *escrow.Effects)) {
	if e.frozen {
		return
	}
	var fx escrow.Effects
	f(s.clock(e), &fx)
	incarnation := e.id
	ifCurrent := func(g func(now time.Time, fx *escrow.Effects)) {
		if e.id == incarnation {
			s.apply(e, g)
		}
	}
	for _, r := range fx.Results {
		s.handleResult(e, r)
	}
	for _, c := range fx.Claims {
		s.sendClaim(e, c, ifCurrent)
	}
	for _, r := range fx.Refills {
		s.sendRefill(e, r, ifCurrent)
	}
	for _, spend := range fx.Spends {
		s.send(e.name(), control, func() { s.ledger.Spend(spend) })
	}
	for _, c := range fx.Closes {
		// An entry resends a close until it is delivered.
		for range 3 {
			s.send(e.name(), control, func() { s.ledger.Close(c) })
		}
	}
}

func (s *simulation) sendClaim(e *entryNode, c escrow.Claim, ifCurrent func(func(time.Time, *escrow.Effects))) {
	a := s.agentByID(c.Witness)
	if a == nil {
		return
	}
	s.send(e.name(), a.name(), func() {
		reply := a.witness.Claim(c)
		s.send(a.name(), e.name(), func() {
			ifCurrent(func(now time.Time, fx *escrow.Effects) { e.holder.OnClaim(now, reply, fx) })
		})
	})
	s.packets[len(s.packets)-1].claim = true
}

func (s *simulation) sendRefill(e *entryNode, r escrow.Refill, ifCurrent func(func(time.Time, *escrow.Effects))) {
	s.send(e.name(), control, func() {
		reply := s.ledger.Open(r)
		s.send(control, e.name(), func() {
			ifCurrent(func(now time.Time, fx *escrow.Effects) {
				if reply.Grant != nil {
					e.holder.AddGrant(now, reply.Seq, *reply.Grant, fx)
				} else {
					e.holder.Deny(now, *reply.Denial, fx)
				}
			})
		})
	})
}

func (s *simulation) agentByID(id fleet.NodeID) *agentNode {
	for _, a := range s.agents {
		if a.id == id {
			return a
		}
	}
	return nil
}

func (s *simulation) handleResult(e *entryNode, r escrow.Result) {
	j, ok := e.jobs[r.ID]
	if !ok {
		return
	}
	if r.Reason != "" {
		j.done = true
		return
	}
	j.parts = r.Parts
	s.dispatch(e, j)
}

// dispatch sends a job to its agent. It may be repeated, since an entry resumes a
// broken stream.
func (s *simulation) dispatch(e *entryNode, j *job) {
	j.sent = true
	a, incarnation := j.agent, j.incarnation
	s.send(e.name(), a.name(), func() {
		if a.id != incarnation {
			return
		}
		spec := runs.Spec{
			ID: runs.ID{Customer: j.customer, Key: j.key}, Attempt: j.attempt, Payment: j.id, Parts: j.parts, Retried: len(j.earlier) > 0,
		}
		d := a.machine.Admit(s.now, spec)
		switch d.Action {
		case runs.Refuse:
			s.refuse(e, j, a, d)
		case runs.Start:
			s.engineRuns = append(s.engineRuns, &engineRun{customer: j.customer, key: j.key, attempt: j.attempt, want: j.want, agent: a.id, parts: j.parts})
		}
	})
}

func (s *simulation) refuse(e *entryNode, j *job, a *agentNode, d runs.Decision) {
	s.send(a.name(), e.name(), func() {
		if _, ok := e.jobs[j.id]; !ok {
			return
		}
		s.finish(e, j, 0)
		if d.Reason == runs.ReasonFenced {
			s.apply(e, func(now time.Time, fx *escrow.Effects) { e.holder.Fenced(now, d.Grant, fx) })
		}
	})
}

// finish releases a job's reservation at the holder, once.
func (s *simulation) finish(e *entryNode, j *job, used escrow.Tokens) {
	if j.done || e.frozen {
		return
	}
	j.done = true
	s.apply(e, func(now time.Time, fx *escrow.Effects) { e.holder.Release(now, j.id, used, fx) })
}

// resolve asks the agent about an attempt, as an entry does after a connection
// failure.
func (s *simulation) resolve(e *entryNode, j *job) {
	a, incarnation := j.agent, j.incarnation
	if a.id != incarnation {
		j.done = true
		s.apply(e, func(now time.Time, fx *escrow.Effects) { e.holder.Abandon(now, j.id, fx) })
		return
	}
	s.send(e.name(), a.name(), func() {
		if a.id != incarnation {
			return
		}
		id := runs.ID{Customer: j.customer, Key: j.key}
		r := a.machine.Resolve(id, j.attempt)
		if r.Running {
			return
		}
		s.send(a.name(), e.name(), func() {
			if _, ok := e.jobs[j.id]; !ok || j.done || e.frozen {
				return
			}
			if r.Payment != j.id {
				s.finish(e, j, 0)
				return
			}
			s.bill(e, j, r.Used)
		})
	})
}
