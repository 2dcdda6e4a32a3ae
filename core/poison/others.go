package poison

import "slices"

// others are the parts, besides a suspect, that may have caused all of its crashes instead:
// in each crash, some request contained them together with the suspect. Parts that were
// answered are removed.
type others struct {
	parts []uint64 // ascending
	// crash is the latest crash, and before what was possible before it. If it is the first
	// crash, anything was possible.
	crash   uint64
	before  []uint64
	crashes int
}

// add adds the other parts of a request that failed in a crash.
func (o *others) add(crash uint64, parts []uint64) {
	switch {
	case o.crashes == 0:
		o.parts, o.crash, o.crashes = parts, crash, 1
	case crash != o.crash:
		o.before = o.parts
		o.parts = intersect(o.before, parts)
		o.crash = crash
		o.crashes++
	case o.crashes == 1:
		o.parts = union(o.parts, parts)
	default:
		o.parts = union(o.parts, intersect(o.before, parts))
	}
}

// remove removes a part that was answered.
func (o *others) remove(part uint64) {
	o.parts = without(o.parts, part)
	o.before = without(o.before, part)
}

// without returns the parts except one, in ascending order and each once.
func without(parts []uint64, part uint64) []uint64 {
	var out []uint64
	for _, p := range parts {
		if p != part {
			out = append(out, p)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

func intersect(a, b []uint64) []uint64 {
	var out []uint64
	for _, p := range a {
		if slices.Contains(b, p) {
			out = append(out, p)
		}
	}
	return out
}

func union(a, b []uint64) []uint64 {
	out := append(slices.Clone(a), b...)
	slices.Sort(out)
	return slices.Compact(out)
}
