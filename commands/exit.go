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
	// ExitFailed: the command failed.
	ExitFailed = 1
	// ExitUsage: the command line or a file is wrong; nothing was done.
	ExitUsage = 2
	// ExitConflict: another change came first, or an id is in use.
	ExitConflict = 3
	// ExitUnknown: no answer came; the command may have been carried out, and
	// repeating it is safe.
	ExitUnknown = 4
	// ExitDiffers: diff found differences.
	ExitDiffers = 5
)

// UsageError says that the command line is wrong.
type UsageError struct {
	Message string
}

// Error implements error.
func (e *UsageError) Error() string { return e.Message }

// ConflictError says that a change lost against another one.
type ConflictError struct {
	Message string
}

// Error implements error.
func (e *ConflictError) Error() string { return e.Message }

// DiffersError says that two documents differ.
type DiffersError struct{}

// Error implements error.
func (e *DiffersError) Error() string { return "they differ" }

// exitCode maps an error to the process's exit code.
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
