// Package wire connects the system's own processes: net/rpc calls and HTTP
// streams over one TCP listener, with mutual TLS where keys are set.
//
// net/rpc has neither deadline nor cancel, so a Client gives up on its side and
// the outcome of the call stays unknown. Every mutating call carries an id.
//
// # Usage
//
//	srv, err := wire.Listen(wire.Params{Addr: addr, TLS: keys, Log: log})
//	srv.Register("Agent", service)
//	pool := wire.NewPool(keys)
//	err = pool.Call(ctx, addr, "Agent.Claim", &args, &reply)
package wire
