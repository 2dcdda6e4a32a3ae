// Package policy defines the routing policy that an operator publishes for entries
// that call upstreams directly: routes by host and path prefix, services, limits on
// callers, and customers with their API keys and prepaid budgets.
//
// A Policy is checked once and compiled into an immutable Table, which serves the
// lookups of requests.
//
// # Usage
//
//	if err := p.Check(); err != nil { ... }
//	t := policy.Compile(p)
//	r, ok := t.Route("shop.example", "/orders/7")
//	c, ok := t.Customer(key)
package policy
