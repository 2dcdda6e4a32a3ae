package admit

import (
	"math/bits"
	"time"

	"dotterelgap/core/sched"
)

// Request is what a Queue has to know of a request.
type Request struct {
	// ID is a hash of the request's id, which spreads the return of rejected callers.
	ID uint64
	// Rank is the priority; 0 is the most urgent.
	Rank int
	// Customer is a hash of the customer's name.
	Customer uint64
	// Size is the size of the request in bytes, by which it is put into a class. Bytes is the
	// memory that it holds while it waits.
	Size, Bytes int
	// Objective is the time from now until which the response should begin, Deadline that until
	// which the caller waits.
	Objective, Deadline time.Duration
}

// Ticket identifies a request that waits.
type Ticket uint64

// Told is a decision on a request that waited.
type Told struct {
	Ticket   Ticket
	Decision sched.Decision
	// Waited is how long the request waited.
	Waited time.Duration
}

// Numbers of classes that requests are counted by.
const (
	ranks     = 10
	customers = 256
	sizes     = 8
	// sizeShift is the number of bits of a size that do not count: sizes up to 256 are one class.
	sizeShift = 8
)

// rank returns the class of the priority.
func (r Request) rank() int { return min(max(r.Rank, 0), ranks-1) }

// size returns the class of the size. Each is twice as large as the one before.
func (r Request) size() int {
	return min(bits.Len(uint(max(r.Size, 0))>>sizeShift), sizes-1)
}

// customer returns the class of the customer; a few customers may share one.
func (r Request) customer() int { return int(r.Customer % customers) }
