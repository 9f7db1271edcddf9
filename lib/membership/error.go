package membership

import "github.com/rotisserie/eris"

// Kind classifies the errors of this package.
type Kind int

// KindDead means that the control group has declared this incarnation dead.
const KindDead Kind = 1

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

// ErrDead returns the error with which a process exits after its incarnation
// was declared dead. After a restart the process is a new incarnation and may
// join again.
func ErrDead() error {
	return &Error{Op: "renew", Kind: KindDead, Err: eris.New("the control group has declared this process dead; restart it to join again")}
}
