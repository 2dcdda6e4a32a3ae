package quota

import "time"

// Loans let nodes that are parted from control together use each other's
// allowances. What is lent counts as spent at the lender at once; the borrower
// may use it at any time and states nothing of it. So a loan whose answer is lost
// is billed for nothing, and never twice.

// lendShare is the part of what a lender has left that it lends at a time.
const lendShare = 0.5

// LoanRequest asks another node for tokens of a customer.
type LoanRequest struct {
	Customer string
	// Want is what would be welcome; less is of use too.
	Want Tokens
}

// Lend returns the tokens that are lent. more is set where there are more once
// the witnesses have recorded them.
func (h *Holder) Lend(now time.Time, r LoanRequest) (amount Tokens, more bool) {
	alloc, ok := h.allocations[r.Customer]
	if !ok || !alloc.known || alloc.unbounded || h.left || len(alloc.waiting) > 0 {
		return 0, false
	}
	wanted := max(min(r.Want, Tokens(lendShare*float64(h.openLimit(now, alloc)-alloc.spent-alloc.reserved))), 0)
	amount = max(min(wanted, h.limit(now, alloc)-alloc.spent-alloc.reserved), 0)
	alloc.lending = wanted - amount
	alloc.spent += amount
	return amount, alloc.lending > 0
}

// AddLoan takes in a loan.
func (h *Holder) AddLoan(customer string, amount Tokens) {
	if alloc, ok := h.allocations[customer]; ok {
		alloc.loans += amount
	}
}

// LoanWanted is what the holder asks others for on behalf of a request. It wants
// nothing once it has borrowed enough.
func (h *Holder) LoanWanted(customer string, worst Tokens) (r LoanRequest, wanted bool) {
	alloc, ok := h.allocations[customer]
	if !ok || alloc.loans >= worst {
		return LoanRequest{}, false
	}
	return LoanRequest{Customer: customer, Want: max(worst, alloc.need(), 2*alloc.largest) - alloc.loans}, true
}
