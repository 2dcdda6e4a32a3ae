package front_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"dotterelgap/core/fleet"
	"dotterelgap/core/poison"
	"dotterelgap/core/policy"
	"dotterelgap/core/sched"
	"dotterelgap/io/conns"
	"dotterelgap/io/front"

	"github.com/matryer/is"
	"go.uber.org/zap"
)

// plainDialect returns a dialect in which requests have no prompts.
func plainDialect() front.Dialect {
	d := dialect()
	parse := d.Parse
	d.Parse = func(h http.Header) front.RequestInfo {
		info := parse(h)
		info.Parts, info.Input, info.Output = nil, 0, 0
		return info
	}
	return d
}

// desk is a front with admission before an upstream with one place, of which each request ends
// when the test lets it.
type desk struct {
	front   *front.Front
	url     string
	addr    netip.AddrPort
	arrived chan string
	finish  chan struct{}
}

func startDesk(t *testing.T) *desk { return startDeskWith(t, plainDialect(), sched.DefaultOptions()) }

func startDeskWith(t *testing.T, dialect front.Dialect, opts sched.Options) *desk {
	t.Helper()
	d := &desk{arrived: make(chan string, 10), finish: make(chan struct{})}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.arrived <- r.Header.Get("Id")
		<-d.finish
		w.Header().Set("Id", r.Header.Get("Id"))
	}))
	t.Cleanup(s.Close)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	pool := conns.NewPool(conns.DefaultOptions())
	d.url = "http://" + ln.Addr().String()
	d.front = front.Start(front.Deps{
		Log: zap.NewNop(), Listener: ln, Dialect: dialect, Budgets: &fakeBudgets{done: make(chan struct{}, 10)}, Conns: pool,
		Sched: opts, Retry: front.RetryOptions{Ratio: 0.2, Burst: retryBurst, Window: 10 * time.Second},
		LeaveNotice: leaveNotice, Admission: true, Broadcast: func(sched.Update) {}, Report: func(poison.Report) {},
		Leaving: func(fleet.Upstream) {}, Quarantine: func(fleet.Quarantine) {},
	})
	t.Cleanup(func() {
		close(d.finish)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		if err := errors.Join(d.front.Close(ctx), pool.Close()); err != nil {
			t.Error(err)
		}
	})
	d.front.SetPolicy(policy.Compile(&policy.Policy{
		Number: 1,
		Routes: []policy.Route{{
			Name: "pay", Host: "h.example", Prefix: "/pay/", Kind: policy.Once, Timeout: 30 * time.Second, Objective: 16 * time.Second,
			Split: []policy.Share{{Service: "pay", Weight: 1}}, Attempts: 1, Public: true,
		}},
		Services: []policy.Service{{Name: "pay"}},
	}))
	d.addr = netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
	d.front.SetUpstreams([]fleet.Upstream{{ID: "i-1", Service: "pay", Addr: d.addr, Slots: 1}})
	return d
}

// ask sends a request and returns the status of its response, and the Retry-After.
func (d *desk) ask(ctx context.Context, id, wait string) (status int, retryAfter string) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, d.url+"/pay/a", strings.NewReader("body"))
	if err != nil {
		panic(err)
	}
	req.Host = "h.example"
	req.Header.Set("Id", id)
	req.Header.Set("Wait", wait)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, ""
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode, resp.Header.Get("Retry-After")
}

// fill has the place and the queue of the upstream taken.
func (d *desk) fill(t *testing.T, statuses chan int) {
	for range 2 {
		go func() {
			status, _ := d.ask(context.WithoutCancel(t.Context()), "first", "20s")
			statuses <- status
		}()
		<-d.arrived
	}
}

// Guards against a request that is sent although the places are taken, that isn't sent once one
// is free, and that holds its place in the queue after its caller has left.
func TestWaitsForPlace(t *testing.T) {
	is := is.New(t)
	d := startDesk(t)
	statuses := make(chan int, 4)
	d.fill(t, statuses)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		status, _ := d.ask(ctx, "leaves", "20s")
		statuses <- status
	}()
	time.Sleep(100 * time.Millisecond)
	cancel()
	is.Equal(<-statuses, 0)
	go func() {
		status, _ := d.ask(t.Context(), "waits", "20s")
		statuses <- status
	}()
	select {
	case id := <-d.arrived:
		t.Fatalf("%s was sent though no place is free", id)
	case <-time.After(200 * time.Millisecond):
	}
	d.finish <- struct{}{}
	is.Equal(<-statuses, 200)
	is.Equal(<-d.arrived, "waits")
	d.finish <- struct{}{}
	d.finish <- struct{}{}
	is.Equal(<-statuses, 200)
	is.Equal(<-statuses, 200)
}

// Guards against a request that is held although it can't be served: it is rejected with a time
// to return, after an eighth of the time that its caller has, and isn't sent.
func TestRejectedEarly(t *testing.T) {
	is := is.New(t)
	d := startDesk(t)
	d.fill(t, make(chan int, 2))
	began := time.Now()
	status, retryAfter := d.ask(t.Context(), "late", "2s")
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(retryAfter != "")
	is.True(time.Since(began) < 500*time.Millisecond)
	is.Equal(len(d.arrived), 0)
}

// Guards against a node that stops while requests wait: they are rejected at once.
func TestStopRejectsWaiting(t *testing.T) {
	is := is.New(t)
	d := startDesk(t)
	statuses := make(chan int, 3)
	d.fill(t, statuses)
	waiting := make(chan int, 1)
	go func() {
		status, _ := d.ask(t.Context(), "waits", "20s")
		waiting <- status
	}()
	time.Sleep(100 * time.Millisecond)
	began := time.Now()
	closed := make(chan error, 1)
	go func() { closed <- d.front.Close(context.WithoutCancel(t.Context())) }()
	is.Equal(<-waiting, http.StatusServiceUnavailable)
	is.True(time.Since(began) < time.Second) // before its time to wait is over
	d.finish <- struct{}{}
	d.finish <- struct{}{}
	is.NoErr(<-closed)
}

// Guards against requests that wait at a node that stops since their service had no queue before.
func TestNothingWaitsAfterStop(t *testing.T) {
	is := is.New(t)
	d := startDesk(t)
	d.front.StopWaiting()
	d.front.SetPolicy(policy.Compile(&policy.Policy{
		Number: 2,
		Routes: []policy.Route{{
			Name: "pay", Host: "h.example", Prefix: "/pay/", Kind: policy.Once, Timeout: 30 * time.Second, Objective: 16 * time.Second,
			Split: []policy.Share{{Service: "new", Weight: 1}}, Attempts: 1, Public: true,
		}},
		Services: []policy.Service{{Name: "new"}},
	}))
	d.front.SetUpstreams([]fleet.Upstream{{ID: "i-1", Service: "new", Addr: d.addr, Slots: 1}})
	statuses := make(chan int, 2)
	d.fill(t, statuses)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	status, _ := d.ask(ctx, "late", "20s")
	is.Equal(status, http.StatusServiceUnavailable) // not 0, for a request that waits
	d.finish <- struct{}{}
	d.finish <- struct{}{}
	is.Equal([]int{<-statuses, <-statuses}, []int{200, 200})
}

// Guards against a request that is said to be sent although all places are taken.
func TestWhereWhilePlacesAreTaken(t *testing.T) {
	is := is.New(t)
	d := startDesk(t)
	statuses := make(chan int, 2)
	where := func() front.Destination {
		got, err := d.front.Where("h.example", "/pay/a", http.Header{"Wait": {"20s"}})
		is.NoErr(err)
		return got
	}
	before := where()
	is.Equal(before.Upstream, "i-1")
	is.True(!before.Waits)
	d.fill(t, statuses)
	is.True(where().Waits)
	d.finish <- struct{}{}
	d.finish <- struct{}{}
	is.Equal([]int{<-statuses, <-statuses}, []int{200, 200})
}
