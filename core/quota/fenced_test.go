package quota_test

import (
	"testing"
	"time"

	"dotterelgap/core/quota"

	"github.com/matryer/is"
)

// Guards against tokens that stay locked for ever because the witnesses of a holder have restarted
// (review, case 3): its raises are refused then, and what it can have raised before is bounded.
func TestHolderWithRestartedWitnessesIsFenced(t *testing.T) {
	const heard = 5
	valid := quota.WitnessReport{Valid: true, Heard: heard, Marks: map[string]quota.Tokens{"acme": 700}}
	stale := quota.WitnessReport{Valid: true, Heard: heard - 1, Marks: map[string]quota.Tokens{"acme": 9000}}
	restarted := func(age time.Duration) quota.WitnessReport { return quota.WitnessReport{Age: age} }
	for name, c := range map[string]struct {
		witnesses int
		reports   []quota.WitnessReport
		fenced    bool
		since     time.Duration
		raised    quota.Tokens
	}{
		"all restarted":               {3, []quota.WitnessReport{restarted(1), restarted(3), restarted(2)}, true, 2, 0},
		"two restarted":               {3, []quota.WitnessReport{restarted(1), restarted(3), valid}, true, 3, 700},
		"a report from before":        {3, []quota.WitnessReport{restarted(1), restarted(3), stale}, true, 3, 0},
		"one silent, two restarted":   {3, []quota.WitnessReport{restarted(1), restarted(3)}, true, 1, 0},
		"one silent, one restarted":   {3, []quota.WitnessReport{restarted(2), valid}, true, 2, 700},
		"two silent may still record": {3, []quota.WitnessReport{restarted(2)}, false, 0, 0},
		"the reports show all":        {3, []quota.WitnessReport{restarted(2), valid, valid}, false, 0, 0},
		"the only one restarted":      {1, []quota.WitnessReport{restarted(4)}, true, 4, 0},
		"the only one is silent":      {1, nil, false, 0, 0},
		"one of two restarted":        {2, []quota.WitnessReport{restarted(4)}, false, 0, 0},
		"both of two restarted":       {2, []quota.WitnessReport{restarted(4), restarted(6)}, true, 4, 0},
		"no witnesses":                {0, nil, false, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			state := quota.HolderState{Heard: heard, Witnesses: make([]nodeID, c.witnesses)}
			since, raised, fenced := state.Fenced(c.reports)
			is.Equal(fenced, c.fenced)
			is.Equal(since, c.since)
			is.Equal(raised["acme"], c.raised)
		})
	}
}

// A fenced holder is billed what was open to it when it was fenced, and the rest returns.
func TestFencedHolderIsBilledWhatWasOpen(t *testing.T) {
	is := is.New(t)
	p := newPair(1_000_000)
	p.holder.SetWitnesses([]nodeID{"w1", "w2", "w3"}, nil)
	p.demand(is)
	a := *p.ledger.Accounts["acme"].Allocations["entry-1"]
	opts := quota.DefaultOptions()
	elapsed := opts.CutOff + opts.GrantOpens/5
	p.ledger.End(quota.Ending{Holder: "entry-1", Seq: p.ledger.Holders["entry-1"].Seq, Evidence: opts.ByFence(elapsed, nil)})
	billed := p.ledger.Accounts["acme"].Billed
	is.True(billed >= a.InitialLimit+(a.Granted-a.InitialLimit)/5)
	is.True(billed < a.Granted)
}

// Guards against the loss of what a witness has recorded when its node is stopped as planned: the
// ledger keeps its report, so that a holder that ended before is billed no more than it raised.
func TestTestimonyOfAStoppedWitness(t *testing.T) {
	is := is.New(t)
	p := newPair(1_000_000)
	names := []nodeID{"w1", "w2", "w3"}
	p.holder.SetWitnesses(names, nil)
	p.demand(is)
	state := p.ledger.Holders["entry-1"]
	raise := quota.Raise{Holder: "entry-1", Heard: state.Heard, Marks: map[string]quota.Tokens{"acme": 123}}
	for i, id := range names[:2] {
		w := quota.NewWitness(id)
		if raise.Witness = id; i == 0 {
			is.True(w.Raise(raise))
		}
		s := quota.Statement{Holder: id, Addr: addrB, Seq: 1, Left: true, Testimony: w.Close()}
		is.True(!w.Raise(raise)) // its report is final
		_, applied := p.ledger.Apply(quota.Timestamp{At: p.now, Term: 1, By: 1}, s)
		is.True(applied)
	}
	is.Equal(state.Unheard(), names[2:])
	raised, assessment := state.Assess(nil)
	is.Equal(assessment, quota.Settled)
	is.Equal(raised["acme"], quota.Tokens(123))

	p.holder.SetWitnesses([]nodeID{"w2", "w4"}, nil)
	p.exchange()
	is.Equal(state.Unheard(), []nodeID{"w4"})
	is.Equal(len(state.Testified), 1) // what is not named any more is dropped
}

// Only what the holders have not used counts as locked, of customers that have prepaid.
func TestLocked(t *testing.T) {
	is := is.New(t)
	p := newPair(1_000_000)
	p.demand(is)
	a := p.ledger.Accounts["acme"].Allocations["entry-1"]
	is.Equal(p.ledger.Locked(func(nodeID) bool { return false }), nil)
	is.Equal(p.ledger.Locked(func(id nodeID) bool { return id == "entry-1" }), []quota.Locked{{Customer: "acme", Tokens: a.Granted - a.Used}})
	p.ledger.SetPrepaid(nil)
	is.Equal(p.ledger.Locked(func(nodeID) bool { return true }), nil)
}

// Guards against a holder that is never ended because it had raised once before it died.
func TestHolderThatRaisedIsQuietAfterAWhile(t *testing.T) {
	is := is.New(t)
	var s quota.Silence
	now := time.Unix(1_700_000_000, 0)
	marks := map[string]quota.Tokens{"acme": 700}
	is.Equal(s.Observe(now, marks), time.Duration(0))
	is.Equal(s.Observe(now.Add(4*time.Second), marks), 4*time.Second)
	is.Equal(s.Observe(now.Add(6*time.Second), map[string]quota.Tokens{"acme": 701}), time.Duration(0)) // it is alive
	is.Equal(s.Observe(now.Add(9*time.Second), map[string]quota.Tokens{"acme": 701}), 3*time.Second)
}
