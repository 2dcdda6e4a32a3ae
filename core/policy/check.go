package policy

import (
	"fmt"
	"strings"
)

// InvalidError lists all problems of an invalid policy.
type InvalidError struct {
	Problems []string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return "invalid policy: " + strings.Join(e.Problems, "; ")
}

// Check returns an *InvalidError that lists every problem of the policy, or nil if it
// is valid.
func (p *Policy) Check() error {
	c := &checker{services: map[string]bool{}}
	if p.Number == 0 {
		c.addProblem("the version is missing or 0")
	}
	for _, s := range p.Services {
		c.service(s)
	}
	seen := map[routeKey]bool{}
	for _, r := range p.Routes {
		c.route(r)
		key := keyOf(r)
		if seen[key] {
			c.addProblem("route %q has the host and prefix of another route", r.Name)
		}
		seen[key] = true
	}
	c.customers(p.Customers)
	if len(c.problems) > 0 {
		return &InvalidError{Problems: c.problems}
	}
	return nil
}

type checker struct {
	services map[string]bool
	problems []string
}

func (c *checker) addProblem(format string, args ...any) {
	c.problems = append(c.problems, fmt.Sprintf(format, args...))
}

func (c *checker) service(s Service) {
	if s.Name == "" {
		c.addProblem("a service has no name")
	}
	if c.services[s.Name] {
		c.addProblem("service %q is given twice", s.Name)
	}
	c.services[s.Name] = true
}

func (c *checker) route(r Route) {
	if r.Host == "" {
		c.addProblem("route %q has no host", r.Name)
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		c.addProblem("route %q: the prefix %q must begin and end with a slash", r.Name, r.Prefix)
	}
	if r.Timeout <= 0 {
		c.addProblem("route %q: the timeout must be above 0", r.Name)
	}
	switch r.Kind {
	case Idempotent, Once, Stream:
	default:
		c.addProblem("route %q: unknown kind %q", r.Name, r.Kind)
	}
	total := 0
	for _, s := range r.Split {
		if !c.services[s.Service] {
			c.addProblem("route %q names the unknown service %q", r.Name, s.Service)
		}
		if s.Weight < 0 {
			c.addProblem("route %q: a weight is below 0", r.Name)
		}
		total += s.Weight
	}
	if total <= 0 {
		c.addProblem("route %q: the weights add up to %d", r.Name, total)
	}
}

func (c *checker) customers(all []Customer) {
	names := map[string]bool{}
	ownerOf := map[string]string{}
	for _, cu := range all {
		if cu.Name == "" {
			c.addProblem("a customer has no name")
		}
		if names[cu.Name] {
			c.addProblem("customer %q is given twice", cu.Name)
		}
		names[cu.Name] = true
		if cu.Prepaid != nil && *cu.Prepaid < 0 {
			c.addProblem("customer %q: the prepaid amount is below 0", cu.Name)
		}
		for _, k := range cu.Keys {
			if other, ok := ownerOf[k]; ok && other != cu.Name {
				c.addProblem("customers %q and %q share a key", other, cu.Name)
			}
			ownerOf[k] = cu.Name
		}
	}
}
