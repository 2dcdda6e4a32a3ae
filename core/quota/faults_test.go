package quota_test

import (
	"fmt"
	"slices"
	"time"

	"dotterelgap/core/fleet"
	"dotterelgap/core/quota"

	"pgregory.net/rapid"
)

// replaceDisk gives a host a new, empty disk.
func (sim *simulation) replaceDisk(h *host) {
	sim.incarnations++
	h.keeperID = fleet.NodeID(fmt.Sprint("keeper-", sim.incarnations))
	h.keeper = quota.NewWitness(h.keeperID)
}

func (sim *simulation) stepReplaceDisk(t *rapid.T) {
	if h := sim.pick(t, "host"); h.keeper != nil && !h.alive {
		sim.replaceDisk(h)
	}
}

// stepKillAll kills all nodes, and starts them again after a while.
func (sim *simulation) stepKillAll(t *rapid.T) {
	for _, h := range sim.hosts {
		sim.kill(h)
	}
	sim.net = nil
	sim.now = sim.now.Add(time.Duration(rapid.SampledFrom([]int{100, 600, 1500, 4000}).Draw(t, "ms")) * time.Millisecond)
	sim.ledger.Tick(sim.currentTimestamp())
	for _, h := range sim.hosts {
		h.partitioned, h.isolated = false, false
		sim.start(h)
	}
}

func (sim *simulation) stepKill(t *rapid.T) {
	h := sim.pick(t, "host")
	sim.kill(h)
}

// kill kills a node. What its requests may still use counts as used.
func (sim *simulation) kill(h *host) {
	if !h.alive {
		return
	}
	h.alive = false
	sim.recordUse(h.holder)
	for _, r := range h.running {
		sim.spent[r.customer] += r.used()
	}
	h.running = nil
}

// recordUse records what an incarnation had used when it ended.
func (sim *simulation) recordUse(h *quota.Holder) {
	sim.past[fleet.NodeID(h.ID())] = usedOf(h)
}

func usedOf(h *quota.Holder) map[string]quota.Tokens {
	used := map[string]quota.Tokens{}
	for _, c := range customers {
		used[c] = h.Used(c)
	}
	return used
}

// stepLeave shuts a node down as planned: it ends its requests, gives its tokens back, and reports
// what it has recorded for others. The report may be lost.
func (sim *simulation) stepLeave(t *rapid.T) {
	h := sim.pick(t, "host")
	if !h.alive {
		return
	}
	for _, r := range h.running {
		h.holder.Settle(sim.now, r.id, 0)
	}
	h.running = nil
	h.holder.Leave()
	s := h.holder.Statement(sim.now)
	s.Testimony = h.witness.Close()
	holder := h.holder
	if !h.partitioned && rapid.IntRange(0, 3).Draw(t, "arrives") > 0 {
		sim.apply(h, holder, s)
	}
	sim.kill(h)
}

func (sim *simulation) stepStart(t *rapid.T) {
	if h := sim.pick(t, "host"); !h.alive {
		sim.start(h)
	}
}

func (sim *simulation) stepPartition(t *rapid.T) {
	h := sim.pick(t, "host")
	h.partitioned = rapid.Bool().Draw(t, "cut off")
	h.isolated = h.partitioned && rapid.Bool().Draw(t, "lonely")
}

func (sim *simulation) stepPay(t *rapid.T) {
	c := rapid.SampledFrom(customers).Draw(t, "customer")
	sim.setPaid(c, max(sim.paid[c]+quota.Tokens(rapid.IntRange(-3000, 5000).Draw(t, "tokens")), 0))
}

// stepChangeLeader changes the leader. Its timestamps can't be compared with those of the
// former one.
func (sim *simulation) stepChangeLeader(*rapid.T) {
	sim.timestamp.Term++
	sim.timestamp.By = sim.timestamp.By%3 + 1
}

// stepDeliver delivers a message, and may keep it to be delivered again.
func (sim *simulation) stepDeliver(t *rapid.T) {
	if len(sim.net) == 0 {
		return
	}
	i := rapid.IntRange(0, len(sim.net)-1).Draw(t, "message")
	m := sim.net[i]
	if rapid.IntRange(0, 4).Draw(t, "again") > 0 {
		sim.net = slices.Delete(sim.net, i, i+1)
	}
	m.deliver()
}

// stepDeliverAll delivers all messages in order.
func (sim *simulation) stepDeliverAll(*rapid.T) {
	for range 200 {
		if len(sim.net) == 0 {
			return
		}
		m := sim.net[0]
		sim.net = sim.net[1:]
		m.deliver()
	}
}

func (sim *simulation) stepLoseReply(t *rapid.T) {
	h := sim.pick(t, "host")
	if h.alive {
		h.holder.ReplyLost(h.holder.PendingSeq())
	}
}
