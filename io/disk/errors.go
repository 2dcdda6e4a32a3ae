package disk

import "fmt"

// DamageError says that a file is damaged in a way that a crash can't explain.
type DamageError struct {
	File    string
	Offset  int64
	Message string
}

// Error implements error.
func (e *DamageError) Error() string {
	return fmt.Sprintf("%s: damaged at byte %d: %s", e.File, e.Offset, e.Message)
}

// GapError says that an entry does not follow the one before it.
type GapError struct {
	Index uint64
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("entry %d does not follow the one before it", e.Index)
}
