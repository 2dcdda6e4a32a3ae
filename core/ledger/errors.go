package ledger

import (
	"fmt"

	"dotterelgap/core/escrow"
)

// UnknownCustomerError says that a customer does not exist.
type UnknownCustomerError struct {
	Customer string
}

// Error implements error.
func (e *UnknownCustomerError) Error() string {
	return fmt.Sprintf("customer %q does not exist", e.Customer)
}

// AmountError says that a number of tokens is out of range.
type AmountError struct {
	Tokens escrow.Tokens
}

// Error implements error.
func (e *AmountError) Error() string {
	return fmt.Sprintf("%d tokens is out of range", e.Tokens)
}

// TopUpConflictError says that a top-up id was used for another amount.
type TopUpConflictError struct {
	ID     string
	Booked escrow.Tokens
}

// Error implements error.
func (e *TopUpConflictError) Error() string {
	return fmt.Sprintf("top-up %q was booked with %d tokens", e.ID, e.Booked)
}

// NotInDoubtError says that a grant is not waiting for a write-off.
type NotInDoubtError struct {
	Grant escrow.GrantID
}

// Error implements error.
func (e *NotInDoubtError) Error() string {
	return fmt.Sprintf("grant %d is not being settled", e.Grant)
}
