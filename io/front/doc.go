// Package front serves callers over HTTP and passes their requests on to
// upstreams directly. It reads policy, upstreams and budgets from its
// dependencies and leaves the decisions to core/sched and core/quota.
//
// A request is read whole before it is passed on, so that it can be sent on
// exactly as it came. Its method, target and body go out byte for byte. The
// headers that steer the exchange are the product's to set; a Dialect names them.
//
// # Usage
//
//	f := front.Start(front.Deps{Log: log, Listener: ln, Dialect: d, Budgets: h, Conns: pool, Balancer: b})
//	f.SetPolicy(table)
//	f.SetUpstreams(ups)
//	defer f.Close(ctx)
package front
