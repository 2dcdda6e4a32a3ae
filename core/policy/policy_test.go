package policy_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"dotterelgap/core/policy"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func validPolicy() *policy.Policy {
	paid := int64(1000)
	return &policy.Policy{
		Number: 7,
		Routes: []policy.Route{
			{Name: "plan", Host: "a.example", Prefix: "/plan/", Kind: policy.Stream, Timeout: time.Second, Split: []policy.Share{{Service: "model", Weight: 9}, {Service: "desk", Weight: 1}}},
			{Name: "order", Host: "a.example", Prefix: "/order/", Kind: policy.Once, Timeout: time.Second, Split: []policy.Share{{Service: "desk", Weight: 1}}},
		},
		Services:  []policy.Service{{Name: "model"}, {Name: "desk"}},
		Customers: []policy.Customer{{Name: "multan", Keys: []string{"k1", "k2"}, Prepaid: &paid}, {Name: "tiny", Keys: []string{"k3"}}},
	}
}

var mutations = map[string]func(*policy.Policy){
	"unknown_service": func(p *policy.Policy) { p.Routes[1].Split[0].Service = "nowhere" },
	"same_place":      func(p *policy.Policy) { p.Routes[1].Prefix = p.Routes[0].Prefix },
	"same_host": func(p *policy.Policy) {
		p.Routes[1].Host, p.Routes[1].Prefix = strings.ToUpper(p.Routes[0].Host), p.Routes[0].Prefix
	},
	"no_weight":       func(p *policy.Policy) { p.Routes[1].Split[0].Weight = 0 },
	"negative_weight": func(p *policy.Policy) { p.Routes[0].Split[1].Weight = -1 },
	"no_timeout":      func(p *policy.Policy) { p.Routes[0].Timeout = 0 },
	"shared_key":      func(p *policy.Policy) { p.Customers[1].Keys = []string{"k1"} },
	"no_version":      func(p *policy.Policy) { p.Number = 0 },
	"open_prefix":     func(p *policy.Policy) { p.Routes[0].Prefix = "/plan" },
	"unknown_kind":    func(p *policy.Policy) { p.Routes[0].Kind = "sometimes" },
	"same_customer":   func(p *policy.Policy) { p.Customers[1].Name = "multan" },
}

func TestCheck(t *testing.T) {
	is := is.New(t)
	is.NoErr(validPolicy().Check())
	data, err := os.ReadFile("testdata/invalid.json")
	is.NoErr(err)
	var cases []struct{ Name, Change, Want string }
	is.NoErr(json.Unmarshal(data, &cases))
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			p := validPolicy()
			mutations[c.Change](p)
			var invalid *policy.InvalidError
			is.True(errors.As(p.Check(), &invalid))
			is.Equal(len(invalid.Problems), 1)
			is.True(strings.Contains(invalid.Problems[0], c.Want))
		})
	}
}

// TestCheckNamesAll checks that one call reports every problem.
func TestCheckNamesAll(t *testing.T) {
	is := is.New(t)
	p := validPolicy()
	for _, name := range []string{"unknown_service", "no_timeout", "shared_key", "no_version"} {
		mutations[name](p)
	}
	var invalid *policy.InvalidError
	is.True(errors.As(p.Check(), &invalid))
	is.Equal(len(invalid.Problems), 4)
}

// TestRoute compares Table.Route with a linear search through all routes.
func TestRoute(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		part := rapid.SampledFrom([]string{"a", "b", "", "ab"})
		prefix := rapid.Custom(func(t *rapid.T) string {
			s := "/"
			for range rapid.IntRange(0, 3).Draw(t, "parts") {
				s += part.Draw(t, "part") + "/"
			}
			return s
		})
		host := rapid.SampledFrom([]string{"x.example", "y.example"})
		p := &policy.Policy{Number: 1}
		seen := map[string]bool{}
		for i := range rapid.IntRange(1, 8).Draw(t, "routes") {
			r := policy.Route{Name: fmt.Sprint(i), Host: host.Draw(t, "host"), Prefix: prefix.Draw(t, "prefix")}
			if !seen[r.Host+r.Prefix] {
				seen[r.Host+r.Prefix] = true
				p.Routes = append(p.Routes, r)
			}
		}
		h, path := host.Draw(t, "requested host"), prefix.Draw(t, "requested path")+part.Draw(t, "rest")
		var want *policy.Route
		for i, r := range p.Routes {
			if r.Host == h && strings.HasPrefix(path, r.Prefix) && (want == nil || len(r.Prefix) > len(want.Prefix)) {
				want = &p.Routes[i]
			}
		}
		got, ok := policy.Compile(p).Route(strings.ToUpper(h)+":8080", path)
		if ok != (want != nil) || (ok && got.Name != want.Name) {
			t.Fatalf("%s%s: got %v, want %v", h, path, got, want)
		}
	})
}

// TestSplit checks that requests are split by the weights and that the same request
// always goes to the same service.
func TestSplit(t *testing.T) {
	is := is.New(t)
	r := validPolicy().Routes[0]
	count := map[string]int{}
	for i := range uint64(1000) {
		count[r.Service(i*2654435761)]++
		is.Equal(r.Service(i), r.Service(i))
	}
	is.True(count["desk"] > 60 && count["desk"] < 140) // 100 of 1000 by weight
	is.Equal(count["desk"]+count["model"], 1000)
}

func TestCustomer(t *testing.T) {
	is := is.New(t)
	table := policy.Compile(validPolicy())
	c, ok := table.Customer("k2")
	is.True(ok)
	is.Equal(c.Name, "multan")
	_, ok = table.Customer("k9")
	is.True(!ok)
	_, ok = table.Customer("")
	is.True(!ok)
}
