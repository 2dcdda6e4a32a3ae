package ledger

import (
	"fmt"

	"dotterelgap/core/escrow"
)

// UnknownCustomerError is returned if a customer does not exist.
type UnknownCustomerError struct {
	Customer string
}

// Error implements error.
func (e *UnknownCustomerError) Error() string {
	return fmt.Sprintf("customer %q does not exist", e.Customer)
}

// AmountError is returned if a number of tokens is out of range.
type AmountError struct {
	Tokens escrow.Tokens
}

// Error implements error.
func (e *AmountError) Error() string {
	return fmt.Sprintf("%d tokens is out of range", e.Tokens)
}

// TopUpConflictError is returned if a top-up id is reused with another amount.
type TopUpConflictError struct {
	ID     string
	Booked escrow.Tokens
}

// Error implements error.
func (e *TopUpConflictError) Error() string {
	return fmt.Sprintf("top-up %q was booked with %d tokens", e.ID, e.Booked)
}

// NotInDoubtError is returned for a write-off of a grant that is not being
// settled.
type NotInDoubtError struct {
	Grant escrow.GrantID
}

// Error implements error.
func (e *NotInDoubtError) Error() string {
	return fmt.Sprintf("grant %d is not being settled", e.Grant)
}
