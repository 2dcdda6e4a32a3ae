package ctrl

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"dotterelgap/core/fleet"
	"dotterelgap/core/quota"
	"dotterelgap/core/raft"
	"dotterelgap/io/wire"

	"go.uber.org/zap"
)

// Times of judging how an earlier holder ended.
const (
	// elapsedTimeout bounds asking other nodes.
	elapsedTimeout = 200 * time.Millisecond
	// decideWithin is the age of a newcomer up to which it waits for those who
	// know more of its predecessor, keepersWithin where only the keepers do.
	decideWithin  = 3 * time.Second
	keepersWithin = 1500 * time.Millisecond
)

// judgements are the holders whose end is being judged. A holder that waits repeats its
// statement, and one judgement at a time is enough.
type judgements struct {
	mu   sync.Mutex
	open map[fleet.NodeID]struct{}
}

// begin returns false if a judgement is in progress.
func (j *judgements) begin(id fleet.NodeID) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if _, ok := j.open[id]; ok {
		return false
	}
	if j.open == nil {
		j.open = map[fleet.NodeID]struct{}{}
	}
	j.open[id] = struct{}{}
	return true
}

func (j *judgements) end(id fleet.NodeID) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.open, id)
}

// replaced is what is known of a holder that a newcomer replaces.
type replaced struct {
	id   fleet.NodeID
	life quota.HolderState
	// now and last are on the clock of the leader that took in the holder's last
	// statements; mine is set where that is this host.
	now  time.Time
	last quota.Timestamp
	mine bool
	// leading is set where this host can book the statement and knows all that was
	// booked before.
	leading bool
	// clear is set where last is known.
	clear bool
	// witnesses and keepers are the addresses of the holder's.
	witnesses, keepers map[fleet.NodeID]netip.AddrPort
}

// replaces finds the holder that a statement's holder replaces.
func (h *Host) replaces(st quota.Statement) (r replaced, ok bool) {
	h.view(func(time.Time) {
		l := h.state.Quota
		if _, known := l.Holders[st.Holder]; known {
			return
		}
		if r.id, ok = l.EarlierAt(st.Addr, st.Holder); !ok {
			return
		}
		r.life = *l.Holders[r.id]
		r.last, r.clear = l.LastOf(r.life.Acknowledged)
		r.now = h.steady()
		r.leading = h.machine.Current()
		r.mine = r.leading && r.life.Acknowledged.Term == h.machine.HardState().Term
		r.witnesses, r.keepers = h.witnessesOf(r.life), h.keepersOf(r.life)
	})
	return r, ok
}

// evidence bounds what the holder can have spent that a newcomer replaces: by the
// time between the last statement that the earlier holder had an answer to and the
// start of the newcomer's process, and by the words of its witnesses. It is not
// decided while those who may know more can't be reached. The statement came at
// the boot time arrived.
func (h *Host) evidence(r replaced, st quota.Statement, arrived time.Duration) (e quota.Ending, decided bool) {
	if !h.judging.begin(r.id) {
		return quota.Ending{}, false
	}
	defer h.judging.end(r.id)
	e.Holder, e.Seq = r.id, r.life.Seq
	e.Evidence, decided = h.judge(r, st, arrived)
	return e, decided
}

// judge weighs what is known of a holder's end.
func (h *Host) judge(r replaced, st quota.Statement, arrived time.Duration) (e quota.Evidence, decided bool) {
	gap, known := h.gap(r)
	gap -= st.Age + bootTime() - arrived
	if known && gap <= h.deps.Quota.OpenAfter {
		return h.deps.Quota.ByTime(gap, nil, quota.Unproven), true
	}
	words := h.ask(r.witnesses, r.id, fence)
	raised, verdict := r.life.Assess(words)
	var kept map[string]quota.Tokens
	keepers := quota.Unproven
	if verdict != quota.Settled {
		kept, keepers = r.life.AssessKeepers(h.ask(r.keepers, r.id, peek))
		if moreMayCome(known, keepers, st.Age) {
			return quota.Evidence{}, false
		}
	}
	if known {
		e = h.deps.Quota.ByTime(gap, kept, keepers)
	}
	e.Witnessed, e.Raised = verdict == quota.Settled, raised
	h.log.Info("control: a holder of budgets is replaced", zap.String("holder", string(r.id)),
		zap.String("by", string(st.Holder)), zap.Stringer("addr", st.Addr), zap.Bool("gap_known", known),
		zap.Duration("gap", gap), zap.Duration("age", st.Age), zap.Duration("unsure", r.life.Last.At.Sub(r.life.Acknowledged.At)),
		zap.Duration("queued", bootTime()-arrived), zap.Any("testimonies", words), zap.Any("evidence", e))
	return e, true
}

// moreMayCome tells whether a newcomer of an age should wait for words on its
// predecessor: while the time of its end is not known, or its keepers can't be reached.
func moreMayCome(gapKnown bool, keepers quota.Assessment, age time.Duration) bool {
	if !gapKnown {
		return age < decideWithin
	}
	return keepers == quota.Pending && age < keepersWithin
}

// gap is the time since the holder's last answered statement.
func (h *Host) gap(r replaced) (time.Duration, bool) {
	if !r.clear {
		return 0, false
	}
	if r.mine {
		return r.now.Sub(r.life.Acknowledged.At), true
	}
	since, ok := h.elapsedSince(r.life.Acknowledged)
	return since + r.last.At.Sub(r.life.Acknowledged.At), ok
}

// Ways of asking witnesses.
const (
	// fence makes them refuse further raises of the holder.
	fence = false
	peek  = true
)

// ask asks the witnesses of a holder, and returns the words of those that answer.
// One whose address is not known any more has lost its records.
func (h *Host) ask(witnesses map[fleet.NodeID]netip.AddrPort, holder fleet.NodeID, peek bool) []quota.WitnessReport {
	ctx, cancel := context.WithTimeout(context.Background(), elapsedTimeout)
	defer cancel()
	replies := make(chan *quota.WitnessReport, len(witnesses))
	for id, addr := range witnesses {
		go func() {
			var t quota.WitnessReport
			args := &wire.FenceArgs{Witness: id, Holder: holder, Peek: peek}
			if addr.IsValid() && h.deps.Pool.Call(ctx, addr, "Node.Fence", args, &t) != nil {
				replies <- nil
				return
			}
			replies <- &t
		}()
	}
	var words []quota.WitnessReport
	for range witnesses {
		if t := <-replies; t != nil {
			words = append(words, *t)
		}
	}
	return words
}

// elapsedSince asks all members how long ago they wrote the last entry of a moment's
// term; see quota.SinceEntry.
func (h *Host) elapsedSince(m quota.Timestamp) (time.Duration, bool) {
	var members []raft.Member
	var last uint64
	if !h.view(func(time.Time) {
		members, last = h.machine.Status().Members.Members, h.machine.LastOfTerm(m.Term)
	}) {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), elapsedTimeout)
	defer cancel()
	replies := make(chan wire.ElapsedReply, len(members))
	for _, mem := range members {
		go func() {
			var r wire.ElapsedReply
			err := h.deps.Pool.Call(ctx, mem.Addr, "Control.Elapsed", &wire.ElapsedArgs{Term: m.Term}, &r)
			r.Known = r.Known && err == nil && r.Member == mem.ID
			replies <- r
		}()
	}
	words := make([]quota.Elapsed, 0, len(members))
	for range members {
		r := <-replies
		words = append(words, quota.Elapsed{Known: r.Known, Since: r.Since, Index: r.Index, Leader: uint64(r.Member) == m.By})
	}
	return quota.SinceEntry(words, last, len(members), raft.DefaultElectionTimeout)
}

// Elapsed tells how long ago this host wrote the last entry of a term.
func (s *Service) Elapsed(args *wire.ElapsedArgs, reply *wire.ElapsedReply) error {
	h, err := s.running()
	if err != nil {
		return err
	}
	h.view(func(time.Time) {
		reply.Member = h.deps.Identity.Member
		reply.Since, reply.Index, reply.Known = h.clock.since(args.Term)
	})
	return nil
}
