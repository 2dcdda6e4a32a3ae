// Package runs decides, at an agent, which work starts, which joins a run that
// exists, and which is refused; and it keeps finished runs for replay.
//
// A refusal is a promise: the attempt did not run here and never will. The
// machine keeps it by remembering the attempts that it was asked to resolve.
//
// # Usage
//
//	m := runs.New(meter, runs.DefaultLimits())
//	d := m.Admit(now, spec)
//	switch d.Action { case runs.Start: ...; case runs.Attach: ...; case runs.Refuse: ... }
package runs
