package sched

import "math"

// center estimates the center of positive samples on a logarithmic scale. A sample moves it by a
// bounded step, so that single ones that are far off count little.
type center struct {
	value float64
	// n is the number of samples that value stands for, at most memory.
	n, memory int
}

func newCenter(initial float64, memory int) center {
	return center{value: initial, n: centerPrior, memory: memory}
}

// Parameters of a center.
const (
	// centerPrior is the number of samples that the initial value counts for.
	centerPrior = 3
	// speedMemory and slowdownMemory are the numbers of samples after which earlier ones are
	// forgotten. The slowdown follows what happens to one engine.
	speedMemory, slowdownMemory = 50, 12
	// centerStep is the logarithm of the largest factor that a sample counts as.
	centerStep = 1.0
)

// observe takes a sample into account.
func (c *center) observe(x float64) {
	c.n = min(c.n+1, c.memory)
	step := min(max(math.Log(x/c.value), -centerStep), centerStep)
	c.value *= math.Exp(step / float64(c.n))
}
