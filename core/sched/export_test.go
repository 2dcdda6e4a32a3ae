package sched

import "time"

// ReturnedAt returns when an evacuation of the upstream's place was withdrawn.
func (b *Balancer) ReturnedAt(id string) time.Time { return b.targets[id].returnedAt }
