package sched

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Part is a piece of a prompt that other requests may share.
type Part struct {
	ID     string
	Tokens int
}

// PartKey is a part by the hash of its id.
type PartKey struct {
	Key    uint64
	Tokens int
}

// Query describes a request that looks for an upstream.
type Query struct {
	Service string
	// Parts are the prompt's parts in order; empty for plain services.
	Parts []PartKey
	// Input is the prompt's length, Output the most that may be generated.
	Input, Output int
	// Exclude lists upstreams that were tried already.
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

// affinity is the key that decides on a request's home: the last part of the
// prompt that others may share, which is the one before the request's own.
func (q Query) affinity() (uint64, bool) {
	if len(q.Parts) < 2 {
		return 0, false
	}
	return q.Parts[len(q.Parts)-2].Key, true
}

// Choice is a chosen upstream, with what decided on it.
type Choice struct {
	Upstream Upstream
	// InFlight are this node's requests at the upstream.
	InFlight int
	// Usable is the number of upstreams to choose from.
	Usable int
	// Rank is the upstream's place in the order of the request's homes, from 0 on;
	// -1 where the request has none.
	Rank int
	// Uncached are the prompt's tokens that the upstream must read, Wait the time
	// until it has read what came before, Slow how much slower than usual it is:
	// all as believed.
	Uncached int
	Wait     time.Duration
	Slow     float64
	// Ticket names the first token that is expected; 0 if none is.
	Ticket uint64
}
