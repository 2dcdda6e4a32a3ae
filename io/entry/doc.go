// Package entry runs the process that callers talk to: it checks their keys,
// reserves budget, chooses an upstream, and passes the answer on, whole or with
// a clear word that it is not.
//
// # Usage
//
//	e, err := entry.Start(entry.Deps{Log: log, Server: srv, Listener: ln, ...})
//	left, err := e.Close(ctx)
package entry
