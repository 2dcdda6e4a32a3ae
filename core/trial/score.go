package trial

import (
	"time"

	"dotterelgap/core/escrow"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result holds the counts and times of one run of a policy, or of several runs
// added up.
type Result struct {
	Policy   string
	Requests int
	Tokens   escrow.Tokens
	Refused  int
	// Overspend is the largest amount by which a customer's use exceeds what the
	// customer has paid.
	Overspend escrow.Tokens
	// FalseFleet counts requests that were refused although the customer's balance
	// in the whole fleet covered them. FalseReachable counts those that the
	// balance in the caller's network partition covered, as the policy had placed
	// it. FalseIdeal counts those that an ideal split of the balance between the
	// partitions covered, made with knowledge of all requests during the partition.
	FalseFleet, FalseReachable, FalseIdeal int
	// FalseFleetTokens and FalseReachableTokens are the tokens that these refused
	// requests would have used.
	FalseFleetTokens, FalseReachableTokens escrow.Tokens
	// Calls is the number of calls to control.
	Calls int
	// Wait is the time that requests waited for a decision, in microseconds.
	Wait *hdrhistogram.Histogram
	// Locked is the number of tokens that were neither billed nor usable at the
	// end.
	Locked escrow.Tokens
	// Settle is the time from an entry's death until the unused tokens of its
	// grants are available again, in milliseconds.
	Settle *hdrhistogram.Histogram
}

func newResult(policy string) *Result {
	return &Result{
		Policy: policy,
		Wait:   hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
		Settle: hdrhistogram.New(1, int64(2*time.Hour/time.Millisecond), 3),
	}
}

// FalseFleetRate returns the share of requests that were refused although the
// balance in the whole fleet covered them.
func (r *Result) FalseFleetRate() float64 { return float64(r.FalseFleet) / float64(r.Requests) }

// FalseReachableRate returns the share of requests that were refused although the
// balance in the caller's partition covered them.
func (r *Result) FalseReachableRate() float64 { return float64(r.FalseReachable) / float64(r.Requests) }

// FalseIdealRate returns the share of requests that were refused although an ideal
// split of the balance between the partitions covered them.
func (r *Result) FalseIdealRate() float64 { return float64(r.FalseIdeal) / float64(r.Requests) }

// CallsPerRequest returns the mean number of calls to control per request.
func (r *Result) CallsPerRequest() float64 { return float64(r.Calls) / float64(r.Requests) }

// Add adds another run of the same policy to r. Overspend becomes the larger of
// the two.
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
