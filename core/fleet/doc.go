// Package fleet describes the members of the system: nodes with their roles and
// places, and the upstreams that they use.
//
// # Usage
//
//	n := fleet.Node{ID: fleet.NewNodeID(fleet.RoleEntry, rnd), Role: fleet.RoleEntry, Place: "sialkot"}
//	p := fleet.NewPresence(3 * time.Second)
//	p.Reset(now)
//	p.Heartbeat(now, n, config)
//
// A NodeID identifies one incarnation of a process. A restarted process gets a new
// id, so it is not bound by the promises of earlier incarnations.
package fleet
