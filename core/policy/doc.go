// Package policy holds what an operator publishes for entries that call
// upstreams directly: routes by host and path prefix, services, limits on
// callers, and customers with their keys and prepaid budgets.
//
// A Policy is checked once, in full, and compiled into a Table that never
// changes afterwards. Requests only read the table.
//
// # Usage
//
//	if err := p.Check(); err != nil { ... }
//	t := policy.Compile(p)
//	r, ok := t.Route("shop.example", "/orders/7")
//	c, ok := t.Customer(key)
package policy
