package commands

import (
	"errors"
	"flag"
	"net/http"

	"dotterelgap/core/parse"
	"dotterelgap/io/admin"
)

// The exit codes of all subcommands.
const (
	ExitOK = 0
	// ExitFailed means that the command failed.
	ExitFailed = 1
	// ExitUsage means that the command line or a file is invalid; nothing was done.
	ExitUsage = 2
	// ExitConflict means that another change was accepted first or that an id is in
	// use already.
	ExitConflict = 3
	// ExitUnknown means that no response arrived. The command may have been
	// executed, and it is safe to retry it.
	ExitUnknown = 4
	// ExitDiffers means that diff found differences.
	ExitDiffers = 5
)

// UsageError means that the command line is invalid or that a file can't be read.
type UsageError struct {
	Message string
}

// Error implements error.
func (e *UsageError) Error() string { return e.Message }

// ConflictError means that a change was not accepted, because of another change or
// because it is invalid.
type ConflictError struct {
	Message string
}

// Error implements error.
func (e *ConflictError) Error() string { return e.Message }

// DiffersError means that a document differs from the configuration in force.
type DiffersError struct{}

// Error implements error.
func (e *DiffersError) Error() string { return "the document differs from the configuration in force" }

// exitCode returns the exit code of the process for an error.
func exitCode(err error) int {
	var usage *UsageError
	var bad *parse.Error
	var conflict *ConflictError
	var differs *DiffersError
	var unreachable *admin.UnreachableError
	var failure *admin.Failure
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return ExitOK
	case errors.As(err, &usage), errors.As(err, &bad):
		return ExitUsage
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.As(err, &differs):
		return ExitDiffers
	case errors.As(err, &unreachable):
		return ExitUnknown
	case errors.As(err, &failure):
		return failureCode(failure)
	}
	return ExitFailed
}

func failureCode(f *admin.Failure) int {
	switch f.Status {
	case http.StatusConflict:
		return ExitConflict
	case http.StatusUnprocessableEntity:
		return ExitUsage
	}
	return ExitFailed
}
