package fleet

import "slices"

// Evacuations are the places to whose upstreams nothing is sent, by order of the operators.
type Evacuations struct {
	// Number increases with each change. The set with the highest number is in force.
	Number uint64  `cbor:"number"`
	Places []Place `cbor:"places"`
}

// Contains reports whether a place is evacuated.
func (e Evacuations) Contains(p Place) bool { return slices.Contains(e.Places, p) }

// Newer reports whether e replaces f.
func (e Evacuations) Newer(f Evacuations) bool { return e.Number > f.Number }
