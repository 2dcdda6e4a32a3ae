package policy

import "strings"

// Table is a compiled policy with indexes for the lookups of requests.
type Table struct {
	Number    uint64
	Limits    Limits
	routes    map[routeKey]*Route
	services  map[string]*Service
	customers map[string]*Customer
	byKey     map[string]*Customer
}

type routeKey struct {
	host, prefix string
}

// Compile builds the table of a policy that Check accepted.
func Compile(p *Policy) *Table {
	t := &Table{
		Number:    p.Number,
		Limits:    p.Limits,
		routes:    make(map[routeKey]*Route, len(p.Routes)),
		services:  make(map[string]*Service, len(p.Services)),
		customers: make(map[string]*Customer, len(p.Customers)),
		byKey:     make(map[string]*Customer, len(p.Customers)),
	}
	for i := range p.Routes {
		r := &p.Routes[i]
		t.routes[keyOf(*r)] = r
	}
	for i := range p.Services {
		t.services[p.Services[i].Name] = &p.Services[i]
	}
	for i := range p.Customers {
		c := &p.Customers[i]
		t.customers[c.Name] = c
		for _, k := range c.Keys {
			t.byKey[k] = c
		}
	}
	return t
}

// keyOf returns the key of a route. Hosts that differ only in the letter case are the same.
func keyOf(r Route) routeKey { return routeKey{strings.ToLower(r.Host), r.Prefix} }

// Route returns the route with the longest prefix of path. It ignores the port and
// the letter case of host.
func (t *Table) Route(host, path string) (*Route, bool) {
	host = hostName(host)
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return nil, false
		}
		if r, ok := t.routes[routeKey{host, path[:slash+1]}]; ok {
			return r, true
		}
		end = slash
	}
	return nil, false
}

func hostName(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// Service returns the service with the given name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Customer returns the customer who owns an API key.
func (t *Table) Customer(key string) (*Customer, bool) {
	c, ok := t.byKey[key]
	return c, ok
}

// HasCustomers reports whether the policy has customers. If so, requests to routes
// that are not public need an API key.
func (t *Table) HasCustomers() bool {
	return len(t.customers) > 0
}

// Prepaid returns the prepaid tokens of all customers that have a limit, by name.
func (p *Policy) Prepaid() map[string]int64 {
	out := map[string]int64{}
	for _, c := range p.Customers {
		if c.Prepaid != nil {
			out[c.Name] = *c.Prepaid
		}
	}
	return out
}
