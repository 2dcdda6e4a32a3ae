// Package engine implements stand-ins for the upstreams: a model engine with the
// chat/completions API and a limited number of concurrent requests, and a plain
// service with calls that must not be repeated. The dev command, tests and load
// runs use them. They do not interpret prompts.
//
// # Usage
//
//	e := engine.NewModel(engine.DefaultOptions())
//	http.Serve(ln, e)
package engine
