package quota

import (
	"fmt"
	"time"
)

// Reason says why the worst case of a request was not reserved.
type Reason string

// The reasons for a refusal. With any of them, the request did not run.
const (
	// Exhausted means that what the customer has left over all holders does not cover
	// the request.
	Exhausted Reason = "budget_exhausted"
	// Elsewhere means that the customer has tokens left, but not enough of them at this
	// holder.
	Elsewhere Reason = "budget_elsewhere"
	// Unknown means that the control group has not replied yet with what the customer
	// has.
	Unknown Reason = "budget_unknown"
)

// RefusedError is returned when a holder can't reserve the worst case of a request. It
// holds what the holder knew at that time.
type RefusedError struct {
	Reason   Reason
	Customer string
	Worst    Tokens
	// Spent is what the holder has spent, and Reserved the worst cases of its other requests in
	// progress, or only of those that have begun if this one could not begin. CutoffLimit and
	// Granted are its allocation.
	Spent, Reserved, CutoffLimit, Granted Tokens
	// Unspent is what the customer had left over all holders, Age ago.
	Unspent Tokens
	Age     time.Duration
	// RetryIn is the time until enough of what was granted opens if no reply comes
	// before. It is 0 if enough is open now, or if not enough was granted.
	RetryIn time.Duration
	// CutOff is set if no reply has come for Options.CutOff, after which all that was
	// granted opens gradually.
	CutOff bool
	// Raisable is set if this holder has the tokens and only a witness's record is
	// missing.
	Raisable bool
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("%s: %q needs %d; spent %d, reserved %d, cutoff limit %d, granted %d, unspent %d, %s old, past cutoff %t",
		e.Reason, e.Customer, e.Worst, e.Spent, e.Reserved, e.CutoffLimit, e.Granted, e.Unspent, e.Age.Round(time.Millisecond), e.CutOff)
}
