package quota

import "time"

// Loans let nodes that are partitioned from the control group use each other's
// allocations. A loan counts as spent at the lender immediately. The borrower may use it
// at any time and doesn't report it. So a loan whose reply is lost is billed although
// nothing used it, and no loan is billed twice.

// lendShare is the share of its remaining tokens that a lender lends at a time.
const lendShare = 0.5

// LoanRequest asks another node for tokens of a customer.
type LoanRequest struct {
	Customer string
	// Want is the amount wanted; a smaller loan is useful too.
	Want Tokens
}

// Lend returns the tokens that are lent. more is set if the holder can lend more once
// the witnesses have recorded it.
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

// AddLoan adds borrowed tokens.
func (h *Holder) AddLoan(customer string, amount Tokens) {
	if alloc, ok := h.allocations[customer]; ok {
		alloc.loans += amount
	}
}

// LoanWanted returns what the holder asks other nodes for on behalf of a request. wanted
// is false once it has borrowed enough.
func (h *Holder) LoanWanted(now time.Time, customer string, worst Tokens) (r LoanRequest, wanted bool) {
	alloc, ok := h.allocations[customer]
	if !ok || alloc.loans >= worst {
		return LoanRequest{}, false
	}
	return LoanRequest{Customer: customer, Want: max(worst, alloc.need(now), 2*alloc.largest) - alloc.loans}, true
}
