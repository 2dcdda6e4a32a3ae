package quota

import (
	"cmp"
	"slices"

	"dotterelgap/core/fleet"
)

// AccountView shows where a customer's tokens are, as far as the holders have reported. Paid is the
// sum of Ended, Free, and Spent, Begun, Reserved and Unspent of all holders.
type AccountView struct {
	Customer string `json:"customer"`
	// Paid is 0 and Bounded false if the spending of the customer is not limited.
	Paid    Tokens `json:"paid"`
	Bounded bool   `json:"bounded"`
	// Ended is what holders that have ended were billed, Forfeited the part of it that they had
	// not reported as used.
	Ended     Tokens `json:"ended"`
	Forfeited Tokens `json:"forfeited"`
	// Free is granted to no holder. It is negative if the amount paid was lowered.
	Free    Tokens       `json:"free"`
	Holders []HolderView `json:"holders"`
}

// HolderView shows what one holder has of a customer's tokens.
type HolderView struct {
	Holder fleet.NodeID `json:"holder"`
	Addr   string       `json:"addr"`
	// Spent is what ended requests were billed. Begun and Reserved are the worst cases of requests
	// in progress that have begun, and of those that have not. Unspent is the rest of the grant.
	Spent    Tokens `json:"spent"`
	Begun    Tokens `json:"begun"`
	Reserved Tokens `json:"reserved"`
	Unspent  Tokens `json:"unspent"`
}

// View returns where a customer's tokens are, with the holders by address. ok is false if the
// customer is not known.
func (l *Ledger) View(customer string) (v AccountView, ok bool) {
	a, ok := l.Accounts[customer]
	if !ok {
		return AccountView{}, false
	}
	v = AccountView{Customer: customer, Paid: a.Paid, Bounded: a.Bounded, Ended: a.Billed, Forfeited: a.Forfeited, Free: a.Paid - a.Billed}
	for id, r := range a.Allocations {
		v.Free -= r.Granted
		v.Holders = append(v.Holders, HolderView{
			Holder: id, Addr: l.Holders[id].Addr.String(), Spent: r.Spent, Begun: r.begun() - r.Spent, Reserved: r.Unbegun,
			Unspent: r.Granted - r.Used,
		})
	}
	slices.SortFunc(v.Holders, func(x, y HolderView) int {
		return cmp.Or(cmp.Compare(x.Addr, y.Addr), cmp.Compare(x.Holder, y.Holder))
	})
	return v, true
}
