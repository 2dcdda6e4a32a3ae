package front_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"dotterelgap/core/fleet"
	"dotterelgap/core/policy"
	"dotterelgap/core/quota"
	"dotterelgap/core/sched"
	"dotterelgap/io/conns"
	"dotterelgap/io/front"

	"github.com/matryer/is"
	"go.uber.org/zap"
)

// purse is a stand-in for budgets: it refuses with err, and keeps what was settled.
type purse struct {
	err error

	mu      sync.Mutex
	settled map[string]quota.Tokens
	done    chan struct{}
}

func (p *purse) Reserve(context.Context, string, string, quota.Tokens) error { return p.err }

func (p *purse) Settle(id string, used quota.Tokens) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settled[id] = used
	close(p.done)
}

// dialect has header names of the test's own.
func dialect() front.Dialect {
	return front.Dialect{
		RequestID: "Id", EventID: "After",
		Parse: func(h http.Header) front.Terms {
			t := front.Terms{Key: h.Get("Key"), Input: 900, Output: 90, Parts: []sched.Part{{ID: "a", Tokens: 500}, {ID: h.Get("Id"), Tokens: 400}}}
			t.Deadline, _ = time.ParseDuration(h.Get("Wait"))
			return t
		},
		Address: func(h http.Header, to front.Target) { h.Set("Customer", to.Customer) },
		NotRun:  func(_ int, h http.Header) bool { return h.Get("Not-Run") != "" },
	}
}

// testPolicy has one stream route to one engine service.
func testPolicy() *policy.Table {
	return policy.Compile(&policy.Policy{
		Number: 1,
		Routes: []policy.Route{{
			Name: "plans", Host: "h.example", Prefix: "/plan/", Kind: policy.Stream, Timeout: 2 * time.Second,
			Split: []policy.Share{{Service: "model", Weight: 1}}, Attempts: 1,
		}},
		Services:  []policy.Service{{Name: "model", Engine: &policy.Engine{Slots: 8, KVTokens: 100_000, EventTokens: 3}}},
		Customers: []policy.Customer{{Name: "acme", Keys: []string{"k1"}}},
	})
}

// event is one event of a stream.
func event(n int) string { return fmt.Sprintf("id: %d\ndata: x\n\n", n) }

// hijack takes over the connection of a request.
func hijack(w http.ResponseWriter) net.Conn {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	return c
}

// withdrawn waits until the request is withdrawn. The server looks for that only
// once the body was read.
func withdrawn(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

const head = "HTTP/1.1 200 OK\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\n"

// chunk is a piece of a chunked answer.
func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

// What the caller gets and the customer is billed, by what the upstream does.
func TestOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		upstream http.HandlerFunc // nil for none
		budget   error
		key      string
		wait     string
		status   int
		body     string
		cutOff   bool
		// billed is -1 where nothing is settled.
		billed quota.Tokens
	}{
		"whole stream": {upstream: func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Customer") != "acme" {
				panic("no customer")
			}
			w.Header().Set("Id", "r1")
			_, _ = io.WriteString(w, event(0)+event(1))
		}, status: 200, body: event(0) + event(1), billed: 906},
		"breaks off in an event": {upstream: func(w http.ResponseWriter, _ *http.Request) {
			c := hijack(w)
			_, _ = io.WriteString(c, head+chunk(event(0)+event(1)[:7]))
			_ = c.Close()
		}, status: 200, body: event(0), cutOff: true, billed: 903},
		"says that it did not run": {upstream: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Id", "r1")
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, status: 503, body: `{"error":"upstream_full"}`, billed: 0},
		"closes without an answer": {upstream: func(w http.ResponseWriter, _ *http.Request) {
			_ = hijack(w).Close()
		}, status: 502, body: `{"error":"in_doubt"}`, billed: 0},
		"begins an answer without an event": {upstream: func(w http.ResponseWriter, _ *http.Request) {
			c := hijack(w)
			_, _ = io.WriteString(c, head+chunk(event(0)[:7]))
			_ = c.Close()
		}, status: 502, body: `{"error":"in_doubt"}`, billed: 0},
		"fails": {upstream: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Id", "r1")
			w.WriteHeader(http.StatusInternalServerError)
			_, _ = io.WriteString(w, "broken")
		}, status: 500, body: "broken", billed: 900},
		"no token in time, then closes": {upstream: func(w http.ResponseWriter, r *http.Request) {
			withdrawn(r)
			_ = hijack(w).Close()
		}, wait: "50ms", status: 504, body: `{"error":"timeout"}`, billed: 0},
		"no token in time, answers when it is withdrawn": {upstream: func(w http.ResponseWriter, r *http.Request) {
			withdrawn(r)
			c := hijack(w)
			_, _ = io.WriteString(c, head+chunk(event(0)))
			_ = c.Close()
		}, wait: "50ms", status: 200, body: event(0), cutOff: true, billed: 903},
		"there is none":    {status: 503, body: `{"error":"no_upstream"}`, billed: 0},
		"unknown key":      {key: "k9", status: 401, body: `{"error":"unknown_key"}`, billed: -1},
		"nothing is left":  {budget: &quota.RefusedError{Reason: quota.Exhausted}, status: 402, body: `{"error":"budget_exhausted"}`, billed: -1},
		"tokens elsewhere": {budget: &quota.RefusedError{Reason: quota.Elsewhere}, status: 503, body: `{"error":"budget_elsewhere"}`, billed: -1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := &purse{err: c.budget, settled: map[string]quota.Tokens{}, done: make(chan struct{})}
			url := start(t, p, c.upstream)
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/plan/a//b", strings.NewReader("body"))
			is.NoErr(err)
			req.Host = "h.example"
			req.Header.Set("Id", "r1")
			req.Header.Set("Key", "k1")
			req.Header.Set("Wait", c.wait)
			if c.key != "" {
				req.Header.Set("Key", c.key)
			}
			resp, err := http.DefaultClient.Do(req)
			is.NoErr(err)
			body, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			is.Equal(err != nil, c.cutOff) // what is cut off must not look whole
			is.Equal(resp.StatusCode, c.status)
			is.Equal(string(body), c.body)
			is.Equal(resp.Header.Get("Id"), "r1")
			if c.billed < 0 {
				is.Equal(len(p.settled), 0)
				return
			}
			<-p.done
			is.Equal(p.settled["r1"], c.billed)
		})
	}
}

// A front that is closed cuts off what does not end in time, and has settled it when
// Close returns: what is still reserved when a node gives its budgets back is billed.
func TestCloseSettles(t *testing.T) {
	is := is.New(t)
	p := &purse{settled: map[string]quota.Tokens{}, done: make(chan struct{})}
	f, url := startFront(t, p, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", "r1")
		_, _ = io.WriteString(w, event(0))
		_ = http.NewResponseController(w).Flush()
		withdrawn(r)
	})
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/plan/a", strings.NewReader("body"))
	is.NoErr(err)
	req.Host = "h.example"
	req.Header.Set("Id", "r1")
	req.Header.Set("Key", "k1")
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	first := make([]byte, len(event(0)))
	_, err = io.ReadFull(resp.Body, first)
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	is.True(f.Close(ctx) != nil) // it says that a request was cut off
	p.mu.Lock()
	used, settled := p.settled["r1"]
	p.mu.Unlock()
	is.True(settled)
	is.Equal(used, quota.Tokens(903))
	_, err = io.ReadAll(resp.Body)
	is.True(err != nil) // what is cut off must not look whole
	_ = resp.Body.Close()
}

// start serves callers with the upstream, if there is one, and returns the front's
// URL.
func start(t *testing.T, p *purse, upstream http.HandlerFunc) string {
	t.Helper()
	_, url := startFront(t, p, upstream)
	return url
}

func startFront(t *testing.T, p *purse, upstream http.HandlerFunc) (*front.Front, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	pool := conns.NewPool(conns.DefaultOptions())
	f := front.Start(front.Deps{
		Log: zap.NewNop(), Listener: ln, Dialect: dialect(), Budgets: p, Conns: pool, Sched: sched.DefaultOptions(),
		Retry: front.RetryOptions{Ratio: 0.2, Burst: 10, Window: 10 * time.Second}, Broadcast: func(sched.Update) {},
	})
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		if err := errors.Join(f.Close(ctx), pool.Close()); err != nil {
			t.Error(err)
		}
	})
	f.SetPolicy(testPolicy())
	if upstream != nil {
		s := httptest.NewServer(upstream)
		t.Cleanup(s.Close)
		addr := netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
		f.SetUpstreams([]fleet.Upstream{{ID: "i-1", Service: "model", Addr: addr}})
	}
	return f, "http://" + ln.Addr().String()
}
