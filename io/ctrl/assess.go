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

// Timing of the assessment of a replaced holder.
const (
	// peerTimeout bounds the calls to other nodes.
	peerTimeout = 200 * time.Millisecond
	// A new holder is deferred up to this age while more may become known of its
	// predecessor: up to unknownGapWait while the time of the predecessor's end is
	// unknown, and up to keeperWait if only the reports of its keepers are missing.
	unknownGapWait = 3 * time.Second
	keeperWait     = 1500 * time.Millisecond
)

// assessments is the set of holders whose end is being assessed. A deferred holder
// repeats its statement, so the assessments of one predecessor must not overlap.
type assessments struct {
	mu   sync.Mutex
	open map[fleet.NodeID]struct{}
}

// begin returns false if an assessment of the holder is in progress.
func (a *assessments) begin(id fleet.NodeID) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.open[id]; ok {
		return false
	}
	if a.open == nil {
		a.open = map[fleet.NodeID]struct{}{}
	}
	a.open[id] = struct{}{}
	return true
}

func (a *assessments) end(id fleet.NodeID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.open, id)
}

// predecessor is the state, on this host, of a holder whose end is assessed: another one replaces
// it, or it is silent.
type predecessor struct {
	id    fleet.NodeID
	state quota.HolderState
	// now is this host's log time, and takenAt its boot time. now is on the same clock as the
	// time of the holder's last acknowledged statement if sameLeader is set.
	now     time.Time
	takenAt time.Duration
	// last is the latest timestamp of the leader that recorded that statement. It is
	// valid if clear is set; otherwise the ledger no longer has one.
	last       quota.Timestamp
	sameLeader bool
	// upToDate is set if this host leads and has applied all that was committed
	// before its term.
	upToDate bool
	clear    bool
	// witnesses and keepers hold the addresses of the holder's witnesses and keepers.
	witnesses, keepers map[fleet.NodeID]netip.AddrPort
}

// findPredecessor returns the holder that the sender of a statement replaces.
func (h *Host) findPredecessor(st quota.Statement) (p predecessor, ok bool) {
	h.onLoop(func(time.Time) {
		l := h.state.Quota
		if _, known := l.Holders[st.Holder]; known {
			return
		}
		if id, earlier := l.EarlierAt(st.Addr, st.Holder); earlier {
			p, ok = h.predecessor(id), true
		}
	})
	return p, ok
}

// assessEnding bounds what a predecessor can have spent. It uses the time between
// the predecessor's last acknowledged statement and the start of the new holder's
// process, and the reports of the predecessor's witnesses and keepers. It returns
// false while nodes that may know more are unreachable, or while another assessment of
// the predecessor is in progress. arrived is the boot time at which the statement
// arrived.
func (h *Host) assessEnding(p predecessor, st quota.Statement, arrived time.Duration) (e quota.Ending, decided bool) {
	if !h.assessing.begin(p.id) {
		return quota.Ending{}, false
	}
	defer h.assessing.end(p.id)
	e.Holder, e.Seq = p.id, p.state.Seq
	e.Evidence, decided = h.assess(p, st, arrived)
	return e, decided
}

// assess collects the evidence on a predecessor's end.
func (h *Host) assess(p predecessor, st quota.Statement, arrived time.Duration) (e quota.Evidence, decided bool) {
	gap, known := h.sinceAcknowledged(p)
	gap -= st.Age + bootTime() - arrived
	if known && gap <= h.deps.Quota.OpenAfter {
		return h.deps.Quota.ByTime(gap, nil, quota.Unproven), true
	}
	reports := h.askWitnesses(p.witnesses, p.id, fence)
	raised, result := p.state.Assess(reports)
	var kept map[string]quota.Tokens
	keepers := quota.Unproven
	if result != quota.Settled {
		kept, keepers = p.state.AssessKeepers(h.askWitnesses(p.keepers, p.id, peek))
		if shouldWait(known, keepers, st.Age) {
			return quota.Evidence{}, false
		}
	}
	if known {
		e = h.deps.Quota.ByTime(gap, kept, keepers)
	}
	e.Witnessed, e.Raised = result == quota.Settled, raised
	h.log.Info("control: a holder of budgets is replaced", zap.String("holder", string(p.id)),
		zap.String("by", string(st.Holder)), zap.Stringer("addr", st.Addr), zap.Bool("gap_known", known),
		zap.Duration("gap", gap), zap.Duration("age", st.Age), zap.Duration("unsure", p.state.Last.At.Sub(p.state.Acknowledged.At)),
		zap.Duration("queued", bootTime()-arrived), zap.Any("testimonies", reports), zap.Any("evidence", e))
	return e, true
}

// shouldWait reports whether a new holder of this age is deferred because more may
// become known of its predecessor: the time of its end, or the records of keepers
// that have not replied.
func shouldWait(gapKnown bool, keepers quota.Assessment, age time.Duration) bool {
	if !gapKnown {
		return age < unknownGapWait
	}
	return keepers == quota.Pending && age < keeperWait
}

// sinceAcknowledged returns the time since the holder's last acknowledged statement,
// and whether it is known.
func (h *Host) sinceAcknowledged(p predecessor) (time.Duration, bool) {
	if !p.clear {
		return 0, false
	}
	if p.sameLeader {
		return p.now.Sub(p.state.Acknowledged.At), true
	}
	since, ok := h.elapsedSince(p.state.Acknowledged)
	return since + p.last.At.Sub(p.state.Acknowledged.At), ok
}

// Values of the peek parameter of askWitnesses.
const (
	// fence makes the witnesses refuse further raises of the holder.
	fence = false
	peek  = true
)

// askWitnesses calls the witnesses of a holder concurrently and returns the reports
// of those that reply. A witness without a known address counts as one that has lost
// its records.
func (h *Host) askWitnesses(witnesses map[fleet.NodeID]netip.AddrPort, holder fleet.NodeID, peek bool) []quota.WitnessReport {
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	replies := make(chan *quota.WitnessReport, len(witnesses))
	for id, addr := range witnesses {
		go func() {
			var r quota.WitnessReport
			args := &wire.FenceArgs{Witness: id, Holder: holder, Peek: peek}
			if addr.IsValid() && h.deps.Pool.Call(ctx, addr, "Node.Fence", args, &r) != nil {
				replies <- nil
				return
			}
			replies <- &r
		}()
	}
	var reports []quota.WitnessReport
	for range witnesses {
		if r := <-replies; r != nil {
			reports = append(reports, *r)
		}
	}
	return reports
}

// elapsedSince asks all members how long ago they wrote the last entry of a
// timestamp's term. See quota.SinceEntry.
func (h *Host) elapsedSince(t quota.Timestamp) (time.Duration, bool) {
	var members []raft.Member
	var last uint64
	if !h.onLoop(func(time.Time) {
		members, last = h.machine.Status().Members.Members, h.machine.LastOfTerm(t.Term)
	}) {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	replies := make(chan wire.ElapsedReply, len(members))
	for _, m := range members {
		go func() {
			var r wire.ElapsedReply
			err := h.deps.Pool.Call(ctx, m.Addr, "Control.Elapsed", &wire.ElapsedArgs{Term: t.Term}, &r)
			r.Known = r.Known && err == nil && r.Member == m.ID
			replies <- r
		}()
	}
	elapsed := make([]quota.Elapsed, 0, len(members))
	for range members {
		r := <-replies
		elapsed = append(elapsed, quota.Elapsed{Known: r.Known, Since: r.Since, Index: r.Index, Leader: uint64(r.Member) == t.By})
	}
	return quota.SinceEntry(elapsed, last, len(members), raft.DefaultElectionTimeout)
}

// Elapsed returns how long ago this host wrote the last entry of a term.
func (s *Service) Elapsed(args *wire.ElapsedArgs, reply *wire.ElapsedReply) error {
	h, err := s.running()
	if err != nil {
		return err
	}
	h.onLoop(func(time.Time) {
		reply.Member = h.deps.Identity.Member
		reply.Since, reply.Index, reply.Known = h.clock.sinceWrite(args.Term)
	})
	return nil
}
