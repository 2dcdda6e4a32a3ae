// Package agent runs the process beside an upstream. It announces the upstream,
// admits or refuses each attempt, runs it, meters it, keeps the answer for
// replay, witnesses grants, and carries orders to the engine.
//
// A run belongs to the agent, not to the entry that asked for it: it goes on
// when the entry dies, so that a retry can join it.
//
// # Usage
//
//	a, err := agent.Start(agent.Deps{Log: log, Server: srv, ...})
//	defer a.Close(ctx)
package agent
