// Package front serves callers over HTTP and forwards their requests directly to
// upstreams. It gets the policy, the upstreams and the budgets from its
// dependencies; core/sched chooses upstreams and core/quota decides on budgets.
//
// A request is read in full before it is forwarded, so that it can be sent exactly
// as it arrived. Its method, target and body are forwarded byte for byte.
// The front itself sets the headers that control the exchange with an upstream;
// a Dialect names them.
//
// # Usage
//
//	f := front.Start(front.Deps{Log: log, Listener: ln, Dialect: d, Budgets: b, Conns: pool, ...})
//	f.SetPolicy(table)
//	f.SetUpstreams(ups)
//	defer f.Close(ctx)
package front
