package quota

// Waivers bounds what customers are not billed for streams that were broken off: only a share of
// what they were billed for whole responses is waived.
type Waivers struct {
	// left holds what may still be waived, by customer.
	left map[string]float64
}

// waivedShare is the share of what whole responses were billed that may be waived.
const waivedShare = 0.05

// NewWaivers returns waivers with nothing to waive.
func NewWaivers() *Waivers { return &Waivers{left: map[string]float64{}} }

// Whole records what a whole response was billed.
func (w *Waivers) Whole(customer string, billed Tokens) {
	if billed > 0 {
		w.left[customer] += waivedShare * float64(billed)
	}
}

// Waive returns how much of these tokens is not billed.
func (w *Waivers) Waive(customer string, tokens Tokens) Tokens {
	waived := max(min(tokens, Tokens(w.left[customer])), 0)
	if waived > 0 {
		w.left[customer] -= float64(waived)
	}
	return waived
}

// Forget deletes the customers that are not known any more.
func (w *Waivers) Forget(known func(customer string) bool) {
	for c := range w.left {
		if !known(c) {
			delete(w.left, c)
		}
	}
}
