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
	"sync/atomic"
	"testing"
	"time"

	"dotterelgap/core/fleet"
	"dotterelgap/core/quota"
	"dotterelgap/io/front"

	"github.com/matryer/is"
)

// ampleBudgets implements front.Budgets without limits.
type ampleBudgets struct{}

func (ampleBudgets) Reserve(context.Context, string, string, quota.Tokens) error { return nil }
func (ampleBudgets) Settle(string, quota.Tokens)                                 {}

// startEngine starts an engine that crashes when it begins to respond to a prompt with the
// part "deadly": all its connections break. hits counts those prompts.
func startEngine(t *testing.T, hits *atomic.Int64) netip.AddrPort {
	t.Helper()
	var s *httptest.Server
	s = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		if !slices.Contains(strings.Split(r.Header.Get("Parts"), ","), "deadly") {
			_, _ = io.WriteString(w, event(0))
			return
		}
		hits.Add(1)
		_ = http.NewResponseController(w).Flush()
		s.CloseClientConnections()
	}))
	t.Cleanup(s.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
}

// startFrontWithEngines starts a front with n engines and returns it with its URL.
func startFrontWithEngines(t *testing.T, n int, hits *atomic.Int64) (*front.Front, string) {
	t.Helper()
	f, url := startFront(t, ampleBudgets{}, nil)
	var ups []fleet.Upstream
	for i := range n {
		ups = append(ups, fleet.Upstream{ID: fmt.Sprint("i-", i), Service: "model", Addr: startEngine(t, hits)})
	}
	f.SetUpstreams(ups)
	return f, url
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
	var hits atomic.Int64
	_, url := startFrontWithEngines(t, 16, &hits)
	served := 0
	for i := range 16 {
		id := fmt.Sprint("r-", i)
		sendPrompt(t, url, id+"-d", "a", "session", "deadly", id)
		time.Sleep(150 * time.Millisecond)
		if sendPrompt(t, url, id, "a", "session", id).StatusCode == http.StatusOK {
			served++
		}
	}
	is.True(hits.Load() <= 8) // five crashes and three more requests
	is.Equal(served, 16)      // sound requests are not affected
	resp := sendPrompt(t, url, "last", "a", "session", "deadly", "last")
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.True(resp.Header.Get("Retry-After") != "")
}
