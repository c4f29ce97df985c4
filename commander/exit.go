package commander

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Exit codes.
const (
	ExitDone    = 0
	ExitFailed  = 1
	ExitUsage   = 2
	ExitUnknown = 3
)

// usageError reports invalid command-line arguments.
type usageError struct {
	cause string
}

// Error implements error.
func (e usageError) Error() string {
	return fmt.Sprintf("%s; see %s --help", e.cause, program)
}

// unknownError reports a change whose outcome is not known.
type unknownError struct {
	err error
	// hint says how to find out the outcome.
	hint string
}

// Error implements error.
func (e unknownError) Error() string {
	return fmt.Sprintf("the outcome is not known: %v; %s", e.err, e.hint)
}

// Unwrap returns the underlying error.
func (e unknownError) Unwrap() error {
	return e.err
}

// exitCode returns the exit code of a sub-command that returned err.
func exitCode(err error) int {
	var unknown unknownError
	var usage usageError
	switch {
	case err == nil:
		return ExitDone
	case errors.As(err, &unknown):
		return ExitUnknown
	case errors.As(err, &usage):
		return ExitUsage
	default:
		return ExitFailed
	}
}
