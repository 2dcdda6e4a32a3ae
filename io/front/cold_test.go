package front_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dotterelgap/core/fleet"
	"dotterelgap/core/policy"
	"dotterelgap/core/sched"

	"github.com/matryer/is"
)

// Guards against requests that reach a cold upstream beyond this node's part, and against callers
// that are rejected without the time after which there is room.
func TestRequestsToColdUpstream(t *testing.T) {
	is := is.New(t)
	var arrivals atomic.Int64
	f, url := startFront(t, &fakeBudgets{done: make(chan struct{}, 100)}, nil)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrivals.Add(1)
		w.Header().Set("Id", r.Header.Get("Id"))
		_, _ = w.Write([]byte(event(1)))
	}))
	t.Cleanup(server.Close)
	addr := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	p := &policy.Policy{
		Number: 2,
		Routes: []policy.Route{{
			Name: "plans", Host: "h.example", Prefix: "/plan/", Kind: policy.Stream, Timeout: 2 * time.Second,
			Split: []policy.Share{{Service: "model", Weight: 1}}, Attempts: 1,
		}},
		Services:  []policy.Service{{Name: "model", ColdPerSecond: 2, ColdFor: time.Minute, Engine: &policy.Engine{EventTokens: 3}}},
		Customers: []policy.Customer{{Name: "acme", Keys: []string{"k1"}}},
	}
	f.SetPolicy(policy.Compile(p))
	self := netip.MustParseAddrPort("10.0.0.1:7000")
	f.SetSharers(fleet.Sharers{Self: self, All: []netip.AddrPort{self}, Joined: true})
	f.SetEntries(sched.Entries{Alive: 1, Known: 1})
	f.SetUpstreams([]fleet.Upstream{{ID: "i-1", Service: "model", Addr: addr, Cold: time.Minute}})
	for n := range 4 {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/plan/a", strings.NewReader("body"))
		is.NoErr(err)
		req.Host = "h.example"
		req.Header.Set("Id", "r"+strconv.Itoa(n))
		req.Header.Set("Key", "k1")
		resp, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		if n >= 2 {
			var body map[string]string
			is.NoErr(json.NewDecoder(resp.Body).Decode(&body))
			is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
			is.Equal(body["error"], "upstream_paced")
			after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
			is.NoErr(err)
			is.True(after > 0.3 && after < 2)
		}
		_ = resp.Body.Close()
	}
	is.Equal(arrivals.Load(), int64(2))
}
