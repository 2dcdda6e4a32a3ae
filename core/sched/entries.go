package sched

// Entries counts the entries that share what one of them can't decide alone: a service's retry
// budget, and the limits of upstreams.
type Entries struct {
	// Alive are those that this entry hears, including itself.
	Alive int
	// Known are those that have not left, including those that may be on the other side of a
	// partition. If each side counted only its own entries, each would use the whole.
	Known int
}

// known returns the number of entries that may use a part.
func (e Entries) known() int { return max(e.Known, e.Alive, 1) }

// Burst returns this entry's part of a burst.
func (e Entries) Burst(burst float64) float64 { return burst / float64(e.known()) }

// Side returns the share of the entries that this one hears.
func (e Entries) Side() float64 { return float64(max(e.Alive, 1)) / float64(e.known()) }
