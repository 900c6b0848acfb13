package config

import (
	"errors"
	"fmt"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// ConflictError means that the edit is not based on the current revision. The
// edit did not take effect.
type ConflictError struct{ Current sched.Revision }

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the configuration is at revision %d; repeat the edit on that text", e.Current)
}

// InvalidError means that the text does not parse. The text was not written.
type InvalidError struct{ Err error }

// Error implements error.
func (e *InvalidError) Error() string { return "the text is invalid:\n" + e.Err.Error() }

// Unwrap returns the problems of the text.
func (e *InvalidError) Unwrap() error { return e.Err }

// UnavailableError means that the edit could not be written, for example because
// the store was not reachable. The edit did not take effect.
type UnavailableError struct{ Err error }

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("the edit was not made: %v; repeat it later", e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// UnknownError means that the edit may have taken effect: its write got no answer
// and could not be checked.
type UnknownError struct {
	EditID string
	Err    error
}

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("edit %s may have been made: %v; read the configuration before you repeat it", e.EditID, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Err }

var (
	errDamaged      = errors.New("the stored configuration is damaged; restore Config/Current from Config/History first")
	errTooManyEdits = errors.New("too many edits wait for the store")
	errNoAnswer     = errors.New("the store did not answer in time")
	errTooManyLater = errors.New("too many later edits were made to tell")
)
