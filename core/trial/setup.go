package trial

import (
	"fmt"
	"math"
	"time"

	"dotterelgap/core/escrow"
)

// Setup holds the parameters of a simulation.
type Setup struct {
	Places          int
	EntriesPerPlace int
	Agents          int
	Customers       []Customer
	// Length is the time during which requests arrive. The run lasts ten minutes
	// longer, so that requests and settlements can end.
	Length time.Duration
	// PartitionStart and PartitionEnd bound the time in which the last place is
	// partitioned from the other places and from control.
	PartitionStart, PartitionEnd time.Duration
	// TopUps are the payments during the run. A payment during the partition
	// reaches control only.
	TopUps []TopUp
	// DeathEvery is the mean time between two deaths of entries. Zero means that
	// no entry dies. A dead entry restarts after DownFor without its memory.
	DeathEvery, DownFor time.Duration
	// MeanPrompt and MeanOutput are the mean numbers of tokens that a request
	// uses. Cap is the limit on the output tokens of a request.
	MeanPrompt, MeanOutput, Cap escrow.Tokens
	// TokenTime sets how long a request runs: a tenth of it for each prompt and
	// output token.
	TokenTime time.Duration
}

// Customer describes one customer's demand and budget.
type Customer struct {
	Name string
	// PerSecond is the mean rate of requests over all places.
	PerSecond float64
	// Skew is the share of the requests that arrive at the first place. The other
	// places share the rest evenly.
	Skew float64
	// Paid is the budget at the start of the run.
	Paid escrow.Tokens
}

// TopUp is a payment by a customer during the run. Customer is an index into
// Setup.Customers.
type TopUp struct {
	At       time.Duration
	Customer int
	Tokens   escrow.Tokens
}

// DefaultSetup returns a setup of the size that the users require: 3 places, 23
// engines with one agent each, 10 customers of which 3 are large, a partition of
// 30 minutes, and some budgets that run out.
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

// budgetFor returns the budget of customer i. Customers with an even index get
// more than they need. The others get enough for a part of the run, so that some
// budgets run out during the partition and some after it.
func (s Setup) budgetFor(c Customer, i int) escrow.Tokens {
	need := c.PerSecond * s.Length.Seconds() * float64(s.perRequest())
	share := 2.0
	if i%2 == 1 {
		share = []float64{0.25, 0.45, 0.6, 0.8, 0.95}[i/2]
	}
	return escrow.Tokens(math.Round(need * share))
}

// Ample returns the setup with ten times the needed budget for every customer
// and no top-ups, so that no budget runs out.
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

// partitionedPlace returns the place that the partition isolates.
func (s Setup) partitionedPlace() int {
	return s.Places - 1
}
