package state_test

import (
	"slices"
	"testing"

	"dotterelgap/core/codec"
	"dotterelgap/core/fleet"
	"dotterelgap/core/state"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// evacuate applies an order at a replica and returns its result.
func evacuate(m *state.Machine, e state.Evacuate) state.Result {
	return m.Apply(state.Command{Evacuate: &e})
}

// restored returns a replica that starts from the snapshot of m.
func restored(t interface{ Fatal(...any) }, m *state.Machine) *state.Machine {
	data, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	next := state.New()
	if err := next.Restore(data); err != nil {
		t.Fatal(err)
	}
	return next
}

// TestEvacuationOrders has operators start and end evacuations through nodes that know an earlier
// set or the latest one, with late copies, and replicas restarted from snapshots. All replicas
// must agree, an order that is in force must hold, one that changes nothing must not get a number,
// and none may undo an order on the same place that its node had not heard of.
func TestEvacuationOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replicas := []*state.Machine{state.New(), state.New(), state.New()}
		changed := map[fleet.Place]uint64{}
		t.Repeat(map[string]func(*rapid.T){
			"order": func(t *rapid.T) {
				before := replicas[0].Evacuations.Evacuations
				e := state.Evacuate{
					Place: rapid.SampledFrom([]fleet.Place{"a", "b", "c"}).Draw(t, "place"),
					End:   rapid.Bool().Draw(t, "end"),
					Seen:  rapid.Uint64Range(before.Number-min(before.Number, 3), before.Number).Draw(t, "seen"),
				}
				res := evacuate(replicas[0], e)
				for _, m := range replicas[1:] {
					if other := evacuate(m, e); other.InForce != res.InForce || !same(other.Evacuations, res.Evacuations) {
						t.Fatalf("replicas differ: %+v and %+v", other, res)
					}
				}
				holds := before.Contains(e.Place) != e.End
				if res.InForce != (holds || changed[e.Place] <= e.Seen) {
					t.Fatalf("order %+v on %+v: in force is %t", e, before, res.InForce)
				}
				if res.InForce && res.Evacuations.Contains(e.Place) == e.End {
					t.Fatalf("order %+v led to %+v", e, res.Evacuations)
				}
				if moved := res.Evacuations.Number != before.Number; moved != (res.InForce && !holds) {
					t.Fatalf("order %+v: %+v became %+v", e, before, res.Evacuations)
				} else if moved {
					changed[e.Place] = res.Evacuations.Number
				}
			},
			"restart": func(t *rapid.T) {
				i := rapid.IntRange(0, len(replicas)-1).Draw(t, "replica")
				replicas[i] = restored(t, replicas[i])
			},
		})
	})
}

func same(e, f fleet.Evacuations) bool {
	return e.Number == f.Number && slices.Equal(e.Places, f.Places)
}

// Guards against a second change by an order that is sent again because the leader died after it
// was committed, and against a late copy of it that undoes the withdrawal.
func TestResentEvacuation(t *testing.T) {
	is := is.New(t)
	m := state.New()
	start := state.Evacuate{Place: "a"}
	is.True(evacuate(m, start).InForce)
	m = restored(t, m) // the next leader
	again := evacuate(m, start)
	is.True(again.InForce)
	is.Equal(again.Evacuations.Number, uint64(1))
	is.True(evacuate(m, state.Evacuate{Place: "a", End: true, Seen: 1}).InForce)
	late := evacuate(m, start)
	is.True(!late.InForce)
	is.Equal(len(late.Evacuations.Places), 0)
	is.True(evacuate(m, state.Evacuate{Place: "b"}).InForce) // another place
}

// Guards against snapshots of earlier versions that can't be read.
func TestSnapshotWithoutEvacuations(t *testing.T) {
	is := is.New(t)
	data, err := state.New().Snapshot()
	is.NoErr(err)
	fields := map[string]any{}
	is.NoErr(codec.Unmarshal(data, &fields))
	_, ok := fields["evacuations"]
	is.True(ok)
	delete(fields, "evacuations")
	data, err = codec.Marshal(fields)
	is.NoErr(err)
	m := state.New()
	is.NoErr(m.Restore(data))
	is.Equal(m.Evacuations.Number, uint64(0))
	is.True(evacuate(m, state.Evacuate{Place: "a"}).InForce)
}
