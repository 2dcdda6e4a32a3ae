package sched

import (
	"time"

	"dotterelgap/core/fleet"

	"github.com/cespare/xxhash/v2"
)

// Part is a section of a prompt that other requests may share.
type Part struct {
	ID     string
	Tokens int
}

// PartKey is a Part identified by the hash of its id.
type PartKey struct {
	Key    uint64
	Tokens int
}

// Query describes a request that needs an upstream.
type Query struct {
	Service string
	// Parts are the prompt's parts in order; empty for services without prompts.
	Parts []PartKey
	// Input is the prompt's length in tokens, Output the maximum number of tokens that
	// may be generated.
	Input, Output int
	// Objective is the time from now until which the first token should arrive; 0 if there is
	// none. Deadline is the time from now until which the caller waits.
	Objective, Deadline time.Duration
	// RouteRegions and CustomerRegions are the regions whose upstreams may get the request. Both
	// lists bind, and an empty one allows all regions.
	RouteRegions, CustomerRegions []fleet.Region
	// Exclude lists the upstreams that were already tried.
	Exclude []string
}

// Keys hashes the ids of parts.
func Keys(parts []Part) []PartKey {
	if len(parts) == 0 {
		return nil
	}
	out := make([]PartKey, len(parts))
	for i, p := range parts {
		out[i] = PartKey{Key: xxhash.Sum64String(p.ID), Tokens: p.Tokens}
	}
	return out
}

// affinity returns the key that determines a request's home upstreams: the last part
// that other requests may share, which is the one before the request's own part. It
// returns false if there is no such part.
func (q Query) affinity() (uint64, bool) {
	if len(q.Parts) < 2 {
		return 0, false
	}
	return q.Parts[len(q.Parts)-2].Key, true
}

// Choice is a chosen upstream, with the inputs of the decision.
type Choice struct {
	Upstream Upstream
	// InFlight is the number of this node's requests at the upstream.
	InFlight int
	// Usable is the number of upstreams that were available.
	Usable int
	// Rank is the upstream's position, from 0, among the request's homes, or HomeRanks
	// if it is not one of them; -1 if the request has no homes.
	Rank int
	// Uncached is the number of prompt tokens that the upstream has to prefill, Wait
	// the time until it has prefilled the prompts before this one, Prefill the time to
	// prefill this one, Overhead the rest of the time to the first token, and Slowdown the
	// factor by which the upstream is slower than usual. All five are estimates.
	Uncached int
	Wait     time.Duration
	Prefill  time.Duration
	Overhead time.Duration
	Slowdown float64
	// waitTokens is the number of tokens of the prompts that the upstream prefills before.
	waitTokens int
	// Source is the upstream from which the engine is to fetch the cached tokens that it lacks,
	// Fetched their number; 0 if there is no source. Uncached does not include them.
	Source  Upstream
	Fetched int
	// Ticket identifies the pending first token; 0 if none is expected.
	Ticket uint64
	// sent is the upstream's state when the request was sent, if it has no prompts.
	sent sent
	// Holds is the number of tokens that known requests held of the engine's memory before.
	Holds int
	// held is what this request holds of it.
	held held
}

// Overdue reports whether the first token should have arrived after this time.
func (c Choice) Overdue(waited time.Duration) bool {
	return waited > c.firstTokenIn()+overdueMargin
}

// firstTokenIn returns the estimated time to the first token.
func (c Choice) firstTokenIn() time.Duration { return c.Overhead + c.Wait + c.Prefill }
