// Package runs decides for an agent which attempts start, which attach to an
// existing run and which are refused. It keeps finished runs for replay.
//
// A refused attempt did not run at this agent and never will; ReasonExpired is
// the only exception. To guarantee this, the machine remembers the attempts that
// it was asked to resolve.
//
// # Usage
//
//	m := runs.New(meter, runs.DefaultLimits())
//	d := m.Admit(now, spec)
//	switch d.Action { case runs.Start: ...; case runs.Attach: ...; case runs.Refuse: ... }
package runs
