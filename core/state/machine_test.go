package state_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"dotterelgap/core/config"
	"dotterelgap/core/state"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// change returns a change to a configuration with a single service of this name.
func change(m *state.Machine, id string, base uint64, name string) *state.ApplyConfig {
	next := config.Split(config.Document{
		Intent:      config.Intent{Services: []config.Service{{Name: name, Kind: config.KindPlain}}},
		Environment: config.Environment{Name: "trial"},
	})
	c := &state.ApplyConfig{ChangeID: id, Base: base, Digest: config.Fingerprint(next)}
	if base == m.Config.Version {
		c.Change = config.Diff(m.Config.Values(), next)
	}
	return c
}

// TestChanges proposes conflicting changes, retries them, restores snapshots, and lets
// followers miss versions. At most one change per base must be accepted, a retried change
// must get its first result, no follower's version may go down, and all followers must end
// with the same items.
func TestChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := state.New()
		first := map[string]state.ChangeResult{}
		sent := map[string]*state.ApplyConfig{}
		winners := map[uint64]string{}
		followers := []*config.Store{config.NewStore(), config.NewStore(), config.NewStore()}
		var old []config.Delta
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				id := fmt.Sprint("change-", len(sent))
				base := uint64(max(int(m.Config.Version)-rapid.IntRange(0, 2).Draw(t, "behind"), 0))
				c := change(m, id, base, fmt.Sprint("s", rapid.IntRange(0, 5).Draw(t, "name"), len(sent)))
				v := m.Apply(state.Command{Apply: c}).Change
				sent[id], first[id] = c, *v
				if v.Accepted {
					if w, ok := winners[c.Base]; ok {
						t.Fatalf("base %d has two accepted changes: %s and %s", c.Base, w, id)
					}
					winners[c.Base] = id
				}
				if !v.Accepted && v.Winner != winners[c.Base] {
					t.Fatalf("base %d was won by %s, but the result names %s", c.Base, winners[c.Base], v.Winner)
				}
			},
			"resend": func(t *rapid.T) {
				if len(sent) == 0 {
					return
				}
				id := fmt.Sprint("change-", rapid.IntRange(0, len(sent)-1).Draw(t, "change"))
				before := m.Config.Version
				if v := m.Apply(state.Command{Apply: sent[id]}).Change; *v != first[id] || m.Config.Version != before {
					t.Fatalf("retried change got %+v, first result is %+v", *v, first[id])
				}
			},
			"snapshot": func(t *rapid.T) {
				data, err := m.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				next := state.New()
				if err := next.Restore(data); err != nil {
					t.Fatal(err)
				}
				m = next
			},
			"follow": func(t *rapid.T) {
				f := followers[rapid.IntRange(0, len(followers)-1).Draw(t, "follower")]
				d := m.Config.Since(f.Version)
				old = append(old, d)
				follow(t, f, d)
			},
			"stale": func(t *rapid.T) {
				if len(old) > 0 {
					f := followers[rapid.IntRange(0, len(followers)-1).Draw(t, "follower")]
					follow(t, f, old[rapid.IntRange(0, len(old)-1).Draw(t, "delta")])
				}
			},
		})
		for _, f := range followers {
			follow(t, f, m.Config.Since(f.Version))
			if f.Version != m.Config.Version || f.Fingerprint != config.Fingerprint(m.Config.Values()) {
				t.Fatalf("follower ended at version %d with fingerprint %x", f.Version, f.Fingerprint)
			}
		}
	})
}

func follow(t *rapid.T, f *config.Store, d config.Delta) {
	before := f.Version
	if _, err := f.Follow(d); err != nil {
		t.Fatal(err)
	}
	if f.Version < before {
		t.Fatalf("follower went back from version %d to %d", before, f.Version)
	}
}

func TestResentAfterTenThousandChanges(t *testing.T) {
	is := is.New(t)
	m := state.New()
	c := change(m, "early", 0, "early")
	want := *m.Apply(state.Command{Apply: c}).Change
	for i := range 10_000 {
		m.Apply(state.Command{Apply: change(m, fmt.Sprint(i), m.Config.Version, fmt.Sprint("s", i))})
	}
	is.Equal(*m.Apply(state.Command{Apply: c}).Change, want)
	err := m.Apply(state.Command{Apply: change(m, "early", m.Config.Version, "other")}).Err
	var reused *state.ChangeReusedError
	is.True(errors.As(err, &reused)) // the id was used for another change
}

func TestClaimsRunOnce(t *testing.T) {
	is := is.New(t)
	m := state.New()
	at := time.Unix(1_000_000, 0)
	key := state.ClaimKey{Customer: "c", Key: "k"}
	claim := func(owner string, body uint64) *state.ClaimAnswer {
		return m.Apply(state.Command{At: at, Claim: &state.Claim{ClaimKey: key, Body: body, Agent: "a", Owner: owner}}).Claim
	}
	finish := func(attempt int, s state.ClaimState) {
		m.Apply(state.Command{At: at, Finish: &state.FinishClaim{ClaimKey: key, Attempt: attempt, State: s, Answer: []byte("x")}})
	}
	look := m.Apply(state.Command{At: at, Claim: &state.Claim{ClaimKey: key, Body: 1, Owner: "zero"}}).Claim
	is.True(!look.Mine && look.Record.State == state.ClaimNotRun) // a look-up makes no claim
	is.True(claim("one", 1).Mine)
	is.True(claim("one", 1).Mine)     // the same dispatch retries
	is.True(!claim("two", 1).Mine)    // another dispatch must not run it
	is.True(claim("two", 2).Mismatch) // nor another body under the same key
	finish(1, state.ClaimNotRun)
	is.Equal(claim("two", 1).Record.Attempt, 2) // proven not run: another agent may run it
	finish(1, state.ClaimDone)                  // a late report on the first attempt
	is.Equal(claim("three", 1).Record.State, state.ClaimOpen)
	finish(2, state.ClaimInDoubt)
	finish(2, state.ClaimDone) // an attempt in doubt may be settled
	finish(2, state.ClaimNotRun)
	is.Equal(claim("three", 1).Record.State, state.ClaimDone) // done is final
}
