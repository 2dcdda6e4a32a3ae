package admit_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The service has 30 places of 60 ms: 500 requests a second.
const (
	places  = 30
	service = 60 * time.Millisecond
	length  = 20 * time.Second
)

// kinds returns three kinds of request that use 60% of the service together.
func kinds() (urgent, usual, last flow) {
	urgent = flow{kind: "urgent", rank: 0, size: 800, perSecond: 100, objective: 250 * time.Millisecond, deadline: 3 * time.Second}
	usual = flow{kind: "usual", rank: 1, size: 800, perSecond: 100, objective: 400 * time.Millisecond, deadline: 3 * time.Second}
	last = flow{kind: "last", rank: 2, size: 800, perSecond: 100, objective: time.Second, deadline: 5 * time.Second}
	return urgent, usual, last
}

func burst(f flow, times float64) flow {
	f.times, f.burstAt, f.burstEnd = times, 5*time.Second, 12*time.Second
	return f
}

func report(t *testing.T, l *load, names ...string) {
	t.Helper()
	for _, n := range names {
		r := l.result(n)
		t.Logf("%-12s asked %5d, in time %.3f, late %.3f, rejected %.3f, slowest rejection %.3f of the objective",
			n, r.asked, r.share(), float64(r.late)/float64(r.asked), float64(r.rejected)/float64(r.asked), r.slowest)
	}
	t.Logf("at most %d waited", l.most)
}

// Guards against a burst in which all are late together: the most urgent kind is served in time,
// and what can't be served is rejected within an eighth of its objective.
func TestBurst(t *testing.T) {
	for name, times := range map[string]float64{"doubled": 2, "fourfold": 4} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a, b, c := kinds()
			flows := append(append(spread(burst(a, 2), 20), spread(burst(b, times), 20)...), spread(burst(c, times), 20)...)
			l := play(places, service, length, flows)
			report(t, l, "urgent", "usual", "last")
			is.True(l.result("urgent").share() >= 0.95)
			for _, kind := range []string{"urgent", "usual", "last"} {
				is.True(l.result(kind).slowest <= 1.0/8) // rejected early
				is.True(l.result(kind).late*50 <= l.result(kind).asked)
			}
			is.True(l.result("last").share() >= 0.25*overall(l, "urgent", "usual", "last")) // not starved
		})
	}
}

// overall returns the share of all requests of some kinds that were served in time.
func overall(l *load, names ...string) float64 {
	var sum result
	for _, n := range names {
		sum.asked += l.result(n).asked
		sum.inTime += l.result(n).inTime
	}
	return sum.share()
}

// Guards against a customer that pushes out the others of its rank when it sends 7.5 times its
// usual, and against starving it in turn.
func TestHotCustomer(t *testing.T) {
	is := is.New(t)
	f := flow{kind: "all", rank: 1, size: 800, perSecond: 240, objective: 300 * time.Millisecond, deadline: 3 * time.Second}
	hot := f
	hot.customer, hot.perSecond = "hot", 60
	l := play(places, service, length, append(spread(f, 20), burst(hot, 7.5)))
	report(t, l, "hot", "customer-0", "customer-7", "all")
	for i := range 20 {
		r := l.result(spread(f, 20)[i].customer)
		is.True(r.share() >= 0.9)
	}
	is.True(l.result("hot").share() >= 0.25*overall(l, "all"))
	is.True(l.result("all").slowest <= 1.0/8)
}

// Guards against callers that return at once and so keep others from being served.
func TestRetryStorm(t *testing.T) {
	is := is.New(t)
	a, b, c := kinds()
	flows := append(spread(burst(a, 2), 20), spread(burst(b, 3), 20)...)
	flows = append(flows, spread(burst(c, 3), 20)...)
	for i := range flows {
		flows[i].returns, flows[i].tries = 0.3, 3
	}
	l := play(places, service, length, flows)
	report(t, l, "urgent", "usual", "last")
	is.True(l.result("urgent").share() >= 0.95)
	is.True(l.result("last").share() >= 0.25*overall(l, "urgent", "usual", "last"))
	for _, kind := range []string{"urgent", "usual", "last"} {
		is.True(l.result(kind).slowest <= 1.0/8)
	}
}

// Guards against starving a kind, a customer or a size, if the urgent requests alone fill the
// service for good.
func TestNothingStarves(t *testing.T) {
	is := is.New(t)
	a, _, c := kinds()
	a.perSecond = 700
	large := c
	large.kind, large.size, large.rank = "large", 50_000, 0
	large.objective, large.perSecond = a.objective, 30
	single := a
	single.kind, single.customer, single.perSecond = "single", "single", 8
	flows := append(append(append(spread(a, 20), spread(c, 20)...), spread(large, 3)...), single)
	l := play(places, service, length, flows)
	report(t, l, "urgent", "last", "large", "single")
	all := overall(l, "urgent", "last", "large", "single")
	for _, name := range []string{"last", "large", "single"} {
		is.True(l.result(name).share() >= 0.25*all)
	}
}

// Guards against a change for a service that is not overloaded: nothing waits or is rejected.
func TestIdleService(t *testing.T) {
	is := is.New(t)
	a, b, c := kinds()
	for _, f := range []*flow{&a, &b, &c} {
		f.perSecond = 20
	}
	l := play(places, service, length, append(append(spread(a, 20), spread(b, 20)...), spread(c, 20)...))
	is.Equal(l.most, 0)
	is.Equal(l.result("last").rejected, 0)
}
