// Package entry implements the process that serves callers over HTTP. It checks
// their keys, reserves budget, chooses an upstream and forwards the response. A
// response that is not complete is marked as such.
//
// # Usage
//
//	e, err := entry.Start(entry.Deps{Log: log, Server: srv, Listener: ln, ...})
//	left, err := e.Close(ctx)
package entry
