// Package demand estimates the rate of a demand, such as tokens per second.
//
// # Usage
//
//	r := demand.NewRate(3*time.Second, now)
//	r.Add(now, 900)
//	perSecond := r.PerSecond(now)
package demand

import (
	"math"
	"time"
)

// Rate estimates a demand per second as an exponentially decaying average. A new
// estimate is divided by its age, of at least one second, instead of the averaging time,
// so that a first burst is not mistaken for a steady rate.
type Rate struct {
	halfLife time.Duration
	sum      float64
	at       time.Time
	since    time.Time
}

// NewRate returns an estimate that starts at now, without any demand.
func NewRate(halfLife time.Duration, now time.Time) Rate {
	return Rate{halfLife: halfLife, at: now, since: now}
}

func (r *Rate) decay(now time.Time) {
	dt := now.Sub(r.at)
	if dt <= 0 {
		return
	}
	r.sum *= math.Exp2(-dt.Seconds() / r.halfLife.Seconds())
	r.at = now
}

// seededAge is the age of a seeded estimate, in half-lives. At this age the correction
// for new estimates is negligible.
const seededAge = 8

// Seed replaces the estimate with a rate that is already known.
func (r *Rate) Seed(now time.Time, perSecond float64) {
	r.at = now
	r.since = now.Add(-seededAge * r.halfLife)
	r.sum = perSecond * r.halfLife.Seconds() / math.Ln2
}

// Add adds a demand of n.
func (r *Rate) Add(now time.Time, n float64) {
	r.decay(now)
	r.sum += n
}

// PerSecond returns the estimated demand per second.
func (r *Rate) PerSecond(now time.Time) float64 {
	r.decay(now)
	age := max(now.Sub(r.since).Seconds(), 1)
	tau := r.halfLife.Seconds() / math.Ln2
	return r.sum / (tau * (1 - math.Exp(-age/tau)))
}
