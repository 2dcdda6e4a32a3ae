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

// customers are the customers of the world: few, so that faults meet.
var customers = []string{"acme", "multan"}

// request is one that was reserved and has not ended.
type request struct {
	id, customer string
	worst        quota.Tokens
}

// host runs one node at a time; a restart gives it another id and no memory.
type host struct {
	addr    netip.AddrPort
	id      fleet.NodeID
	alive   bool
	began   time.Time
	holder  *quota.Holder
	witness *quota.Witness
	// keeper outlives the node; nil where the host has no disk. keeperID is its id.
	keeper   *quota.Witness
	keeperID fleet.NodeID
	running  []request
	// waiting were refused and not given up.
	waiting []request
	// cutOff parts the host from control, lonely from the other hosts too.
	cutOff, lonely bool
}

// message is on its way; deliver carries it out and may be called more than once.
type message struct {
	deliver func()
}

// world drives holders, witnesses and a ledger over a network that loses,
// repeats and delays, and keeps the true account.
type world struct {
	now    time.Time
	opts   quota.Options
	ledger *quota.Ledger
	moment quota.Timestamp
	hosts  []*host
	net    []message
	lives  int
	reqs   int
	paid   map[string]quota.Tokens
	// most is the most that was ever paid, spent what engines truly used or may
	// still use for hosts that died.
	most, spent map[string]quota.Tokens
	// past holds what each life that is over had used, by customer.
	past map[fleet.NodeID]map[string]quota.Tokens
}

func newWorld(hosts int) *world {
	w := &world{
		now: time.Unix(1_700_000_000, 0), opts: quota.DefaultOptions(), ledger: quota.NewLedger(),
		moment: quota.Timestamp{Term: 1, By: 1},
		paid:   map[string]quota.Tokens{}, most: map[string]quota.Tokens{}, spent: map[string]quota.Tokens{},
		past: map[fleet.NodeID]map[string]quota.Tokens{},
	}
	for _, c := range customers {
		w.setPaid(c, 10_000)
	}
	for i := range hosts {
		h := &host{addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000)}
		w.hosts = append(w.hosts, h)
		if i < 2 {
			w.wipe(h)
		}
		w.start(h)
	}
	return w
}

func (w *world) setPaid(customer string, paid quota.Tokens) {
	w.paid[customer] = paid
	w.most[customer] = max(w.most[customer], paid)
	w.ledger.SetPrepaid(w.paid)
}

func (w *world) start(h *host) {
	w.lives++
	h.id = fleet.NodeID(fmt.Sprint("entry-", w.lives))
	h.alive, h.began, h.running, h.waiting = true, w.now, nil, nil
	h.holder = quota.NewHolder(h.id, h.addr, w.opts, w.now)
	h.holder.SetCustomers(w.now, customers)
	h.witness = quota.NewWitness(h.id)
}

func (w *world) send(f func()) { w.net = append(w.net, message{f}) }

func (w *world) pick(t *rapid.T, label string) *host {
	return w.hosts[rapid.IntRange(0, len(w.hosts)-1).Draw(t, label)]
}

func (w *world) stepTime(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.SampledFrom([]int{5, 60, 150, 700, 2600, 9000}).Draw(t, "ms")) * time.Millisecond)
	w.ledger.Tick(w.stamp())
}

func (w *world) stamp() quota.Timestamp {
	m := w.moment
	m.At = w.now
	return m
}

func (w *world) stepRequest(t *rapid.T) {
	h := w.pick(t, "host")
	if !h.alive {
		return
	}
	w.reqs++
	r := request{
		id: fmt.Sprint("r", w.reqs), customer: rapid.SampledFrom(customers).Draw(t, "customer"),
		worst: quota.Tokens(rapid.SampledFrom([]int{1, 90, 700, 2500}).Draw(t, "worst")),
	}
	if err := h.holder.Reserve(w.now, r.id, r.customer, r.worst); err != nil {
		if rapid.Bool().Draw(t, "gives up") {
			h.holder.GiveUp(r.id, r.customer)
			return
		}
		h.waiting = append(h.waiting, r)
		return
	}
	h.running = append(h.running, r)
}

func (w *world) stepEnd(t *rapid.T) {
	h := w.pick(t, "host")
	if !h.alive || len(h.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(h.running)-1).Draw(t, "request")
	r := h.running[i]
	used := quota.Tokens(rapid.IntRange(0, int(r.worst)).Draw(t, "used"))
	h.running = slices.Delete(h.running, i, i+1)
	w.spent[r.customer] += used
	h.holder.Settle(w.now, r.id, used)
}

// stepServe has a node serve requests to their worst case, asking control for
// tokens or opening the reserve where it can.
func (w *world) stepServe(t *rapid.T) {
	h := w.pick(t, "host")
	if !h.alive {
		return
	}
	worst := quota.Tokens(rapid.SampledFrom([]int{90, 700, 2500}).Draw(t, "worst"))
	c := rapid.SampledFrom(customers).Draw(t, "customer")
	keep := rapid.Bool().Draw(t, "keeps running")
	for range rapid.IntRange(1, 6).Draw(t, "requests") {
		w.now = w.now.Add(30 * time.Millisecond)
		w.ledger.Tick(w.stamp())
		w.reqs++
		r := request{id: fmt.Sprint("r", w.reqs), customer: c, worst: worst}
		if h.holder.Reserve(w.now, r.id, c, worst) != nil {
			w.ask(h)
			if h.holder.Reserve(w.now, r.id, c, worst) != nil {
				h.holder.GiveUp(r.id, c)
				continue
			}
		}
		if keep {
			h.running = append(h.running, r)
			continue
		}
		w.spent[c] += worst
		h.holder.Settle(w.now, r.id, worst)
	}
}

// ask sends what the node wants to send, and lets it arrive.
func (w *world) ask(h *host) {
	w.raise(h)
	if h.holder.Due(w.now) {
		w.state(h)
	}
	w.stepFlow(nil)
	if h.cutOff {
		h.holder.ReplyLost(h.holder.PendingSeq())
	}
}

func (w *world) stepState(t *rapid.T) {
	h := w.pick(t, "host")
	if h.alive && h.holder.Due(w.now) {
		w.state(h)
	}
}

func (w *world) state(h *host) {
	var others, keepers []fleet.NodeID
	for _, o := range w.hosts {
		if o != h && o.alive {
			others = append(others, o.id)
		}
		if o.keeper != nil && o.alive {
			keepers = append(keepers, o.keeperID)
		}
	}
	h.holder.SetWitnesses(others[:min(len(others), 3)], keepers)
	s := h.holder.Statement(w.now)
	holder := h.holder
	w.send(func() {
		if h.cutOff {
			return
		}
		w.book(h, holder, s)
	})
}

func (w *world) stepRaise(t *rapid.T) {
	if h := w.pick(t, "host"); h.alive {
		w.raise(h)
	}
}

// raise has a holder's marks recorded by its witnesses.
func (w *world) raise(h *host) {
	r, witnesses, keepers, wanted := h.holder.Raise(w.now)
	if !wanted {
		return
	}
	holder := h.holder
	acked := map[fleet.NodeID]bool{}
	for _, id := range slices.Concat(witnesses, keepers) {
		r := r
		r.Witness = id
		w.send(func() {
			o := w.witness(id)
			if o == nil || h.lonely || o.host.lonely || !o.Raise(r) {
				return
			}
			w.send(func() {
				acked[id] = true
				if h.alive && h.holder == holder && !h.lonely {
					holder.HandleRecords(r, acked)
				}
			})
		})
	}
}

// hosted is a witness or keeper with its host.
type hosted struct {
	*quota.Witness
	host *host
}

// witness finds a witness or keeper whose host is up.
func (w *world) witness(id fleet.NodeID) *hosted {
	for _, h := range w.hosts {
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

// stepBorrow lends tokens of one node to another one; the answer may be lost.
func (w *world) stepBorrow(t *rapid.T) {
	from, to := w.pick(t, "lender"), w.pick(t, "borrower")
	if from == to || !from.alive || !to.alive || from.lonely || to.lonely {
		return
	}
	c := rapid.SampledFrom(customers).Draw(t, "customer")
	r, wanted := to.holder.LoanWanted(c, quota.Tokens(rapid.SampledFrom([]int{90, 700}).Draw(t, "need")))
	if !wanted {
		return
	}
	n, _ := from.holder.Lend(w.now, r)
	holder := to.holder
	arrived := false
	w.send(func() {
		if to.alive && to.holder == holder && !arrived {
			arrived = true
			holder.AddLoan(c, n)
		}
	})
}

// stepGreedy reserves all that a node lets it reserve.
func (w *world) stepGreedy(t *rapid.T) {
	h := w.pick(t, "host")
	if !h.alive {
		return
	}
	c := rapid.SampledFrom(customers).Draw(t, "customer")
	for _, worst := range []quota.Tokens{2500, 700, 90, 9, 1} {
		for range 10 {
			w.reqs++
			r := request{id: fmt.Sprint("r", w.reqs), customer: c, worst: worst}
			if h.holder.Reserve(w.now, r.id, c, worst) != nil {
				h.holder.GiveUp(r.id, c)
				break
			}
			h.running = append(h.running, r)
		}
	}
}

// check is the oracle: engines never use more than was ever paid, and an ended
// holder is billed at least what it had used, also one that still lives.
func (w *world) check(t *rapid.T) {
	for _, c := range customers {
		total := w.spent[c]
		for _, h := range w.hosts {
			for _, r := range h.running {
				if r.customer == c {
					total += r.worst
				}
			}
		}
		if total > w.most[c] {
			t.Fatalf("%s: %d may be used, %d were paid", c, total, w.most[c])
		}
		if ended, billed := w.endedUse(c), w.billed(c); ended > billed {
			t.Fatalf("%s: ended holders used %d and were billed %d", c, ended, billed)
		}
	}
}

// endedUse is what the holders that the ledger has ended had used.
func (w *world) endedUse(customer string) (sum quota.Tokens) {
	now := map[fleet.NodeID]map[string]quota.Tokens{}
	for _, h := range w.hosts {
		if h.alive {
			now[fleet.NodeID(h.holder.ID())] = usedOf(h.holder)
		}
	}
	for id, life := range w.ledger.Holders {
		if !life.Ended {
			continue
		}
		if used, ok := now[id]; ok {
			sum += used[customer]
			continue
		}
		sum += w.past[id][customer]
	}
	return sum
}

func (w *world) billed(customer string) quota.Tokens {
	if a, ok := w.ledger.Accounts[customer]; ok {
		return a.Billed
	}
	return 0
}
