package gossip

import "dotterelgap/core/fleet"

// SetEvacuations records the evacuated places, as the control group has them, unless newer
// ones are known. A change is urgent.
func (m *Machine) SetEvacuations(e fleet.Evacuations) {
	if m.putEvacuations(e) {
		m.urgent = true
	}
}

// putEvacuations stores the evacuated places if they are newer, and reports whether it did.
func (m *Machine) putEvacuations(e fleet.Evacuations) bool {
	if !e.Newer(m.evacuations) {
		return false
	}
	m.evacuations = e
	m.version++
	return true
}

// Evacuations returns the evacuated places with the highest number that the node knows.
func (m *Machine) Evacuations() fleet.Evacuations { return m.evacuations }
