package store

import "errors"

// Kind sorts the errors of this package.
type Kind int

// The kinds of error.
const (
	// KindState means that a snapshot cannot be read.
	KindState Kind = iota + 1
	// KindInDoubt means that no host could tell in time whether the call took
	// effect.
	KindInDoubt
	// KindNotDone means that the call took no effect and never will.
	KindNotDone
)

// IsNotDone tells whether the call that ended with err took no effect: a job
// that was to be kept never runs.
func IsNotDone(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == KindNotDone
}

// Error is an error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
