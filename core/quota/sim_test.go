package quota_test

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"dotterelgap/core/fleet"
	"dotterelgap/core/quota"

	"pgregory.net/rapid"
)

// customers are the customers of the simulation. They are few, so that faults coincide.
var customers = []string{"acme", "multan"}

// request is a request that has not ended.
type request struct {
	id, customer string
	worst        quota.Tokens
	// begun is set once a part of the response may have been passed on.
	begun bool
}

// used returns what the request may have used.
func (r request) used() quota.Tokens {
	if !r.begun {
		return 0
	}
	return r.worst
}

// host runs one node at a time. A restart gives the node a new id and clears its memory.
type host struct {
	addr      netip.AddrPort
	id        fleet.NodeID
	alive     bool
	startedAt time.Time
	holder    *quota.Holder
	witness   *quota.Witness
	// keeper survives a restart of the node. It is nil if the host has no disk.
	keeper   *quota.Witness
	keeperID fleet.NodeID
	running  []request
	// waiting holds requests that were refused and not given up.
	waiting []request
	// partitioned disconnects the host from the control group, isolated also from the other
	// hosts.
	partitioned, isolated bool
}

// message is in transit. deliver delivers it and may be called more than once.
type message struct {
	deliver func()
}

// simulation drives holders, witnesses and a ledger over a network that loses, repeats
// and delays messages, and records the true use.
type simulation struct {
	now          time.Time
	opts         quota.Options
	ledger       *quota.Ledger
	timestamp    quota.Timestamp
	hosts        []*host
	net          []message
	incarnations int
	requests     int
	paid         map[string]quota.Tokens
	// most is the maximum that was ever paid. spent is what engines used, or may still
	// use for hosts that died.
	most, spent map[string]quota.Tokens
	// past holds what each ended incarnation had used, by customer.
	past map[fleet.NodeID]map[string]quota.Tokens
}

func newSimulation(hosts int) *simulation {
	sim := &simulation{
		now: time.Unix(1_700_000_000, 0), opts: quota.DefaultOptions(), ledger: quota.NewLedger(),
		timestamp: quota.Timestamp{Term: 1, By: 1},
		paid:      map[string]quota.Tokens{}, most: map[string]quota.Tokens{}, spent: map[string]quota.Tokens{},
		past: map[fleet.NodeID]map[string]quota.Tokens{},
	}
	for _, c := range customers {
		sim.setPaid(c, 10_000)
	}
	for i := range hosts {
		h := &host{addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000)}
		sim.hosts = append(sim.hosts, h)
		if i < 2 {
			sim.replaceDisk(h)
		}
		sim.start(h)
	}
	return sim
}

func (sim *simulation) setPaid(customer string, paid quota.Tokens) {
	sim.paid[customer] = paid
	sim.most[customer] = max(sim.most[customer], paid)
	sim.ledger.SetPrepaid(sim.paid)
}

func (sim *simulation) start(h *host) {
	sim.incarnations++
	h.id = fleet.NodeID(fmt.Sprint("entry-", sim.incarnations))
	h.alive, h.startedAt, h.running, h.waiting = true, sim.now, nil, nil
	h.holder = quota.NewHolder(h.id, h.addr, sim.opts, sim.now)
	h.holder.SetCustomers(sim.now, customers)
	h.witness = quota.NewWitness(h.id)
}

func (sim *simulation) send(f func()) { sim.net = append(sim.net, message{f}) }

func (sim *simulation) pick(t *rapid.T, label string) *host {
	return sim.hosts[rapid.IntRange(0, len(sim.hosts)-1).Draw(t, label)]
}

func (sim *simulation) stepTime(t *rapid.T) {
	sim.now = sim.now.Add(time.Duration(rapid.SampledFrom([]int{5, 60, 150, 700, 2600, 9000}).Draw(t, "ms")) * time.Millisecond)
	sim.ledger.Tick(sim.currentTimestamp())
}

func (sim *simulation) currentTimestamp() quota.Timestamp {
	t := sim.timestamp
	t.At = sim.now
	return t
}

func (sim *simulation) stepRequest(t *rapid.T) {
	h := sim.pick(t, "host")
	if !h.alive {
		return
	}
	sim.requests++
	r := request{
		id: fmt.Sprint("r", sim.requests), customer: rapid.SampledFrom(customers).Draw(t, "customer"),
		worst: quota.Tokens(rapid.SampledFrom([]int{1, 90, 700, 2500}).Draw(t, "worst")),
	}
	if err := h.holder.Reserve(sim.now, r.id, r.customer, r.worst); err != nil {
		if rapid.Bool().Draw(t, "gives up") {
			h.holder.GiveUp(r.id, r.customer)
			return
		}
		h.waiting = append(h.waiting, r)
		return
	}
	if rapid.IntRange(0, 3).Draw(t, "begins later") > 0 {
		sim.begin(h, &r)
	}
	h.running = append(h.running, r)
}

func (sim *simulation) stepEnd(t *rapid.T) {
	h := sim.pick(t, "host")
	if !h.alive || len(h.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(h.running)-1).Draw(t, "request")
	r := h.running[i]
	used := quota.Tokens(rapid.IntRange(0, int(r.used())).Draw(t, "used"))
	h.running = slices.Delete(h.running, i, i+1)
	sim.spent[r.customer] += used
	h.holder.Settle(sim.now, r.id, used)
	h.holder.GiveUp(r.id, r.customer)
}

// stepBegin passes on the first part of the response to a request.
func (sim *simulation) stepBegin(t *rapid.T) {
	h := sim.pick(t, "host")
	if !h.alive || len(h.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(h.running)-1).Draw(t, "request")
	sim.begin(h, &h.running[i])
}

// begin begins a request if the holder has the tokens, and reports whether it has begun.
func (sim *simulation) begin(h *host, r *request) bool {
	if !r.begun {
		r.begun = h.holder.Begin(sim.now, r.id, r.customer, r.worst) == nil
	}
	return r.begun
}

// stepServe has a node serve requests that use their worst case. The node asks the
// control group and its witnesses for tokens if it has too few.
func (sim *simulation) stepServe(t *rapid.T) {
	h := sim.pick(t, "host")
	if !h.alive {
		return
	}
	worst := quota.Tokens(rapid.SampledFrom([]int{90, 700, 2500}).Draw(t, "worst"))
	c := rapid.SampledFrom(customers).Draw(t, "customer")
	keepRunning := rapid.Bool().Draw(t, "keeps running")
	for range rapid.IntRange(1, 6).Draw(t, "requests") {
		sim.now = sim.now.Add(30 * time.Millisecond)
		sim.ledger.Tick(sim.currentTimestamp())
		sim.requests++
		r := request{id: fmt.Sprint("r", sim.requests), customer: c, worst: worst}
		if h.holder.Reserve(sim.now, r.id, c, worst) != nil {
			sim.exchange(h)
			if h.holder.Reserve(sim.now, r.id, c, worst) != nil {
				h.holder.Miss(sim.now, r.id, c)
				continue
			}
		}
		if !sim.begin(h, &r) {
			sim.exchange(h)
			sim.begin(h, &r)
		}
		if keepRunning {
			h.running = append(h.running, r)
			continue
		}
		sim.spent[c] += r.used()
		h.holder.Settle(sim.now, r.id, r.used())
		h.holder.GiveUp(r.id, c)
	}
}

// exchange sends what the node wants to send, and delivers it.
func (sim *simulation) exchange(h *host) {
	sim.raise(h)
	if h.holder.Due(sim.now) {
		sim.sendStatement(h)
	}
	sim.stepDeliverAll(nil)
	if h.partitioned {
		h.holder.ReplyLost(h.holder.PendingSeq())
	}
}

func (sim *simulation) stepStatement(t *rapid.T) {
	h := sim.pick(t, "host")
	if h.alive && h.holder.Due(sim.now) {
		sim.sendStatement(h)
	}
}

func (sim *simulation) sendStatement(h *host) {
	var others, keepers []fleet.NodeID
	for _, o := range sim.hosts {
		if o != h && o.alive {
			others = append(others, o.id)
		}
		if o.keeper != nil && o.alive {
			keepers = append(keepers, o.keeperID)
		}
	}
	h.holder.SetWitnesses(others[:min(len(others), 3)], keepers)
	s := h.holder.Statement(sim.now)
	holder := h.holder
	sim.send(func() {
		if h.partitioned {
			return
		}
		sim.apply(h, holder, s)
	})
}

func (sim *simulation) stepRaise(t *rapid.T) {
	if h := sim.pick(t, "host"); h.alive {
		sim.raise(h)
	}
}

// raise asks a holder's witnesses to record its watermarks.
func (sim *simulation) raise(h *host) {
	r, witnesses, keepers, wanted := h.holder.Raise(sim.now)
	if !wanted {
		return
	}
	holder := h.holder
	acked := map[fleet.NodeID]bool{}
	for _, id := range slices.Concat(witnesses, keepers) {
		r := r
		r.Witness = id
		sim.send(func() {
			o := sim.witness(id)
			if o == nil || h.isolated || o.host.isolated || !o.Raise(r) {
				return
			}
			sim.send(func() {
				acked[id] = true
				if h.alive && h.holder == holder && !h.isolated {
					holder.HandleRecords(r, acked)
				}
			})
		})
	}
}

// hosted is a witness or keeper and its host.
type hosted struct {
	*quota.Witness
	host *host
}

// witness returns a witness or keeper whose host is alive, or nil.
func (sim *simulation) witness(id fleet.NodeID) *hosted {
	for _, h := range sim.hosts {
		switch {
		case !h.alive:
		case h.id == id:
			return &hosted{h.witness, h}
		case h.keeperID == id:
			return &hosted{h.keeper, h}
		}
	}
	return nil
}

// stepBorrow lends tokens of one node to another one. The reply may be lost.
func (sim *simulation) stepBorrow(t *rapid.T) {
	from, to := sim.pick(t, "lender"), sim.pick(t, "borrower")
	if from == to || !from.alive || !to.alive || from.isolated || to.isolated {
		return
	}
	c := rapid.SampledFrom(customers).Draw(t, "customer")
	r, wanted := to.holder.LoanWanted(sim.now, c, quota.Tokens(rapid.SampledFrom([]int{90, 700}).Draw(t, "need")))
	if !wanted {
		return
	}
	n, _ := from.holder.Lend(sim.now, r)
	holder := to.holder
	arrived := false
	sim.send(func() {
		if to.alive && to.holder == holder && !arrived {
			arrived = true
			holder.AddLoan(c, n)
		}
	})
}

// stepReserveAll reserves as much as a node allows, and begins what it may.
func (sim *simulation) stepReserveAll(t *rapid.T) {
	h := sim.pick(t, "host")
	if !h.alive {
		return
	}
	c := rapid.SampledFrom(customers).Draw(t, "customer")
	for _, worst := range []quota.Tokens{2500, 700, 90, 9, 1} {
		for range 10 {
			sim.requests++
			r := request{id: fmt.Sprint("r", sim.requests), customer: c, worst: worst}
			if h.holder.Reserve(sim.now, r.id, c, worst) != nil {
				h.holder.GiveUp(r.id, c)
				break
			}
			sim.begin(h, &r)
			h.running = append(h.running, r)
		}
	}
}

// check is the oracle: engines never use more than was ever paid, and an ended holder is
// billed at least what it had used, even if it is still alive.
func (sim *simulation) check(t *rapid.T) {
	for _, c := range customers {
		total := sim.spent[c]
		for _, h := range sim.hosts {
			for _, r := range h.running {
				if r.customer == c {
					total += r.used()
				}
			}
		}
		if total > sim.most[c] {
			t.Fatalf("%s: %d may be used, %d were paid", c, total, sim.most[c])
		}
		if ended, billed := sim.endedUse(c), sim.billed(c); ended > billed {
			t.Fatalf("%s: ended holders used %d and were billed %d", c, ended, billed)
		}
	}
}

// endedUse returns what the holders that the ledger has ended had used.
func (sim *simulation) endedUse(customer string) (sum quota.Tokens) {
	live := map[fleet.NodeID]map[string]quota.Tokens{}
	for _, h := range sim.hosts {
		if h.alive {
			live[fleet.NodeID(h.holder.ID())] = usedOf(h.holder)
		}
	}
	for id, state := range sim.ledger.Holders {
		if !state.Ended {
			continue
		}
		if used, ok := live[id]; ok {
			sum += used[customer]
			continue
		}
		sum += sim.past[id][customer]
	}
	return sum
}

func (sim *simulation) billed(customer string) quota.Tokens {
	if a, ok := sim.ledger.Accounts[customer]; ok {
		return a.Billed
	}
	return 0
}
