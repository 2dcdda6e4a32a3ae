package ctrl

import (
	"time"

	"dotterelgap/core/fleet"
	"dotterelgap/core/quota"
	"dotterelgap/core/state"
	"dotterelgap/io/wire"
)

// contact is when this host, as leader, took in the latest statements of a
// holder.
type contact struct {
	seq     uint64
	at      time.Duration
	earlier map[uint64]time.Duration
}

// Quota takes in a holder's statement on its allowances.
func (s *Service) Quota(args *quota.Statement, reply *wire.QuotaReply) error {
	h, err := s.running()
	if err != nil {
		return err
	}
	st := *args
	h.view(func(time.Time) { st.Prompt = h.prompt(st) })
	res, hint := h.commit(state.Command{Quota: &st})
	reply.Hint, reply.Allowances, reply.Ended = hint, res.Allowances, res.Ended
	return nil
}

// prompt notes the contact, and tells whether the holder that a newcomer
// replaces can't have used its reserve: its last answered statement came less
// than CutOff ago, by a clock that also counts while this host is suspended.
func (h *Host) prompt(st quota.Statement) bool {
	now := bootTime()
	if _, known := h.state.Quota.Holders[st.Holder]; !known {
		id, ok := h.state.Quota.EarlierAt(st.Addr, st.Holder)
		if !ok {
			return false
		}
		c := h.duty.contacts[id]
		return c != nil && now-c.at < h.deps.CutOff
	}
	h.duty.contact(st, now)
	return false
}

// contact notes a statement. What counts is when the one was taken in whose
// answer the holder is known to have.
func (d *duty) contact(st quota.Statement, now time.Duration) {
	c, ok := d.contacts[st.Holder]
	if !ok {
		c = &contact{earlier: map[uint64]time.Duration{}}
		d.contacts[st.Holder] = c
	}
	if at, ok := c.earlier[st.Heard]; ok {
		c.at, c.seq = at, st.Heard
		delete(c.earlier, st.Heard)
	}
	for seq := range c.earlier {
		if seq < st.Heard {
			delete(c.earlier, seq)
		}
	}
	c.earlier[st.Seq] = now
}

// forgetContacts drops what a former leader noted.
func (d *duty) forgetContacts() { d.contacts = map[fleet.NodeID]*contact{} }
