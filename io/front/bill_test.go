package front_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"dotterelgap/core/policy"
	"dotterelgap/core/quota"

	"github.com/matryer/is"
)

// A stream that ended midway is billed its prompt and what was passed on, whoever ended it: by the
// users' count its prompt is consumed, and neither leaving nor a deadline is a way to avoid costs.
func TestStreamsThatEndMidway(t *testing.T) {
	const (
		events    = 15
		wholeBill = 900 + 3*events
	)
	for name, c := range map[string]struct {
		path string
		want quota.Tokens
	}{
		"upstream breaks off": {"/plan/break", 903},
		"caller leaves":       {"/plan/leave", 903},
		"the deadline passes": {"/plan/late", 903},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := &fakeBudgets{done: make(chan struct{}, 100)}
			url := start(t, p, func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Id", r.Header.Get("Id"))
				switch r.URL.Path {
				case "/plan/whole":
					_, _ = io.WriteString(w, strings.Repeat(event(0), events))
					return
				case "/plan/break":
					hj := hijack(w)
					_, _ = io.WriteString(hj, strings.Replace(responseHead, "r1", r.Header.Get("Id"), 1)+chunk(event(0)))
					_ = hj.Close()
					return
				}
				_, _ = io.WriteString(w, event(0))
				_ = http.NewResponseController(w).Flush()
				waitCanceled(r)
			})
			is.Equal(request(t, p, url+"/plan/whole", "", false), quota.Tokens(wholeBill))
			wait := ""
			if c.path == "/plan/late" {
				wait = "50ms"
			}
			for range 3 { // a repeated request is billed again
				is.Equal(request(t, p, url+c.path, wait, c.path == "/plan/leave"), c.want)
			}
		})
	}
}

// request sends a request and returns what was settled. It leaves after the first event if asked to.
func request(t *testing.T, p *fakeBudgets, url, wait string, leaves bool) quota.Tokens {
	t.Helper()
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("body"))
	is.NoErr(err)
	req.Host = "h.example"
	req.Header.Set("Id", strings.TrimPrefix(t.Name(), "TestStreamsThatEndMidway/")+time.Now().String())
	req.Header.Set("Key", "k1")
	req.Header.Set("Wait", wait)
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	if leaves {
		_, err = io.ReadFull(resp.Body, make([]byte, len(event(0))))
		is.NoErr(err)
		cancel()
	} else {
		_, _ = io.ReadAll(resp.Body)
	}
	<-p.done
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.settled[len(p.settled)-1]
}

// waitingBudgets implements front.Budgets with tokens that never come.
type waitingBudgets struct{ fakeBudgets }

func (*waitingBudgets) Reserve(ctx context.Context, _, _ string, _ quota.Tokens) error {
	<-ctx.Done()
	return &quota.RefusedError{Reason: quota.Elsewhere}
}

// A caller is held for half of its objective for tokens that are elsewhere, not for longer.
func TestWaitForTokensIsBounded(t *testing.T) {
	is := is.New(t)
	f, url := startFront(t, &waitingBudgets{}, nil)
	p := testDocument()
	p.Number = 2
	p.Routes[0].Objective, p.Routes[0].Timeout = 4*time.Second, 20*time.Second
	f.SetPolicy(policy.Compile(p))
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/plan/a", strings.NewReader("body"))
	is.NoErr(err)
	req.Host = "h.example"
	req.Header.Set("Key", "k1")
	began := time.Now()
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	_ = resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.True(resp.Header.Get("Retry-After") != "")
	took := time.Since(began)
	is.True(took > 1500*time.Millisecond)
	is.True(took < 3*time.Second) // 2 s, and time for a busy machine
}
