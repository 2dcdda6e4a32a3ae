package fleet

import "fmt"

// UnknownPlaceError means that neither the settings nor a node or an upstream name a place.
type UnknownPlaceError struct {
	Place Place
}

// Error implements error.
func (e *UnknownPlaceError) Error() string { return fmt.Sprintf("there is no place %q", e.Place) }
