package config

import "fmt"

// FingerprintError is returned if the configuration after a delta differs from that of the
// delta's sender.
type FingerprintError struct {
	Version uint64
}

// Error implements error.
func (e *FingerprintError) Error() string {
	return fmt.Sprintf("fingerprint mismatch after the delta to version %d", e.Version)
}
