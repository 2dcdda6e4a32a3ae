// Package agent implements the agent, a process that runs beside one upstream. It
// sends heartbeats for the upstream, admits or refuses attempts, runs and meters
// them, keeps their responses for replay, is a witness of grants, and forwards
// operators' orders to the engine.
//
// A run belongs to the agent, not to the entry that requested it. It continues if
// the entry fails, so that a retry can attach to it.
//
// # Usage
//
//	a, err := agent.Start(agent.Deps{Log: log, Server: srv, ...})
//	defer a.Close(ctx)
package agent
