// Package engine is a stand-in for the upstreams: a model engine of the common
// chat/completions shape with continuous batching and a prefix cache, and a
// plain service with calls that must not be repeated. It serves the laptop mode,
// tests and load runs; it makes no sense of any prompt.
//
// # Usage
//
//	e := engine.NewModel(engine.DefaultOptions())
//	http.Serve(ln, e)
package engine
