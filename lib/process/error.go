package process

// Kind classifies the errors of this package.
type Kind int

// The kinds of error.
const (
	KindAddress Kind = iota + 1
	KindTimeout
	KindSecurity
	// KindOverload marks a request for which the process has no memory.
	KindOverload
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
