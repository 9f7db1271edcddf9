package settings

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// Kind classifies the errors of this package.
type Kind int

// The kinds of error.
const (
	// KindFile means that the file cannot be read.
	KindFile Kind = iota + 1
	// KindSyntax means that the file is not valid YAML or does not match the
	// schema.
	KindSyntax
	// KindRange means that a value is missing or out of range.
	KindRange
)

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

func newError(kind Kind, where, format string, args ...any) error {
	return &Error{Op: "read settings", Kind: kind, Err: eris.New(where + ": " + fmt.Sprintf(format, args...))}
}
