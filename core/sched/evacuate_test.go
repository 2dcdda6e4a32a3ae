package sched_test

import (
	"fmt"
	"testing"
	"time"

	"dotterelgap/core/fleet"
	"dotterelgap/core/sched"

	"github.com/matryer/is"
)

// inPlaces returns a balancer with two upstreams of a service in each of these places.
func inPlaces(service string, places ...fleet.Place) *sched.Balancer {
	b := sched.New(sched.DefaultOptions(), "here")
	ups := upstreams(service, 2*len(places))
	for i := range ups {
		ups[i].Place = places[i/2]
		ups[i].ID = fmt.Sprint(places[i/2], "-", i%2)
	}
	b.SetUpstreams(ups, func(string) sched.Engine { return sched.Engine{FetchPerToken: time.Microsecond} })
	return b
}

// Guards against requests to upstreams of an evacuated place, first ones or retries, also after
// the list of upstreams changes; and against a place that gets none after the withdrawal.
func TestEvacuatedPlaceGetsNothing(t *testing.T) {
	is := is.New(t)
	b := inPlaces("desk", "a", "b")
	now := start
	inA, ok := b.Pick(now, sched.Query{Service: "desk", Exclude: []string{"b-0", "b-1"}})
	is.True(ok)
	inA, _, _ = b.Started(now, sched.Query{Service: "desk"}, inA)
	order := fleet.Evacuations{Number: 3, Places: []fleet.Place{"a"}}
	is.True(b.SetEvacuated(now, order))
	is.True(!b.SetEvacuated(now, order)) // known
	is.Equal(b.Ready("desk"), 2)
	counts := pickOf(b, now, 20)
	is.Equal(counts["a-0"]+counts["a-1"]+counts[""], 0)
	_, ok = b.Pick(now, sched.Query{Service: "desk", Exclude: []string{"b-0", "b-1"}})
	is.True(!ok) // a retry
	_, ok = b.OpensIn(now, sched.Query{Service: "desk"})
	is.True(!ok) // it is not a matter of time
	b.Ended(now, inA, sched.Served)

	is.True(!b.SetEvacuated(now, fleet.Evacuations{Number: 2})) // an earlier withdrawal
	is.Equal(b.Ready("desk"), 2)
	is.True(b.SetEvacuated(now, fleet.Evacuations{Number: 4, Places: []fleet.Place{"c"}}))
	counts = pickOf(b, now, 20)
	is.True(counts["a-0"] > 0 && counts["a-1"] > 0)
	is.Equal(b.ReturnedAt("a-0"), now)
	is.True(b.ReturnedAt("b-0").IsZero())
}

// Guards against engines that fetch cached tokens from an engine of an evacuated place, and
// against that place losing what is known of its caches.
func TestNoFetchFromAnEvacuatedPlace(t *testing.T) {
	is := is.New(t)
	b := inPlaces("model", "a", "b")
	q := prompt("plan", "session-1", "r1")
	q.Exclude = []string{"b-0", "b-1"}
	first, _ := b.Pick(start, q)
	b.Started(start, q, first)
	b.SetEvacuated(start, fleet.Evacuations{Number: 1, Places: []fleet.Place{"a"}})
	later := start.Add(time.Second)
	c, ok := b.Pick(later, prompt("plan", "session-1", "r2"))
	is.True(ok)
	is.Equal(c.Upstream.Place, fleet.Place("b"))
	is.Equal(c.Fetched, 0)
	b.SetEvacuated(later, fleet.Evacuations{Number: 2})
	c, _ = b.Pick(later, prompt("plan", "session-1", "r3"))
	is.Equal(c.Upstream.ID, first.Upstream.ID)
	is.Equal(c.Uncached, 2900)
}

// TestRegions checks that the regions of the route and those of the customer both bind, and why
// a request gets no upstream.
func TestRegions(t *testing.T) {
	regions := func(names ...fleet.Region) []fleet.Region { return names }
	for name, c := range map[string]struct {
		route, customer []fleet.Region
		evacuated       []fleet.Place
		places          []fleet.Place
		reason          sched.Reason
	}{
		"all":                         {places: []fleet.Place{"a", "b", "c", "x"}},
		"route":                       {route: regions("north"), places: []fleet.Place{"a", "b"}},
		"customer":                    {customer: regions("south"), places: []fleet.Place{"c"}},
		"two regions":                 {route: regions("north", "south"), places: []fleet.Place{"a", "b", "c"}},
		"both bind":                   {route: regions("north", "south"), customer: regions("south", "west"), places: []fleet.Place{"c"}},
		"nothing in common":           {route: regions("north"), customer: regions("south"), reason: sched.OutsideRegions},
		"unknown region":              {route: regions("east"), reason: sched.OutsideRegions},
		"empty name":                  {customer: regions(""), reason: sched.OutsideRegions},
		"evacuated in part":           {route: regions("north"), evacuated: []fleet.Place{"a"}, places: []fleet.Place{"b"}},
		"evacuated":                   {customer: regions("south"), evacuated: []fleet.Place{"c"}, reason: sched.Evacuated},
		"outside, others evacuated":   {route: regions("east"), evacuated: []fleet.Place{"a"}, reason: sched.OutsideRegions},
		"all evacuated, unrestricted": {evacuated: []fleet.Place{"a", "b", "c", "x"}, reason: sched.Evacuated},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := inPlaces("desk", "a", "b", "c", "x")
			b.SetRegions(fleet.Regions{"a": "north", "b": "north", "c": "south"}) // x has none
			b.SetEvacuated(start, fleet.Evacuations{Number: 1, Places: c.evacuated})
			q := sched.Query{Service: "desk", RouteRegions: c.route, CustomerRegions: c.customer}
			want := map[fleet.Place]bool{}
			for _, p := range c.places {
				want[p] = true
			}
			got := map[fleet.Place]bool{}
			for range 40 {
				if choice, ok := b.Pick(start, q); ok {
					b.Started(start, q, choice)
					got[choice.Upstream.Place] = true
				}
			}
			is.Equal(got, want)
			reason, barred := b.Barred(q)
			is.Equal(reason, c.reason)
			is.Equal(barred, c.reason != "")
		})
	}
}

// Guards against a short Retry-After because of a pause of an upstream that may not get the
// request, and against reasons that do not last.
func TestOpeningInAnotherRegion(t *testing.T) {
	is := is.New(t)
	b := inPlaces("desk", "a", "b")
	b.SetRegions(fleet.Regions{"a": "north", "b": "south"})
	b.Pause(start, sched.Choice{Upstream: fleet.Upstream{ID: "a-0", Born: start}}, time.Second)
	_, ok := b.OpensIn(start, sched.Query{Service: "desk", CustomerRegions: []fleet.Region{"south"}})
	is.True(!ok)
	_, ok = b.OpensIn(start, sched.Query{Service: "desk", CustomerRegions: []fleet.Region{"north"}})
	is.True(ok)
	_, barred := b.Barred(sched.Query{Service: "other"})
	is.True(!barred) // no upstream is known yet
}
