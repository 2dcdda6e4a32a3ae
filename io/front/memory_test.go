package front_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"dotterelgap/core/fleet"
	"dotterelgap/core/policy"
	"dotterelgap/core/sched"

	"github.com/matryer/is"
)

// Guards against a request being sent to an engine whose memory has no room for it: it is rejected
// at once, and can come back unless no engine could ever hold it. The prompts have 900 tokens, and
// up to 90 are generated.
func TestRequestWithoutMemory(t *testing.T) {
	for name, c := range map[string]struct {
		memory, second int
		never          bool // no engine can ever hold the prompt
	}{
		"room for two":  {memory: 10_000, second: http.StatusOK},
		"room for one":  {memory: 1500, second: http.StatusServiceUnavailable},
		"room for none": {memory: 900, second: http.StatusServiceUnavailable, never: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			opts := sched.DefaultOptions()
			opts.GuardMemory = true
			d := startDeskWith(t, dialect(), opts)
			d.front.SetPolicy(policy.Compile(&policy.Policy{
				Number: 2,
				Routes: []policy.Route{{
					Name: "plans", Host: "h.example", Prefix: "/pay/", Kind: policy.Idempotent, Timeout: 30 * time.Second,
					Split: []policy.Share{{Service: "model", Weight: 1}}, Attempts: 1, Public: true,
				}},
				Services: []policy.Service{{Name: "model", Engine: &policy.Engine{Slots: 8, KVTokens: c.memory, EventTokens: 3}}},
			}))
			d.front.SetUpstreams([]fleet.Upstream{{ID: "i-1", Service: "model", Addr: d.addr}})
			type answer struct {
				status     int
				retryAfter string
			}
			ask := func(id string) <-chan answer {
				got := make(chan answer, 1)
				go func() {
					var a answer
					a.status, a.retryAfter = d.ask(t.Context(), id, "20s")
					got <- a
				}()
				return got
			}
			if c.never {
				a := <-ask("r0")
				is.Equal(a, answer{status: c.second})
				return
			}
			first := ask("r1")
			<-d.arrived
			second := ask("r2")
			if c.second == http.StatusOK {
				<-d.arrived
				d.finish <- struct{}{}
			} else {
				a := <-second
				is.Equal(a.status, c.second)
				is.True(a.retryAfter != "")
			}
			d.finish <- struct{}{}
			is.Equal((<-first).status, http.StatusOK)
			for n := range 3 { // its memory is free again
				later := ask(fmt.Sprint("later", n))
				<-d.arrived
				d.finish <- struct{}{}
				is.Equal((<-later).status, http.StatusOK)
			}
		})
	}
}
