package quota

import (
	"fmt"
	"time"
)

// Reason says why a request's worst case was not reserved.
type Reason string

// The reasons for a refusal. All of them mean that nothing ran.
const (
	// Exhausted: what the customer has left over all holders does not cover it.
	Exhausted Reason = "budget_exhausted"
	// Elsewhere: the customer has tokens left, but not enough of them here.
	Elsewhere Reason = "budget_elsewhere"
	// Unknown: the control group has not said yet what the customer has.
	Unknown Reason = "budget_unknown"
)

// RefusedError says that a holder could not reserve a request's worst case, and
// what it knew when it decided so.
type RefusedError struct {
	Reason   Reason
	Customer string
	Worst    Tokens
	// Spent and Reserved are the holder's use; CutoffLimit and Granted its allowance.
	Spent, Reserved, CutoffLimit, Granted Tokens
	// Unspent is what the customer had left over all holders, Age ago.
	Unspent Tokens
	Age     time.Duration
	// RetryIn is when enough of what was granted opens, if no answer comes before; 0
	// if it is open now, or not enough was granted.
	RetryIn time.Duration
	// CutOff is set where all that was granted may be used, since no answer comes.
	CutOff bool
	// Raisable is set where the tokens are here and only a witness's record is
	// missing.
	Raisable bool
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("%s: %q needs %d; spent %d, reserved %d, mark %d, granted %d, unspent %d, %s old, cut off %t",
		e.Reason, e.Customer, e.Worst, e.Spent, e.Reserved, e.CutoffLimit, e.Granted, e.Unspent, e.Age.Round(time.Millisecond), e.CutOff)
}
