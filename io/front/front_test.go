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
	"dotterelgap/core/poison"
	"dotterelgap/core/policy"
	"dotterelgap/core/quota"
	"dotterelgap/core/sched"
	"dotterelgap/io/conns"
	"dotterelgap/io/front"

	"github.com/matryer/is"
	"go.uber.org/zap"
)

// fakeBudgets implements front.Budgets. It refuses reservations with err if set, lets no request
// begin if blocked, and records what was settled.
type fakeBudgets struct {
	err     error
	blocked bool

	mu      sync.Mutex
	settled []quota.Tokens
	done    chan struct{}
}

func (p *fakeBudgets) Reserve(context.Context, string, string, quota.Tokens) error { return p.err }

func (p *fakeBudgets) Begin(ctx context.Context, _, _ string, _ quota.Tokens) error {
	if !p.blocked {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

func (p *fakeBudgets) Settle(_ string, used quota.Tokens) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settled = append(p.settled, used)
	p.done <- struct{}{}
}

// dialect returns a Dialect whose header names only this test uses.
func dialect() front.Dialect {
	return front.Dialect{
		RequestID: "Id", EventID: "After",
		Parse: func(h http.Header) front.RequestInfo {
			t := front.RequestInfo{Key: h.Get("Key"), Input: 900, Output: 90, Parts: []sched.Part{{ID: "a", Tokens: 500}, {ID: h.Get("Id"), Tokens: 400}}}
			if list := h.Get("Parts"); list != "" {
				t.Parts = nil
				for id := range strings.SplitSeq(list, ",") {
					t.Parts = append(t.Parts, sched.Part{ID: id, Tokens: 300})
				}
			}
			t.Deadline, _ = time.ParseDuration(h.Get("Wait"))
			return t
		},
		SetHeaders: func(h http.Header, to front.Target) {
			h.Set("Customer", to.Customer)
			h.Set("Rank", fmt.Sprint(to.Engine, to.Rank))
		},
		NotRun:  func(_ int, h http.Header) bool { return h.Get("Not-Run") != "" },
		Signals: func(int, http.Header) sched.Signals { return sched.Signals{} },
	}
}

// testPolicy returns a policy with one stream route to one engine service.
func testPolicy() *policy.Table { return policy.Compile(testDocument()) }

func testDocument() *policy.Policy {
	return &policy.Policy{
		Number: 1,
		Routes: []policy.Route{{
			Name: "plans", Host: "h.example", Prefix: "/plan/", Kind: policy.Stream, Timeout: 2 * time.Second,
			Split: []policy.Share{{Service: "model", Weight: 1}}, Attempts: 1,
		}},
		Services:  []policy.Service{{Name: "model", Engine: &policy.Engine{Slots: 8, KVTokens: 100_000, EventTokens: 3}}},
		Customers: []policy.Customer{{Name: "acme", Keys: []string{"k1"}}},
	}
}

// event returns event n of a stream.
func event(n int) string { return fmt.Sprintf("id: %d\ndata: x\n\n", n) }

// hijack returns the hijacked connection of a request.
func hijack(w http.ResponseWriter) net.Conn {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	return c
}

// writeUntilClosed writes begin and then bytes without end, until the connection is closed.
func writeUntilClosed(c net.Conn, begin string) {
	defer func() { _ = c.Close() }()
	_, err := io.WriteString(c, begin)
	for block := strings.Repeat("x", 1024); err == nil; {
		_, err = io.WriteString(c, block)
	}
}

// waitCanceled waits until the caller cancels the request. The server detects that
// only after the body has been read.
func waitCanceled(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

const responseHead = "HTTP/1.1 200 OK\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\n"

// unframedHead is the head of a response without a length, which ends with its connection.
const unframedHead = "HTTP/1.1 200 OK\r\nId: r1\r\n\r\n"

// chunk returns one chunk of a chunked response.
func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

// TestOutcomes checks what the caller receives and what the customer is billed for each
// way in which an upstream or the budget responds. A prompt must not be billed if its
// response was lost.
func TestOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		upstream  http.HandlerFunc // nil for none
		budget    error
		blocked   bool // no request may begin
		key       string
		wait      string
		status    int
		body      string
		truncated bool
		// billed is -1 if nothing is settled.
		billed quota.Tokens
	}{
		"complete stream": {upstream: func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Customer") != "acme" {
				panic("no customer")
			}
			w.Header().Set("Id", "r1")
			_, _ = io.WriteString(w, event(0)+event(1))
		}, status: 200, body: event(0) + event(1), billed: 906},
		"disconnects within an event": {upstream: func(w http.ResponseWriter, _ *http.Request) {
			c := hijack(w)
			_, _ = io.WriteString(c, responseHead+chunk(event(0)+event(1)[:7]))
			_ = c.Close()
		}, status: 200, body: event(0), truncated: true, billed: 903},
		"no length, complete stream": {upstream: func(w http.ResponseWriter, _ *http.Request) {
			c := hijack(w)
			_, _ = io.WriteString(c, unframedHead+event(0)+event(1))
			_ = c.Close()
		}, status: 200, body: event(0) + event(1), billed: 906},
		"no length, ends within an event": {upstream: func(w http.ResponseWriter, _ *http.Request) {
			c := hijack(w)
			_, _ = io.WriteString(c, unframedHead+event(0)+event(1)[:7])
			_ = c.Close()
		}, status: 200, body: event(0), truncated: true, billed: 903},
		"no length, ends before the first event": {upstream: func(w http.ResponseWriter, _ *http.Request) {
			c := hijack(w)
			_, _ = io.WriteString(c, unframedHead)
			_ = c.Close()
		}, status: 502, body: `{"error":"in_doubt"}`, billed: 0},
		"complete chunks, ends within an event": {upstream: func(w http.ResponseWriter, _ *http.Request) {
			c := hijack(w)
			_, _ = io.WriteString(c, responseHead+chunk(event(0)+event(1)[:7])+"0\r\n\r\n")
			_ = c.Close()
		}, status: 200, body: event(0), truncated: true, billed: 903},
		"bytes without end, no event": {upstream: func(w http.ResponseWriter, _ *http.Request) {
			writeUntilClosed(hijack(w), unframedHead)
		}, status: 502, body: `{"error":"in_doubt"}`, billed: 0},
		"bytes without end after an event": {upstream: func(w http.ResponseWriter, _ *http.Request) {
			writeUntilClosed(hijack(w), unframedHead+event(0))
		}, status: 200, body: event(0), truncated: true, billed: 903},
		"reports that it did not run": {upstream: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Id", "r1")
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, status: 503, body: `{"error":"upstream_full"}`, billed: 0},
		"closes without a response": {upstream: func(w http.ResponseWriter, _ *http.Request) {
			_ = hijack(w).Close()
		}, status: 502, body: `{"error":"in_doubt"}`, billed: 0},
		"disconnects before the first event is complete": {upstream: func(w http.ResponseWriter, _ *http.Request) {
			c := hijack(w)
			_, _ = io.WriteString(c, responseHead+chunk(event(0)[:7]))
			_ = c.Close()
		}, status: 502, body: `{"error":"in_doubt"}`, billed: 0},
		"fails": {upstream: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Id", "r1")
			w.WriteHeader(http.StatusInternalServerError)
			_, _ = io.WriteString(w, "broken")
		}, status: 500, body: "broken", billed: 900},
		"deadline passes, closes on cancel": {upstream: func(w http.ResponseWriter, r *http.Request) {
			waitCanceled(r)
			_ = hijack(w).Close()
		}, wait: "50ms", status: 504, body: `{"error":"timeout"}`, billed: 0},
		"deadline passes, responds on cancel": {upstream: func(w http.ResponseWriter, r *http.Request) {
			waitCanceled(r)
			c := hijack(w)
			_, _ = io.WriteString(c, responseHead+chunk(event(0)))
			_ = c.Close()
		}, wait: "50ms", status: 200, body: event(0), truncated: true, billed: 903},
		"may not begin before the deadline": {upstream: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Id", "r1")
			_, _ = io.WriteString(w, event(0)+event(1))
		}, blocked: true, wait: "50ms", status: 504, body: `{"error":"timeout"}`, billed: 0},
		"no upstream":      {status: 503, body: `{"error":"no_upstream"}`, billed: 0},
		"unknown key":      {key: "k9", status: 401, body: `{"error":"unknown_key"}`, billed: -1},
		"budget exhausted": {budget: &quota.RefusedError{Reason: quota.Exhausted}, status: 402, body: `{"error":"budget_exhausted"}`, billed: -1},
		"budget elsewhere": {budget: &quota.RefusedError{Reason: quota.Elsewhere}, status: 503, body: `{"error":"budget_elsewhere"}`, billed: -1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := &fakeBudgets{err: c.budget, blocked: c.blocked, done: make(chan struct{}, 1)}
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
			is.Equal(err != nil, c.truncated) // a truncated response must not look complete
			is.Equal(resp.StatusCode, c.status)
			is.Equal(string(body), c.body)
			is.Equal(resp.Header.Get("Id"), "r1")
			if c.billed < 0 {
				is.Equal(len(p.settled), 0)
				return
			}
			<-p.done
			is.Equal(p.settled, []quota.Tokens{c.billed}) // billed once
		})
	}
}

// TestCloseSettles checks that Close aborts the requests that do not end in time and
// has settled them when it returns. Otherwise the node would return its budgets with
// their tokens still reserved, and those would be billed.
func TestCloseSettles(t *testing.T) {
	is := is.New(t)
	p := &fakeBudgets{done: make(chan struct{}, 1)}
	f, url := startFront(t, p, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", "r1")
		_, _ = io.WriteString(w, event(0))
		_ = http.NewResponseController(w).Flush()
		waitCanceled(r)
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
	is.True(f.Close(ctx) != nil) // reports that a request was aborted
	p.mu.Lock()
	settled := p.settled
	p.mu.Unlock()
	is.Equal(settled, []quota.Tokens{903})
	_, err = io.ReadAll(resp.Body)
	is.True(err != nil) // a truncated response must not look complete
	_ = resp.Body.Close()
}

// start starts a front, with one upstream unless the handler is nil, and returns the
// front's URL.
func start(t *testing.T, p front.Budgets, upstream http.HandlerFunc) string {
	t.Helper()
	_, url := startFront(t, p, upstream)
	return url
}

// leaveNotice is how long the front of startFront serves after Close.
const leaveNotice = 100 * time.Millisecond

// retryBurst is the burst of the retry budget of startFront.
const retryBurst = 10

func startFront(t *testing.T, p front.Budgets, upstream http.HandlerFunc) (*front.Front, string) {
	t.Helper()
	return startFrontWith(t, p, upstream, func(*front.Deps) {})
}

// startFrontWith starts a front with other dependencies or settings.
func startFrontWith(t *testing.T, p front.Budgets, upstream http.HandlerFunc, change func(*front.Deps)) (*front.Front, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	pool := conns.NewPool(conns.DefaultOptions())
	deps := front.Deps{
		Log: zap.NewNop(), Listener: ln, Dialect: dialect(), Budgets: p, Conns: pool, Sched: sched.DefaultOptions(),
		Retry:       front.RetryOptions{Ratio: 0.2, Burst: retryBurst, Window: 10 * time.Second},
		LeaveNotice: leaveNotice, Broadcast: func(sched.Update) {}, Report: func(poison.Report) {},
		Leaving: func(fleet.Upstream) {}, Quarantine: func(fleet.Quarantine) {},
	}
	change(&deps)
	f := front.Start(deps)
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
