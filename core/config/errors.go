package config

import "fmt"

// FingerprintError says that a delta did not lead to the configuration that its
// sender has.
type FingerprintError struct {
	Version uint64
}

// Error implements error.
func (e *FingerprintError) Error() string {
	return fmt.Sprintf("the delta to version %d leads to another configuration", e.Version)
}
