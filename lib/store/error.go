package store

import "errors"

// Kind classifies the errors of this package.
type Kind int

// The kinds of error.
const (
	// KindSnapshot means that a snapshot cannot be decoded.
	KindSnapshot Kind = iota + 1
	// KindInDoubt means that the call may have taken effect: no host confirmed
	// the outcome before the deadline.
	KindInDoubt
	// KindNotDone means that the call had no effect and never will.
	KindNotDone
)

// IsNotDone reports whether the call that returned err had no effect. A job
// whose Keep call failed this way never runs.
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

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }
