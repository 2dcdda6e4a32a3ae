package front_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dotterelgap/core/fleet"
	"dotterelgap/core/quota"

	"github.com/matryer/is"
)

// ampleBudgets implements front.Budgets without limits.
type ampleBudgets struct{}

func (ampleBudgets) Reserve(context.Context, string, string, quota.Tokens) error { return nil }
func (ampleBudgets) Begin(context.Context, string, string, quota.Tokens) error   { return nil }
func (ampleBudgets) Settle(string, quota.Tokens)                                 {}

// engines are upstreams that crash when they begin to respond to a prompt with the part
// "deadly": all their connections break, and a new incarnation takes over.
type engines struct {
	mu  sync.Mutex
	ups []fleet.Upstream
	// hits counts the prompts with the part "deadly".
	hits atomic.Int64
}

func startEngines(t *testing.T, n int) *engines {
	t.Helper()
	e := &engines{ups: make([]fleet.Upstream, n)}
	for i := range n {
		s := httptest.NewServer(nil)
		t.Cleanup(s.Close)
		s.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.serve(w, r, i, s) })
		addr := netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
		e.ups[i] = fleet.Upstream{ID: fmt.Sprint("i-", i), Service: "model", Addr: addr, Born: time.Unix(1, 0)}
	}
	return e
}

func (e *engines) serve(w http.ResponseWriter, r *http.Request, i int, s *httptest.Server) {
	w.Header().Set("Id", r.Header.Get("Id"))
	if !slices.Contains(strings.Split(r.Header.Get("Parts"), ","), "deadly") {
		_, _ = io.WriteString(w, event(0))
		return
	}
	e.hits.Add(1)
	e.mu.Lock()
	e.ups[i].Born = e.ups[i].Born.Add(time.Second)
	e.mu.Unlock()
	_ = http.NewResponseController(w).Flush()
	s.CloseClientConnections()
}

// list returns the current incarnations.
func (e *engines) list() []fleet.Upstream {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.ups)
}

// sendPrompt sends a request with these prompt parts and returns the response, with its
// body read.
func sendPrompt(t *testing.T, url, id string, parts ...string) *http.Response {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/plan/a", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("Id", id)
	req.Header.Set("Key", "k1")
	req.Header.Set("Parts", strings.Join(parts, ","))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp
}

// Guards against requests with one part that crashes engines reaching one engine after the
// other, and against rejecting sound requests that share their other parts.
func TestPoisonousPartCrashesEngineAfterEngine(t *testing.T) {
	is := is.New(t)
	e := startEngines(t, 16)
	f, url := startFront(t, ampleBudgets{}, nil)
	served := 0
	for i := range 16 {
		f.SetUpstreams(e.list())
		id := fmt.Sprint("r-", i)
		sendPrompt(t, url, id+"-d", "a", "session", "deadly", id)
		time.Sleep(150 * time.Millisecond)
		if sendPrompt(t, url, id, "a", "session", id).StatusCode == http.StatusOK {
			served++
		}
	}
	is.True(e.hits.Load() <= 8) // five crashes and three more requests
	is.Equal(served, 16)        // sound requests are not affected
	resp := sendPrompt(t, url, "last", "a", "session", "deadly", "last")
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.True(resp.Header.Get("Retry-After") != "")
}
