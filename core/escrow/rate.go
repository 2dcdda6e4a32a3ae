package escrow

import (
	"math"
	"time"
)

// rate estimates a demand per second with exponential decay. While it is
// young it divides by its age, so that a first burst is not taken as the rule.
type rate struct {
	halfLife time.Duration
	sum      float64
	at       time.Time
	since    time.Time
}

func (r *rate) decay(now time.Time) {
	dt := now.Sub(r.at)
	if dt <= 0 {
		return
	}
	r.sum *= math.Exp2(-dt.Seconds() / r.halfLife.Seconds())
	r.at = now
}

func (r *rate) add(now time.Time, n float64) {
	r.decay(now)
	r.sum += n
}

func (r *rate) perSecond(now time.Time) float64 {
	r.decay(now)
	age := max(now.Sub(r.since).Seconds(), 1)
	tau := r.halfLife.Seconds() / math.Ln2
	return r.sum / (tau * (1 - math.Exp(-age/tau)))
}
