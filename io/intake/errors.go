package intake

import (
	"errors"
	"time"
)

// RetryAfter is what a client is told that was rejected for lack of memory.
const RetryAfter = 500 * time.Millisecond

// ErrFull means that a body does not fit into the memory for bodies, or had to yield to others.
var ErrFull = errors.New("no memory for the body")

// ErrSlow means that a body made no progress for too long, or did not arrive by its deadline.
var ErrSlow = errors.New("the body did not arrive in time")

// errHeadTooLong and errHeadYields end a connection whose head is over the limit or had to yield.
var (
	errHeadTooLong = errors.New("the head is over the limit")
	errHeadYields  = errors.New("no memory for the head")
)
