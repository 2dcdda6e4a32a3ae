package front_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"dotterelgap/core/policy"

	"github.com/matryer/is"
)

// Guards against a customer's priority that is ignored: it goes before that of the route.
func TestRankOfRequests(t *testing.T) {
	urgent := 0
	for name, c := range map[string]struct {
		customer *int
		rank     string
	}{
		"route":    {rank: "true 4"},
		"customer": {customer: &urgent, rank: "true 0"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ranks := make(chan string, 1)
			f, url := startFront(t, &fakeBudgets{done: make(chan struct{}, 1)}, func(w http.ResponseWriter, r *http.Request) {
				ranks <- r.Header.Get("Rank")
				w.Header().Set("Id", r.Header.Get("Id"))
			})
			f.SetPolicy(policy.Compile(&policy.Policy{
				Number: 2,
				Routes: []policy.Route{{
					Name: "plans", Host: "h.example", Prefix: "/plan/", Kind: policy.Idempotent, Timeout: 2 * time.Second,
					Split: []policy.Share{{Service: "model", Weight: 1}}, Attempts: 1, Priority: 4,
				}},
				Services:  []policy.Service{{Name: "model", Engine: &policy.Engine{}}},
				Customers: []policy.Customer{{Name: "acme", Keys: []string{"k1"}, Priority: c.customer}},
			}))
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/plan/a", strings.NewReader("body"))
			is.NoErr(err)
			req.Host = "h.example"
			req.Header.Set("Id", "r1")
			req.Header.Set("Key", "k1")
			resp, err := http.DefaultClient.Do(req)
			is.NoErr(err)
			is.NoErr(resp.Body.Close())
			is.Equal(<-ranks, c.rank)
		})
	}
}
