// Package fleet names the members of the system: processes, their roles and
// the places they run in.
//
// # Usage
//
//	n := fleet.Node{ID: fleet.NewNodeID(fleet.RoleEntry, rnd), Role: fleet.RoleEntry, Place: "sialkot"}
//	r := fleet.NewRoster()
//	r.Join(n)
//
// A NodeID names one life of a process. A restarted process takes a new one, so
// nothing that was promised by the earlier life is expected of the later one.
package fleet
