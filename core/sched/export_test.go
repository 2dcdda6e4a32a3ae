package sched

import "time"

// ReturnedAt returns when an evacuation of the upstream's place was withdrawn.
func (b *Balancer) ReturnedAt(id string) time.Time { return b.targets[id].returnedAt }

// PaceOf returns the rate of this node's requests to an upstream, and 0 if it is not paced.
func (b *Balancer) PaceOf(id string) float64 {
	if t, ok := b.targets[id]; ok && t.pace != nil {
		return t.pace.Rate()
	}
	return 0
}
