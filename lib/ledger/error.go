package ledger

import "github.com/rotisserie/eris"

// Kind classifies the errors of this package.
type Kind int

// The kinds of error.
const (
	// KindInDoubt means that a request may or may not have been carried out.
	KindInDoubt Kind = iota + 1
	// KindInvalid means that a record or request is malformed.
	KindInvalid
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

func inDoubt(op string, err error) error {
	return &Error{Op: op, Kind: KindInDoubt, Err: eris.Wrap(err, "the ledger did not confirm the result")}
}

func invalid(op, detail string) error {
	return &Error{Op: op, Kind: KindInvalid, Err: eris.New(detail)}
}
