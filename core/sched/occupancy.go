package sched

import "time"

// fallGain and riseGain are the weights of a sample below and above the estimate of the time for
// which a request takes a place: the longer ones include delays at a node or its link.
const fallGain, riseGain = 0.2, 0.02

// occupancy is the estimated time for which a request takes a place of its upstream; 0 before the
// first sample.
type occupancy time.Duration

// time returns the estimate.
func (o occupancy) time() time.Duration {
	if o == 0 {
		return nominalService
	}
	return time.Duration(o)
}

// observe updates the estimate from a response, or from the estimate of another node.
func (o *occupancy) observe(took time.Duration) {
	at := time.Duration(*o)
	switch {
	case took <= 0:
	case at == 0:
		*o = occupancy(took)
	case took < at:
		*o += occupancy(scale(took-at, fallGain))
	default:
		*o += occupancy(scale(min(took, maxServiceRise*at)-at, riseGain))
	}
}
