package front_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"dotterelgap/core/fleet"
	"dotterelgap/core/policy"

	"github.com/matryer/is"
)

// Guards against callers of a request that the operators' orders keep from all upstreams being told
// another reason, or that it is worth coming back at once.
func TestBarredRequests(t *testing.T) {
	for name, c := range map[string]struct {
		regions    []fleet.Region
		evacuated  []fleet.Place
		status     int
		retryAfter string
	}{
		"neither":         {status: http.StatusOK},
		"evacuated":       {evacuated: []fleet.Place{"a"}, status: http.StatusServiceUnavailable, retryAfter: "3.00"},
		"outside regions": {regions: []fleet.Region{"north"}, status: http.StatusServiceUnavailable, retryAfter: "60.00"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Id", r.Header.Get("Id"))
				_, _ = io.WriteString(w, event(1))
			}))
			defer upstream.Close()
			f, url := startFront(t, ampleBudgets{}, nil)
			p := testDocument()
			p.Number++
			p.Customers[0].Regions = c.regions
			f.SetPolicy(policy.Compile(p))
			addr := netip.MustParseAddrPort(strings.TrimPrefix(upstream.URL, "http://"))
			f.SetUpstreams([]fleet.Upstream{{ID: "i-1", Service: "model", Addr: addr, Place: "a"}})
			f.SetEvacuations(fleet.Evacuations{Number: 1, Places: c.evacuated})
			resp := sendPrompt(t, url, "r1", "a")
			is.Equal(resp.StatusCode, c.status)
			is.Equal(resp.Header.Get("Retry-After"), c.retryAfter)
		})
	}
}
