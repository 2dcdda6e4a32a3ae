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

// world is the budget machines of a small fleet over a network that loses,
// repeats, reorders and cuts. Truth is what the engines really made.
type world struct {
	now     time.Time
	ledger  *ledger.Ledger
	entries []*entryNode
	agents  []*agentNode
	packets []packet
	// side cuts the network: only nodes on the same side talk. Control is on
	// side 0.
	side map[string]int
	// reports is what the leader holds of settling grants.
	reports map[escrow.GrantID]map[fleet.NodeID]escrow.Report
	paid    map[string]escrow.Tokens
	topUps  []ledger.TopUp
	truth   []*truth
	serial  int
	// closed holds what was made on each grant when it left the ledger.
	closed map[escrow.GrantID]escrow.Tokens
	// open holds the ids of the grants at the latest check.
	open map[escrow.GrantID]bool
	// lostAgent is set once an agent lost its memory: some use may then stay
	// in doubt for good.
	lostAgent bool
}

// truth is one run at an engine.
type truth struct {
	customer, key string
	attempt       int
	made, want    escrow.Tokens
	over          bool
	agent         fleet.NodeID
	// waived is set once the run's agent has promised that it is not billed:
	// another attempt for the key is. What it made is no spend of the customer.
	waived bool
	parts  []escrow.Part
}

type packet struct {
	from, to string
	run      func()
	// claim marks what passes between holders and witnesses.
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
	life              fleet.NodeID
	parts             []escrow.Part
	want, worst       escrow.Tokens
	// earlier are the agents that come before for the key.
	earlier    []*agentNode
	unbilled   bool
	sent, over bool
}

type agentNode struct {
	slot    int
	id      fleet.NodeID
	place   fleet.Place
	meter   *escrow.Meter
	witness *escrow.Witness
	book    *runs.Machine
	fences  []escrow.Grant
}

var customers = []string{"large", "small"}

func newWorld(entries, agents int) *world {
	w := &world{
		now: time.Unix(1_000_000, 0), ledger: ledger.New(), side: map[string]int{},
		reports: map[escrow.GrantID]map[fleet.NodeID]escrow.Report{}, paid: map[string]escrow.Tokens{},
		closed: map[escrow.GrantID]escrow.Tokens{}, open: map[escrow.GrantID]bool{},
	}
	for _, c := range customers {
		w.ledger.Create(c)
	}
	for i := range agents {
		w.agents = append(w.agents, &agentNode{slot: i, place: fleet.Place(fmt.Sprint("p", i%2))})
		w.startAgent(w.agents[i])
	}
	for i := range entries {
		w.entries = append(w.entries, &entryNode{slot: i, place: fleet.Place(fmt.Sprint("p", i%2))})
		w.startEntry(w.entries[i])
	}
	return w
}

func (w *world) next(prefix string) string {
	w.serial++
	return fmt.Sprintf("%s-%d", prefix, w.serial)
}

func (w *world) startEntry(e *entryNode) {
	e.id = fleet.NodeID(w.next("entry"))
	opts := escrow.DefaultOptions()
	opts.SliceDivisor = 4
	e.holder = escrow.NewHolder(e.id, e.place, opts)
	e.jobs = map[string]*job{}
	e.frozen = false
}

func (w *world) startAgent(a *agentNode) {
	a.id = fleet.NodeID(w.next("agent"))
	addr := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(a.slot+1))
	w.ledger.Join(fleet.Node{ID: a.id, Role: fleet.RoleAgent, Place: a.place, Addr: addr})
	a.meter = escrow.NewMeter(a.id, w.ledger.Agents[a.id].JoinedAt)
	a.witness = escrow.NewWitness(a.id)
	a.book = runs.New(a.meter, runs.DefaultLimits())
	a.book.Ready()
	a.fences = nil
}

func (e *entryNode) name() string { return fmt.Sprint("entry/", e.slot) }

func (a *agentNode) name() string { return fmt.Sprint("agent/", a.slot) }

func (w *world) send(from, to string, run func()) {
	w.packets = append(w.packets, packet{from: from, to: to, run: run})
}

func (w *world) deliver(i int, keep bool) {
	p := w.packets[i]
	if !keep {
		w.packets = slices.Delete(w.packets, i, i+1)
	}
	if w.side[p.from] == w.side[p.to] {
		p.run()
	}
}

// clock is an entry's own, which may be wrong.
func (w *world) clock(e *entryNode) time.Time { return w.now.Add(e.skew) }

// act feeds an input to an entry's holder and sends what it wants sent.
func (w *world) act(e *entryNode, f func(now time.Time, fx *escrow.Effects)) {
	if e.frozen {
		return
	}
	var fx escrow.Effects
	f(w.clock(e), &fx)
	life := e.id
	back := func(g func(now time.Time, fx *escrow.Effects)) {
		if e.id == life {
			w.act(e, g)
		}
	}
	for _, v := range fx.Results {
		w.onVerdict(e, v)
	}
	for _, c := range fx.Claims {
		w.sendClaim(e, c, back)
	}
	for _, r := range fx.Refills {
		w.sendRefill(e, r, back)
	}
	for _, s := range fx.Spends {
		w.send(e.name(), control, func() { w.ledger.Spend(s) })
	}
	for _, c := range fx.Closes {
		// A close is sent until it arrives.
		for range 3 {
			w.send(e.name(), control, func() { w.ledger.Close(c) })
		}
	}
}

func (w *world) sendClaim(e *entryNode, c escrow.Claim, back func(func(time.Time, *escrow.Effects))) {
	a := w.agentByID(c.Witness)
	if a == nil {
		return
	}
	w.send(e.name(), a.name(), func() {
		reply := a.witness.Claim(c)
		w.send(a.name(), e.name(), func() {
			back(func(now time.Time, fx *escrow.Effects) { e.holder.OnClaim(now, reply, fx) })
		})
	})
	w.packets[len(w.packets)-1].claim = true
}

func (w *world) sendRefill(e *entryNode, r escrow.Refill, back func(func(time.Time, *escrow.Effects))) {
	w.send(e.name(), control, func() {
		answer := w.ledger.Open(r)
		w.send(control, e.name(), func() {
			back(func(now time.Time, fx *escrow.Effects) {
				if answer.Grant != nil {
					e.holder.AddGrant(now, answer.Seq, *answer.Grant, fx)
				} else {
					e.holder.Deny(now, *answer.Denial, fx)
				}
			})
		})
	})
}

func (w *world) agentByID(id fleet.NodeID) *agentNode {
	for _, a := range w.agents {
		if a.id == id {
			return a
		}
	}
	return nil
}

func (w *world) onVerdict(e *entryNode, v escrow.Result) {
	j, ok := e.jobs[v.ID]
	if !ok {
		return
	}
	if v.Reason != "" {
		j.over = true
		return
	}
	j.parts = v.Parts
	w.dispatch(e, j)
}

// dispatch may be sent again: an entry resumes a broken stream.
func (w *world) dispatch(e *entryNode, j *job) {
	j.sent = true
	a, life := j.agent, j.life
	w.send(e.name(), a.name(), func() {
		if a.id != life {
			return
		}
		spec := runs.Spec{
			ID: runs.ID{Customer: j.customer, Key: j.key}, Attempt: j.attempt, Payment: j.id, Parts: j.parts, Retried: len(j.earlier) > 0,
		}
		d := a.book.Admit(w.now, spec)
		switch d.Action {
		case runs.Refuse:
			w.refuse(e, j, a, d)
		case runs.Start:
			w.truth = append(w.truth, &truth{customer: j.customer, key: j.key, attempt: j.attempt, want: j.want, agent: a.id, parts: j.parts})
		}
	})
}

func (w *world) refuse(e *entryNode, j *job, a *agentNode, d runs.Decision) {
	w.send(a.name(), e.name(), func() {
		if _, ok := e.jobs[j.id]; !ok {
			return
		}
		w.finish(e, j, 0)
		if d.Reason == runs.ReasonFenced {
			w.act(e, func(now time.Time, fx *escrow.Effects) { e.holder.Fenced(now, d.Grant, fx) })
		}
	})
}

// finish books an attempt at the holder, once.
func (w *world) finish(e *entryNode, j *job, used escrow.Tokens) {
	if j.over || e.frozen {
		return
	}
	j.over = true
	w.act(e, func(now time.Time, fx *escrow.Effects) { e.holder.Release(now, j.id, used, fx) })
}

// resolve asks the agent about an attempt, as an entry does after a break.
func (w *world) resolve(e *entryNode, j *job) {
	a, life := j.agent, j.life
	if a.id != life {
		j.over = true
		w.act(e, func(now time.Time, fx *escrow.Effects) { e.holder.Abandon(now, j.id, fx) })
		return
	}
	w.send(e.name(), a.name(), func() {
		if a.id != life {
			return
		}
		id := runs.ID{Customer: j.customer, Key: j.key}
		r := a.book.Resolve(id, j.attempt)
		if r.Running {
			return
		}
		w.send(a.name(), e.name(), func() {
			if _, ok := e.jobs[j.id]; !ok || j.over || e.frozen {
				return
			}
			if r.Payment != j.id {
				w.finish(e, j, 0)
				return
			}
			w.book(e, j, r.Used)
		})
	})
}
