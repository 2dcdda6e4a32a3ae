package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// Kind is the kind of a service, which decides how it is called.
type Kind string

// The kinds of services.
const (
	KindModel Kind = "model"
	KindPlain Kind = "plain"
)

// UnmarshalText implements encoding.TextUnmarshaler.
func (k *Kind) UnmarshalText(text []byte) error {
	switch v := Kind(text); v {
	case KindModel, KindPlain:
		*k = v
		return nil
	}
	return fmt.Errorf("must be \"model\" or \"plain\", not %q", text)
}

// Priority orders the requests to a service with too little capacity. Higher ones go first.
type Priority int

// The priorities.
const (
	PriorityLow    Priority = -1
	PriorityNormal Priority = 0
	PriorityHigh   Priority = 1
)

// UnmarshalText implements encoding.TextUnmarshaler.
func (p *Priority) UnmarshalText(text []byte) error {
	switch string(text) {
	case "low":
		*p = PriorityLow
	case "normal":
		*p = PriorityNormal
	case "high":
		*p = PriorityHigh
	default:
		return fmt.Errorf("must be \"low\", \"normal\" or \"high\", not %q", text)
	}
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (p Priority) MarshalText() ([]byte, error) {
	switch {
	case p < PriorityNormal:
		return []byte("low"), nil
	case p > PriorityNormal:
		return []byte("high"), nil
	}
	return []byte("normal"), nil
}

// Digest is the SHA-256 digest of a bearer key, in hexadecimal digits.
type Digest string

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(text []byte) error {
	raw, err := hex.DecodeString(string(text))
	if err != nil || len(raw) != sha256.Size {
		return fmt.Errorf("must be a SHA-256 digest in 64 hexadecimal digits (see 'dotterelgap keygen')")
	}
	*d = Digest(hex.EncodeToString(raw))
	return nil
}

// DigestOf returns the digest of a bearer key. Keys are long and random, so that one round
// of hashing is enough.
func DigestOf(key string) Digest {
	sum := sha256.Sum256([]byte(key))
	return Digest(hex.EncodeToString(sum[:]))
}
