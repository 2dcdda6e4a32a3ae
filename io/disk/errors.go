package disk

import "fmt"

// CorruptionError reports corruption of a file that a crash cannot cause. Opening the folder
// again does not help: the host has to join its group again with an empty folder.
type CorruptionError struct {
	File    string
	Offset  int64
	Message string
}

// Error implements error.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("%s: corrupted at byte %d: %s", e.File, e.Offset, e.Message)
}

// GapError reports that the log lacks the entries before the entry at Index.
type GapError struct {
	Index uint64
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("entry %d does not follow the previous entry", e.Index)
}
