package sched

import "github.com/cespare/xxhash/v2"

// Part is a piece of a prompt that other requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Query describes a request that looks for an upstream.
type Query struct {
	Service string
	// Parts are the prompt's parts in order; empty for plain services.
	Parts []Part
	// Input is the prompt's length, Output the most that may be generated.
	Input, Output int
	// Exclude lists upstreams that were tried already.
	Exclude []string
}

// affinity is the key that decides on a request's home: the last part of the
// prompt that others may share, which is the one before the request's own.
func (q Query) affinity() (uint64, bool) {
	if len(q.Parts) < 2 {
		return 0, false
	}
	return xxhash.Sum64String(q.Parts[len(q.Parts)-2].ID), true
}
