package quota

// Used returns what a holder may have used of a customer's tokens.
func (h *Holder) Used(customer string) Tokens {
	alloc, ok := h.allocations[customer]
	if !ok {
		return 0
	}
	return alloc.spent + alloc.begun
}

// ID returns the id of the holder's current incarnation.
func (h *Holder) ID() string { return string(h.id) }
