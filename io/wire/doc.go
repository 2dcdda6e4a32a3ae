// Package wire connects the processes of the system. It serves net/rpc calls and HTTP
// streams on one TCP listener, with mutual TLS if keys are set.
//
// net/rpc has neither deadlines nor cancellation: when Pool.Call gives up, the peer may
// still execute the call, and its outcome is unknown. Every call that changes state has an
// id, so that it can be retried.
//
// # Usage
//
//	srv, err := wire.Listen(wire.Params{Addr: addr, TLS: keys, Log: log})
//	srv.Register("Agent", service)
//	pool := wire.NewPool(keys)
//	err = pool.Call(ctx, addr, "Agent.Claim", &args, &reply)
package wire
