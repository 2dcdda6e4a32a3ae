package quota_test

import (
	"fmt"
	"slices"
	"time"

	"dotterelgap/core/fleet"
	"dotterelgap/core/quota"

	"pgregory.net/rapid"
)

// wipe gives a host a new, empty disk.
func (w *world) wipe(h *host) {
	w.lives++
	h.keeperID = fleet.NodeID(fmt.Sprint("keeper-", w.lives))
	h.keeper = quota.NewWitness(h.keeperID)
}

func (w *world) stepWipe(t *rapid.T) {
	if h := w.pick(t, "host"); h.keeper != nil && !h.alive {
		w.wipe(h)
	}
}

// stepKillAll ends all nodes, and starts them again after a while.
func (w *world) stepKillAll(t *rapid.T) {
	for _, h := range w.hosts {
		w.kill(h)
	}
	w.net = nil
	w.now = w.now.Add(time.Duration(rapid.SampledFrom([]int{100, 600, 1500, 4000}).Draw(t, "ms")) * time.Millisecond)
	w.ledger.Tick(w.stamp())
	for _, h := range w.hosts {
		h.cutOff, h.lonely = false, false
		w.start(h)
	}
}

func (w *world) stepKill(t *rapid.T) {
	h := w.pick(t, "host")
	w.kill(h)
}

// kill ends a node; what its requests may still use counts as used.
func (w *world) kill(h *host) {
	if !h.alive {
		return
	}
	h.alive = false
	w.bury(h.holder)
	for _, r := range h.running {
		w.spent[r.customer] += r.worst
	}
	h.running = nil
}

// bury keeps what a life had used when it was over.
func (w *world) bury(h *quota.Holder) {
	w.past[fleet.NodeID(h.ID())] = usedOf(h)
}

func usedOf(h *quota.Holder) map[string]quota.Tokens {
	used := map[string]quota.Tokens{}
	for _, c := range customers {
		used[c] = h.Used(c)
	}
	return used
}

func (w *world) stepStart(t *rapid.T) {
	if h := w.pick(t, "host"); !h.alive {
		w.start(h)
	}
}

func (w *world) stepCut(t *rapid.T) {
	h := w.pick(t, "host")
	h.cutOff = rapid.Bool().Draw(t, "cut off")
	h.lonely = h.cutOff && rapid.Bool().Draw(t, "lonely")
}

func (w *world) stepPay(t *rapid.T) {
	c := rapid.SampledFrom(customers).Draw(t, "customer")
	w.setPaid(c, max(w.paid[c]+quota.Tokens(rapid.IntRange(-3000, 5000).Draw(t, "tokens")), 0))
}

// stepLead changes the leader: moments of the former one can't be compared.
func (w *world) stepLead(*rapid.T) {
	w.moment.Term++
	w.moment.By = w.moment.By%3 + 1
}

// stepDeliver delivers a message, and may keep it for later again.
func (w *world) stepDeliver(t *rapid.T) {
	if len(w.net) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.net)-1).Draw(t, "message")
	m := w.net[i]
	if rapid.IntRange(0, 4).Draw(t, "again") > 0 {
		w.net = slices.Delete(w.net, i, i+1)
	}
	m.deliver()
}

// stepFlow delivers all there is, in order.
func (w *world) stepFlow(*rapid.T) {
	for range 200 {
		if len(w.net) == 0 {
			return
		}
		m := w.net[0]
		w.net = w.net[1:]
		m.deliver()
	}
}

func (w *world) stepLose(t *rapid.T) {
	h := w.pick(t, "host")
	if h.alive {
		h.holder.ReplyLost(h.holder.PendingSeq())
	}
}
