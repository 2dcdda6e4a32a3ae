package quota_test

import (
	"errors"
	"testing"
	"time"

	"dotterelgap/core/quota"

	"github.com/matryer/is"
)

// Beyond its initial limit a holder spends only what half of its witnesses have
// recorded, as far as that has opened.
func TestRaiseNeedsWitnesses(t *testing.T) {
	is := is.New(t)
	p := newPair(10_000)
	p.holder.SetWitnesses([]nodeID{"entry-2", "entry-3", "entry-4"}, nil)
	p.exchange()
	p.exchange()
	is.True(p.holder.Reserve(p.now, "r1", "acme", 900) != nil) // without demand, the limits cover no future use
	p.now = p.now.Add(quota.DefaultOptions().CutOff)
	_, _, _, wanted := p.holder.Raise(p.now)
	is.True(!wanted) // the cutoff limit equals the initial limit
	p.now = p.now.Add(quota.DefaultOptions().GrantOpens)
	r, witnesses, _, wanted := p.holder.Raise(p.now)
	is.True(wanted)
	is.Equal(witnesses, []nodeID{"entry-2", "entry-3", "entry-4"})
	is.Equal(r.Marks, map[string]quota.Tokens{"acme": 900})
	is.True(!isRecorded(p.holder, r, map[nodeID]bool{"entry-2": true, "entry-9": true}))
	is.True(p.holder.Reserve(p.now, "r1", "acme", 900) != nil)
	is.True(isRecorded(p.holder, r, map[nodeID]bool{"entry-2": true, "entry-4": true}))
	is.NoErr(p.holder.Reserve(p.now, "r1", "acme", 900))
	is.True(p.holder.Reserve(p.now, "r2", "acme", 900) != nil) // the record covers one of them
}

// A raise names what is used beyond the initial limits, also of customers that need
// nothing more, since at a witness it replaces the raises from before the latest reply.
func TestRaiseNamesWhatIsUsed(t *testing.T) {
	is := is.New(t)
	p := newPair(10_000)
	p.ledger.SetPrepaid(map[string]quota.Tokens{"acme": 10_000, "multan": 10_000})
	p.holder.SetCustomers(p.now, []string{"acme", "multan"})
	p.holder.SetWitnesses([]nodeID{"entry-2"}, nil)
	p.exchange()
	s := p.holder.Statement(p.now) // its reply comes late
	p.now = p.now.Add(fullyOpenAfter)
	is.True(p.holder.Begin(p.now, "r1", "acme", 900) != nil)
	r, _, _, _ := p.holder.Raise(p.now)
	is.True(isRecorded(p.holder, r, map[nodeID]bool{"entry-2": true}))
	is.NoErr(p.holder.Begin(p.now, "r1", "acme", 900))
	p.apply(p.holder, s)
	soon, _, _, _ := p.holder.Raise(p.now.Add(quota.DefaultOptions().OpenAfter + time.Millisecond))
	is.Equal(soon.Marks["acme"], quota.Tokens(900)) // though less is open again
	p.now = p.now.Add(fullyOpenAfter)
	is.True(p.holder.Begin(p.now, "r2", "multan", 300) != nil)
	r, _, _, wanted := p.holder.Raise(p.now)
	is.True(wanted)
	is.Equal(r.Marks, map[string]quota.Tokens{"acme": 900, "multan": 300})
}

// While it is unknown whether the control group has the new or the old witnesses, both
// lists must record a raise.
func TestRaiseWithTwoLists(t *testing.T) {
	is := is.New(t)
	p := newPair(10_000)
	p.holder.SetWitnesses([]nodeID{"entry-2"}, nil)
	p.exchange()
	p.holder.SetWitnesses([]nodeID{"entry-3"}, nil)
	p.holder.ReplyLost(p.holder.Statement(p.now).Seq) // the reply is lost
	p.holder.SetWitnesses([]nodeID{"entry-4"}, nil)
	p.holder.ReplyLost(p.holder.Statement(p.now).Seq)
	p.now = p.now.Add(fullyOpenAfter)
	is.True(p.holder.Reserve(p.now, "r1", "acme", 900) != nil)
	r, witnesses, _, wanted := p.holder.Raise(p.now)
	is.True(wanted)
	is.Equal(witnesses, []nodeID{"entry-2", "entry-3"})
	is.True(!isRecorded(p.holder, r, map[nodeID]bool{"entry-2": true}))
	is.True(!isRecorded(p.holder, r, map[nodeID]bool{"entry-3": true}))
	is.True(isRecorded(p.holder, r, map[nodeID]bool{"entry-2": true, "entry-3": true}))
}

// A holder that dies after it served without the control group is billed what its
// witnesses recorded, not all that it was granted.
func TestDeadHolderIsBilledItsRaise(t *testing.T) {
	is := is.New(t)
	p := newPair(10_000)
	p.holder.SetWitnesses([]nodeID{"entry-2", "entry-3", "entry-4"}, nil)
	p.exchange()
	_ = p.holder.Reserve(p.now, "r0", "acme", 4_000)
	p.exchange()
	p.holder.GiveUp("r0", "acme")
	p.now = p.now.Add(quota.DefaultOptions().FullEvery)
	p.exchange()
	p.now = p.now.Add(fullyOpenAfter)
	is.True(p.holder.Reserve(p.now, "r1", "acme", 900) != nil)
	r, _, _, _ := p.holder.Raise(p.now)
	var reports []quota.WitnessReport
	for _, id := range []nodeID{"entry-2", "entry-3", "entry-4"} {
		w := quota.NewWitness(id)
		r.Witness = id
		if id != "entry-4" {
			is.True(w.Raise(r))
		}
		reports = append(reports, w.Fence(id, "entry-1"))
		is.True(!w.Raise(r)) // fenced
	}
	raised, assessment := p.ledger.Holders["entry-1"].Assess(reports[1:])
	is.Equal(assessment, quota.Settled)
	p.ledger.End(quota.Ending{Holder: "entry-1", Seq: p.ledger.Holders["entry-1"].Seq, Evidence: quota.Evidence{Witnessed: true, Raised: raised}})
	is.Equal(p.ledger.Accounts["acme"].Billed, quota.Tokens(900))
}

// The assessment of witness reports on an ended holder. Two of three must record a raise,
// so any two include one that recorded each raise that was used.
func TestAssess(t *testing.T) {
	state := quota.HolderState{Heard: 7, Witnesses: []nodeID{"a", "b", "c"}}
	marks := func(n quota.Tokens) map[string]quota.Tokens { return map[string]quota.Tokens{"acme": n} }
	clean, old, lost := quota.WitnessReport{Valid: true}, quota.WitnessReport{Valid: true, Heard: 6, Marks: marks(900)}, quota.WitnessReport{}
	low, high := quota.WitnessReport{Valid: true, Heard: 7, Marks: marks(300)}, quota.WitnessReport{Valid: true, Heard: 8, Marks: marks(500)}
	for name, c := range map[string]struct {
		reports []quota.WitnessReport
		want    quota.Assessment
		marks   map[string]quota.Tokens
	}{
		"two without a record":              {[]quota.WitnessReport{clean, clean}, quota.Settled, map[string]quota.Tokens{}},
		"records from before the statement": {[]quota.WitnessReport{old, clean}, quota.Settled, map[string]quota.Tokens{}},
		"the highest watermark counts":      {[]quota.WitnessReport{low, clean, high}, quota.Settled, marks(500)},
		"one record, one lost":              {[]quota.WitnessReport{low, lost}, quota.Pending, nil},
		"no report":                         {nil, quota.Pending, nil},
		"one of three is not enough":        {[]quota.WitnessReport{clean}, quota.Pending, nil},
		"two lost":                          {[]quota.WitnessReport{lost, lost}, quota.Unproven, nil},
		"two lost, one without a record":    {[]quota.WitnessReport{clean, lost, lost}, quota.Unproven, nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			raised, assessment := state.Assess(c.reports)
			is.Equal(assessment, c.want)
			is.Equal(raised, c.marks)
		})
	}
}

// If all processes end together, no witness is left. A holder is then billed what had
// opened by the time its successor started, however large its grant is.
func TestAllEndTogether(t *testing.T) {
	is := is.New(t)
	p := newPair(1_000_000)
	p.holder.SetWitnesses([]nodeID{"entry-2", "entry-3"}, nil)
	p.demand(is)
	allocation := *p.ledger.Accounts["acme"].Allocations["entry-1"]
	is.True(allocation.Granted-allocation.Used > 30_000) // enough for a long partition
	for name, c := range map[string]struct {
		keepers quota.Assessment
		most    quota.Tokens
	}{
		"no keeper has a raise":        {quota.Settled, allocation.Granted / 10},
		"a keeper's report is missing": {quota.Unproven, allocation.Granted / 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := quota.NewLedger()
			l.SetPrepaid(map[string]quota.Tokens{"acme": 1_000_000})
			l.Holders["entry-1"] = &quota.HolderState{Addr: addrA}
			copied := allocation
			l.Accounts["acme"].Allocations["entry-1"] = &copied
			e := quota.DefaultOptions().ByTime(2500*time.Millisecond, nil, c.keepers)
			l.Apply(quota.Timestamp{At: p.now, Term: 1, By: 1}, quota.Statement{Holder: "entry-9", Addr: addrA, Seq: 1, Replaces: quota.Ending{Holder: "entry-1", Evidence: e}})
			forfeited := l.Accounts["acme"].Forfeited
			is.True(forfeited > 0)
			is.True(forfeited < c.most)
		})
	}
}

// Early in a partition a holder spends only what keepers have recorded too, and is billed
// that if all processes end together. Later it needs no keeper.
func TestKeeper(t *testing.T) {
	is := is.New(t)
	p := newPair(1_000_000)
	p.holder.SetWitnesses([]nodeID{"entry-2"}, []nodeID{"keeper-1", "keeper-2"})
	p.demand(is)
	var refused *quota.RefusedError
	is.True(errors.As(p.holder.Begin(p.now, "r1", "acme", 900), &refused))
	in := refused.RetryIn
	is.True(in > quota.DefaultOptions().OpenAfter)
	is.True(errors.As(p.holder.Begin(p.now.Add(in-100*time.Millisecond), "r1", "acme", 900), &refused))
	is.True(!refused.Raisable)
	is.True(errors.As(p.holder.Begin(p.now.Add(in), "r1", "acme", 900), &refused))
	is.True(refused.Raisable)
	p.now = p.now.Add(quota.DefaultOptions().KeeperLead)
	is.True(errors.As(p.holder.Begin(p.now, "r1", "acme", 900), &refused))
	is.True(refused.Raisable && refused.RetryIn == 0)
	r, witnesses, keepers, wanted := p.holder.Raise(p.now)
	is.True(wanted)
	is.Equal(witnesses, []nodeID{"entry-2"})
	is.Equal(keepers, []nodeID{"keeper-1", "keeper-2"})
	acked := map[nodeID]bool{"entry-2": true}
	recorded, kept := p.holder.HandleRecords(r, acked)
	is.True(recorded && !kept)
	is.True(p.holder.Begin(p.now, "r1", "acme", 900) != nil)
	acked["keeper-2"] = true
	_, kept = p.holder.HandleRecords(r, acked)
	is.True(kept)
	is.NoErr(p.holder.Begin(p.now, "r1", "acme", 900))
	p.now = p.now.Add(quota.DefaultOptions().CutOff)
	is.True(p.holder.Begin(p.now, "r2", "acme", 900) != nil)
	later, _, _, _ := p.holder.Raise(p.now)
	is.True(isRecorded(p.holder, later, map[nodeID]bool{"entry-2": true}))
	is.NoErr(p.holder.Begin(p.now, "r2", "acme", 900))

	state := *p.ledger.Holders["entry-1"]
	one, two := quota.NewWitness("keeper-1"), quota.NewWitness("keeper-2")
	r.Witness = "keeper-2"
	is.True(two.Raise(r))
	reports := []quota.WitnessReport{one.Peek("keeper-1", "entry-1"), two.Peek("keeper-2", "entry-1")}
	watermarks, assessment := state.AssessKeepers(reports)
	is.Equal(assessment, quota.Settled)
	is.Equal(watermarks, r.Marks)
	_, assessment = state.AssessKeepers(reports[1:])
	is.Equal(assessment, quota.Pending)
	_, assessment = state.AssessKeepers([]quota.WitnessReport{reports[0], {}}) // the disk was replaced
	is.Equal(assessment, quota.Unproven)
}

func isRecorded(h *quota.Holder, r quota.Raise, acked map[nodeID]bool) bool {
	recorded, _ := h.HandleRecords(r, acked)
	return recorded
}

// The loss of one disk together with all processes must not void the reports of the other
// keepers: of three keepers two must record a raise, and the reports of two are enough.
func TestKeptWithALostDisk(t *testing.T) {
	is := is.New(t)
	p := newPair(1_000_000)
	ids := []nodeID{"keeper-1", "keeper-2", "keeper-3"}
	p.holder.SetWitnesses([]nodeID{"entry-2"}, ids)
	p.demand(is)
	_ = p.holder.Reserve(p.now, "r1", "acme", 900)
	p.now = p.now.Add(quota.DefaultOptions().CutOff)
	r, _, _, wanted := p.holder.Raise(p.now)
	is.True(wanted)
	_, kept := p.holder.HandleRecords(r, map[nodeID]bool{"entry-2": true, "keeper-2": true})
	is.True(!kept)
	_, kept = p.holder.HandleRecords(r, map[nodeID]bool{"entry-2": true, "keeper-2": true, "keeper-3": true})
	is.True(kept)

	var reports []quota.WitnessReport
	for i, id := range ids {
		w := quota.NewWitness(id)
		if i > 0 {
			r.Witness = id
			is.True(w.Raise(r))
		}
		reports = append(reports, w.Peek(id, "entry-1"))
	}
	state := *p.ledger.Holders["entry-1"]
	for lost := range ids {
		some := append([]quota.WitnessReport(nil), reports...)
		some[lost] = quota.WitnessReport{}
		watermarks, assessment := state.AssessKeepers(some)
		is.Equal(assessment, quota.Settled)
		is.Equal(watermarks, r.Marks) // whichever disk is lost, a keeper with the raise is left
	}
	_, assessment := state.AssessKeepers(reports[:1])
	is.Equal(assessment, quota.Pending)
	_, assessment = state.AssessKeepers([]quota.WitnessReport{reports[0], {}, {}})
	is.Equal(assessment, quota.Unproven)
}
