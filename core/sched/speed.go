package sched

import "time"

// speed estimates how long the engines of a service take to their first tokens. An engine's own
// slowdown is relative to it.
type speed struct {
	// overhead is the part of the time to the first token that does not depend on the length of
	// the prompt, and perToken the time to prefill one token, both in seconds.
	overhead, perToken center
	// perOutput is the time from the first token to the end by the tokens that may be generated,
	// in seconds.
	perOutput center
}

// Initial estimates for a service that has not been observed yet.
const (
	// initialRate is the number of prompt tokens that an engine prefills per second.
	initialRate     = 30_000
	initialOverhead = 50 * time.Millisecond
	// initialOutput is the time per token that is generated.
	initialOutput = 10 * time.Millisecond
)

// The first tokens from which the speed is estimated, and bounds of the estimates.
const (
	// longPrompt is the least number of tokens to prefill, with those of the prompts before, from
	// which the time per token is estimated, and shortPrompt the most from which the overhead is.
	longPrompt, shortPrompt = 1500, 300
	// leastOverhead and leastPerToken bound the estimates, in seconds.
	leastOverhead, leastPerToken = 0.002, 1e-7
	// standardPrompt is the number of tokens of the prompts that slowdowns of all nodes refer to.
	standardPrompt = 5000
)

func newSpeed() *speed {
	return &speed{
		overhead: newCenter(initialOverhead.Seconds(), speedMemory), perToken: newCenter(1.0/initialRate, speedMemory),
		perOutput: newCenter(initialOutput.Seconds(), speedMemory),
	}
}

// observe takes the time to a first token into account. tokens is the estimated number that the
// engine had to prefill, with those of the prompts before.
func (s *speed) observe(tokens int, took time.Duration) {
	switch t := took.Seconds(); {
	case tokens <= shortPrompt:
		s.overhead.observe(max(t-s.perToken.value*float64(tokens), leastOverhead))
	case tokens >= longPrompt:
		s.perToken.observe(max((t-s.overhead.value)/float64(tokens), leastPerToken))
	}
}

// observeOutput takes the time from the first token to the end of a response into account. output
// is the number of tokens that might have been generated.
func (s *speed) observeOutput(output int, took time.Duration) {
	s.perOutput.observe(max(took.Seconds()/float64(output), leastPerToken))
}

// outputTime returns the usual time from the first token to the end of a response.
func (s *speed) outputTime(output int) time.Duration {
	return seconds(s.perOutput.value * float64(output))
}

// nominal returns the usual time to prefill standardPrompt relative to the initial estimate.
// Slowdowns are told to other nodes with it, since a node that has just started does not know the
// speed of the service yet.
func (s *speed) nominal() float64 {
	const initial = standardPrompt/float64(initialRate) + float64(initialOverhead)/float64(time.Second)
	return (s.overhead.value + s.perToken.value*standardPrompt) / initial
}

// tokens returns the number of tokens that are usually prefilled in a time.
func (s *speed) tokens(d time.Duration) int { return int(d.Seconds() / s.perToken.value) }

// prefillTime returns the usual time to prefill tokens.
func (s *speed) prefillTime(tokens int) time.Duration {
	return seconds(s.perToken.value * float64(tokens))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
