package trial

import (
	"time"

	"dotterelgap/core/escrow"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is what a policy came to in one run.
type Result struct {
	Policy   string
	Requests int
	Tokens   escrow.Tokens
	Refused  int
	// Overspend is the largest excess of true spend over what was paid.
	Overspend escrow.Tokens
	// FalseFleet counts refusals that the customer's true balance over the
	// whole fleet would have covered; FalseReachable those that what lies on the
	// caller's side of the cut would have covered; FalseIdeal those that an
	// ideal split, made with knowledge of the coming demand, would have covered.
	FalseFleet, FalseReachable, FalseIdeal int
	FalseFleetTokens, FalseReachableTokens escrow.Tokens
	// Calls counts calls to control.
	Calls int
	// Wait is the time that requests waited for tokens, in microseconds.
	Wait *hdrhistogram.Histogram
	// Locked is what was neither billed nor usable at the end.
	Locked escrow.Tokens
	// Settle is how long dead entries' grants stayed away, in milliseconds.
	Settle *hdrhistogram.Histogram
}

func newResult(policy string) *Result {
	return &Result{
		Policy: policy,
		Wait:   hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
		Settle: hdrhistogram.New(1, int64(2*time.Hour/time.Millisecond), 3),
	}
}

// FalseFleetRate is the share of requests that were refused wrongly, counted over
// the whole fleet.
func (r *Result) FalseFleetRate() float64 { return float64(r.FalseFleet) / float64(r.Requests) }

// FalseReachableRate is the same, counted on the caller's side of the cut.
func (r *Result) FalseReachableRate() float64 { return float64(r.FalseReachable) / float64(r.Requests) }

// FalseIdealRate is the same, counted against an ideal split over the cut.
func (r *Result) FalseIdealRate() float64 { return float64(r.FalseIdeal) / float64(r.Requests) }

// CallsPerRequest is the number of control calls per request.
func (r *Result) CallsPerRequest() float64 { return float64(r.Calls) / float64(r.Requests) }

// Add sums up two runs of one policy.
func (r *Result) Add(o *Result) {
	r.Requests += o.Requests
	r.Tokens += o.Tokens
	r.Refused += o.Refused
	r.Overspend = max(r.Overspend, o.Overspend)
	r.FalseFleet += o.FalseFleet
	r.FalseReachable += o.FalseReachable
	r.FalseIdeal += o.FalseIdeal
	r.FalseFleetTokens += o.FalseFleetTokens
	r.FalseReachableTokens += o.FalseReachableTokens
	r.Calls += o.Calls
	r.Locked += o.Locked
	r.Wait.Merge(o.Wait)
	r.Settle.Merge(o.Settle)
}
