package quota

// Used is what a holder has spent or reserved of a customer's tokens, for tests.
func (h *Holder) Used(customer string) Tokens {
	p, ok := h.allocations[customer]
	if !ok {
		return 0
	}
	return p.spent + p.reserved
}

// ID is the holder's present life, for tests.
func (h *Holder) ID() string { return string(h.id) }
