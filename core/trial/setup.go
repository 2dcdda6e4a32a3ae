package trial

import (
	"fmt"
	"math"
	"time"

	"dotterelgap/core/escrow"
)

// Setup describes an experiment.
type Setup struct {
	Places          int
	EntriesPerPlace int
	Agents          int
	Customers       []Customer
	Length          time.Duration
	// PartitionStart and PartitionEnd bound the time in which the last place is cut off from
	// the others and from control.
	PartitionStart, PartitionEnd time.Duration
	// TopUps are paid within the run; those in the cut reach control only.
	TopUps []TopUp
	// DeathEvery is the mean time between two deaths of an entry; it is back
	// after DownFor, without its memory.
	DeathEvery, DownFor time.Duration
	// MeanPrompt and MeanOutput are a request's true sizes, Cap its output cap.
	MeanPrompt, MeanOutput, Cap escrow.Tokens
	// TokenTime is the time per token of an answer.
	TokenTime time.Duration
}

// Customer is one customer's demand and budget.
type Customer struct {
	Name string
	// PerSecond is the rate of requests over all places.
	PerSecond float64
	// Skew is the share of the first place; the rest is spread evenly.
	Skew float64
	Paid escrow.Tokens
}

// TopUp is a payment at a time.
type TopUp struct {
	At       time.Duration
	Customer int
	Tokens   escrow.Tokens
}

// DefaultSetup has the sizes of the brief: 3 places, 23 engines, 10 customers of
// whom 3 are large, a cut of 30 minutes, and budgets of which some run out.
func DefaultSetup() Setup {
	s := Setup{
		Places: 3, EntriesPerPlace: 2, Agents: 23,
		Length: 70 * time.Minute, PartitionStart: 15 * time.Minute, PartitionEnd: 45 * time.Minute,
		DeathEvery: 10 * time.Minute, DownFor: 30 * time.Second,
		MeanPrompt: 500, MeanOutput: 250, Cap: 2048, TokenTime: 20 * time.Millisecond,
	}
	for i := range 10 {
		c := Customer{Name: fmt.Sprintf("customer-%d", i), PerSecond: 0.2, Skew: 1.0 / 3}
		if i < 3 {
			c.PerSecond = 1.5
		}
		if i%3 == 1 {
			c.Skew = 0.7
		}
		c.Paid = s.budgetFor(c, i)
		s.Customers = append(s.Customers, c)
	}
	for i := range s.Customers {
		if i%2 == 1 {
			need := s.Customers[i].PerSecond * float64(s.perRequest())
			s.TopUps = append(s.TopUps, TopUp{At: s.PartitionStart + 10*time.Minute, Customer: i, Tokens: escrow.Tokens(need * 600)})
		}
	}
	return s
}

// budgetFor gives even customers more than they need, odd ones enough for part
// of the run, so that some budgets run out within the cut and some after it.
func (s Setup) budgetFor(c Customer, i int) escrow.Tokens {
	need := c.PerSecond * s.Length.Seconds() * float64(s.perRequest())
	share := 2.0
	if i%2 == 1 {
		share = []float64{0.25, 0.45, 0.6, 0.8, 0.95}[i/2]
	}
	return escrow.Tokens(math.Round(need * share))
}

// Ample gives every customer ten times what it needs, for steady use.
func (s Setup) Ample() Setup {
	s.TopUps = nil
	for i := range s.Customers {
		s.Customers[i].Paid = escrow.Tokens(10 * s.Customers[i].PerSecond * s.Length.Seconds() * float64(s.perRequest()))
	}
	return s
}

func (s Setup) perRequest() escrow.Tokens {
	return s.MeanPrompt + s.MeanOutput
}

// partitionedPlace is the place that the cut isolates.
func (s Setup) partitionedPlace() int {
	return s.Places - 1
}
