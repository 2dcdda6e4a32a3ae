package policy

import "strings"

// Table is a policy as requests read it.
type Table struct {
	Number    uint64
	Limits    Limits
	routes    map[place]*Route
	services  map[string]*Service
	customers map[string]*Customer
	byKey     map[string]*Customer
}

type place struct {
	host, prefix string
}

// Compile builds the table of a checked policy.
func Compile(p *Policy) *Table {
	t := &Table{
		Number:    p.Number,
		Limits:    p.Limits,
		routes:    make(map[place]*Route, len(p.Routes)),
		services:  make(map[string]*Service, len(p.Services)),
		customers: make(map[string]*Customer, len(p.Customers)),
		byKey:     make(map[string]*Customer, len(p.Customers)),
	}
	for i := range p.Routes {
		r := &p.Routes[i]
		t.routes[place{strings.ToLower(r.Host), r.Prefix}] = r
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

// Route finds the route with the longest prefix of path. Port and letter case
// of the host don't count.
func (t *Table) Route(host, path string) (*Route, bool) {
	host = hostName(host)
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return nil, false
		}
		if r, ok := t.routes[place{host, path[:slash+1]}]; ok {
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

// Service returns a service by its name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Customer finds who holds a key.
func (t *Table) Customer(key string) (*Customer, bool) {
	c, ok := t.byKey[key]
	return c, ok
}

// HasCustomers tells whether requests need a key.
func (t *Table) HasCustomers() bool {
	return len(t.customers) > 0
}

// Prepaid lists the customers' prepaid tokens; those without a bound are left out.
func (p *Policy) Prepaid() map[string]int64 {
	out := map[string]int64{}
	for _, c := range p.Customers {
		if c.Prepaid != nil {
			out[c.Name] = *c.Prepaid
		}
	}
	return out
}
