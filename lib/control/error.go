package control

// Kind classifies the errors of this package.
type Kind int

// The kinds of error.
const (
	// KindState means that replicated state or a command could not be encoded
	// or decoded.
	KindState Kind = iota + 1
	// KindSettings means that a host's settings are invalid.
	KindSettings
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
